//! The texts of the log lines of reload and shutdown, one function each. docs/oncall.md lists them with what operators
//! do about each.
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration was reloaded and names this address of the discovery service.
pub fn discovery_moved(address: SocketAddr) -> impl Display {
    fmt::from_fn(move |f| write!(f, "reload: the discovery service is at {address}"))
}

/// The configuration could not be reloaded.
pub fn configuration_unchanged(error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "reload: configuration unchanged: {error}"))
}

/// A signal started the graceful shutdown. The listeners close after `grace_period`.
pub fn shutdown_started(grace_period: Duration) -> impl Display {
    let milliseconds = grace_period.as_millis();
    fmt::from_fn(move |f| {
        write!(
            f,
            "shutdown: signal received, listeners close in {milliseconds} ms"
        )
    })
}

/// The process exits with this many requests open.
pub fn shutdown_complete(open_requests: usize) -> impl Display {
    fmt::from_fn(move |f| write!(f, "shutdown: complete, {open_requests} requests open"))
}
