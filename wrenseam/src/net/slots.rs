//! The limit of client connections over all fronts: which slots are in use, what each connection is at, and which idle
//! connections are evicted to make room for new ones.
use super::{connection_number, Outbox};
use crate::limits::Limits;
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An eviction ends this part of the connections at the most, so that not each newcomer has to look through all.
const EVICTED_FRACTION: usize = 16;

/// The client connections over all fronts, against their limit.
#[derive(Clone)]
pub struct ConnectionSlots {
    used: Arc<Mutex<BTreeMap<u64, Arc<ConnectionSlot>>>>,
    limit: usize,
    draining: Arc<AtomicBool>,
    /// How many are in use, for whoever shares the descriptors.
    count: Arc<AtomicUsize>,
}

/// What a client connection is at.
#[derive(Clone, Copy)]
struct Usage {
    /// Requests that wait for their answer.
    open_requests: usize,
    /// When the last of them ended; else when the client connected.
    idle_since: Instant,
    /// Whether a request of it has been served or rejected: others may never send a valid one.
    had_valid_request: bool,
    /// Whether it was evicted: no request is taken on it any more.
    is_evicted: bool,
}

struct SlotState {
    usage: Usage,
    /// The sending side, once the connection is read.
    outbox: Option<Outbox>,
}

/// One client connection, as the limit knows it.
pub struct ConnectionSlot {
    /// The connection's number, unique in the program.
    pub number: u64,
    state: Mutex<SlotState>,
    draining: Arc<AtomicBool>,
}

impl ConnectionSlot {
    fn new(draining: Arc<AtomicBool>) -> Self {
        let usage = Usage {
            open_requests: 0,
            idle_since: Instant::now(),
            had_valid_request: false,
            is_evicted: false,
        };
        ConnectionSlot {
            number: connection_number(),
            state: Mutex::new(SlotState {
                usage,
                outbox: None,
            }),
            draining,
        }
    }

    fn update(&self, update: impl FnOnce(&mut Usage)) {
        if let Ok(mut state) = self.state.lock() {
            update(&mut state.usage);
        }
    }

    /// Names the sending side, by which the connection can be closed.
    pub fn attach_outbox(&self, outbox: &Outbox) {
        if let Ok(mut state) = self.state.lock() {
            state.outbox = Some(outbox.clone());
        }
    }

    /// A request has been read and goes to the core. False if the connection was evicted: a request forwarded from it
    /// could not be answered, and its client would send it once more.
    #[must_use]
    pub fn begin_request(&self) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        if state.usage.is_evicted {
            return false;
        }
        state.usage.open_requests += 1;
        true
    }

    /// Answers a request: `write` queues the answer, and only then the request is no longer open. In the other
    /// order a reader that closes idle connections closes this one ahead of the answer. `was_valid`
    /// if the request was one that workers could take.
    pub fn answer_request(&self, was_valid: bool, write: impl FnOnce()) {
        write();
        self.finish_request(was_valid);
    }

    /// A request is no longer open: its client cancelled it, or it has been answered.
    pub fn finish_request(&self, was_valid: bool) {
        self.update(|usage| {
            usage.open_requests = usage.open_requests.saturating_sub(1);
            usage.idle_since = Instant::now();
            usage.had_valid_request |= was_valid;
        });
    }

    /// Evicts the connection, unless a request is open, or something unread or unwritten on it. That is decided under
    /// the lock that `begin_request` takes: no request is taken on a connection that is evicted.
    fn evict(&self) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        let SlotState { usage, outbox } = &mut *state;
        if !usage.is_evicted && usage.open_requests == 0 {
            usage.is_evicted = outbox.as_ref().is_some_and(Outbox::close_if_quiet);
        }
        usage.is_evicted
    }

    /// Something was answered without the core: the connection counts as idle from now on.
    pub fn touch(&self) {
        self.update(|usage| usage.idle_since = Instant::now());
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.is_ok_and(|state| state.usage.open_requests == 0)
    }

    /// Whether an answer may still be on its way: one was given so recently.
    pub fn finished_within(&self, span: Duration) -> bool {
        let state = self.state.lock();
        state.is_ok_and(|state| state.usage.idle_since.elapsed() <= span)
    }

    /// Whether no request has been open for so long that the connection should end. Guards descriptors and
    /// memory against connections that send nothing, or one request and stay. Usual clients close sooner.
    pub fn has_idle_timed_out(&self, limits: &Limits) -> bool {
        let Ok(state) = self.state.lock() else {
            return true;
        };
        let usage = state.usage;
        usage.open_requests == 0 && usage.idle_since.elapsed() > self.idle_timeout(&usage, limits)
    }

    fn idle_timeout(&self, usage: &Usage, limits: &Limits) -> Duration {
        if self.draining.load(Ordering::Acquire) {
            // A draining front end ends once its clients have left: it holds no connection idle for long.
            limits.drain_idle_timeout
        } else if usage.had_valid_request {
            limits.client_idle_timeout
        } else {
            limits.first_request_timeout
        }
    }

    /// Whether its reader has not been started yet, so that it may still have something to send.
    fn is_new(&self) -> bool {
        let state = self.state.lock();
        state.is_ok_and(|state| state.outbox.is_none())
    }

    /// Its place in the order of evictions, if it is idle: connections that never had a valid request come first, then
    /// those that have been idle longest.
    fn eviction_rank(&self) -> Option<(bool, Instant)> {
        let state = self.state.lock().ok()?;
        let is_evictable = state.outbox.is_some() && state.usage.open_requests == 0;
        is_evictable.then_some((state.usage.had_valid_request, state.usage.idle_since))
    }
}

impl ConnectionSlots {
    /// So many connections; while `draining` is set, idle connections close soon.
    pub fn new(limit: usize, draining: Arc<AtomicBool>, count: Arc<AtomicUsize>) -> Self {
        ConnectionSlots {
            used: Arc::default(),
            limit,
            draining,
            count,
        }
    }

    /// A slot, unless all are in use.
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

    /// Evicts some of the idle connections. Guards usual clients against hundreds that connect and
    /// send nothing. Whether any slot is or may soon be free.
    pub fn evict_idle(&self) -> bool {
        let Ok(used) = self.used.lock() else {
            return false;
        };
        let any_new = used.values().any(|slot| slot.is_new());
        let ranked = |slot: &Arc<ConnectionSlot>| Some((slot.eviction_rank()?, slot.clone()));
        let mut idle: Vec<_> = used.values().filter_map(ranked).collect();
        drop(used);
        idle.sort_by_key(|(rank, _)| *rank);
        let mut remaining = self.limit.div_ceil(EVICTED_FRACTION);
        for (_, slot) in &idle {
            if remaining == 0 {
                break;
            }
            remaining -= usize::from(slot.evict());
        }
        any_new || !idle.is_empty()
    }
}

/// Holds the slot of one client connection; dropping it frees the slot.
pub struct SlotGuard {
    slots: ConnectionSlots,
    /// The slot.
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
