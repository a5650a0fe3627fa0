//! Where the endpoint lists come from, and who the endpoints are over all sources.
pub mod address;
pub mod backoff;
pub mod client;
pub mod etcd;
pub mod event;
pub mod event_stream;
pub mod membership;
pub mod watch;
pub mod xds;
