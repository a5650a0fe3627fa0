//! A lease: until when a confirmation that a worker takes new work may be relied on. No I/O: time is an argument.
use crate::types::{Micros, SECOND};

/// By the protocol, an event counts as reported to this front end this long after it happened, received or not.
pub(crate) const REPORTED_AFTER: Micros = 7 * SECOND;

/// A confirmation that a worker takes new work, and how long it may be relied on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    /// The time at which the worker was known to take new work.
    pub(crate) confirmed_at: Micros,
    /// The earliest time at which a drain that began after `confirmed_at` can count as reported to this front end. The
    /// drain grace is not included.
    pub(crate) ends_at: Micros,
}

impl Lease {
    pub(crate) fn new(confirmed_at: Micros) -> Lease {
        Lease {
            confirmed_at,
            ends_at: confirmed_at.saturating_add(REPORTED_AFTER),
        }
    }

    pub(crate) fn renew(&mut self, confirmed_at: Micros) {
        if confirmed_at > self.confirmed_at {
            *self = Lease::new(confirmed_at);
        }
    }

    /// Ends a lease that was confirmed before `at` at `reported_at` at the latest.
    pub(crate) fn shorten(&mut self, at: Micros, reported_at: Micros) {
        if self.confirmed_at < at {
            self.ends_at = self.ends_at.min(reported_at);
        }
    }
}
