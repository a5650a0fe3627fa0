//! Encoding and decoding of the messages between members, big-endian. The numbers of the message kinds are part of the
//! protocol: members of other versions rely on them.
use super::{Message, MessageError};
use crate::fleet::identity::{put_address, take, take_address, PeerId, MAX_INCARNATION};
use crate::fleet::member_digest::{Liveness, MemberDigest, PARTS};
use crate::fleet::record::{Record, RecordError, Stamp};
use std::net::SocketAddr;

const KIND_DIGEST: u8 = 0;
const KIND_HASHES: u8 = 1;
const KIND_MEMBER_DIGESTS: u8 = 2;
const KIND_RECORDS: u8 = 3;
const KIND_RECORD_REQUEST: u8 = 4;
const KIND_ALIVE_QUERY: u8 = 5;
const KIND_ALIVE_REPLY: u8 = 6;

impl Message {
    /// The number of the message's kind on the wire.
    fn wire_kind(&self) -> u8 {
        match self {
            Message::Digest(_) => KIND_DIGEST,
            Message::Hashes { .. } => KIND_HASHES,
            Message::MemberDigests { .. } => KIND_MEMBER_DIGESTS,
            Message::Records { .. } => KIND_RECORDS,
            Message::RecordRequest(_) => KIND_RECORD_REQUEST,
            Message::AliveQuery { .. } => KIND_ALIVE_QUERY,
            Message::AliveReply { .. } => KIND_ALIVE_REPLY,
        }
    }

    /// Appends the kind (1) and the body of the message.
    ///
    /// # Errors
    /// [`RecordError`] if a record in the message exceeds its limits.
    pub(super) fn put(&self, bytes: &mut Vec<u8>) -> Result<(), RecordError> {
        bytes.push(self.wire_kind());
        match self {
            Message::Digest(digests) => put_hashes(bytes, digests),
            Message::Hashes { parts, hashes } => {
                bytes.extend(parts.to_be_bytes());
                put_hashes(bytes, hashes);
            }
            Message::MemberDigests {
                unmatched,
                member_digests,
            } => {
                bytes.extend((unmatched.len() as u16).to_be_bytes());
                put_hashes(bytes, unmatched);
                for member_digest in member_digests {
                    put_member_digest(bytes, member_digest);
                }
            }
            Message::Records { is_update, records } => {
                bytes.push(u8::from(*is_update));
                for record in records {
                    put_record(bytes, record)?;
                }
            }
            Message::RecordRequest(owners) => {
                for &owner in owners {
                    put_address(bytes, owner);
                }
            }
            Message::AliveQuery {
                target,
                gone,
                origin,
            } => {
                put_id(bytes, *target);
                bytes.push(u8::from(*gone));
                put_address(bytes, *origin);
            }
            Message::AliveReply { record, origin } => {
                put_address(bytes, *origin);
                put_record(bytes, record)?;
            }
        }
        Ok(())
    }

    /// Decodes the output of [`Message::put`] from the front of `rest`, and removes it there.
    ///
    /// # Errors
    /// [`MessageError`] if the bytes are not a valid message.
    pub(super) fn read(rest: &mut &[u8]) -> Result<Message, MessageError> {
        let [kind] = read_bytes(rest)?;
        match kind {
            KIND_DIGEST => read_part_digests(rest),
            KIND_HASHES => read_part_hashes(rest),
            KIND_MEMBER_DIGESTS => read_member_digests(rest),
            KIND_RECORDS => read_records(rest),
            KIND_RECORD_REQUEST => Ok(Message::RecordRequest(read_all(rest, read_address)?)),
            KIND_ALIVE_QUERY => read_alive_query(rest),
            KIND_ALIVE_REPLY => read_alive_reply(rest),
            other => Err(MessageError::UnknownKind(other)),
        }
    }
}

fn read_part_digests(rest: &mut &[u8]) -> Result<Message, MessageError> {
    let mut digests = [0; PARTS];
    for digest in &mut digests {
        *digest = read_hash(rest)?;
    }
    Ok(Message::Digest(digests))
}

fn read_part_hashes(rest: &mut &[u8]) -> Result<Message, MessageError> {
    let parts = u16::from_be_bytes(read_bytes(rest)?);
    let hashes = read_all(rest, read_hash)?;
    Ok(Message::Hashes { parts, hashes })
}

