//! Counts the bytes written to a connection, so that it is certain whether a frame was completely written.
//!
//! A write and the update of the count are one atomic step. If they were two, a reader that ends the connection between
//! them would treat a completely written frame as never sent, and the call in it would run twice.
use may::sync::{Mutex, MutexGuard};
use std::io;
use std::sync::PoisonError;

#[derive(Default)]
struct Written {
    bytes: u64,
    /// Whether the connection has ended: nothing more is written.
    ended: bool,
}

/// The bytes written to one connection, and whether more may follow.
#[derive(Default)]
pub struct WriteProgress(Mutex<Written>);

impl WriteProgress {
    fn written(&self) -> MutexGuard<'_, Written> {
        // A panic elsewhere cannot leave the count and the flag inconsistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one write, which must not block, and counts the bytes that it wrote; a failed write wrote none. Once the
    /// connection has ended, `write` is not called.
    ///
    /// # Errors
    ///
    /// The error of `write`, or `BrokenPipe` if the connection has ended.
    pub fn write(&self, write: impl FnOnce() -> io::Result<usize>) -> io::Result<usize> {
        let mut written = self.written();
        if written.ended {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let count = write()?;
        written.bytes += count as u64;
        Ok(count)
    }

    /// The number of bytes written so far.
    pub fn bytes(&self) -> u64 {
        self.written().bytes
    }

    /// Ends writing to the connection. Returns the number of bytes written in total.
    pub fn end(&self) -> u64 {
        let mut written = self.written();
        written.ended = true;
        written.bytes
    }
}
