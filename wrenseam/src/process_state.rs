//! State of the process that its parts share without messages: flags, counts and the load summary.
use crate::fleet::{Lifecycle, Summary};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The shared state.
#[derive(Default)]
pub struct ProcessState {
    /// Requests that the core accepted and still has a record of.
    pub open_requests: AtomicUsize,
    /// Whether the core runs and has an endpoint list.
    pub ready: AtomicBool,
    /// Whether the front end drains: it reports itself as not ready, and client connections close once idle.
    pub draining: Arc<AtomicBool>,
    /// Whether the process is about to end: new requests on open connections are rejected at once.
    pub stopping: AtomicBool,
    /// Open client connections.
    pub client_connections: Arc<AtomicUsize>,
    /// A digest of the configuration in force.
    pub config_digest: AtomicU64,
    /// Whether the process is about to end and gossip is to notify the fleet.
    pub leaving: AtomicBool,
    /// Whether the fleet has been notified.
    pub left: AtomicBool,
    /// This front end's load summary for the fleet, as the core last wrote it.
    pub summary: Mutex<Summary>,
}

impl ProcessState {
    /// The lifecycle that this front end gossips of itself.
    pub fn lifecycle(&self) -> Lifecycle {
        if self.leaving.load(Ordering::Acquire) {
            Lifecycle::Leaving
        } else if self.draining.load(Ordering::Acquire) {
            Lifecycle::Draining
        } else if self.ready.load(Ordering::Acquire) {
            Lifecycle::Ready
        } else {
            Lifecycle::Starting
        }
    }

    /// Whether the front end accepts clients: it has an endpoint list and does not drain. What `/healthz` reports.
    pub fn accepts_clients(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.load(Ordering::Acquire)
    }
}
