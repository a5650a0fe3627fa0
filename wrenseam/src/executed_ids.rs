//! The ids of recent requests that must never be executed twice and that a worker may have executed. A client may send
//! such a request again on another connection, or to the other process of an upgrade, after its first connection ended.
use crate::file_lock::{FileLock, FileLockError};
use crate::process_files::shared_path;
use std::collections::{HashMap, VecDeque};
use std::fmt::{self, Display};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use wrenseam_policy::Micros;

/// How long an id is kept: far longer than any client waits for an answer.
const LIFETIME: Micros = 60_000_000;
/// Most ids that a process keeps; beyond that the oldest is dropped.
const MAX_IDS: usize = 16_384;

/// How long a process waits for the lock of the shared file before it tries again, and how often it does. The other
/// process may be stopped while it holds the lock.
const LOCK_WAIT: Duration = Duration::from_micros(100);
const MAX_LOCK_WAITS: u32 = 50;

/// Buckets of the shared file; the id decides on the bucket.
const BUCKETS: u64 = 2_048;
/// Entries of a bucket.
const BUCKET_ENTRIES: usize = 4;
/// Bytes of a number in the file, little-endian.
const NUMBER_BYTES: usize = 8;
/// Bytes of an entry: the id and the time until which it is kept, in µs since the Unix epoch.
const ENTRY_BYTES: usize = 2 * NUMBER_BYTES;
const BUCKET_BYTES: usize = BUCKET_ENTRIES * ENTRY_BYTES;

/// The file in `$TMPDIR` through which the processes of this front end share the ids.
pub fn path(front_end: &str) -> PathBuf {
    shared_path("executed", front_end)
}

/// Log line: the file cannot be used, so that the other process of an upgrade does not know the ids.
pub fn not_shared(error: &io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "executed ids: not shared with another process: {error}"))
}

/// An id, and until when it is kept, as Unix time in µs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Entry {
    id: u64,
    until: Micros,
}

/// The ids that this process keeps, and those that it shares with another process of the same front end.
#[derive(Debug, Default)]
pub struct ExecutedIds {
    /// Until when each id is kept, as Unix time in µs.
    kept_until: HashMap<u64, Micros>,
    /// The entries in the order in which they were added.
    added: VecDeque<Entry>,
    shared: Option<SharedIds>,
}

impl ExecutedIds {
    /// Ids that are shared through the file at `path`.
    ///
    /// # Errors
    /// The file cannot be opened or created.
    pub fn shared(path: &Path) -> io::Result<Self> {
        Ok(ExecutedIds {
            shared: Some(SharedIds::open(path)?),
            ..ExecutedIds::default()
        })
    }

    /// Whether a request with this id may have been executed recently.
    pub fn contains(&self, id: u64, now: Micros) -> bool {
        let is_kept = self.kept_until.get(&id).is_some_and(|&until| until > now);
        is_kept
            || self
                .shared
                .as_ref()
                .is_some_and(|shared| shared.contains(id, now))
    }

    /// Records that a request with this id is about to be sent to a worker. Returns false, with nothing recorded, if
    /// another process has sent one, as it may have come there while this process had not decided yet, or if that cannot
    /// be told because the other process holds the lock of the shared file.
    pub fn claim(&mut self, id: u64, now: Micros) -> bool {
        let shared = self.shared.clone();
        let lock = match shared.as_ref().map(SharedIds::lock) {
            Some(Err(FileLockError::Held)) => return false,
            // Where files cannot be locked the ids are shared without.
            lock => lock,
        };
        let is_claimed = self.claim_locked(id, now);
        drop(lock);
        is_claimed
    }

    fn claim_locked(&mut self, id: u64, now: Micros) -> bool {
        if !self.kept_until.contains_key(&id) && self.contains(id, now) {
            return false;
        }
        let until = now + LIFETIME;
        self.drop_oldest(now);
        self.kept_until.insert(id, until);
        let entry = Entry { id, until };
        self.added.push_back(entry);
        if let Some(shared) = &self.shared {
            shared.insert(entry);
        }
        true
    }

