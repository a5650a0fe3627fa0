//! The fronts: each parses its protocol, hands neutral requests to the core and writes the one final answer.
pub mod admin;
mod connection;
pub mod fastcgi;
pub mod kserve;
mod listener;
pub mod messages;
mod parameters;

pub use connection::ConnectionError;
pub use listener::{accept, close, Listener, ListenerContext, Serve};
pub use parameters::{is_valid_idempotency_key, parse_function, NumericParameters, ParameterError};
