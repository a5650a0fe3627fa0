//! What the parts of this process know of each other without asking: a few flags and counts.
use crate::fleet::{Lifecycle, Summary};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// What other parts may read of the core without asking it.
#[derive(Default)]
pub struct ProcessState {
    /// Requests taken and not answered.
    pub open: AtomicUsize,
    /// Whether the core runs and has been told the list of workers.
    pub ready: AtomicBool,
    /// Whether the front end drains: readiness says no, client connections close once idle.
    pub draining: Arc<AtomicBool>,
    /// Whether the process is about to end: new requests on kept connections are refused at once.
    pub stopping: AtomicBool,
    /// Client connections held.
    pub clients: Arc<AtomicUsize>,
    /// A digest of the configuration in force.
    pub config_digest: AtomicU64,
    /// Whether the process is about to end and the fleet is to be told.
    pub leaving: AtomicBool,
    /// Whether the fleet has been told.
    pub left: AtomicBool,
    /// This front end's load summary for the fleet, as the core last wrote it.
    pub summary: Mutex<Summary>,
}

impl ProcessState {
    /// What this front end is doing, for the fleet.
    pub fn lifecycle(&self) -> Lifecycle {
        match () {
            () if self.leaving.load(Ordering::Acquire) => Lifecycle::Leaving,
            () if self.draining.load(Ordering::Acquire) => Lifecycle::Draining,
            () if self.ready.load(Ordering::Acquire) => Lifecycle::Ready,
            () => Lifecycle::Starting,
        }
    }

    /// Whether the front end takes clients: the list is told and it does not drain. What `/healthz` says.
    pub fn taking(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.load(Ordering::Acquire)
    }
}
