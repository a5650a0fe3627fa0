//! Socket helpers that the transports of both protocols share.
use crate::limits::Limits;
use crate::net::would_block;
use may::net::TcpStream;
use std::time::Duration;

/// A stalled write is retried after `Limits::write_check_interval` divided by this.
const STALLED_WRITE_ATTEMPTS: u32 = 10;

/// How long to wait before a write that would have blocked is retried.
pub(super) fn stalled_write_pause(limits: &Limits) -> Duration {
    limits.write_check_interval / STALLED_WRITE_ATTEMPTS
}

/// Whether the connection is open and has no unread input. The end of the stream counts as input.
pub(super) fn has_no_unread_input(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Err(error) if would_block(&error))
}
