//! An account of the calls that came complete to any worker.
use super::Behaviour;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One call that came complete to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) zone: usize,
    /// What the worker did with it.
    pub(crate) behaviour: Behaviour,
}

impl Arrival {
    /// Whether it may have run: the worker has not answered that it never did.
    pub(crate) fn ran(&self) -> bool {
        !self.behaviour.never_ran()
    }
}

/// All calls that came complete, by the id that the client gave.
pub(crate) type Ledger = Arc<Mutex<BTreeMap<u64, Vec<Arrival>>>>;
