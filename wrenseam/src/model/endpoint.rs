//! Workers as the endpoint lists name them.
use std::net::SocketAddr;
use wrenseam_policy::{Micros, WorkerState};

/// The protocol that a worker speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportProtocol {
    /// The platform's binary frames.
    Frames,
    /// KServe v2 over HTTP/1.1.
    Kserve,
}

/// One worker in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: WorkerState,
    /// Unix time of its start, in microseconds; 0: long ago, or not listed.
    pub started_at: Micros,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// Its cell, where the list names it.
    pub cell: Option<u64>,
    /// The protocol that it speaks.
    pub protocol: TransportProtocol,
}
