//! Workers as the endpoint list describes them.
use crate::types::{Micros, WorkerId};

/// State of a listed worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes new work.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The worker's name.
    pub worker: WorkerId,
    /// Its state.
    pub state: WorkerState,
    /// When its process started; 0: long ago.
    pub started_at: Micros,
    /// Its zone: a position in the settings, or beyond them for a zone that they do not name. `None`: not known.
    pub zone: Option<usize>,
    /// Position of its machine kind in the settings.
    pub kind: usize,
    /// Its cell, where known.
    pub cell: Option<u64>,
}
