//! The platform's protocol: FastCGI 1.0, Responder role, many requests on one connection.
mod answers;
mod connection;
mod dispatch;
mod partial;
mod records;
mod request;

pub use connection::serve;
pub use partial::EarlyRejection;
pub use records::{append_record, decode_pairs, response, FastCgiError};
