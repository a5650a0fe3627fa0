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

/// One member of the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: WorkerState,
    /// Unix time of a late start; 0: long ago.
    pub started_at: Micros,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// Its cell, where told.
    pub cell: Option<u64>,
    /// What it speaks.
    pub protocol: TransportProtocol,
}
