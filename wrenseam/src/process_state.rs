//! State that the core, the fronts, gossip and the shutdown share in memory instead of by messages: flags, counts and
//! the load summary.
use crate::fleet::{Lifecycle, Summary};
use crate::limits::Limits;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The shared state of the process. All flags are false and all counts 0 when it starts.
#[derive(Default)]
pub struct ProcessState {
    /// Requests in the core's table, including answered ones with open attempts.
    pub open_requests: AtomicUsize,
    /// Whether the core has applied an endpoint list. Never reset.
    pub ready: AtomicBool,
    /// Whether the process drains: it reports that it is not ready, and client connections close once idle.
    pub draining: Arc<AtomicBool>,
    /// When the last drain began; `None` before the first one.
    drain_started_at: Mutex<Option<Instant>>,
    /// Whether new requests on open connections are rejected at once, because the process is about to exit.
    pub stopping: AtomicBool,
    /// The number of open client connections.
    pub client_connections: Arc<AtomicUsize>,
    /// Bytes reserved in the memory budget of requests and unsent responses.
    pub reserved_bytes: Arc<AtomicUsize>,
    /// A digest of the configuration in force. A reload changes it.
    pub config_digest: AtomicU64,
    /// Whether gossip must notify the fleet that this front end leaves, because the process is about to exit.
    pub leaving: AtomicBool,
    /// Whether gossip has notified the fleet that this front end leaves.
    pub has_left: AtomicBool,
    /// This front end's load summary for the fleet. The core updates it whenever gossip reports the fleet's status.
    pub summary: Mutex<Summary>,
}

impl ProcessState {
    /// This front end's lifecycle, as gossip reports it to the fleet.
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

    /// Starts a drain. Returns whether none was running.
    pub fn start_drain(&self) -> bool {
        if let Ok(mut started_at) = self.drain_started_at.lock() {
            if !self.draining.load(Ordering::Acquire) {
                *started_at = Some(Instant::now());
            }
        }
        !self.draining.swap(true, Ordering::AcqRel)
    }

    /// Ends a drain. Returns whether one was running.
    pub fn end_drain(&self) -> bool {
        self.draining.swap(false, Ordering::AcqRel)
    }

    /// Whether new requests on open connections are rejected at once: the process is about to exit, or a drain has
    /// lasted for longer than `Limits::drain_serve_time`, and a connection in use would not become idle.
    pub fn rejects_requests(&self, limits: &Limits) -> bool {
        if self.stopping.load(Ordering::Acquire) {
            return true;
        }
        if !self.draining.load(Ordering::Acquire) {
            return false;
        }
        let started_at = self.drain_started_at.lock();
        started_at.is_ok_and(|at| at.is_some_and(|at| at.elapsed() > limits.drain_serve_time))
    }

    /// Whether the front end accepts clients: it has an endpoint list and does not drain. `/healthz` reports this.
    pub fn accepts_clients(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.load(Ordering::Acquire)
    }
}
