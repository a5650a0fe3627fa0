//! Advisory locks on files that the processes of one front end read, change and write.
use std::fs::{File, TryLockError};
use std::io;
use std::time::Duration;

/// A lock on a file, held until this is dropped. It also ends with the process.
#[derive(Debug)]
pub struct FileLock<'a>(&'a File);

/// Why a file could not be locked.
#[derive(Debug, thiserror::Error)]
pub enum FileLockError {
    /// Another process held the lock all the time: it may be stopped.
    #[error("another process holds the lock")]
    Held,
    /// The file cannot be locked.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl<'a> FileLock<'a> {
    /// Locks the file. While another process holds the lock, calls `pause` up to `max_pauses` times with `interval`.
    ///
    /// # Errors
    /// The lock was held all the time, or the file cannot be locked.
    pub fn acquire(
        file: &'a File,
        interval: Duration,
        max_pauses: u32,
        pause: impl Fn(Duration),
    ) -> Result<Self, FileLockError> {
        let mut pauses = 0;
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(FileLock(file)),
                Err(TryLockError::Error(error)) => return Err(error.into()),
                Err(TryLockError::WouldBlock) if pauses == max_pauses => {
                    return Err(FileLockError::Held)
                }
                Err(TryLockError::WouldBlock) => pause(interval),
            }
            pauses += 1;
        }
    }
}

impl Drop for FileLock<'_> {
    fn drop(&mut self) {
        let _ = self.0.unlock(); // it also ends with the file's last descriptor
    }
}
