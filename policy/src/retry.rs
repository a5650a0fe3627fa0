//! Whether a request may be sent again: depends on whether earlier attempts may have been executed, which workers
//! recognize its idempotency key, and for how long they do. No I/O; time is an argument.
use crate::placement::Placement;
use crate::request::{Attempt, Request};
use crate::settings::{ClassSettings, Idempotency};
use crate::types::{Micros, MILLISECOND};

/// A retry must start at least this long before workers forget its idempotency key: the time that the policy is given
/// may lag behind the actual time by one interval of the housekeeping, 20 ms.
const KEY_MARGIN: Micros = 20 * MILLISECOND;

/// How long from `now` a further attempt may be started: 0 if none may be. `None` means without limit: no attempt can
/// have been executed, or the class is idempotent.
pub(crate) fn retry_window(
    request: &Request,
    class: &ClassSettings,
    now: Micros,
) -> Option<Micros> {
    let first = attempts_that_may_have_executed(request).next()?;
    match class.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::Keyed => {
            let forgotten_at = first.sent_at + class.key_memory;
            Some(forgotten_at.saturating_sub(now + KEY_MARGIN))
        }
        Idempotency::NotIdempotent => Some(0),
    }
}

/// Whether a further attempt may go to a worker with this placement.
pub(crate) fn may_retry_at(
    request: &Request,
    class: &ClassSettings,
    placement: Placement,
    now: Micros,
) -> bool {
    match retry_window(request, class, now) {
        None => true,
        Some(0) => false,
        Some(_) => attempts_that_may_have_executed(request)
            .all(|attempt| attempt.placement.shares_keys(placement, class.key_scope)),
    }
}

/// The attempts that may have been executed, in the order in which they were sent.
fn attempts_that_may_have_executed(request: &Request) -> impl Iterator<Item = &Attempt> {
    request
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_executed())
}
