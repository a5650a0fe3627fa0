//! The texts of the log lines about client connections, one function each. docs/oncall.md tells operators what to do
//! about them.
use std::fmt::{self, Display};

/// A request failed although a worker served it: its client, or others, leave so many responses unread that there is no
/// memory for this one of `bytes` bytes. `unsent` bytes are held for the connection's other responses.
pub fn answer_without_memory(bytes: usize, unsent: usize) -> impl Display {
    fmt::from_fn(move |f| {
        write!(
            f,
            "client: request failed: no memory for a response of {bytes} bytes behind {unsent} unsent"
        )
    })
}

/// A connection is closed, once its open requests are answered, because its client does not read its responses. `bytes` is how much is unsent on it.
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
