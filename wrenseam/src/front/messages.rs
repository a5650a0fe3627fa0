//! The texts of the fronts' and the admin endpoint's log lines, one function each. docs/oncall.md says what to do.
use super::admin::MAX_CONNECTIONS;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;

/// A connection was rejected, as the limit of client connections is reached and none of them is idle.
pub fn slots_exhausted(front: &str, peer: SocketAddr) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "{front}: connection from {peer} rejected: all client connection slots are in use"
        )
    })
}

/// A connection was closed, as no coroutine could be started for it.
pub fn connection_not_served<'a>(
    front: &'a str,
    peer: SocketAddr,
    error: &'a io::Error,
) -> impl Display + 'a {
    fmt::from_fn(move |f| write!(f, "{front}: connection from {peer} closed: {error}"))
}

/// A listener failed to accept a connection, and goes on.
pub fn accept_failed<'a>(front: &'a str, error: &'a io::Error) -> impl Display + 'a {
    fmt::from_fn(move |f| write!(f, "{front}: accept failed: {error}"))
}

/// A connection was closed, as its writer could not be started.
pub fn writer_not_started<'a>(
    front: &'a str,
    peer: &'a str,
    error: &'a io::Error,
) -> impl Display + 'a {
    fmt::from_fn(move |f| {
        write!(
            f,
            "{front} {peer}: connection closed: writer not started: {error}"
        )
    })
}

/// This side ended a connection, as a rule for what its client sent.
pub fn connection_closed<'a>(
    front: &'a str,
    peer: &'a str,
    error: &'a dyn Display,
) -> impl Display + 'a {
    fmt::from_fn(move |f| write!(f, "{front} {peer}: connection closed: {error}"))
}

/// A FastCGI request cannot be served as it is.
pub fn fastcgi_request_invalid(request_id: u16, error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "fastcgi: request {request_id} rejected as invalid: {error}"
        )
    })
}

/// A FastCGI request was ended before its parameters were looked at.
pub fn fastcgi_request_rejected(request_id: u16, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "fastcgi: request {request_id} rejected: {reason}"))
}

/// A v2 request cannot be served as it is.
pub fn v2_request_invalid(error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "kserve: request rejected as invalid: {error}"))
}

/// A v2 request was rejected, as the bytes held over all requests are at their limit.
pub fn v2_memory_limit() -> impl Display {
    "kserve: request rejected: memory limit of requests reached"
}

/// The admin endpoint rejected a connection.
pub fn admin_connection_rejected(peer: SocketAddr) -> impl Display {
    fmt::from_fn(move |f| {
        write!(
            f,
            "admin: connection from {peer} rejected: {MAX_CONNECTIONS} are open"
        )
    })
}

/// The admin endpoint closed a connection that sent no line.
pub fn admin_connection_closed(error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "admin: connection closed: {error}"))
}

/// A caller of the admin endpoint did not take its reply.
pub fn admin_reply_not_written(error: &io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "admin: reply not written: {error}"))
}

/// What a process leaves for its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverContent {
    /// The excluded ids.
    Exclusions,
    /// Which process is active.
    ActiveProcess,
}

impl Display for HandoverContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HandoverContent::Exclusions => "exclusions",
            HandoverContent::ActiveProcess => "active process",
        })
    }
}

/// A file for the successor process could not be written.
pub fn handover_not_written(content: HandoverContent, error: &io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "admin: {content} not written for a successor process: {error}"
        )
    })
}

/// A file of another process could not be read.
pub fn handover_not_read(content: HandoverContent, error: &io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "admin: {content} not read, what was read before holds: {error}"
        )
    })
}

/// This process went on standby, or became the active one.
pub fn standby_changed(is_standby: bool) -> impl Display {
    if is_standby {
        "admin: standby, a new process sends to workers in slow start"
    } else {
        "admin: active, this process sends to workers in slow start"
    }
}
