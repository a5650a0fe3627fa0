//! Where the endpoint lists come from, and who the endpoints are over all sources.
pub mod backoff;
pub mod client;
pub mod etcd;
pub mod membership;
pub mod watch;
