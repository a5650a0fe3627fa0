//! Shared by the end-to-end tests: starts the front end as a process, with stand-in clients, workers and discovery
//! services that are coded from the specifications, and runs test scenarios against it.
mod clients;
mod config;
mod discovery;
mod fleet;
mod front;
mod harness;
mod program;
mod scenario;
#[path = "../support/mod.rs"]
mod support;
mod workers;

#[allow(unused_imports, reason = "each test binary uses its own part")]
pub(crate) use {
    clients::http_get,
    fleet::Fleet,
    front::{request_bytes, InProcessFront, PassedRequest},
    harness::Harness,
    program::{admin_command, Program, POLICY_SETTINGS},
    support::{
        fastcgi::{fastcgi_record, fastcgi_request, read_fastcgi_answer},
        frames::read_frame,
        sockets::connect,
    },
};

use std::time::Duration;

/// Id of the function that all requests name.
pub(crate) const FUNCTION: &str = "7f3a9c21e0b4d655";

/// How long a step that expects nothing waits for unexpected input.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Protocol family. Selects the front that a client connects to, or the protocol of the workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Protocol {
    /// The platform's own protocols: FastCGI from clients, binary frames to workers.
    Platform,
    /// KServe v2 over HTTP/1.1, from clients and to workers.
    Kserve,
}

/// The parts of a request that must reach the worker as the client sent them.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallContent {
    /// Request class.
    class: String,
    /// `None` if the client sent no idempotency key.
    idempotency_key: Option<String>,
    /// Request body as text; of a KServe v2 body, the data of its first tensor.
    body: String,
}
