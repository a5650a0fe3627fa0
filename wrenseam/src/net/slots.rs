//! The limit on client connections over all fronts: which slots are in use, the state of each connection, and which
//! idle connections are evicted to make room for new ones.
use super::{next_connection_number, Outbox};
use crate::limits::Limits;
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One eviction closes at most the connection limit divided by this. It closes several at a time, so that not every new
/// connection has to search all slots.
const EVICTION_DIVISOR: usize = 16;

/// The slots for client connections, shared by all fronts.
#[derive(Clone)]
pub struct ConnectionSlots {
    used: Arc<Mutex<BTreeMap<u64, Arc<ConnectionSlot>>>>,
    limit: usize,
    draining: Arc<AtomicBool>,
    /// The number of slots in use, shared with the core, which divides the file descriptors between clients and
    /// workers.
    count: Arc<AtomicUsize>,
}

/// The activity of a client connection.
#[derive(Clone, Copy)]
struct Activity {
    /// Requests that have not been answered or cancelled.
    open_requests: usize,
    /// When the last request ended or was answered without the core; until then, when the client connected.
    idle_since: Instant,
    /// Whether a valid request has ended on the connection; some clients never send one.
    had_valid_request: bool,
    /// Whether the connection was evicted: no further request is accepted on it.
    is_evicted: bool,
}

struct SlotState {
    activity: Activity,
    /// The sending side; `None` until the connection's reader has started.
    outbox: Option<Outbox>,
}

impl SlotState {
    /// Whether the client is still taking its responses.
    fn is_client_behind(&self) -> bool {
        let idle_since = self.activity.idle_since;
        let outbox = self.outbox.as_ref();
        outbox.is_some_and(|outbox| outbox.is_client_behind(idle_since))
    }

    /// Since when the connection has been idle: since the last request ended, or since the client caught up with reading
    /// its responses if that was later.
    fn idle_since(&self) -> Instant {
        let ended_at = self.activity.idle_since;
        let caught_up_at = self.outbox.as_ref().and_then(Outbox::caught_up_at);
        caught_up_at.map_or(ended_at, |at| ended_at.max(at))
    }
}

/// The slot of one client connection.
pub struct ConnectionSlot {
    /// The connection's number, unique in the process.
    pub number: u64,
    state: Mutex<SlotState>,
    draining: Arc<AtomicBool>,
}

impl ConnectionSlot {
    fn new(draining: Arc<AtomicBool>) -> Self {
        let activity = Activity {
            open_requests: 0,
            idle_since: Instant::now(),
            had_valid_request: false,
            is_evicted: false,
        };
        ConnectionSlot {
            number: next_connection_number(),
            state: Mutex::new(SlotState {
                activity,
                outbox: None,
            }),
            draining,
        }
    }

    fn update(&self, update: impl FnOnce(&mut Activity)) {
        if let Ok(mut state) = self.state.lock() {
            update(&mut state.activity);
        }
    }

    /// Sets the sending side, through which the connection can be closed.
    pub fn attach_outbox(&self, outbox: &Outbox) {
        if let Ok(mut state) = self.state.lock() {
            state.outbox = Some(outbox.clone());
        }
    }

