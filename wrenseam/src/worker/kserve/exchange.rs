//! Exchanges: each is a request to a v2 worker and the response to it.
use super::super::dispatch::Dispatch;
use crate::model::AttemptKey;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::FunctionId;

/// An attempt on its way to the worker.
pub(super) struct Call {
    pub(super) key: AttemptKey,
    /// The id that the worker sees.
    pub(super) wire_id: u64,
    /// Whether it carries a body of the platform's protocol, so that the response must be unwrapped.
    pub(super) is_wrapped: bool,
}

/// A load order on its way to the worker.
pub(super) struct Order {
    pub(super) number: u64,
    pub(super) function: FunctionId,
    /// Replicas to hold; 0 only asks how many there are.
    pub(super) replicas: u32,
}

/// The purpose of an exchange.
pub(super) enum ExchangeKind {
    Call(Call),
    Order(Order),
    /// An order to unload idle replicas, whose response is ignored.
    Unload,
}

/// An exchange that has been handed to the connections.
pub(super) struct Exchange {
    pub(super) kind: ExchangeKind,
    /// The bytes of the HTTP request.
    pub(super) request: Vec<u8>,
    /// Decides whether it may be started.
    pub(super) dispatch: Arc<Dispatch>,
    /// Set once it is cancelled.
    pub(super) cancelled: Arc<AtomicBool>,
    /// The worker's drain epoch when the exchange was handed over.
    pub(super) drain_epoch: u64,
    /// Whether it is not started once the worker drains.
    pub(super) withheld_on_drain: bool,
    /// If no response has arrived by then, the connection closes, so that a silent worker does not keep it open.
    pub(super) response_deadline: Instant,
}

impl Exchange {
    /// Whether it is cancelled.
    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }
}

/// The state that the core's side and the connections to one worker share.
#[derive(Default)]
pub(super) struct WorkerConnections {
    /// Counts the drains of the worker. What was handed over before a drain is not written after it.
    drain_epoch: AtomicU64,
    /// Exchanges that were handed over and have not ended.
    open_exchanges: AtomicUsize,
    /// Running connection coroutines.
    connections: AtomicUsize,
}

impl WorkerConnections {
    pub(super) fn drain_epoch(&self) -> u64 {
        self.drain_epoch.load(Ordering::Acquire)
    }

    /// Records that the worker is draining or gone.
    pub(super) fn start_draining(&self) {
        self.drain_epoch.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn open_exchanges(&self) -> usize {
        self.open_exchanges.load(Ordering::Acquire)
    }

    /// Counts an exchange as handed over. Returns how many are open, including this one.
    pub(super) fn count_opened(&self) -> usize {
        self.open_exchanges.fetch_add(1, Ordering::AcqRel) + 1
    }

    pub(super) fn count_ended(&self) {
        self.open_exchanges.fetch_sub(1, Ordering::AcqRel);
    }

    /// The number of running connection coroutines.
    pub(super) fn count(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    pub(super) fn count_connected(&self) {
        self.connections.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn count_disconnected(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }
}
