//! The record that each member publishes about itself and of which all others keep a replica. Its size is bounded, and
//! its owner's stamp orders its versions. No I/O.
use super::identity::{put_address, take, take_address, PeerId, MAX_INCARNATION};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The most bytes of an encoded record, including its owner and stamp.
pub const MAX_RECORD_BYTES: usize = 1024;
/// The most entries of a record.
pub const MAX_ENTRIES: usize = 32;
/// The most bytes of a zone's name, of a program's version, and of an entry's name.
pub const MAX_NAME_BYTES: usize = 64;
/// The version of the record encoding; decoding rejects any other.
const RECORD_FORMAT: u8 = 1;

/// The state that a member publishes about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// Runs and does not accept clients yet.
    #[default]
    Starting,
    /// Accepts clients.
    Ready,
    /// Completes the requests in flight and accepts no new clients.
    Draining,
    /// About to exit; this is the last record of its incarnation.
    Leaving,
}

impl Lifecycle {
    /// All states, in the order of [`Lifecycle::index`].
    pub const ALL: [Lifecycle; 4] = [
        Lifecycle::Starting,
        Lifecycle::Ready,
        Lifecycle::Draining,
        Lifecycle::Leaving,
    ];

    /// The state's index in [`Lifecycle::ALL`] and in arrays by lifecycle.
    pub fn index(self) -> usize {
        self as usize
    }

    /// The state's code in an encoded record; it must not change, as members of other versions use it.
    fn wire_code(self) -> u8 {
        match self {
            Lifecycle::Starting => 0,
            Lifecycle::Ready => 1,
            Lifecycle::Draining => 2,
            Lifecycle::Leaving => 3,
        }
    }

    /// The inverse of [`Lifecycle::wire_code`].
    fn from_wire_code(code: u8) -> Result<Lifecycle, RecordError> {
        match code {
            0 => Ok(Lifecycle::Starting),
            1 => Ok(Lifecycle::Ready),
            2 => Ok(Lifecycle::Draining),
            3 => Ok(Lifecycle::Leaving),
            other => Err(RecordError::UnknownLifecycle(other)),
        }
    }

    /// The state's name in telemetry.
    pub fn name(self) -> &'static str {
        match self {
            Lifecycle::Starting => "starting",
            Lifecycle::Ready => "ready",
            Lifecycle::Draining => "draining",
            Lifecycle::Leaving => "leaving",
        }
    }
}

/// A named value that a member shares with the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The version, which the owner raises with each change of the value.
    pub version: u32,
    /// The value.
    pub value: String,
}

/// What a member publishes about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its zone; empty where none is configured.
    pub zone: String,
    /// The version of its program.
    pub program: String,
    /// A digest of its current configuration.
    pub config_digest: u64,
    /// Shared values by name.
    pub entries: BTreeMap<String, Entry>,
}

/// The version of a record: a larger stamp is newer. Ordered by the owner's incarnation, then by the version within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The owner's incarnation.
    pub incarnation: u64,
    /// Counts the changes within the incarnation from 1; 0 where no record is known.
    pub version: u32,
}

impl Stamp {
    /// The stamp of the owner's next change: the next version, or version 1 of the next incarnation after the largest
    /// version. `None` for the largest stamp.
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
    /// The gossip address of the member that it is about.
    pub owner: SocketAddr,
    /// Its version.
    pub stamp: Stamp,
    /// What its owner publishes.
    pub metadata: Metadata,
}

/// Why a record cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Its size in bytes is above [`MAX_RECORD_BYTES`].
    #[error("record of {0} bytes exceeds the limit of {MAX_RECORD_BYTES}")]
    TooLarge(usize),
    /// Its number of entries is above [`MAX_ENTRIES`].
    #[error("{0} entries exceed the limit of {MAX_ENTRIES}")]
    TooManyEntries(usize),
    /// The length of a name in bytes is above [`MAX_NAME_BYTES`].
    #[error("name of {0} bytes exceeds the limit of {MAX_NAME_BYTES}")]
    NameTooLong(usize),
    /// The bytes end within the record, or continue after it.
    #[error("record is truncated or has trailing bytes")]
    InvalidLength,
    /// The version of the encoding is not the one that this program knows.
    #[error("unknown record format {0}")]
    UnknownFormat(u8),
    /// The code of the lifecycle is not known to this program.
    #[error("unknown lifecycle {0}")]
    UnknownLifecycle(u8),
    /// A name or value is not UTF-8.
    #[error("text is not valid UTF-8")]
    InvalidUtf8(#[from] std::string::FromUtf8Error),
    /// The incarnation is above [`MAX_INCARNATION`].
    #[error("incarnation {0} exceeds the limit of {MAX_INCARNATION}")]
    IncarnationOutOfRange(u64),
    /// Two entries have the same name, or entries are not sorted by name.
    #[error("entries are not sorted by name without duplicates")]
    EntriesOutOfOrder,
}

