//! The platform's front: FastCGI 1.0, Responder role, many requests on one connection.
mod answers;
mod connection;
mod records;
mod request;

pub use connection::serve;
pub use records::{pairs, record, response};
