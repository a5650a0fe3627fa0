//! The datagrams by which members share and repair their records: typed, checked by a CRC, and bounded by the
//! largest datagram. No I/O; docs/fleet-view.md has the exchange.
use super::identity::{
    put_address, take, take_address, PeerId, HEADER_BYTES, MAX_DATAGRAM, MAX_INCARNATION,
};
use super::member_digest::{Liveness, MemberDigest, PARTS};
use super::record::{Record, RecordError, Stamp};
use std::net::SocketAddr;

/// Version byte of these datagrams; front ends from before count them as foreign.
pub const RECORDS_VERSION: u8 = 3;
/// Room for a message's own part: the largest datagram less the header, the sender, the kind and the checksum.
pub const MAX_BODY: usize = MAX_DATAGRAM - HEADER_BYTES - 19 - 8 - 1 - CRC_BYTES;

const CRC_BYTES: usize = 4;
const KIND_DIGEST: u8 = 0;
const KIND_HASHES: u8 = 1;
const KIND_MEMBER_DIGESTS: u8 = 2;
const KIND_RECORDS: u8 = 3;
const KIND_WANTED: u8 = 4;
const KIND_ALIVE_QUERY: u8 = 5;
const KIND_ALIVE_REPLY: u8 = 6;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Who speaks.
    pub from: PeerId,
    /// What it says.
    pub message: Message,
}

/// What a member says to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Begins a repair: the digests of the view by part. Who holds the same says nothing.
    Digest([u32; PARTS]),
    /// Answers a digest that differs: a hash of what is held of each live member in some of the differing parts.
    Hashes {
        /// The parts that the hashes are of, a bit each.
        parts: u16,
        /// The hashes.
        hashes: Vec<u32>,
    },
    /// What is held of members where it differs; who holds newer answers with that.
    MemberDigests {
        /// The other's hashes that are of nothing held here.
        unmatched: Vec<u32>,
        /// What is held.
        member_digests: Vec<MemberDigest>,
    },
    /// Records whole, of any member.
    Records {
        /// Whether they have just changed and are to be passed on.
        news: bool,
        /// The records.
        records: Vec<Record>,
    },
    /// Asks for the records of these members.
    Wanted(Vec<SocketAddr>),
    /// Asks whether a member is there, itself or a relay that passes this on to it.
    AliveQuery {
        /// The member, and the incarnation known of it.
        about: PeerId,
        /// Whether that incarnation is known as gone: its owner needs a larger one.
        gone: bool,
        /// Where the answer is wanted.
        origin: SocketAddr,
    },
    /// A member's own word that it is there; a relay passes it on to `origin`.
    AliveReply {
        /// Its record.
        record: Box<Record>,
        /// Who asked.
        origin: SocketAddr,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The checksum does not match.
    Checksum,
    /// Ends before it is whole, or does not end where it should.
    Length,
    /// A kind that this program does not know.
    UnknownKind(u8),
    /// A record in it cannot be read.
    Record(RecordError),
    /// An incarnation above [`MAX_INCARNATION`].
    IncarnationOutOfRange(u64),
    /// A member digest of a liveness that this program does not know.
    UnknownLiveness(u8),
}

impl From<RecordError> for MessageError {
    fn from(error: RecordError) -> Self {
        MessageError::Record(error)
    }
}

