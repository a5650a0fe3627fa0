//! The datagrams of an exchange between two neighbours, and their encoding. No I/O.
use crate::fleet::identity::{put_address, take, take_address, PeerId, HEADER_BYTES};

/// Wire value of [`ExchangeKind::Request`].
const KIND_REQUEST: u8 = 0;
/// Wire value of [`ExchangeKind::Reply`].
const KIND_REPLY: u8 = 1;

/// The two steps of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// Starts an exchange.
    Request,
    /// Answers a request.
    Reply,
}

impl ExchangeKind {
    /// The kind's number on the wire. Peers of other versions rely on it.
    fn wire_code(self) -> u8 {
        match self {
            ExchangeKind::Request => KIND_REQUEST,
            ExchangeKind::Reply => KIND_REPLY,
        }
    }

    /// The kind with this number on the wire; `None` if there is none.
    fn from_wire_code(code: u8) -> Option<ExchangeKind> {
        match code {
            KIND_REQUEST => Some(ExchangeKind::Request),
            KIND_REPLY => Some(ExchangeKind::Reply),
            _ => None,
        }
    }
}

/// One datagram of an exchange, without the header that all datagrams of the fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Request or reply.
    pub kind: ExchangeKind,
    /// The sender's gossip address and incarnation.
    pub from: PeerId,
    /// The number of the request on this edge. A reply repeats the number of its request.
    pub seq: u32,
    /// The sender's flow over this edge, in millionths of capacity.
    pub flow: i32,
    /// The sender's estimate of the mean, in millionths of capacity.
    pub estimate: i32,
}

impl Exchange {
    /// Encodes the datagram, big-endian: `header` (7), kind (1), family (1: 4 or 6), port (2), address (4 or 16),
    /// incarnation (8), seq, flow, estimate (4 each), and a CRC-32 of all before it (4). 39 bytes for IPv4, 51 for
    /// IPv6.
    pub fn encode(&self, header: &[u8; HEADER_BYTES]) -> Vec<u8> {
        let mut bytes = header.to_vec();
        bytes.push(self.kind.wire_code());
        put_address(&mut bytes, self.from.addr);
        bytes.extend(self.from.incarnation.to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.flow.to_be_bytes());
        bytes.extend(self.estimate.to_be_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
        bytes
    }

    /// Decodes the output of [`Exchange::encode`]; `None` if the bytes are not valid. The caller has checked the
    /// header.
    pub fn decode(bytes: &[u8]) -> Option<Exchange> {
        let (body, crc) = bytes.split_last_chunk::<4>()?;
        if crc32fast::hash(body).to_be_bytes() != *crc {
            return None;
        }
        let mut rest = body.get(HEADER_BYTES..)?;
        let [code] = take(&mut rest)?;
        let kind = ExchangeKind::from_wire_code(code)?;
        let addr = take_address(&mut rest)?;
        let incarnation = u64::from_be_bytes(take(&mut rest)?);
        let seq = u32::from_be_bytes(take(&mut rest)?);
        let flow = i32::from_be_bytes(take(&mut rest)?);
        let estimate = i32::from_be_bytes(take(&mut rest)?);
        if !rest.is_empty() {
            return None;
        }
        Some(Exchange {
            kind,
            from: PeerId { addr, incarnation },
            seq,
            flow,
            estimate,
        })
    }
}
