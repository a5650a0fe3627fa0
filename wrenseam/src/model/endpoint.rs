//! Workers as the endpoint lists describe them.
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
    /// The worker's id, unique over all endpoint lists.
    pub id: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it is ready, draining or gone.
    pub state: WorkerState,
    /// Unix time of its start, in microseconds; 0 if that is long ago or not listed.
    pub started_at: Micros,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine kind.
    pub kind: String,
    /// The number of its cell; `None` if the list does not name one.
    pub cell: Option<u64>,
    /// The protocol that it speaks.
    pub protocol: TransportProtocol,
}
