//! The record that each member of the fleet writes of itself and of which all others hold a replica: typed, bounded,
//! and ordered by its owner's stamp. No I/O.
use super::identity::{put_address, take, take_address, PeerId, MAX_INCARNATION};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The most bytes of an encoded record, its owner and stamp included.
pub const MAX_RECORD_BYTES: usize = 1024;
/// The most entries of a record.
pub const MAX_ENTRIES: usize = 32;
/// The most bytes of a zone's, a program version's or an entry's name.
pub const MAX_NAME_BYTES: usize = 64;
/// The form of an encoded record; a reader refuses any other.
const RECORD_FORMAT: u8 = 1;

/// What a member is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// Runs, but accepts no clients yet.
    #[default]
    Starting,
    /// Accepts clients.
    Ready,
    /// Answers the requests that it has and accepts no new clients.
    Draining,
    /// Is about to end: the last record of its incarnation.
    Leaving,
}

impl Lifecycle {
    /// All of them, in order.
    pub const ALL: [Lifecycle; 4] = [
        Lifecycle::Starting,
        Lifecycle::Ready,
        Lifecycle::Draining,
        Lifecycle::Leaving,
    ];

    /// Its place in [`Lifecycle::ALL`] and in arrays by lifecycle.
    pub fn index(self) -> usize {
        self as usize
    }

    /// The number that stands for it in an encoded record; members of other versions rely on it.
    fn wire_code(self) -> u8 {
        match self {
            Lifecycle::Starting => 0,
            Lifecycle::Ready => 1,
            Lifecycle::Draining => 2,
            Lifecycle::Leaving => 3,
        }
    }

    /// Reads what [`Lifecycle::wire_code`] gave.
    fn from_wire_code(code: u8) -> Result<Lifecycle, RecordError> {
        match code {
            0 => Ok(Lifecycle::Starting),
            1 => Ok(Lifecycle::Ready),
            2 => Ok(Lifecycle::Draining),
            3 => Ok(Lifecycle::Leaving),
            other => Err(RecordError::UnknownLifecycle(other)),
        }
    }

    /// Its name in telemetry.
    pub fn name(self) -> &'static str {
        match self {
            Lifecycle::Starting => "starting",
            Lifecycle::Ready => "ready",
            Lifecycle::Draining => "draining",
            Lifecycle::Leaving => "leaving",
        }
    }
}

/// A value that the processes share; its owner raises the version with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Counts the changes of the value.
    pub version: u32,
    /// The value.
    pub value: String,
}

/// What a member publishes about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// What it is doing.
    pub lifecycle: Lifecycle,
    /// Its zone; empty where none is configured.
    pub zone: String,
    /// The version of its program.
    pub program: String,
    /// A digest of the configuration in force.
    pub config_digest: u64,
    /// Shared values by name.
    pub entries: BTreeMap<String, Entry>,
}

/// How new a record is: the owner's incarnation first, then its version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The owner's incarnation.
    pub incarnation: u64,
    /// Counts the changes within the incarnation, from 1.
    pub version: u32,
}

impl Stamp {
    /// The stamp of the owner's next change: the next version, or at the last one the next incarnation's first;
    /// `None` once there is no larger.
    pub fn next(self) -> Option<Stamp> {
        if let Some(version) = self.version.checked_add(1) {
            return Some(Stamp { version, ..self });
        }
        if self.incarnation >= MAX_INCARNATION {
            return None;
        }
        Some(Stamp {
            incarnation: self.incarnation + 1,
            version: 1,
        })
    }
}

/// One member's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whose it is: the gossip address.
    pub owner: SocketAddr,
    /// How new it is.
    pub stamp: Stamp,
    /// What its owner publishes.
    pub metadata: Metadata,
}

/// Why a record cannot be written or read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// So many bytes, more than [`MAX_RECORD_BYTES`].
    #[error("a record of {0} bytes, {MAX_RECORD_BYTES} allowed")]
    TooLarge(usize),
    /// So many entries, more than [`MAX_ENTRIES`].
    #[error("{0} entries, {MAX_ENTRIES} allowed")]
    TooManyEntries(usize),
    /// A name of so many bytes, more than [`MAX_NAME_BYTES`].
    #[error("a name of {0} bytes, {MAX_NAME_BYTES} allowed")]
    NameTooLong(usize),
    /// Ends before it is whole, or goes on after its end.
    #[error("the record is cut short")]
    Truncated,
    /// A form that this program does not know.
    #[error("record format {0} is not known")]
    UnknownFormat(u8),
    /// A lifecycle that this program does not know.
    #[error("lifecycle {0} is not known")]
    UnknownLifecycle(u8),
    /// A text that is not UTF-8.
    #[error("a text is not UTF-8")]
    NotText(#[from] std::string::FromUtf8Error),
    /// An incarnation above [`MAX_INCARNATION`].
    #[error("incarnation {0} is out of range")]
    IncarnationOutOfRange(u64),
    /// Two entries of one name, or names out of order.
    #[error("entries are not in the order of their names")]
    EntriesOutOfOrder,
}