impl Metadata {
    /// Encodes the metadata, big-endian: format (1 byte), lifecycle (1), configuration digest (8), zone and program
    /// (length 1 and text each), entries (count 1; each: name like a zone, version 4, value length 2 and text).
    ///
    /// # Errors
    /// [`RecordError`] if a name, a value or the number of entries exceeds its limit.
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

    /// Decodes the bytes of [`Metadata::encode`] at the front of `rest`, and advances `rest` behind them.
    ///
    /// # Errors
    /// [`RecordError`] if `rest` does not begin with valid metadata.
    pub fn decode(rest: &mut &[u8]) -> Result<Metadata, RecordError> {
        let [format] = take_bytes(rest)?;
        if format != RECORD_FORMAT {
            return Err(RecordError::UnknownFormat(format));
        }
        let [lifecycle] = take_bytes(rest)?;
        let lifecycle = Lifecycle::from_wire_code(lifecycle)?;
        let config_digest = u64::from_be_bytes(take_bytes(rest)?);
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

    /// A checksum of the content, independent of owner and stamp. It is 0 only for metadata that cannot be encoded; a
    /// checksum of 0 elsewhere means that no record is known.
    pub fn checksum(&self) -> u32 {
        self.encode()
            .map_or(0, |bytes| crc32fast::hash(&bytes).max(1))
    }
}

impl Record {
    /// The owner and its incarnation.
    pub fn id(&self) -> PeerId {
        PeerId {
            addr: self.owner,
            incarnation: self.stamp.incarnation,
        }
    }

    /// Encodes the record, big-endian: owner, incarnation (8 bytes), version (4), metadata.
    ///
    /// # Errors
    /// [`RecordError`] if it is larger than [`MAX_RECORD_BYTES`], or a part of it exceeds its limit.
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

    /// Decodes the bytes of [`Record::encode`], which must be all of `bytes`.
    ///
    /// # Errors
    /// [`RecordError`] if `bytes` are not exactly one valid record.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        let mut rest = bytes;
        let owner = take_address(&mut rest).ok_or(RecordError::InvalidLength)?;
        let incarnation = u64::from_be_bytes(take_bytes(&mut rest)?);
        if incarnation > MAX_INCARNATION {
            return Err(RecordError::IncarnationOutOfRange(incarnation));
        }
        let version = u32::from_be_bytes(take_bytes(&mut rest)?);
        let metadata = Metadata::decode(&mut rest)?;
        if !rest.is_empty() {
            return Err(RecordError::InvalidLength);
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

/// Takes the number of entries and the entries off the front of `rest`. Entries must be sorted by name: the same
/// content must have one encoding only, since checksums and digests are computed from the bytes.
fn take_entries(rest: &mut &[u8]) -> Result<BTreeMap<String, Entry>, RecordError> {
    let [count] = take_bytes(rest)?;
    if usize::from(count) > MAX_ENTRIES {
        return Err(RecordError::TooManyEntries(usize::from(count)));
    }
    let mut entries = BTreeMap::new();
    for _ in 0..count {
        let name = take_name(rest)?;
        let version = u32::from_be_bytes(take_bytes(rest)?);
        let length = usize::from(u16::from_be_bytes(take_bytes(rest)?));
        let value = take_text(rest, length)?;
        let last = entries.last_key_value();
        if last.is_some_and(|(last, _)| *last >= name) {
            return Err(RecordError::EntriesOutOfOrder);
        }
        entries.insert(name, Entry { version, value });
    }
    Ok(entries)
}

/// Takes `N` bytes off the front of `rest`.
fn take_bytes<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], RecordError> {
    take(rest).ok_or(RecordError::InvalidLength)
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
    let [length] = take_bytes(rest)?;
    if usize::from(length) > MAX_NAME_BYTES {
        return Err(RecordError::NameTooLong(usize::from(length)));
    }
    take_text(rest, usize::from(length))
}

fn take_text(rest: &mut &[u8], length: usize) -> Result<String, RecordError> {
    let (text, tail) = rest
        .split_at_checked(length)
        .ok_or(RecordError::InvalidLength)?;
    *rest = tail;
    Ok(String::from_utf8(text.to_vec())?)
}
