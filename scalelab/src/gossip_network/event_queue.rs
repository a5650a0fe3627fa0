//! The event queue of the simulated network, ordered by time.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// What is delivered to a front end.
#[derive(Debug)]
pub(super) enum Delivery {
    /// Its timer expires.
    Wakeup,
    /// A datagram arrives.
    Datagram(Vec<u8>),
}

/// A delivery and when it happens.
#[derive(Debug)]
pub(super) struct Event {
    /// Simulated time, in microseconds.
    pub(super) at: u64,
    /// Orders events of the same time by when they were pushed.
    serial: u64,
    /// Index of the front end.
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

/// Pending events.
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

    /// Removes the earliest event, if it happens at `end` or before.
    pub(super) fn pop_until(&mut self, end: u64) -> Option<Event> {
        let Reverse(next) = self.events.peek()?;
        if next.at > end {
            return None;
        }
        self.events.pop().map(|Reverse(event)| event)
    }
}
