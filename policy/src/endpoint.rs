//! Workers as the endpoint list describes them.
use crate::types::{Micros, WorkerId};

/// State of a worker by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes new work.
    Ready,
    /// Finishes the requests that it has; no new work may be sent.
    Draining,
    /// Removed from the list.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The worker's name.
    pub worker: WorkerId,
    /// Whether the worker takes new work.
    pub state: WorkerState,
    /// When its process started; 0 if long ago or not stated.
    pub started_at: Micros,
    /// Position of its zone in the settings, or a position beyond them for a zone that they do not name; `None` if the
    /// zone is not known.
    pub zone: Option<usize>,
    /// Position of its machine kind in the settings.
    pub kind: usize,
    /// Identifier of its cell; `None` if not known.
    pub cell: Option<u64>,
}
