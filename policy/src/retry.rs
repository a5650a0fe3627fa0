//! Whether a request may be sent once more: what its earlier attempts may have done, which workers drop repeats of its
//! key, and for how long they do. No I/O; time is an argument.
use crate::interface::{ClassSettings, Endpoint, Idempotency, KeyScope, Micros};
use crate::state::{Attempt, Request};

/// A repeat is begun so long before workers forget its key: the module's clock may be a tick behind.
const SPARE: Micros = 20_000;

/// Where a worker stood in the list when an attempt was sent to it: its key is known there, wherever the list has the
/// worker later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Placement {
    zone: Option<usize>,
    cell: Option<u64>,
}

impl Placement {
    pub(crate) fn of(entry: &Endpoint) -> Self {
        Placement {
            zone: entry.zone,
            cell: entry.cell,
        }
    }

    /// Whether two workers share their memory of keys. Workers whose zone or cell is not told share none.
    fn shares_keys(self, other: Placement, group: KeyScope) -> bool {
        match group {
            KeyScope::All => true,
            KeyScope::Zone => self.zone.is_some() && self.zone == other.zone,
            KeyScope::Cell => self.cell.is_some() && self.cell == other.cell,
        }
    }
}

/// For how long from `now` a further attempt may be begun; `None` if no time bounds it: nothing may have run, or the
/// class is safe to repeat.
pub(crate) fn repeat_window(
    request: &Request,
    class: &ClassSettings,
    now: Micros,
) -> Option<Micros> {
    let first = earlier(request).next()?;
    match class.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::Keyed => Some((first.sent + class.key_memory).saturating_sub(now + SPARE)),
        Idempotency::NotIdempotent => Some(0),
    }
}

/// Whether a further attempt may go to a worker that stands there.
pub(crate) fn may_repeat(
    request: &Request,
    class: &ClassSettings,
    to: Placement,
    now: Micros,
) -> bool {
    let shared = || earlier(request).all(|a| a.placement.shares_keys(to, class.key_scope));
    repeat_window(request, class, now).is_none_or(|left| left > 0 && shared())
}

/// The attempts that may have run, the first sent first.
fn earlier(request: &Request) -> impl Iterator<Item = &Attempt> {
    request.attempts.iter().filter(|a| a.may_have_run)
}
