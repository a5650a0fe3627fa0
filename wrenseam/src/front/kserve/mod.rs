//! The KServe v2 front, which serves the Open Inference Protocol over HTTP/1.1, and the read-only administration API,
//! which uses the same HTTP code.
mod admin_api;
mod answers;
mod connection;
mod decoder;
mod request;
mod routes;

pub use answers::error_body;
pub use connection::{serve, serve_admin};
pub use decoder::HttpError;
