//! The texts of the log lines about client connections, one function each. docs/oncall.md says what to do.
use std::fmt::{self, Display};

/// A connection is closed, as its client does not read, or the memory for unsent responses is used up.
pub fn responses_unread(bytes: usize) -> impl Display {
    fmt::from_fn(move |f| {
        write!(
            f,
            "client: connection closed: {bytes} bytes of responses unread"
        )
    })
}

/// A connection is closed, as its client left or stalled.
pub fn response_write_failed(reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "client: connection closed: writing a response failed: {reason}"
        )
    })
}
