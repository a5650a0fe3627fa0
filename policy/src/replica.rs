//! Cached replica state: what is believed of one function at one worker, and until when.
use crate::types::{Micros, MILLISECOND};

/// How long a worker's note on other front ends' requests is believed.
const QUEUE_NOTE_LIFETIME: Micros = 500 * MILLISECOND;

/// An order to a worker that has not been answered.
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

/// Requests of other front ends that a worker had for the function when it last said so.
#[derive(Clone, Copy, Debug, Default)]
struct QueueNote {
    noted_at: Micros,
    in_flight: u32,
}

/// What is known of the replicas of one function at one worker.
#[derive(Debug, Default)]
pub(crate) struct ReplicaState {
    /// Replicas believed to be loaded, and until when without a further sign.
    count: u32,
    expires_at: Micros,
    /// When the last sign of them came, counted as of the start of their idle time.
    confirmed_at: Micros,
    own_in_flight: u32,
    others: QueueNote,
    order: Option<PendingOrder>,
    last_poll: Option<Micros>,
    /// Attempts in flight that were sent to have the function loaded.
    loading_attempts: u32,
    /// Whether the memory of its idle replicas has been given to another function, in the order of least recent loss.
    slot_given_away: bool,
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

    pub(crate) fn last_poll(&self) -> Option<Micros> {
        self.last_poll
    }

    /// Whether a replica is believed to be loaded.
    pub(crate) fn is_loaded(&self, now: Micros) -> bool {
        self.count > 0 && (self.expires_at > now || self.own_in_flight > 0)
    }

    /// Whether a replica is believed to be loaded and has no request of this front end.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        self.is_loaded(now) && self.own_in_flight == 0
    }

    /// Whether the replicas run fewer requests than they can: this front end's, and others' where a recent note told of
    /// them.
    pub(crate) fn has_free_slot(&self, now: Micros, concurrency: u32) -> bool {
        let note_is_recent = now < self.others.noted_at + QUEUE_NOTE_LIFETIME;
        let others = if note_is_recent {
            self.others.in_flight
        } else {
            0
        };
        self.own_in_flight + others < self.count.saturating_mul(concurrency)
    }

    /// Whether an order to load is pending.
    pub(crate) fn is_load_ordered(&self) -> bool {
        self.order.is_some_and(PendingOrder::is_load)
    }

    /// Whether attempts are in flight that were sent to have the function loaded.
    pub(crate) fn is_loaded_by_attempts(&self) -> bool {
        self.loading_attempts > 0
    }

    /// Whether a first replica is on its way.
    pub(crate) fn is_loading(&self) -> bool {
        self.is_load_ordered() && self.count == 0 || self.loading_attempts > 0
    }

    /// Whether something of this front end is in flight there, so that the record must stay.
    pub(crate) fn is_in_use(&self) -> bool {
        self.own_in_flight > 0 || self.order.is_some() || self.loading_attempts > 0
    }

    pub(crate) fn is_slot_given_away(&self) -> bool {
        self.slot_given_away
    }

    /// Nothing is loaded there any more: the process stopped, restarted or left.
    pub(crate) fn invalidate(&mut self) {
        self.count = 0;
        self.expires_at = 0;
        self.last_poll = None;
    }

    /// The function is not loaded there, or its idle replicas are being unloaded.
    pub(crate) fn mark_unloaded(&mut self) {
        self.count = 0;
    }

    pub(crate) fn give_slot_away(&mut self) {
        self.slot_given_away = true;
    }

    /// Replicas live at least this long from their last sign.
    pub(crate) fn extend(&mut self, lifetime: Micros) {
        self.expires_at = self.expires_at.max(self.confirmed_at + lifetime);
    }

    /// An attempt goes there; `loads` if it is to have the function loaded. Returns the requests in flight with it.
    pub(crate) fn attempt_sent(&mut self, loads: bool) -> u32 {
        self.own_in_flight += 1;
        self.slot_given_away = false;
        self.loading_attempts += u32::from(loads);
        self.own_in_flight
    }

    /// An attempt there has ended.
    pub(crate) fn attempt_ended(&mut self, loads: bool) {
        self.own_in_flight -= 1;
        self.loading_attempts -= u32::from(loads);
    }

    /// An attempt was served there.
    pub(crate) fn served(&mut self, now: Micros, expires_at: Micros) {
        self.count = self.count.max(1);
        self.expires_at = self.expires_at.max(expires_at);
        self.confirmed_at = now;
    }

    /// A worker noted the requests that it had for the function, of which `own` were this front end's.
    pub(crate) fn note_queue(&mut self, now: Micros, requests: u32, own: u32) {
        self.others = QueueNote {
            noted_at: now,
            in_flight: requests.saturating_sub(own),
        };
    }

    pub(crate) fn load_ordered(&mut self, now: Micros) {
        self.order = Some(PendingOrder::Load { since: now });
    }

    pub(crate) fn poll_sent(&mut self, now: Micros) {
        self.order = Some(PendingOrder::Poll { since: now });
    }

    /// Notes that the worker was polled, by an order or by a request.
    pub(crate) fn polled(&mut self, now: Micros) {
        self.last_poll = Some(now);
    }

    /// The pending order has ended.
    pub(crate) fn order_ended(&mut self) -> Option<PendingOrder> {
        self.order.take()
    }

    /// The answer to an order: so many replicas are loaded, which for certain stay until `certain_until`; `lifetime` is
    /// how long they stay from the start of their idle time.
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
