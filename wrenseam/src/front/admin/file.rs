//! Access to the files in `$TMPDIR` that a process leaves for the process that replaces it.
use crate::file_lock::{FileLock, FileLockError};
use crate::front::messages::{handover_not_written, HandoverContent};
use crate::net::sleep;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;
use std::time::Duration;

/// How long a coroutine waits for a lock before it tries again, and how often it does: 0.8 s in all.
const LOCK_WAIT: Duration = Duration::from_millis(2);
const MAX_LOCK_WAITS: u32 = 400;

/// The file whose lock is held while the file at `path` is read, changed and written. It is another file, as each write
/// replaces the one at `path`.
#[derive(Debug)]
pub(super) struct LockFile(File);

impl LockFile {
    /// Opens the file, or creates it.
    ///
    /// # Errors
    /// The file can be neither opened nor created.
    pub(super) fn open(path: &Path) -> io::Result<LockFile> {
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(false);
        options.open(path.with_extension("lock")).map(LockFile)
    }

    /// Waits for the lock. Commands of this process and of the other one get it in turn.
    ///
    /// # Errors
    /// The lock was held all the time, or the file cannot be locked.
    pub(super) fn lock(&self) -> Result<FileLock<'_>, FileLockError> {
        FileLock::acquire(&self.0, LOCK_WAIT, MAX_LOCK_WAITS, sleep)
    }
}

/// Writes a new file and renames it to `path`, so that the other process never reads an incomplete file. A failure is
/// logged; `content` names the file's content in the log line.
pub(super) fn write_atomically(path: &Path, text: &str, content: HandoverContent) {
    let new = path.with_extension(format!("{}.new", std::process::id()));
    if let Err(error) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path)) {
        log_limited!("{}", handover_not_written(content, &error));
    }
}

/// Reads a file that another process may have written; `None` if it does not exist.
///
/// # Errors
/// The file cannot be read. Its content is unknown, so callers must not treat it as empty or missing.
pub(super) fn read_if_exists(path: &Path) -> io::Result<Option<String>> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
