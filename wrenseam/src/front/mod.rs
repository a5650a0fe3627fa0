//! The fronts: each parses its protocol, hands neutral requests to the core and writes the one final answer.
pub mod admin;
pub mod fastcgi;
pub mod kserve;
mod listener;
mod parameters;

use listener::EVICTED;
pub use listener::{accept, close, Doors, Listener, Serve};
pub use parameters::{function, token_fits, Figures};