impl Metadata {
    /// The bytes, big-endian: format (1), lifecycle (1), configuration digest (8), zone and program (length 1 and
    /// text each), entries (count 1; each: name, version 4, value length 2 and text).
    ///
    /// # Errors
    /// [`RecordError`] where a name or the number of entries is beyond its bound.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        if self.entries.len() > MAX_ENTRIES {
            return Err(RecordError::TooManyEntries(self.entries.len()));
        }
        let mut bytes = vec![RECORD_FORMAT, self.lifecycle.wire_code()];
        bytes.extend(self.config_digest.to_be_bytes());
        put_name(&mut bytes, &self.zone)?;
        put_name(&mut bytes, &self.program)?;
        bytes.push(self.entries.len() as u8);
        for (name, entry) in &self.entries {
            put_name(&mut bytes, name)?;
            bytes.extend(entry.version.to_be_bytes());
            let length = u16::try_from(entry.value.len())
                .map_err(|_| RecordError::TooLarge(bytes.len() + entry.value.len()))?;
            bytes.extend(length.to_be_bytes());
            bytes.extend(entry.value.as_bytes());
        }
        Ok(bytes)
    }

    /// Reads what [`Metadata::encode`] wrote.
    ///
    /// # Errors
    /// [`RecordError`] for anything else.
    pub fn decode(rest: &mut &[u8]) -> Result<Metadata, RecordError> {
        let [format] = need(rest)?;
        if format != RECORD_FORMAT {
            return Err(RecordError::UnknownFormat(format));
        }
        let [lifecycle] = need(rest)?;
        let lifecycle = Lifecycle::from_wire_code(lifecycle)?;
        let config_digest = u64::from_be_bytes(need(rest)?);
        let zone = take_name(rest)?;
        let program = take_name(rest)?;
        let entries = take_entries(rest)?;
        Ok(Metadata {
            lifecycle,
            zone,
            program,
            config_digest,
            entries,
        })
    }

    /// A checksum of the content, whoever's it is and however new; 0 stands for no record.
    pub fn checksum(&self) -> u32 {
        self.encode()
            .map_or(0, |bytes| crc32fast::hash(&bytes).max(1))
    }
}

impl Record {
    /// Whose record it is, and of which incarnation.
    pub fn id(&self) -> PeerId {
        PeerId {
            addr: self.owner,
            incarnation: self.stamp.incarnation,
        }
    }

    /// The bytes, big-endian: owner, incarnation (8), version (4), the metadata.
    ///
    /// # Errors
    /// [`RecordError`] where it is larger than [`MAX_RECORD_BYTES`], or a part of it beyond its bound.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let mut bytes = Vec::new();
        put_address(&mut bytes, self.owner);
        bytes.extend(self.stamp.incarnation.to_be_bytes());
        bytes.extend(self.stamp.version.to_be_bytes());
        bytes.extend(self.metadata.encode()?);
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Reads what [`Record::encode`] wrote.
    ///
    /// # Errors
    /// [`RecordError`] for anything else.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        let mut rest = bytes;
        let owner = take_address(&mut rest).ok_or(RecordError::Truncated)?;
        let incarnation = u64::from_be_bytes(need(&mut rest)?);
        if incarnation > MAX_INCARNATION {
            return Err(RecordError::IncarnationOutOfRange(incarnation));
        }
        let version = u32::from_be_bytes(need(&mut rest)?);
        let metadata = Metadata::decode(&mut rest)?;
        if !rest.is_empty() {
            return Err(RecordError::Truncated);
        }
        Ok(Record {
            owner,
            stamp: Stamp {
                incarnation,
                version,
            },
            metadata,
        })
    }
}

/// Reads a count of entries and the entries, in the order of their names: content has one encoding only, since
/// checksums and digests are of the bytes.
fn take_entries(rest: &mut &[u8]) -> Result<BTreeMap<String, Entry>, RecordError> {
    let [count] = need(rest)?;
    if usize::from(count) > MAX_ENTRIES {
        return Err(RecordError::TooManyEntries(usize::from(count)));
    }
    let mut entries = BTreeMap::new();
    for _ in 0..count {
        let name = take_name(rest)?;
        let version = u32::from_be_bytes(need(rest)?);
        let length = usize::from(u16::from_be_bytes(need(rest)?));
        let value = take_text(rest, length)?;
        let last = entries.last_key_value();
        if last.is_some_and(|(last, _)| *last >= name) {
            return Err(RecordError::EntriesOutOfOrder);
        }
        entries.insert(name, Entry { version, value });
    }
    Ok(entries)
}

/// Takes so many bytes off the front.
fn need<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], RecordError> {
    take(rest).ok_or(RecordError::Truncated)
}

fn put_name(bytes: &mut Vec<u8>, name: &str) -> Result<(), RecordError> {
    if name.len() > MAX_NAME_BYTES {
        return Err(RecordError::NameTooLong(name.len()));
    }
    bytes.push(name.len() as u8);
    bytes.extend(name.as_bytes());
    Ok(())
}

fn take_name(rest: &mut &[u8]) -> Result<String, RecordError> {
    let [length] = need(rest)?;
    if usize::from(length) > MAX_NAME_BYTES {
        return Err(RecordError::NameTooLong(usize::from(length)));
    }
    take_text(rest, usize::from(length))
}

fn take_text(rest: &mut &[u8], length: usize) -> Result<String, RecordError> {
    let (text, tail) = rest
        .split_at_checked(length)
        .ok_or(RecordError::Truncated)?;
    *rest = tail;
    Ok(String::from_utf8(text.to_vec())?)
}
