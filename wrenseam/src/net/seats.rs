//! The client connections over all fronts: how many there may be, what each is at, and which are ended for others.
use super::{connection_number, Outbox};
use crate::limits::Limits;
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The client connections over all fronts, against their limit.
#[derive(Clone)]
pub struct Seats {
    taken: Arc<Mutex<BTreeMap<u64, Arc<Occupant>>>>,
    most: usize,
    draining: Arc<AtomicBool>,
    /// How many are taken, for whoever shares the descriptors.
    count: Arc<AtomicUsize>,
}

/// What a client connection is at.
#[derive(Clone, Copy)]
struct Use {
    /// Requests that are owed an answer.
    open: usize,
    /// When the last of them ended; else when it connected.
    since: Instant,
    /// Whether a request of it has been served or refused: others may never say anything of use.
    proven: bool,
    /// Whether it was ended to make room for another: no request is taken on it any more.
    evicted: bool,
}

/// One client connection, as the seats know it.
pub struct Occupant {
    /// The connection's number, unique in the program.
    pub number: u64,
    state: Mutex<(Use, Option<Outbox>)>,
    draining: Arc<AtomicBool>,
}

impl Occupant {
    fn change(&self, change: impl FnOnce(&mut Use)) {
        if let Ok(mut state) = self.state.lock() {
            change(&mut state.0);
        }
    }

    /// Names the sending side, by which the connection can be closed.
    pub fn writes_to(&self, out: &Outbox) {
        if let Ok(mut state) = self.state.lock() {
            state.1 = Some(out.clone());
        }
    }

    /// A request has been read and goes to the core. False if the connection was evicted: a request that is sent on
    /// from it could not be answered, and its client would send it once more.
    #[must_use]
    pub fn opened(&self) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        let taken = !state.0.evicted;
        state.0.open += usize::from(taken);
        taken
    }

    /// Answers a request: `write` queues the answer, and only then the request is owed nothing any more. In the other
    /// order a reader that closes connections on which nothing is owed closes this one ahead of the answer. `proven`
    /// if the request was one that workers could take.
    pub fn answered(&self, proven: bool, write: impl FnOnce()) {
        write();
        self.ended(proven);
    }

    /// A request is owed nothing any more: its client gave it up, or it has been answered.
    pub fn ended(&self, proven: bool) {
        self.change(|u| {
            (u.open, u.since) = (u.open.saturating_sub(1), Instant::now());
            u.proven |= proven;
        });
    }

    /// Ends the connection to make room for another, unless something is owed, unread or unwritten on it. That is
    /// decided under the lock that `opened` takes: no request is taken on a connection that ends here.
    fn evict(&self) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        let (usage, out) = &mut *state;
        let quiet = || out.as_ref().is_some_and(Outbox::end_if_quiet);
        usage.evicted = usage.evicted || usage.open == 0 && quiet();
        usage.evicted
    }

    /// Something was answered at once.
    pub fn heard(&self) {
        self.change(|u| u.since = Instant::now());
    }

    /// Whether nothing is owed here.
    pub fn is_idle(&self) -> bool {
        self.state.lock().is_ok_and(|s| s.0.open == 0)
    }

    /// Whether an answer may still be on its way: one was given so recently.
    pub fn answered_within(&self, span: Duration) -> bool {
        self.state.lock().is_ok_and(|s| s.0.since.elapsed() <= span)
    }

    /// Whether nothing has been owed here for so long that the connection should end. Guards descriptors and
    /// memory against connections that say nothing, or ask once and stay. Usual clients close sooner.
    pub fn outstayed(&self, limits: &Limits) -> bool {
        let Ok(state) = self.state.lock() else {
            return true;
        };
        let Use {
            open,
            since,
            proven,
            ..
        } = state.0;
        let most = match () {
            // A drain lets the front end go once its clients have: it holds no connection idle for long.
            () if self.draining.load(Ordering::Acquire) => limits.drain_idle,
            () if proven => limits.client_idle,
            () => limits.first_request,
        };
        open == 0 && since.elapsed() > most
    }
}

impl Seats {
    /// So many connections; while `draining` is set, connections on which nothing is owed close soon.
    pub fn new(most: usize, draining: Arc<AtomicBool>, count: Arc<AtomicUsize>) -> Self {
        Seats {
            taken: Arc::default(),
            most,
            draining,
            count,
        }
    }

    /// A seat, or nothing if all are taken.
    pub fn take(&self) -> Option<Seat> {
        let mut taken = self.taken.lock().ok()?;
        if taken.len() >= self.most {
            return None;
        }
        let usage = Use {
            open: 0,
            since: Instant::now(),
            proven: false,
            evicted: false,
        };
        let state = Mutex::new((usage, None));
        let draining = self.draining.clone();
        let occupant = Arc::new(Occupant {
            number: connection_number(),
            state,
            draining,
        });
        taken.insert(occupant.number, occupant.clone());
        self.count.store(taken.len(), Ordering::Release);
        Some(Seat {
            seats: self.clone(),
            occupant,
        })
    }

    /// Closes a part of the connections on which nothing is owed: first those that never asked for anything of
    /// use, then those idle longest. Guards usual clients against hundreds that connect and say nothing.
    /// Whether any is or may soon be free.
    pub fn clear(&self) -> bool {
        let Ok(taken) = self.taken.lock() else {
            return false;
        };
        // Those that have only just been accepted are not known to have anything to say yet.
        let new = |o: &Arc<Occupant>| o.state.lock().is_ok_and(|s| s.1.is_none());
        let new = taken.values().any(new);
        let idle = |o: &Arc<Occupant>| {
            let state = o.state.lock().ok()?;
            let idle = state.1.is_some() && state.0.open == 0;
            idle.then(|| ((state.0.proven, state.0.since), o.clone()))
        };
        let mut idle: Vec<_> = taken.values().filter_map(idle).collect();
        drop(taken);
        idle.sort_by_key(|i| i.0);
        let evicted = idle.iter().filter(|(_, occupant)| occupant.evict());
        let _ = evicted.take(self.most.div_ceil(16)).count();
        new || !idle.is_empty()
    }
}

/// One client connection's place; given back when dropped.
pub struct Seat {
    seats: Seats,
    /// Who has it.
    pub occupant: Arc<Occupant>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Ok(mut taken) = self.seats.taken.lock() {
            taken.remove(&self.occupant.number);
            self.seats.count.store(taken.len(), Ordering::Release);
        }
    }
}
