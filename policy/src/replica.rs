//! Cached replica state: what is assumed about one function at one worker, and until when.
use crate::types::{Micros, MILLISECOND};

/// How long a worker's report on the requests of other front ends is used.
const QUEUE_REPORT_LIFETIME: Micros = 500 * MILLISECOND;

/// An order to a worker that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PendingOrder {
    /// A poll of how many replicas are loaded.
    Poll { since: Micros },
    /// An order to load replicas, or to keep them alive.
    Load { since: Micros },
}

impl PendingOrder {
    pub(crate) fn since(self) -> Micros {
        match self {
            PendingOrder::Poll { since } | PendingOrder::Load { since } => since,
        }
    }

    pub(crate) fn is_load(self) -> bool {
        matches!(self, PendingOrder::Load { .. })
    }
}

/// Requests of other front ends for the function at the worker, by the worker's last report.
#[derive(Clone, Copy, Debug, Default)]
struct QueueReport {
    received_at: Micros,
    in_flight: u32,
}

/// What is known of the replicas of one function at one worker.
#[derive(Debug, Default)]
pub(crate) struct ReplicaState {
    /// Replicas assumed to be loaded.
    count: u32,
    /// Until when they are assumed to be loaded unless they are confirmed again.
    expires_at: Micros,
    /// Start of their idle time, by the last confirmation that they are loaded.
    confirmed_at: Micros,
    /// This front end's requests in flight there for the function.
    own_in_flight: u32,
    others: QueueReport,
    order: Option<PendingOrder>,
    last_lookup: Option<Micros>,
    /// Attempts in flight for which the worker is expected to load the function.
    loading_attempts: u32,
    /// Whether its idle replicas were chosen to be replaced by another function's, in the order of least recent loss.
    marked_for_replacement: bool,
}

impl ReplicaState {
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    pub(crate) fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    pub(crate) fn expires_at(&self) -> Micros {
        self.expires_at
    }

    pub(crate) fn order(&self) -> Option<PendingOrder> {
        self.order
    }

    pub(crate) fn last_lookup(&self) -> Option<Micros> {
        self.last_lookup
    }

    /// Whether a replica is assumed to be loaded.
    pub(crate) fn is_loaded(&self, now: Micros) -> bool {
        self.count > 0 && (self.expires_at > now || self.own_in_flight > 0)
    }

    /// Whether a replica is assumed to be loaded and has no request of this front end in flight.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        self.is_loaded(now) && self.own_in_flight == 0
    }

    /// Whether the replicas run fewer requests than they can, counting this front end's and, by a recent report, those
    /// of other front ends.
    pub(crate) fn has_free_slot(&self, now: Micros, concurrency: u32) -> bool {
        let is_report_recent = now < self.others.received_at + QUEUE_REPORT_LIFETIME;
        let others = if is_report_recent {
            self.others.in_flight
        } else {
            0
        };
        self.own_in_flight.saturating_add(others) < self.count.saturating_mul(concurrency)
    }

    /// Whether an order to load is pending.
    pub(crate) fn is_load_ordered(&self) -> bool {
        self.order.is_some_and(PendingOrder::is_load)
    }

    /// Whether attempts are in flight for which the worker is expected to load the function.
    pub(crate) fn is_loading_for_attempts(&self) -> bool {
        self.loading_attempts > 0
    }

    /// Whether a first replica is being loaded, by an order or by an attempt.
    pub(crate) fn is_loading(&self) -> bool {
        self.is_load_ordered() && self.count == 0 || self.loading_attempts > 0
    }

    /// Whether an attempt or an order is in flight there, so that this record must be kept.
    pub(crate) fn is_in_use(&self) -> bool {
        self.own_in_flight > 0 || self.order.is_some() || self.loading_attempts > 0
    }

    pub(crate) fn is_marked_for_replacement(&self) -> bool {
        self.marked_for_replacement
    }

    /// Records that nothing is loaded there any more: the process stopped, restarted or left.
    pub(crate) fn invalidate(&mut self) {
        self.count = 0;
        self.expires_at = 0;
        self.last_lookup = None;
    }

    /// Records that the function is not loaded there, or that its idle replicas are being unloaded.
    pub(crate) fn mark_unloaded(&mut self) {
        self.count = 0;
    }

    pub(crate) fn mark_for_replacement(&mut self) {
        self.marked_for_replacement = true;
    }

    /// Extends the assumed lifetime of the replicas to this long after they were last confirmed.
    pub(crate) fn extend(&mut self, lifetime: Micros) {
        self.expires_at = self.expires_at.max(self.confirmed_at + lifetime);
    }

    /// Records that an attempt was sent; `loads` if the worker is expected to load the function for it. Returns this
    /// front end's requests in flight, including it.
    pub(crate) fn attempt_sent(&mut self, loads: bool) -> u32 {
        self.own_in_flight += 1;
        self.marked_for_replacement = false;
        self.loading_attempts += u32::from(loads);
        self.own_in_flight
    }

    /// Records that an attempt ended; `loads` as when it was sent.
    pub(crate) fn attempt_ended(&mut self, loads: bool) {
        self.own_in_flight -= 1;
        self.loading_attempts -= u32::from(loads);
    }

    /// Records that an attempt was served there.
    pub(crate) fn served(&mut self, now: Micros, expires_at: Micros) {
        self.count = self.count.max(1);
        self.expires_at = self.expires_at.max(expires_at);
        self.confirmed_at = now;
    }

    /// Records the worker's report of its requests for the function, of which `own` were this front end's.
    pub(crate) fn queue_reported(&mut self, now: Micros, requests: u32, own: u32) {
        self.others = QueueReport {
            received_at: now,
            in_flight: requests.saturating_sub(own),
        };
    }

    pub(crate) fn load_ordered(&mut self, now: Micros) {
        self.order = Some(PendingOrder::Load { since: now });
    }

    pub(crate) fn poll_sent(&mut self, now: Micros) {
        self.order = Some(PendingOrder::Poll { since: now });
    }

    /// Records that a poll or a request was sent to find out whether the function is loaded there.
    pub(crate) fn lookup_sent(&mut self, now: Micros) {
        self.last_lookup = Some(now);
    }

    /// Records that the pending order ended, and returns it; `None` if none was pending.
    pub(crate) fn order_ended(&mut self) -> Option<PendingOrder> {
        self.order.take()
    }

    /// Records the answer to an order: this many replicas are loaded, and stay at least until `certain_until`.
    /// `lifetime` is how long they stay from the start of their idle time.
    pub(crate) fn confirm(&mut self, replicas: u32, certain_until: Micros, lifetime: Micros) {
        self.count = replicas;
        self.confirmed_at = certain_until.saturating_sub(lifetime);
        self.expires_at = if replicas > 0 {
            self.expires_at.max(certain_until)
        } else {
            0
        };
    }
}