    /// Counts a request that has been read and is about to go to the core. Returns false if the connection was evicted:
    /// a request forwarded from it could not be answered, and its client would send it again.
    #[must_use]
    pub fn begin_request(&self) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        if state.activity.is_evicted {
            return false;
        }
        state.activity.open_requests += 1;
        true
    }

    /// Answers a request: `write` queues the response, and only after that the request counts as ended. In the other
    /// order the reader could close the connection as idle before the response is queued. `was_valid` tells whether the
    /// request counts as valid, after which the connection gets the longer idle timeout.
    pub fn answer_request(&self, was_valid: bool, write: impl FnOnce()) {
        write();
        self.finish_request(was_valid);
    }

    /// Counts a request as ended: it has been answered, or its client cancelled it.
    pub fn finish_request(&self, was_valid: bool) {
        self.update(|activity| {
            activity.open_requests = activity.open_requests.saturating_sub(1);
            activity.idle_since = Instant::now();
            activity.had_valid_request |= was_valid;
        });
    }

    /// Evicts the connection, unless it has an open request, input that is unread or not handled, or undelivered
    /// responses. The check holds the lock that `begin_request` takes, so no request is accepted on a connection that is
    /// being evicted. Returns whether the connection is evicted.
    fn evict(&self) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        let SlotState { activity, outbox } = &mut *state;
        if !activity.is_evicted && activity.open_requests == 0 {
            activity.is_evicted = outbox.as_ref().is_some_and(Outbox::evict);
        }
        activity.is_evicted
    }

    /// Restarts the idle time, after a response that did not involve the core.
    pub fn touch(&self) {
        self.update(|activity| activity.idle_since = Instant::now());
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.is_ok_and(|state| state.activity.open_requests == 0)
    }

    /// Whether the last request ended within `duration`, so that its response may still be on its way.
    pub fn finished_within(&self, duration: Duration) -> bool {
        let state = self.state.lock();
        state.is_ok_and(|state| state.activity.idle_since.elapsed() <= duration)
    }

    /// Whether the client is still taking its responses. Such a connection is not closed as idle.
    pub fn is_client_behind(&self) -> bool {
        self.state
            .lock()
            .is_ok_and(|state| state.is_client_behind())
    }

    /// Whether the connection has been idle for long enough to be closed. Guards descriptors and memory against clients
    /// that send nothing, or send one request and stay connected. Usual clients close sooner.
    pub fn has_idle_timed_out(&self, limits: &Limits) -> bool {
        let Ok(state) = self.state.lock() else {
            return true;
        };
        let activity = state.activity;
        activity.open_requests == 0
            && !state.is_client_behind()
            && state.idle_since().elapsed() > self.idle_timeout(&activity, limits)
    }

    fn idle_timeout(&self, activity: &Activity, limits: &Limits) -> Duration {
        if self.draining.load(Ordering::Acquire) {
            // A draining front end exits once its clients have left, so it does not keep idle connections open.
            limits.drain_idle_timeout
        } else if activity.had_valid_request {
            limits.client_idle_timeout
        } else {
            limits.first_request_timeout
        }
    }

    /// Whether the connection's reader has not started yet: its client may still send something.
    fn is_new(&self) -> bool {
        let state = self.state.lock();
        state.is_ok_and(|state| state.outbox.is_none())
    }

    /// The connection's place in the order of evictions; `None` if it cannot be evicted. Connections that never had a
    /// valid request come first, then those that have been idle longest.
    fn eviction_rank(&self) -> Option<(bool, Instant)> {
        let state = self.state.lock().ok()?;
        let is_evictable = state.outbox.is_some() && state.activity.open_requests == 0;
        is_evictable.then_some((state.activity.had_valid_request, state.activity.idle_since))
    }
}

impl ConnectionSlots {
    /// Creates `limit` free slots. `count` is kept at the number of slots in use; while `draining` is set, idle
    /// connections close without delay.
    pub fn new(limit: usize, draining: Arc<AtomicBool>, count: Arc<AtomicUsize>) -> Self {
        ConnectionSlots {
            used: Arc::default(),
            limit,
            draining,
            count,
        }
    }

    /// Acquires a slot; `None` if all are in use.
    pub fn acquire(&self) -> Option<SlotGuard> {
        let mut used = self.used.lock().ok()?;
        if used.len() >= self.limit {
            return None;
        }
        let slot = Arc::new(ConnectionSlot::new(self.draining.clone()));
        used.insert(slot.number, slot.clone());
        self.count.store(used.len(), Ordering::Release);
        Some(SlotGuard {
            slots: self.clone(),
            slot,
        })
    }

    /// Evicts some of the idle connections, so that hundreds of clients that connect and send nothing cannot lock out
    /// others. Returns whether any slot is free now or may soon be.
    pub fn evict_idle(&self) -> bool {
        let Ok(used) = self.used.lock() else {
            return false;
        };
        let any_new = used.values().any(|slot| slot.is_new());
        let ranked = |slot: &Arc<ConnectionSlot>| Some((slot.eviction_rank()?, slot.clone()));
        let mut idle: Vec<_> = used.values().filter_map(ranked).collect();
        drop(used);
        idle.sort_by_key(|(rank, _)| *rank);
        let mut remaining = self.limit.div_ceil(EVICTION_DIVISOR);
        for (_, slot) in &idle {
            if remaining == 0 {
                break;
            }
            remaining -= usize::from(slot.evict());
        }
        any_new || !idle.is_empty()
    }
}

/// Holds the slot of one client connection and frees it when dropped.
pub struct SlotGuard {
    slots: ConnectionSlots,
    /// The slot that is held.
    pub slot: Arc<ConnectionSlot>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Ok(mut used) = self.slots.used.lock() {
            used.remove(&self.slot.number);
            self.slots.count.store(used.len(), Ordering::Release);
        }
    }
}
