//! The one helper of the tests: starts the program, plays stand-in clients and workers written from the
//! specifications, and runs scenarios.
#![allow(dead_code)]
mod clients;
mod discovery;
mod fleet;
mod program;
mod scenario;
mod workers;

#[allow(unused_imports, reason = "each test binary uses its own part")]
pub use {
    clients::{connect, fastcgi, fastcgi_answer, get, record},
    fleet::Fleet,
    program::{door, Stage, SETTINGS},
};

use std::time::Duration;

pub const FUNCTION: &str = "7f3a9c21e0b4d655";
const PATIENCE: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Speech {
    Platform,
    Kserve,
}
