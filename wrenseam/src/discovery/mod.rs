//! The sources of endpoint lists, and the merging of their endpoints.
//!
//! - [`client`] follows the discovery service, at the address in [`address`] and at the times that [`backoff`] gives, over
//!   one [`connection`] or a few.
//! - [`event_stream`] parses its response, [`event`] the JSON in it, and [`watch`] decides what each event changes;
//!   `watch_request` has what one request brought.
//! - [`xds`] reads endpoints of KServe v2 workers; [`etcd`] tracks a key prefix of an etcd v3 registry.
//! - [`membership`] merges all sources into one list.
pub mod address;
pub mod backoff;
pub mod client;
pub mod connection;
pub mod etcd;
pub mod event;
pub mod event_stream;
pub mod log_lines;
pub mod membership;
pub mod watch;
mod watch_request;
pub mod xds;
