//! The texts of the log lines about client connections, one function each. docs/oncall.md tells operators what to do
//! about them.
use std::fmt::{self, Display};

/// A connection is closed because its client does not read its responses, or because the memory for unsent responses is
/// used up. `bytes` is how much is unsent on it.
pub fn responses_unread(bytes: usize) -> impl Display {
    fmt::from_fn(move |f| {
        write!(
            f,
            "client: connection closed: {bytes} bytes of responses unread"
        )
    })
}

/// A connection is closed because a write to it failed: its client disconnected, or did not read for too long.
pub fn response_write_failed(reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "client: connection closed: writing a response failed: {reason}"
        )
    })
}

/// A connection is closed because its writer could not be started.
pub fn writer_not_started(error: &std::io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "client: connection closed: writer not started: {error}"))
}
