//! The datagrams by which members share and repair their records: typed, checked by a CRC, and bounded by the
//! largest datagram. No I/O; docs/fleet-view.md has the exchange.
mod codec;

use super::identity::{PeerId, HEADER_BYTES, MAX_DATAGRAM};
use super::member_digest::{MemberDigest, PARTS};
use super::record::{Record, RecordError};
use codec::{put_id, take_id};
use std::net::SocketAddr;

/// Version byte of these datagrams; front ends of earlier versions count them as foreign.
pub const RECORDS_VERSION: u8 = 3;
/// Bytes of the checksum at a datagram's end.
const CRC_BYTES: usize = 4;
/// Bytes of a member: an IPv6 address, the larger of the two, and the incarnation.
const ID_BYTES: usize = 19 + 8;
/// Bytes of a message's kind.
const KIND_BYTES: usize = 1;
/// Capacity for a message's body: the largest datagram less the header, the sender, the kind and the checksum.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM - HEADER_BYTES - ID_BYTES - KIND_BYTES - CRC_BYTES;
/// Bytes of a record's length before it.
const LENGTH_BYTES: usize = 2;
/// Bytes of a flag.
const FLAG_BYTES: usize = 1;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The sender.
    pub from: PeerId,
    /// The message.
    pub message: Message,
}

/// What a member sends to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Begins a repair: the digests of the view by part. A member with the same view does not answer.
    Digest([u32; PARTS]),
    /// Answers a digest that differs: a hash of what is known of each live member in some of the differing parts.
    Hashes {
        /// The parts that the hashes are of, a bit each.
        parts: u16,
        /// The hashes.
        hashes: Vec<u32>,
    },
    /// What is known of members where it differs; the other answers with what it knows newer.
    MemberDigests {
        /// The other's hashes that are of nothing known here.
        unmatched: Vec<u32>,
        /// What is known.
        member_digests: Vec<MemberDigest>,
    },
    /// Complete records, of any member.
    Records {
        /// Whether they have just changed and are to be passed on.
        is_update: bool,
        /// The records.
        records: Vec<Record>,
    },
    /// Asks for the records of these members.
    RecordRequest(Vec<SocketAddr>),
    /// Queries whether a member is alive, directly or through a relay that passes this on to it.
    AliveQuery {
        /// The member, and the incarnation known of it.
        target: PeerId,
        /// Whether that incarnation is known as gone: its owner needs a larger one.
        gone: bool,
        /// Where the reply is wanted.
        origin: SocketAddr,
    },
    /// A member's own reply that it is alive; a relay passes it on to `origin`.
    AliveReply {
        /// Its record.
        record: Box<Record>,
        /// Who sent the query.
        origin: SocketAddr,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// Ends before it is whole, or does not end where it should.
    #[error("the datagram is cut short or too long")]
    Length,
    /// A kind that this program does not know.
    #[error("message kind {0} is not known")]
    UnknownKind(u8),
    /// A record in it cannot be read.
    #[error("a record cannot be read")]
    Record(#[from] RecordError),
    /// An incarnation above `MAX_INCARNATION`.
    #[error("incarnation {0} is out of range")]
    IncarnationOutOfRange(u64),
    /// A liveness that this program does not know.
    #[error("liveness {0} is not known")]
    UnknownLiveness(u8),
}

impl Envelope {
    /// The bytes, big-endian: `header` (7), sender (address, incarnation 8), kind (1), the message, and a CRC-32 of
    /// all before it (4). `None` where a record in it is beyond its bounds or the datagram would be too large.
    pub fn encode(&self, header: &[u8; HEADER_BYTES]) -> Option<Vec<u8>> {
        let mut bytes = header.to_vec();
        put_id(&mut bytes, self.from);
        self.message.put(&mut bytes).ok()?;
        bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
        if bytes.len() > MAX_DATAGRAM {
            return None;
        }
        Some(bytes)
    }

    /// Reads what [`Envelope::encode`] wrote; the header is the caller's to check.
    ///
    /// # Errors
    /// [`MessageError`] for anything else.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, MessageError> {
        let (body, crc) = bytes
            .split_last_chunk::<CRC_BYTES>()
            .ok_or(MessageError::Length)?;
        if crc32fast::hash(body).to_be_bytes() != *crc {
            return Err(MessageError::Checksum);
        }
        let mut rest = body.get(HEADER_BYTES..).ok_or(MessageError::Length)?;
        let from = take_id(&mut rest)?;
        let message = Message::take(&mut rest)?;
        if !rest.is_empty() {
            return Err(MessageError::Length);
        }
        Ok(Envelope { from, message })
    }
}

/// Puts records into as few messages as hold them, in order; one that cannot be written is left out.
pub fn batch_records(is_update: bool, records: Vec<Record>) -> Vec<Message> {
    let mut messages = Vec::new();
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    for record in records {
        let Ok(encoded) = record.encode() else {
            continue;
        };
        let record_bytes = LENGTH_BYTES + encoded.len();
        let is_full = batch_bytes + record_bytes > MAX_BODY_BYTES - FLAG_BYTES;
        if is_full && !batch.is_empty() {
            messages.push(Message::Records {
                is_update,
                records: std::mem::take(&mut batch),
            });
            batch_bytes = 0;
        }
        batch_bytes += record_bytes;
        batch.push(record);
    }
    if !batch.is_empty() {
        messages.push(Message::Records {
            is_update,
            records: batch,
        });
    }
    messages
}
