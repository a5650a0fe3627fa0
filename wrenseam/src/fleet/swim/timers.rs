//! Foca's timers, in the order in which they are due.
use crate::fleet::identity::PeerId;
use foca::Timer;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use wrenseam_policy::Micros;

/// A timer and when it is due; of those due at the same time the one set first comes first.
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

/// The timers that are set, by foca's time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    entries: BinaryHeap<Reverse<TimerEntry>>,
    seq: u64,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, timer: Timer<PeerId>, due: Micros) {
        self.seq += 1;
        self.entries.push(Reverse(TimerEntry {
            due,
            seq: self.seq,
            timer,
        }));
    }

    /// When the first is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    /// Takes the first.
    pub(super) fn pop(&mut self) -> Option<Timer<PeerId>> {
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }

    /// Drops all.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }
}
