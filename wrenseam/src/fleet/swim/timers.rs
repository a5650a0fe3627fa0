//! A queue of foca's timers, ordered by due time.
use crate::fleet::identity::PeerId;
use foca::Timer;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use wrenseam_policy::Micros;

/// A timer and its due time; among timers due at the same time, the one set first comes first.
#[derive(Debug, PartialEq, Eq)]
struct TimerEntry {
    due: Micros,
    seq: u64,
    timer: Timer<PeerId>,
}

impl Ord for TimerEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.seq).cmp(&(other.due, other.seq))
    }
}

impl PartialOrd for TimerEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The timers that are set; due times are on foca's clock.
#[derive(Debug, Default)]
pub(super) struct Timers {
    entries: BinaryHeap<Reverse<TimerEntry>>,
    /// The number of the timer that was set last.
    seq: u64,
}

impl Timers {
    /// Adds a timer that is due at `due`.
    pub(super) fn set(&mut self, timer: Timer<PeerId>, due: Micros) {
        self.seq += 1;
        self.entries.push(Reverse(TimerEntry {
            due,
            seq: self.seq,
            timer,
        }));
    }

    /// When the next timer is due; `None` if none is set.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    /// Removes and returns the timer that is due next.
    pub(super) fn pop(&mut self) -> Option<Timer<PeerId>> {
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }

    /// Removes all timers.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }
}
