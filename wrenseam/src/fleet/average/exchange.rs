//! The datagram of an exchange between two neighbours, and its bytes. No I/O.
use crate::fleet::identity::{put_address, take, take_address, PeerId, HEADER_BYTES};

const KIND_ASK: u8 = 0;
const KIND_ANSWER: u8 = 1;

/// One datagram of an exchange, after the header that all datagrams of the fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// Answers an ask.
    pub answer: bool,
    /// Who speaks: its gossip address, and its incarnation.
    pub from: PeerId,
    /// Numbers the asks over an edge; an answer repeats that of its ask.
    pub seq: u32,
    /// The speaker's flow over this edge, in millionths of capacity.
    pub flow: i32,
    /// The speaker's estimate of the mean, in millionths of capacity.
    pub estimate: i32,
}

impl Exchange {
    /// The bytes, big-endian: `header` (7), kind (1), family (1: 4 or 6), port (2), address (4 or 16), incarnation (8),
    /// seq, flow, estimate (4 each), CRC-32 of all before it (4). 39 bytes for IPv4, 51 for IPv6.
    pub fn encode(&self, header: &[u8; HEADER_BYTES]) -> Vec<u8> {
        let mut b = header.to_vec();
        b.push(if self.answer { KIND_ANSWER } else { KIND_ASK });
        put_address(&mut b, self.from.addr);
        b.extend(self.from.incarnation.to_be_bytes());
        b.extend(self.seq.to_be_bytes());
        b.extend(self.flow.to_be_bytes());
        b.extend(self.estimate.to_be_bytes());
        b.extend(crc32fast::hash(&b).to_be_bytes());
        b
    }

    /// Reads what [`Exchange::encode`] wrote; `None` for anything else. The header is the caller's to check.
    pub fn decode(bytes: &[u8]) -> Option<Exchange> {
        let (body, crc) = bytes.split_last_chunk::<4>()?;
        if crc32fast::hash(body).to_be_bytes() != *crc {
            return None;
        }
        let mut rest = body.get(HEADER_BYTES..)?;
        let answer = match take::<1>(&mut rest)? {
            [KIND_ASK] => false,
            [KIND_ANSWER] => true,
            _ => return None,
        };
        let addr = take_address(&mut rest)?;
        let incarnation = u64::from_be_bytes(take(&mut rest)?);
        let seq = u32::from_be_bytes(take(&mut rest)?);
        let flow = i32::from_be_bytes(take(&mut rest)?);
        let estimate = i32::from_be_bytes(take(&mut rest)?);
        let from = PeerId { addr, incarnation };
        rest.is_empty().then_some(Exchange {
            answer,
            from,
            seq,
            flow,
            estimate,
        })
    }
}
