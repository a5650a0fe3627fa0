//! Events of the simulated network, in the order of time.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// What happens at a front end.
#[derive(Debug)]
pub(super) enum Delivery {
    /// Its timer.
    Wake,
    /// A datagram comes.
    Datagram(Vec<u8>),
}

/// A delivery at its time.
#[derive(Debug)]
pub(super) struct Event {
    /// Simulated time, in microseconds.
    pub(super) at: u64,
    /// Keeps the order among events of one time.
    serial: u64,
    /// The front end.
    pub(super) peer: usize,
    pub(super) delivery: Delivery,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// Events that are still to happen.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Event>>,
    last_serial: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: u64, peer: usize, delivery: Delivery) {
        self.last_serial += 1;
        self.events.push(Reverse(Event {
            at,
            serial: self.last_serial,
            peer,
            delivery,
        }));
    }

    /// The next event, if it happens at this time or before.
    pub(super) fn pop_until(&mut self, until: u64) -> Option<Event> {
        let Reverse(next) = self.events.peek()?;
        if next.at > until {
            return None;
        }
        self.events.pop().map(|Reverse(event)| event)
    }
}
