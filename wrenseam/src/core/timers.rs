//! The core's timers, in one heap. A timer cannot be cancelled; its handler ignores it if it is no longer needed, and
//! where many are set, those that are not needed are removed from time to time.
use crate::model::AttemptKey;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use wrenseam_policy::Micros;

/// The longest that the event loop waits, even if no timer is due sooner.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Timers that are no longer needed are first removed when more than this many are set.
const FIRST_REMOVAL: usize = 8_192;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// The policy's timer with this token.
    Policy(u64),
    /// The attempt has reached its timeout.
    AttemptTimeout(AttemptKey),
    /// The load order of this number has reached its timeout.
    LoadOrderTimeout(u64),
    /// The request of this number has reached the last time at which an answer still reaches its client in time.
    RequestDeadline(u64),
    /// The next keepalive check of the connections to workers is due.
    KeepaliveCheck,
    /// The next review of the readiness leases is due.
    LeaseReview,
    /// The next sweep is due, which closes idle connections and removes workers that are gone.
    IdleSweep,
}

/// One timer. Timers are ordered by time, then by the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    sequence: u64,
    event: TimerEvent,
}

/// The heap of timers. Timers of the same time fire in the order in which they were set.
#[derive(Debug)]
pub struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
    sequence: u64,
    /// Timers that are no longer needed are removed when more than this many are set.
    next_removal: usize,
}

impl Default for Timers {
    fn default() -> Self {
        Timers {
            heap: BinaryHeap::new(),
            sequence: 0,
            next_removal: FIRST_REMOVAL,
        }
    }
}

impl Timers {
    /// Sets a timer that fires at this time.
    pub fn set(&mut self, at: Micros, event: TimerEvent) {
        self.sequence += 1;
        self.heap.push(Reverse(Timer {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    /// The number of timers that have not fired.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Whether so many timers are set that those that are no longer needed should be removed.
    pub fn removal_is_due(&self) -> bool {
        self.heap.len() > self.next_removal
    }

    /// Removes the timers that are not needed. The next removal is due when twice as many are set as are left.
    pub fn retain(&mut self, is_needed: impl Fn(TimerEvent) -> bool) {
        self.heap.retain(|Reverse(timer)| is_needed(timer.event));
        self.heap.shrink_to(FIRST_REMOVAL);
        self.next_removal = (2 * self.heap.len()).max(FIRST_REMOVAL);
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerEvent> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.event)
    }

    /// By how much the next timer is overdue, in microseconds; 0 if none is.
    pub fn overdue(&self, now: Micros) -> Micros {
        self.next_at().map_or(0, |at| now.saturating_sub(at))
    }

    /// How long to wait for the next timer, at most 500 ms.
    pub fn wait(&self, now: Micros) -> Duration {
        self.next_at().map_or(MAX_WAIT, |at| {
            Duration::from_micros(at.saturating_sub(now)).min(MAX_WAIT)
        })
    }

    fn next_at(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }
}
