//! The datagrams that members exchange to replicate their records: typed, protected by a CRC, and limited in size. No
//! I/O; docs/fleet-view.md describes the exchange.
mod codec;

use super::identity::{PeerId, HEADER_BYTES, MAX_DATAGRAM};
use super::member_digest::{MemberDigest, PARTS};
use super::record::{Record, RecordError};
use codec::{put_id, read_id};
use std::net::SocketAddr;

/// The version byte in the header of these datagrams. Front ends of earlier versions drop them as foreign.
pub const RECORDS_VERSION: u8 = 3;
/// Size of the checksum at the end of a datagram.
const CRC_BYTES: usize = 4;
/// Maximum size of a member's identity: an IPv6 address and the incarnation.
const ID_BYTES: usize = 19 + 8;
/// Size of the message kind.
const KIND_BYTES: usize = 1;
/// Maximum size of a message body: the largest datagram minus the header, the sender, the kind and the checksum.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM - HEADER_BYTES - ID_BYTES - KIND_BYTES - CRC_BYTES;
/// Size of the length field that precedes a record.
const LENGTH_BYTES: usize = 2;
/// Size of a flag.
const FLAG_BYTES: usize = 1;

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The sender's gossip address and incarnation.
    pub from: PeerId,
    /// What the sender reports or requests.
    pub message: Message,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Starts a repair with the digests of the sender's view, one per part. A receiver with the same view does not
    /// answer.
    Digest([u32; PARTS]),
    /// Answers digests that differ, with a hash per live member in some of the differing parts.
    Hashes {
        /// The parts that the hashes cover, as a bit set.
        parts: u16,
        /// The hash of each live member's digest, in no particular order.
        hashes: Vec<u32>,
    },
    /// Digests of the members on which the views differ. The receiver answers with what it knows that is newer.
    MemberDigests {
        /// The receiver's hashes that match no member digest of the sender.
        unmatched: Vec<u32>,
        /// The sender's digests of the members that differ.
        member_digests: Vec<MemberDigest>,
    },
    /// Complete records of any members.
    Records {
        /// Whether the records have just changed, so that a receiver to which they are new passes them on.
        is_update: bool,
        /// The records, as many as fit the datagram.
        records: Vec<Record>,
    },
    /// Requests the records of these members.
    RecordRequest(Vec<SocketAddr>),
    /// Asks whether a member is alive. Sent to the member itself, or to a relay that forwards it to the member.
    AliveQuery {
        /// The member, in the incarnation known to the origin.
        target: PeerId,
        /// Whether some member counts that incarnation as left or down. If so, the member must continue under a larger
        /// one.
        gone: bool,
        /// The address of the member that started the query, to which the reply goes.
        origin: SocketAddr,
    },
    /// A member's reply that it is alive. A relay forwards it to `origin`.
    AliveReply {
        /// The member's current record.
        record: Box<Record>,
        /// The address of the member that started the query.
        origin: SocketAddr,
    },
}

/// Why a datagram cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The checksum at the end does not match the bytes before it.
    #[error("checksum of the datagram does not match")]
    Checksum,
    /// The datagram ends too early, or has bytes left after its message.
    #[error("datagram is truncated or has trailing bytes")]
    Length,
    /// A message kind that this version does not support.
    #[error("unknown message kind {0}")]
    UnknownKind(u8),
    /// A record in the datagram cannot be decoded.
    #[error("record in the datagram cannot be decoded: {0}")]
    Record(#[from] RecordError),
    /// An incarnation above `MAX_INCARNATION`.
    #[error("incarnation {0} is out of range")]
    IncarnationOutOfRange(u64),
    /// A liveness code that this version does not support.
    #[error("unknown liveness code {0}")]
    UnknownLiveness(u8),
}

impl Envelope {
    /// Encodes the datagram, big-endian: `header` (7), sender (address, incarnation 8), kind (1), the message body, and
    /// a CRC-32 of all before it (4). `None` if a record exceeds its limits or the datagram exceeds [`MAX_DATAGRAM`].
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

    /// Decodes the output of [`Envelope::encode`]. The caller has checked the header.
    ///
    /// # Errors
    /// [`MessageError`] if the bytes are not a valid datagram.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, MessageError> {
        let (body, crc) = bytes
            .split_last_chunk::<CRC_BYTES>()
            .ok_or(MessageError::Length)?;
        if crc32fast::hash(body).to_be_bytes() != *crc {
            return Err(MessageError::Checksum);
        }
        let mut rest = body.get(HEADER_BYTES..).ok_or(MessageError::Length)?;
        let from = read_id(&mut rest)?;
        let message = Message::read(&mut rest)?;
        if !rest.is_empty() {
            return Err(MessageError::Length);
        }
        Ok(Envelope { from, message })
    }
}

/// Packs records in order into messages that each fit a datagram. Omits records that exceed their limits.
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
