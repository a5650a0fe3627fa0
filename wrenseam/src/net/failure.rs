//! What a failed system call on a connection asks for, in one place for all of them.
use super::sleep;
use crate::ring::Ring;
use std::io::{self, ErrorKind, Read};
use std::time::Duration;

/// How long a call that failed waits for memory or buffers of the system.
const SHORTAGE: Duration = Duration::from_millis(1);

/// `ENOBUFS` of Linux: no buffer for now. (`ErrorKind` has no name for it.)
const NO_BUFFERS: i32 = 105;

/// What is to be done after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Make it again: its time was up, a signal came, or nothing was there to be read or room to write.
    Again,
    /// Make it again a little later: the system is short of memory or buffers. The connection stands.
    Later,
    /// The connection is over.
    Over,
}

impl Failure {
    /// Of an error that a read or write returned.
    pub fn of(error: &io::Error) -> Self {
        match (error.kind(), error.raw_os_error()) {
            (_, Some(NO_BUFFERS)) | (ErrorKind::OutOfMemory, _) => Failure::Later,
            (ErrorKind::WouldBlock | ErrorKind::Interrupted, _) => Failure::Again,
            // The scheduler's own time-out has no number; the system's `ETIMEDOUT` ends a connection.
            (ErrorKind::TimedOut, None) => Failure::Again,
            _ => Failure::Over,
        }
    }
}

/// Whether an error of a blocking call only means that its time was up.
pub fn would_block(error: &io::Error) -> bool {
    Failure::of(error) == Failure::Again
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The other side has closed.
    Closed,
    /// Bytes, which are in the ring.
    Data,
    /// Nothing so far.
    NotReady,
}

/// One read into a ring with free space. A read that failed for want of memory brought nothing: the connection and
/// its pending requests stay.
///
/// # Errors
/// The connection is over.
pub fn receive(ring: &mut Ring, from: &mut impl Read) -> io::Result<ReadOutcome> {
    match ring.fill(from) {
        Ok(0) => Ok(ReadOutcome::Closed),
        Ok(_) => Ok(ReadOutcome::Data),
        Err(error) => match Failure::of(&error) {
            Failure::Again => Ok(ReadOutcome::NotReady),
            Failure::Later => {
                sleep(SHORTAGE);
                Ok(ReadOutcome::NotReady)
            }
            Failure::Over => Err(error),
        },
    }
}