fn read_member_digests(rest: &mut &[u8]) -> Result<Message, MessageError> {
    let count = u16::from_be_bytes(read_bytes(rest)?);
    let unmatched: Result<Vec<u32>, MessageError> = (0..count).map(|_| read_hash(rest)).collect();
    let unmatched = unmatched?;
    let member_digests = read_all(rest, read_member_digest)?;
    Ok(Message::MemberDigests {
        unmatched,
        member_digests,
    })
}

fn read_records(rest: &mut &[u8]) -> Result<Message, MessageError> {
    let is_update = read_flag(rest)?;
    let records = read_all(rest, read_record)?;
    Ok(Message::Records { is_update, records })
}

fn read_alive_query(rest: &mut &[u8]) -> Result<Message, MessageError> {
    let target = read_id(rest)?;
    let gone = read_flag(rest)?;
    let origin = read_address(rest)?;
    Ok(Message::AliveQuery {
        target,
        gone,
        origin,
    })
}

fn read_alive_reply(rest: &mut &[u8]) -> Result<Message, MessageError> {
    let origin = read_address(rest)?;
    let record = Box::new(read_record(rest)?);
    Ok(Message::AliveReply { record, origin })
}

/// Reads items until nothing is left. The size of a datagram bounds their number.
fn read_all<T>(
    rest: &mut &[u8],
    read_item: impl Fn(&mut &[u8]) -> Result<T, MessageError>,
) -> Result<Vec<T>, MessageError> {
    let mut items = Vec::new();
    while !rest.is_empty() {
        items.push(read_item(rest)?);
    }
    Ok(items)
}

fn read_bytes<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], MessageError> {
    take(rest).ok_or(MessageError::Length)
}

fn read_address(rest: &mut &[u8]) -> Result<SocketAddr, MessageError> {
    take_address(rest).ok_or(MessageError::Length)
}

fn put_hashes(bytes: &mut Vec<u8>, hashes: &[u32]) {
    for hash in hashes {
        bytes.extend(hash.to_be_bytes());
    }
}

fn read_hash(rest: &mut &[u8]) -> Result<u32, MessageError> {
    Ok(u32::from_be_bytes(read_bytes(rest)?))
}

fn read_flag(rest: &mut &[u8]) -> Result<bool, MessageError> {
    let [flag] = read_bytes(rest)?;
    Ok(flag != 0)
}

pub(super) fn put_id(bytes: &mut Vec<u8>, id: PeerId) {
    put_address(bytes, id.addr);
    bytes.extend(id.incarnation.to_be_bytes());
}

pub(super) fn read_id(rest: &mut &[u8]) -> Result<PeerId, MessageError> {
    let addr = read_address(rest)?;
    let incarnation = read_incarnation(rest)?;
    Ok(PeerId { addr, incarnation })
}

fn read_incarnation(rest: &mut &[u8]) -> Result<u64, MessageError> {
    let incarnation = u64::from_be_bytes(read_bytes(rest)?);
    if incarnation > MAX_INCARNATION {
        return Err(MessageError::IncarnationOutOfRange(incarnation));
    }
    Ok(incarnation)
}

fn put_member_digest(bytes: &mut Vec<u8>, member_digest: &MemberDigest) {
    put_address(bytes, member_digest.owner);
    bytes.extend(member_digest.stamp.incarnation.to_be_bytes());
    bytes.extend(member_digest.stamp.version.to_be_bytes());
    bytes.push(member_digest.liveness.wire_code());
    bytes.extend(member_digest.checksum.to_be_bytes());
}

fn read_member_digest(rest: &mut &[u8]) -> Result<MemberDigest, MessageError> {
    let owner = read_address(rest)?;
    let incarnation = read_incarnation(rest)?;
    let version = u32::from_be_bytes(read_bytes(rest)?);
    let [liveness] = read_bytes(rest)?;
    let liveness =
        Liveness::from_wire_code(liveness).ok_or(MessageError::UnknownLiveness(liveness))?;
    let checksum = u32::from_be_bytes(read_bytes(rest)?);
    Ok(MemberDigest {
        owner,
        stamp: Stamp {
            incarnation,
            version,
        },
        liveness,
        checksum,
    })
}

fn put_record(bytes: &mut Vec<u8>, record: &Record) -> Result<(), RecordError> {
    let encoded = record.encode()?;
    bytes.extend((encoded.len() as u16).to_be_bytes());
    bytes.extend(encoded);
    Ok(())
}

fn read_record(rest: &mut &[u8]) -> Result<Record, MessageError> {
    let length = usize::from(u16::from_be_bytes(read_bytes(rest)?));
    let (encoded, tail) = rest.split_at_checked(length).ok_or(MessageError::Length)?;
    *rest = tail;
    Ok(Record::decode(encoded)?)
}
