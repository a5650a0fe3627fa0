//! One heap of timers; none can be taken back, what is no longer needed is ignored when it is due.
use super::AttemptKey;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use wrenseam_policy::Micros;

const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    /// The module's timer with this token.
    Module(u64),
    /// An attempt's time is up.
    Attempt(AttemptKey),
    /// An order's time is up.
    Order(u64),
    /// A request's client leaves.
    Request(u64),
    /// Time to look whether connections to workers still answer.
    Pulse,
    /// Time to look for idle connections.
    Sweep,
}

/// The heap; equal times fire in the order in which they were set.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, TimerEvent)>>,
    set: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Micros, due: TimerEvent) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, due)));
    }

    /// Takes the next timer that is due.
    pub fn due(&mut self, now: Micros) -> Option<TimerEvent> {
        match self.heap.peek() {
            Some(Reverse((at, _, _))) if *at <= now => {
                self.heap.pop().map(|Reverse((_, _, due))| due)
            }
            _ => None,
        }
    }

    /// By how much the next timer is overdue.
    pub fn late(&self, now: Micros) -> Micros {
        self.heap
            .peek()
            .map_or(0, |Reverse((at, _, _))| now.saturating_sub(*at))
    }

    /// How long nothing is due.
    pub fn wait(&self, now: Micros) -> Duration {
        let next = self
            .heap
            .peek()
            .map(|Reverse((at, _, _))| at.saturating_sub(now));
        next.map_or(LONGEST_SLEEP, |n| {
            Duration::from_micros(n).min(LONGEST_SLEEP)
        })
    }
}
