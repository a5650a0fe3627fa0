//! Workers that reject requests: which requests stay away from a worker, and for how long.
use crate::types::{Micros, SECOND};
use std::collections::BTreeMap;

/// Which requests a worker rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RejectedScope {
    /// All of them: it is full, or draining before the endpoint list says so.
    All,
    /// Those of one tenant and class.
    TenantAndClass { tenant: Option<usize>, class: usize },
}

impl RejectedScope {
    /// First pause and longest pause; each rejection in a row doubles it. What picks by tenant or class is left so long
    /// that requests come round within it.
    fn pauses(self) -> (Micros, Micros) {
        match self {
            RejectedScope::All => (FULL_PAUSE, PICKY_PAUSE),
            RejectedScope::TenantAndClass { .. } => (PICKY_PAUSE, LONGEST_PICKY_PAUSE),
        }
    }
}

/// A worker that is full is left for this long.
pub(crate) const FULL_PAUSE: Micros = SECOND / 5;
const PICKY_PAUSE: Micros = 5 * SECOND;
const LONGEST_PICKY_PAUSE: Micros = 20 * SECOND;

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
    /// The worker rejected a request.
    pub(crate) fn rejected(&mut self, scope: RejectedScope, now: Micros) {
        let (shortest, longest) = scope.pauses();
        let pause = self.pauses.entry(scope).or_default();
        pause.length = (pause.length * 2).clamp(shortest, longest);
        pause.until = now + pause.length;
    }

    /// The worker served a request of this tenant and class.
    pub(crate) fn served(&mut self, tenant: Option<usize>, class: usize) {
        self.pauses.remove(&RejectedScope::All);
        self.pauses
            .remove(&RejectedScope::TenantAndClass { tenant, class });
    }

    /// Whether requests of this tenant and class stay away now.
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
