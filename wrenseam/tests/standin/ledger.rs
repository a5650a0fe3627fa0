//! A log of the calls that arrived completely at any worker.
use super::Behaviour;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A call that arrived completely at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    /// The worker's zone.
    pub(crate) zone: usize,
    /// How the worker treated the call.
    pub(crate) behaviour: Behaviour,
}

impl Arrival {
    /// Whether the call may have been executed: true unless the worker answered that it was not.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.behaviour.reports_not_run()
    }
}

/// All calls that arrived completely at the workers, by the id given by the client.
pub(crate) type ArrivalLog = Arc<Mutex<BTreeMap<u64, Vec<Arrival>>>>;
