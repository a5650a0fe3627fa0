//! The KServe v2 front: the Open Inference Protocol over HTTP/1.1 REST, on the same core as FastCGI.
mod answers;
mod connection;
mod request;
mod routes;

pub use answers::error;
pub use connection::{serve, serve_admin};
