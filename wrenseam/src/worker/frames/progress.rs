//! How much of a connection's stream has been written, for whoever has to say of a frame that it was not.
//!
//! A write and the count of what it wrote are one step here. Were they two, a reader that ends the connection between
//! them would take a frame that is completely written for one that was never sent, and what it calls would run twice.
use may::sync::{Mutex, MutexGuard};
use std::io;
use std::sync::PoisonError;

#[derive(Default)]
struct Written {
    bytes: u64,
    /// Nothing more is written from now on.
    ended: bool,
}

/// The bytes written to one connection.
#[derive(Default)]
pub struct Progress(Mutex<Written>);

impl Progress {
    fn written(&self) -> MutexGuard<'_, Written> {
        // A count and a flag are consistent whatever panicked.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one write, which must not wait, and counts what it wrote; an error wrote nothing. Once the connection
    /// has ended it is not made.
    ///
    /// # Errors
    ///
    /// That of the write, or `BrokenPipe` if the connection has ended.
    pub fn write(&self, write: impl FnOnce() -> io::Result<usize>) -> io::Result<usize> {
        let mut written = self.written();
        if written.ended {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let count = write()?;
        written.bytes += count as u64;
        Ok(count)
    }

    /// Bytes written so far.
    pub fn bytes(&self) -> u64 {
        self.written().bytes
    }

    /// Ends the connection's writing. Returns the bytes that were written in all.
    pub fn end(&self) -> u64 {
        let mut written = self.written();
        written.ended = true;
        written.bytes
    }
}
