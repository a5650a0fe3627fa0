//! Decides what to do after a read or write on a connection failed: retry, retry after a pause, or close the
//! connection.
use super::sleep;
use crate::ring::Ring;
use std::io::{self, ErrorKind, Read};
use std::time::Duration;

/// Pause after a read that failed because the system is short of memory or buffers.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(1);

/// Linux's `ENOBUFS`, which `ErrorKind` has no name for: the system has no free buffer at the moment.
const ENOBUFS: i32 = 105;

/// What to do after a failed read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorAction {
    /// Retry: the call timed out, was interrupted by a signal, or found nothing to read or no room to write.
    Retry,
    /// Retry after a pause: the system is short of memory or buffers. The connection is still usable.
    RetryLater,
    /// Close the connection: it is broken.
    Close,
}

impl ErrorAction {
    /// The action for an error that a read or write returned.
    pub fn for_error(error: &io::Error) -> Self {
        match (error.kind(), error.raw_os_error()) {
            (_, Some(ENOBUFS)) | (ErrorKind::OutOfMemory, _) => ErrorAction::RetryLater,
            (ErrorKind::WouldBlock | ErrorKind::Interrupted, _) => ErrorAction::Retry,
            // A timeout of the coroutine scheduler carries no OS error number. The system's own `ETIMEDOUT` means that
            // the connection is broken.
            (ErrorKind::TimedOut, None) => ErrorAction::Retry,
            _ => ErrorAction::Close,
        }
    }
}

/// Whether a call failed only because it would have blocked, reached its timeout or was interrupted.
pub fn would_block(error: &io::Error) -> bool {
    ErrorAction::for_error(error) == ErrorAction::Retry
}

/// The result of a read that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The peer has closed the connection.
    Closed,
    /// Bytes were received and are in the ring.
    Data,
    /// Nothing was received; the connection is still usable.
    NotReady,
}

/// Makes one read into `ring`, which must have free space. A read that fails for lack of memory counts as `NotReady`,
/// so that the connection and its pending requests are kept.
///
/// # Errors
/// The connection is broken.
pub fn receive(ring: &mut Ring, from: &mut impl Read) -> io::Result<ReadOutcome> {
    match ring.fill(from) {
        Ok(0) => Ok(ReadOutcome::Closed),
        Ok(_) => Ok(ReadOutcome::Data),
        Err(error) => match ErrorAction::for_error(&error) {
            ErrorAction::Retry => Ok(ReadOutcome::NotReady),
            ErrorAction::RetryLater => {
                sleep(SHORTAGE_PAUSE);
                Ok(ReadOutcome::NotReady)
            }
            ErrorAction::Close => Err(error),
        },
    }
}
