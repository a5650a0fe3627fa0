//! The fronts, one for each client protocol: each parses requests, passes them to the core in a form that no longer
//! depends on the protocol, and sends the core's final answer to the client. The admin endpoint for operators is here
//! too.
pub mod admin;
mod connection;
pub mod fastcgi;
pub mod kserve;
mod listener;
pub mod messages;
mod parameters;

pub use connection::ConnectionError;
pub use listener::{accept, close, Listener, ListenerContext, Serve};
pub use parameters::{is_valid_idempotency_key, parse_hex_id, NumericParameters, ParameterError};
