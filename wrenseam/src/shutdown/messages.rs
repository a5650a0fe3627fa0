//! The texts of the log lines of reload and shutdown, one function each. docs/oncall.md says what to do.
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration was read again and names this discovery service.
pub fn discovery_moved(address: SocketAddr) -> impl Display {
    fmt::from_fn(move |f| write!(f, "reload: the discovery service is at {address}"))
}

/// The configuration could not be read again.
pub fn configuration_unchanged(error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "reload: configuration unchanged: {error}"))
}

/// A signal began the graceful shutdown.
pub fn shutdown_started(grace_period: Duration) -> impl Display {
    let milliseconds = grace_period.as_millis();
    fmt::from_fn(move |f| {
        write!(
            f,
            "shutdown: signal received, listeners close in {milliseconds} ms"
        )
    })
}

/// The process exits with so many requests open.
pub fn shutdown_complete(open_requests: usize) -> impl Display {
    fmt::from_fn(move |f| write!(f, "shutdown: complete, {open_requests} requests open"))
}
