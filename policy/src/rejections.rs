//! Rejections by workers: which requests are not sent to a worker that rejected one, and for how long.
use crate::types::{Micros, SECOND};
use std::collections::BTreeMap;

/// The requests that a worker rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RejectedScope {
    /// All requests: the worker is full, or draining before the endpoint list says so.
    All,
    /// The requests of one tenant and class.
    TenantAndClass { tenant: Option<usize>, class: usize },
}

impl RejectedScope {
    /// The first and the longest pause; consecutive rejections double it. A worker that rejects by tenant and class is
    /// avoided for longer: this front end sends it such requests less often, and a short pause would end in between.
    fn pauses(self) -> (Micros, Micros) {
        match self {
            RejectedScope::All => (FULL_PAUSE, MAX_FULL_PAUSE),
            RejectedScope::TenantAndClass { .. } => (SELECTIVE_PAUSE, MAX_SELECTIVE_PAUSE),
        }
    }
}

/// First pause of a worker that is full, and pause of load orders to a worker that rejected one.
pub(crate) const FULL_PAUSE: Micros = SECOND / 5;
/// Longest pause of a worker that is full.
const MAX_FULL_PAUSE: Micros = 5 * SECOND;
/// First pause of requests of one tenant and class.
const SELECTIVE_PAUSE: Micros = 5 * SECOND;
/// Longest pause of requests of one tenant and class.
const MAX_SELECTIVE_PAUSE: Micros = 20 * SECOND;

#[derive(Clone, Copy, Debug, Default)]
struct Pause {
    until: Micros,
    length: Micros,
}

/// The rejections of one worker.
#[derive(Debug, Default)]
pub(crate) struct Rejections {
    pauses: BTreeMap<RejectedScope, Pause>,
}

impl Rejections {
    /// Records that the worker rejected a request of this scope.
    pub(crate) fn rejected(&mut self, scope: RejectedScope, now: Micros) {
        let (shortest, longest) = scope.pauses();
        let pause = self.pauses.entry(scope).or_default();
        pause.length = (pause.length * 2).clamp(shortest, longest);
        pause.until = now + pause.length;
    }

    /// Records that the worker served a request of this tenant and class, which ends the pauses that apply to it.
    pub(crate) fn served(&mut self, tenant: Option<usize>, class: usize) {
        self.pauses.remove(&RejectedScope::All);
        self.pauses
            .remove(&RejectedScope::TenantAndClass { tenant, class });
    }

    /// Whether requests of this tenant and class must not be sent to the worker now.
    pub(crate) fn apply_to(&self, tenant: Option<usize>, class: usize, now: Micros) -> bool {
        [
            RejectedScope::All,
            RejectedScope::TenantAndClass { tenant, class },
        ]
        .iter()
        .any(|scope| {
            self.pauses
                .get(scope)
                .is_some_and(|pause| now < pause.until)
        })
    }
}