    /// Records that the request with this id was not executed after all.
    pub fn remove(&mut self, id: u64) {
        if self.kept_until.remove(&id).is_none() {
            return;
        }
        let Some(shared) = &self.shared else {
            return;
        };
        match shared.lock() {
            // The id stays there for its time: a request with it is rejected, and none is executed twice.
            Err(FileLockError::Held) => {}
            _lock => shared.remove(id),
        }
    }

    /// Drops ids whose time has passed, and makes room for another one.
    fn drop_oldest(&mut self, now: Micros) {
        while let Some(&Entry { id, until }) = self.added.front() {
            if until > now && self.added.len() < MAX_IDS {
                return;
            }
            self.added.pop_front();
            if self.kept_until.get(&id) == Some(&until) {
                self.kept_until.remove(&id);
            }
        }
    }
}

/// A hash table in a file that two processes use at the same time. An entry is read and written whole.
#[derive(Clone, Debug)]
struct SharedIds(Arc<File>);

impl SharedIds {
    fn open(path: &Path) -> io::Result<SharedIds> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        file.set_len(BUCKETS * BUCKET_BYTES as u64)?;
        Ok(SharedIds(Arc::new(file)))
    }

    /// Locks the file against the other process, which may read and write between a read and a write of this one.
    fn lock(&self) -> Result<FileLock<'_>, FileLockError> {
        FileLock::acquire(&self.0, LOCK_WAIT, MAX_LOCK_WAITS, std::thread::sleep)
    }

    fn contains(&self, id: u64, now: Micros) -> bool {
        let is_kept = |entry: &Entry| entry.id == id && entry.until > now;
        self.read(id).iter().any(is_kept)
    }

    /// Writes an entry in place of the same id's, or of the one that would have been dropped first.
    fn insert(&self, new: Entry) {
        let bucket = self.read(new.id);
        let replaced = (0..BUCKET_ENTRIES).min_by_key(|&position| {
            let entry = bucket[position];
            (entry.id != new.id, entry.until)
        });
        self.write(new.id, replaced.unwrap_or_default(), new);
    }

    fn remove(&self, id: u64) {
        let bucket = self.read(id);
        if let Some(position) = bucket.iter().position(|entry| entry.id == id) {
            self.write(id, position, Entry::default());
        }
    }

    /// The bucket of this id; empty if the file cannot be read.
    fn read(&self, id: u64) -> [Entry; BUCKET_ENTRIES] {
        let mut bytes = [0; BUCKET_BYTES];
        if let Err(error) = self.0.read_exact_at(&mut bytes, bucket_offset(id)) {
            report(&error);
        }
        std::array::from_fn(|position| decode(&bytes[position * ENTRY_BYTES..][..ENTRY_BYTES]))
    }

    fn write(&self, id: u64, position: usize, entry: Entry) {
        let offset = bucket_offset(id) + (position * ENTRY_BYTES) as u64;
        if let Err(error) = self.0.write_all_at(&encode(entry), offset) {
            report(&error);
        }
    }
}

fn report(error: &io::Error) {
    log_limited!("{}", not_shared(error));
}

fn bucket_offset(id: u64) -> u64 {
    // Ids that clients count up are spread evenly by their last digits.
    (id % BUCKETS) * BUCKET_BYTES as u64
}

fn encode(entry: Entry) -> [u8; ENTRY_BYTES] {
    let mut bytes = [0; ENTRY_BYTES];
    bytes[..NUMBER_BYTES].copy_from_slice(&entry.id.to_le_bytes());
    bytes[NUMBER_BYTES..].copy_from_slice(&entry.until.to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Entry {
    let number = |bytes: &[u8]| bytes.try_into().map_or(0, u64::from_le_bytes);
    Entry {
        id: number(&bytes[..NUMBER_BYTES]),
        until: number(&bytes[NUMBER_BYTES..]),
    }
}
