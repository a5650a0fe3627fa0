//! The texts of the log lines of the fronts and the admin endpoint, one function each. docs/oncall.md tells operators
//! what to do about them.
use super::admin::MAX_CONNECTIONS;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;

/// A connection was rejected because all client connection slots are in use and no idle connection could be evicted in
/// time.
pub fn slots_exhausted(front: &str, peer: SocketAddr) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "{front}: connection from {peer} rejected: all client connection slots are in use"
        )
    })
}

/// A connection was closed because no coroutine could be started for it.
pub fn connection_not_served<'a>(
    front: &'a str,
    peer: SocketAddr,
    error: &'a io::Error,
) -> impl Display + 'a {
    fmt::from_fn(move |f| write!(f, "{front}: connection from {peer} closed: {error}"))
}

/// A listener failed to accept a connection. It retries after a pause.
pub fn accept_failed<'a>(front: &'a str, error: &'a io::Error) -> impl Display + 'a {
    fmt::from_fn(move |f| write!(f, "{front}: accept failed: {error}"))
}

/// A connection was closed because its writer could not be started.
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

/// The front end closed a connection, usually because of something that its client sent or did not complete in time.
pub fn connection_closed<'a>(
    front: &'a str,
    peer: &'a str,
    error: &'a dyn Display,
) -> impl Display + 'a {
    fmt::from_fn(move |f| write!(f, "{front} {peer}: connection closed: {error}"))
}

/// A FastCGI request was answered with status 400: it is invalid, too long, or was not complete in time.
pub fn fastcgi_request_invalid(request_id: u16, error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "fastcgi: request {request_id} rejected as invalid: {error}"
        )
    })
}

/// A FastCGI request was ended with a protocol status other than "complete", without its parameters being parsed.
pub fn fastcgi_request_rejected(request_id: u16, reason: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "fastcgi: request {request_id} rejected: {reason}"))
}

/// A KServe v2 request was answered with status 400 because it is invalid.
pub fn v2_request_invalid(error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "kserve: request rejected as invalid: {error}"))
}

/// A KServe v2 request was answered with status 503 because the memory budget is used up.
pub fn v2_memory_limit() -> impl Display {
    "kserve: request rejected: memory limit of requests reached"
}

/// The admin endpoint closed a new connection because the maximum number of them is open.
pub fn admin_connection_rejected(peer: SocketAddr) -> impl Display {
    fmt::from_fn(move |f| {
        write!(
            f,
            "admin: connection from {peer} rejected: {MAX_CONNECTIONS} are open"
        )
    })
}

/// The admin endpoint closed a connection without a reply because it did not receive a valid line.
pub fn admin_connection_closed(error: &dyn Display) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "admin: connection closed: {error}"))
}

/// The admin endpoint could not write a reply.
pub fn admin_reply_not_written(error: &io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "admin: reply not written: {error}"))
}

/// The content of a file that the processes of one front end share through `$TMPDIR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverContent {
    /// The ids of the excluded workers.
    Exclusions,
    /// The name of the active process.
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

/// A file that a successor process reads could not be written.
pub fn handover_not_written(content: HandoverContent, error: &io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "admin: {content} not written for a successor process: {error}"
        )
    })
}

/// A file that another process may have written could not be read.
pub fn handover_not_read(content: HandoverContent, error: &io::Error) -> impl Display + '_ {
    fmt::from_fn(move |f| write!(f, "admin: {content} not read, previous state kept: {error}"))
}

/// This process went on standby because a new one replaces it, or became the active process.
pub fn standby_changed(is_standby: bool) -> impl Display {
    if is_standby {
        "admin: standby, a new process sends to workers in slow start"
    } else {
        "admin: active, this process sends to workers in slow start"
    }
}