impl Envelope {
    /// The bytes, big-endian: `header` (7), sender (address, incarnation 8), kind (1), the message, and a CRC-32 of
    /// all before it (4). `None` where a record in it is beyond its bounds or the datagram would be too large.
    pub fn encode(&self, header: &[u8; HEADER_BYTES]) -> Option<Vec<u8>> {
        let mut bytes = header.to_vec();
        put_id(&mut bytes, self.from);
        self.message.put(&mut bytes).ok()?;
        bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
        (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
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

impl Message {
    fn put(&self, bytes: &mut Vec<u8>) -> Result<(), RecordError> {
        match self {
            Message::Digest(digest) => {
                bytes.push(KIND_DIGEST);
                digest
                    .iter()
                    .for_each(|part| bytes.extend(part.to_be_bytes()));
            }
            Message::Hashes { parts, hashes } => {
                bytes.push(KIND_HASHES);
                bytes.extend(parts.to_be_bytes());
                hashes
                    .iter()
                    .for_each(|hash| bytes.extend(hash.to_be_bytes()));
            }
            Message::MemberDigests {
                unmatched,
                member_digests,
            } => {
                bytes.push(KIND_MEMBER_DIGESTS);
                bytes.extend((unmatched.len() as u16).to_be_bytes());
                unmatched
                    .iter()
                    .for_each(|hash| bytes.extend(hash.to_be_bytes()));
                member_digests
                    .iter()
                    .for_each(|member_digest| put_member_digest(bytes, member_digest));
            }
            Message::Records { news, records } => {
                bytes.push(KIND_RECORDS);
                bytes.push(u8::from(*news));
                records
                    .iter()
                    .try_for_each(|record| put_record(bytes, record))?;
            }
            Message::Wanted(addresses) => {
                bytes.push(KIND_WANTED);
                addresses
                    .iter()
                    .for_each(|&address| put_address(bytes, address));
            }
            Message::AliveQuery {
                about,
                gone,
                origin,
            } => {
                bytes.push(KIND_ALIVE_QUERY);
                put_id(bytes, *about);
                bytes.push(u8::from(*gone));
                put_address(bytes, *origin);
            }
            Message::AliveReply { record, origin } => {
                bytes.push(KIND_ALIVE_REPLY);
                put_address(bytes, *origin);
                put_record(bytes, record)?;
            }
        }
        Ok(())
    }

    fn take(rest: &mut &[u8]) -> Result<Message, MessageError> {
        let [kind] = need(rest)?;
        match kind {
            KIND_DIGEST => {
                let mut digest = [0; PARTS];
                for part in &mut digest {
                    *part = take_hash(rest)?;
                }
                Ok(Message::Digest(digest))
            }
            KIND_HASHES => {
                let parts = u16::from_be_bytes(need(rest)?);
                let hashes = until_empty(rest, take_hash)?;
                Ok(Message::Hashes { parts, hashes })
            }
            KIND_MEMBER_DIGESTS => {
                let count = u16::from_be_bytes(need(rest)?);
                let unmatched = (0..count)
                    .map(|_| take_hash(rest))
                    .collect::<Result<_, _>>()?;
                let member_digests = until_empty(rest, take_member_digest)?;
                Ok(Message::MemberDigests {
                    unmatched,
                    member_digests,
                })
            }
            KIND_RECORDS => {
                let news = take_flag(rest)?;
                let records = until_empty(rest, take_record)?;
                Ok(Message::Records { news, records })
            }
            KIND_WANTED => {
                let address = |rest: &mut &[u8]| take_address(rest).ok_or(MessageError::Length);
                Ok(Message::Wanted(until_empty(rest, address)?))
            }
            KIND_ALIVE_QUERY => {
                let about = take_id(rest)?;
                let gone = take_flag(rest)?;
                let origin = take_address(rest).ok_or(MessageError::Length)?;
                Ok(Message::AliveQuery {
                    about,
                    gone,
                    origin,
                })
            }
            KIND_ALIVE_REPLY => {
                let origin = take_address(rest).ok_or(MessageError::Length)?;
                let record = Box::new(take_record(rest)?);
                Ok(Message::AliveReply { record, origin })
            }
            other => Err(MessageError::UnknownKind(other)),
        }
    }
}

/// Puts records into as few messages as hold them, in order; one that cannot be written is left out.
pub fn records_in_messages(news: bool, records: Vec<Record>) -> Vec<Message> {
    let mut messages = Vec::new();
    let (mut batch, mut size) = (Vec::new(), 0);
    for record in records {
        let Ok(bytes) = record.encode() else { continue };
        let more = bytes.len() + 2;
        if size + more > MAX_BODY - 1 && !batch.is_empty() {
            messages.push(Message::Records {
                news,
                records: std::mem::take(&mut batch),
            });
            size = 0;
        }
        size += more;
        batch.push(record);
    }
    if !batch.is_empty() {
        messages.push(Message::Records {
            news,
            records: batch,
        });
    }
    messages
}

/// Reads items until nothing is left; a datagram's length bounds how many.
fn until_empty<T>(
    rest: &mut &[u8],
    item: impl Fn(&mut &[u8]) -> Result<T, MessageError>,
) -> Result<Vec<T>, MessageError> {
    let mut items = Vec::new();
    while !rest.is_empty() {
        items.push(item(rest)?);
    }
    Ok(items)
}

fn need<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], MessageError> {
    take(rest).ok_or(MessageError::Length)
}

fn take_hash(rest: &mut &[u8]) -> Result<u32, MessageError> {
    Ok(u32::from_be_bytes(need(rest)?))
}

fn take_flag(rest: &mut &[u8]) -> Result<bool, MessageError> {
    let [flag] = need(rest)?;
    Ok(flag != 0)
}

fn put_id(bytes: &mut Vec<u8>, id: PeerId) {
    put_address(bytes, id.addr);
    bytes.extend(id.incarnation.to_be_bytes());
}

fn take_id(rest: &mut &[u8]) -> Result<PeerId, MessageError> {
    let addr = take_address(rest).ok_or(MessageError::Length)?;
    let incarnation = take_incarnation(rest)?;
    Ok(PeerId { addr, incarnation })
}

fn take_incarnation(rest: &mut &[u8]) -> Result<u64, MessageError> {
    let incarnation = u64::from_be_bytes(need(rest)?);
    if incarnation > MAX_INCARNATION {
        return Err(MessageError::IncarnationOutOfRange(incarnation));
    }
    Ok(incarnation)
}

fn put_member_digest(bytes: &mut Vec<u8>, member_digest: &MemberDigest) {
    put_address(bytes, member_digest.owner);
    bytes.extend(member_digest.stamp.incarnation.to_be_bytes());
    bytes.extend(member_digest.stamp.version.to_be_bytes());
    bytes.push(member_digest.liveness as u8);
    bytes.extend(member_digest.checksum.to_be_bytes());
}

fn take_member_digest(rest: &mut &[u8]) -> Result<MemberDigest, MessageError> {
    let owner = take_address(rest).ok_or(MessageError::Length)?;
    let incarnation = take_incarnation(rest)?;
    let version = u32::from_be_bytes(need(rest)?);
    let [liveness] = need(rest)?;
    let liveness = *Liveness::ALL
        .get(usize::from(liveness))
        .ok_or(MessageError::UnknownLiveness(liveness))?;
    let checksum = u32::from_be_bytes(need(rest)?);
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

fn take_record(rest: &mut &[u8]) -> Result<Record, MessageError> {
    let length = usize::from(u16::from_be_bytes(need(rest)?));
    let (encoded, tail) = rest.split_at_checked(length).ok_or(MessageError::Length)?;
    *rest = tail;
    Ok(Record::decode(encoded)?)
}
