//! The lines of the log about connections to workers, one function each. They are written by
//! [`log_limited!`](crate::log_limited), which bounds how often.
use std::fmt::{self, Display};
use std::net::SocketAddr;

/// No coroutine could be started for a connection.
pub fn coroutine_not_started(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| {
        write!(
            formatter,
            "worker {address}: coroutine not started: {reason}"
        )
    })
}

/// A connection could not be established, or writing to it failed.
pub fn connection_ended(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| write!(formatter, "worker {address}: connection ended: {reason}"))
}

/// What came on a connection could not be read.
pub fn connection_closed(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| {
        write!(formatter, "worker {address}: connection closed: {reason}")
    })
}

/// A worker did not answer a keepalive probe.
pub fn keepalive_timed_out(address: SocketAddr) -> impl Display {
    fmt::from_fn(move |formatter| {
        write!(
            formatter,
            "worker {address}: connection closed: keepalive timed out"
        )
    })
}

/// No connection to a v2 worker could be established.
pub fn not_connected(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| write!(formatter, "worker {address}: not connected: {reason}"))
}

/// A v2 worker's answer did not come completely, or is not valid.
pub fn answer_lost(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| write!(formatter, "worker {address}: answer lost: {reason}"))
}

/// A v2 worker's answer names another call.
pub fn answer_mismatched(address: SocketAddr) -> impl Display {
    fmt::from_fn(move |formatter| {
        write!(
            formatter,
            "worker {address}: answer lost: it belongs to another call"
        )
    })
}
