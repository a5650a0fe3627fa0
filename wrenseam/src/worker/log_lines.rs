//! The texts of the log lines about connections to workers, one function each. They are written with
//! [`log_limited!`](crate::log_limited), which limits their rate.
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

/// A call was not sent, as its id was used on several connections to this worker that may still receive responses to it.
pub fn id_exhausted(address: SocketAddr, id: u64) -> impl Display {
    fmt::from_fn(move |formatter| {
        write!(
            formatter,
            "worker {address}: request {id:016x} not sent: responses to an earlier request with this id may still arrive"
        )
    })
}

/// A connection could not be established, or its writing side ended with an error.
pub fn connection_ended(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| write!(formatter, "worker {address}: connection ended: {reason}"))
}

/// The data received on a connection was invalid or incomplete, or a read failed.
pub fn connection_closed(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| {
        write!(formatter, "worker {address}: connection closed: {reason}")
    })
}

/// A worker did not answer a keepalive probe, so its connection is closed.
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

/// The response of a v2 worker is invalid or did not arrive completely.
pub fn response_lost(address: SocketAddr, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |formatter| write!(formatter, "worker {address}: answer lost: {reason}"))
}

/// The response of a v2 worker carries the id of another call.
pub fn response_mismatched(address: SocketAddr) -> impl Display {
    fmt::from_fn(move |formatter| {
        write!(
            formatter,
            "worker {address}: answer lost: it belongs to another call"
        )
    })
}
