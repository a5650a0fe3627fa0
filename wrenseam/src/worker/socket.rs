//! What the connections of both protocols do alike with their sockets.
use crate::limits::Limits;
use crate::net::would_block;
use may::net::TcpStream;
use std::time::Duration;

/// How often within `Limits::write_check` a stalled write is tried again.
const STALLED_WRITE_ATTEMPTS: u32 = 10;

/// How long a write that could write nothing waits before it is tried again.
pub(super) fn stalled_write_pause(limits: &Limits) -> Duration {
    limits.write_check / STALLED_WRITE_ATTEMPTS
}

/// Whether nothing lies unread on the connection, not even its end.
pub(super) fn has_no_unread_input(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Err(error) if would_block(&error))
}
