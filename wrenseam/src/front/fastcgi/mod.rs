//! The front for the platform's gateways: FastCGI 1.0 in the Responder role, with several requests at a time on one
//! connection.
mod answers;
mod connection;
mod decoder;
mod dispatch;
mod partial;
mod records;
mod request;

pub use connection::serve;
pub use partial::EarlyRejection;
pub use records::{append_record, decode_pairs, response, FastCgiError};
