//! The front end round the decision module: fronts parse, the core owns the module, transports carry.
//! See docs/architecture.md for the life of a request.
#![deny(unsafe_code)] // one exception, with its reason: `front::close`
#![warn(missing_docs)]

#[macro_use]
pub mod log;
pub mod cli;
pub mod clock;
pub mod config;
pub mod core;
pub mod discovery;
pub mod fleet;
pub mod front;
pub mod gossip;
pub mod http;
pub mod limits;
pub mod model;
pub mod net;
pub mod process_state;
pub mod queue;
pub mod ring;
pub mod server;
pub mod shutdown;
pub mod succession;
pub mod worker;

pub use server::run;
