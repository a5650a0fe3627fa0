//! The front end: fronts parse client protocols, the core runs the policy, and transports send attempts to workers.
//! docs/architecture.md describes the path of a request through them.
#![deny(unsafe_code)] // `front::close` has the only exception and states the reason
#![warn(missing_docs)]
#![deny(clippy::print_stderr)] // panics if standard error cannot be written; `log_line!` does not

#[macro_use]
pub mod log;
pub mod cli;
pub mod clock;
pub mod config;
pub mod core;
pub mod discovery;
pub mod executed_ids;
pub mod file_lock;
pub mod fleet;
pub mod front;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod latency;
pub mod limits;
pub mod memory_budget;
pub mod model;
pub mod net;
pub mod process_files;
pub mod process_state;
pub mod process_usage;
pub mod queue;
pub mod ring;
mod server;
pub mod shutdown;
mod start_error;
pub mod worker;

pub use server::run;
pub use start_error::StartError;
