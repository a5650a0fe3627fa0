//! The record that each member of the fleet keeps of itself and of which all others hold a copy: typed, bounded,
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
    /// Runs, but takes no clients yet.
    #[default]
    Starting,
    /// Takes clients.
    Ready,
    /// Answers what it has and takes no new clients.
    Draining,
    /// Is about to end: the last word of its incarnation.
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

/// A small fact that the processes share; its owner raises the version with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Counts the changes of the value.
    pub version: u32,
    /// The value.
    pub value: String,
}

/// What a member says of itself.
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
    /// Small metadata by name.
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
        match self.version.checked_add(1) {
            Some(version) => Some(Stamp { version, ..self }),
            None => (self.incarnation < MAX_INCARNATION).then(|| Stamp {
                incarnation: self.incarnation + 1,
                version: 1,
            }),
        }
    }
}

/// One member's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whose it is: the gossip address.
    pub owner: SocketAddr,
    /// How new it is.
    pub stamp: Stamp,
    /// What it says.
    pub metadata: Metadata,
}

/// Why a record cannot be written or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// So many bytes, more than [`MAX_RECORD_BYTES`].
    TooLarge(usize),
    /// So many entries, more than [`MAX_ENTRIES`].
    TooManyEntries(usize),
    /// A name of so many bytes, more than [`MAX_NAME_BYTES`].
    NameTooLong(usize),
    /// Ends before it is whole.
    Truncated,
    /// A form that this program does not know.
    UnknownFormat(u8),
    /// A lifecycle that this program does not know.
    UnknownLifecycle(u8),
    /// A text that is not UTF-8.
    NotText,
    /// An incarnation above [`MAX_INCARNATION`].
    IncarnationOutOfRange(u64),
    /// Two entries of one name, or names out of order.
    EntriesOutOfOrder,
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            RecordError::TooLarge(n) => {
                write!(f, "a record of {n} bytes, {MAX_RECORD_BYTES} allowed")
            }
            RecordError::TooManyEntries(n) => write!(f, "{n} entries, {MAX_ENTRIES} allowed"),
            RecordError::NameTooLong(n) => {
                write!(f, "a name of {n} bytes, {MAX_NAME_BYTES} allowed")
            }
            RecordError::Truncated => f.write_str("the record is cut short"),
            RecordError::UnknownFormat(n) => write!(f, "record format {n} is not known"),
            RecordError::UnknownLifecycle(n) => write!(f, "lifecycle {n} is not known"),
            RecordError::NotText => f.write_str("a text is not UTF-8"),
            RecordError::IncarnationOutOfRange(n) => write!(f, "incarnation {n} is out of range"),
            RecordError::EntriesOutOfOrder => {
                f.write_str("entries are not in the order of their names")
            }
        }
    }
}

impl std::error::Error for RecordError {}

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
        let mut bytes = vec![RECORD_FORMAT, self.lifecycle as u8];
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
        let lifecycle = *Lifecycle::ALL
            .get(usize::from(lifecycle))
            .ok_or(RecordError::UnknownLifecycle(lifecycle))?;
        let config_digest = u64::from_be_bytes(need(rest)?);
        let zone = take_name(rest)?;
        let program = take_name(rest)?;
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
            // One encoding for each content: digests rest on it.
            if entries
                .last_key_value()
                .is_some_and(|(last, _)| *last >= name)
            {
                return Err(RecordError::EntriesOutOfOrder);
            }
            entries.insert(name, Entry { version, value });
        }
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
    String::from_utf8(text.to_vec()).map_err(|_| RecordError::NotText)
}
