//! The kit of the tests that run the whole program: it starts the program between stand-in clients, workers and
//! discovery services that are written from the specifications, and runs scenarios on them.
mod clients;
mod config;
mod discovery;
mod fleet;
mod harness;
mod program;
mod scenario;
#[path = "../support/mod.rs"]
mod support;
mod workers;

#[allow(unused_imports, reason = "each test binary uses its own part")]
pub(crate) use {
    clients::{
        fastcgi::{fastcgi_record, fastcgi_request, read_fastcgi_answer},
        http_get,
    },
    fleet::Fleet,
    harness::Harness,
    program::{admin_command, POLICY_SETTINGS},
    support::sockets::connect,
};

use std::time::Duration;

/// The function that all calls ask for.
pub(crate) const FUNCTION: &str = "7f3a9c21e0b4d655";

/// How long nothing must come where nothing is expected.
const QUIET: Duration = Duration::from_millis(300);

/// The two families of protocols, on the side of the clients and on that of the workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Protocol {
    /// The platform's own: FastCGI from clients, binary frames to workers.
    Platform,
    /// KServe v2 over HTTP/1.1 on both sides.
    Kserve,
}

/// What a call asks for, as its client or its worker sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallContent {
    class: String,
    idempotency_key: Option<String>,
    body: String,
}
