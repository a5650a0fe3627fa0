//! KServe v2: the Open Inference Protocol over HTTP/1.1 REST, on the same core as FastCGI; and the read-only
//! administration API, which speaks HTTP as well.
mod admin_api;
mod answers;
mod connection;
mod decoder;
mod request;
mod routes;

pub use answers::error_body;
pub use connection::{serve, serve_admin};
pub use decoder::HttpError;
