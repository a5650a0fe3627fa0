//! How far a connection's reader is behind its client: input that has been received is handled only once the connection
//! has its turn, and a cancellation may be in it. No I/O; the time is an argument.
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A client counts as gone 0.1 s after it has sent a cancellation; input that is older than half of that may hold one for
/// which it is too late.
const MAX_INPUT_AGE: Duration = Duration::from_millis(50);

/// A client whose input is older than this sends more than the front end takes: further requests of it are rejected, before
/// they take a part of the workers and loads that others share.
const MAX_BACKLOG_AGE: Duration = Duration::from_millis(250);

/// What a reader has received from its client and not handled yet. Shared with those who must know whether the client may
/// have cancelled a request meanwhile.
#[derive(Debug, Default)]
pub struct InputProgress(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Whether the client can cancel a request by what it sends.
    can_cancel: bool,
    /// Whether input has been read and is not handled yet.
    is_handling: bool,
    /// Bytes that have been read in total.
    read_bytes: u64,
    /// What is read or unread and not handled; `None` if there was nothing after the last read was handled.
    backlog: Option<Backlog>,
}

/// Input that is not handled yet.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    /// All input that arrived before this has been handled.
    handled_until: Instant,
    /// The bytes that the client had sent in total by `counted_at`. Once they are handled, the backlog is counted again.
    counted_bytes: u64,
    counted_at: Instant,
}

impl State {
    /// The most that the age of input that is not handled at `now` may be.
    fn age(&self, now: Instant) -> Duration {
        let oldest = self.backlog.map_or(now, |backlog| backlog.handled_until);
        now.saturating_duration_since(oldest)
    }
}

impl InputProgress {
    /// Sets that the client can cancel a request by what it sends, so that the age of input matters.
    pub fn expect_cancellations(&self) {
        self.state().can_cancel = true;
    }

    /// Records a read of `count` bytes at `now`, which are handled from now on.
    pub fn begin(&self, count: usize, now: Instant) {
        let mut state = self.state();
        state.is_handling = true;
        state.read_bytes += count as u64;
        let counted_bytes = state.read_bytes;
        state.backlog.get_or_insert(Backlog {
            handled_until: now,
            counted_bytes,
            counted_at: now,
        });
    }

    /// Records that all complete input that has been read is handled at `now`. `unread_bytes` tells how many bytes are in
    /// the socket; it is called only where that is needed.
    pub fn finish(&self, now: Instant, unread_bytes: impl FnOnce() -> usize) {
        let mut state = self.state();
        state.is_handling = false;
        let read_bytes = state.read_bytes;
        let is_counted_handled = |backlog: &mut Backlog| backlog.counted_bytes <= read_bytes;
        let Some(handled) = state.backlog.take_if(is_counted_handled) else {
            return;
        };
        let unread = unread_bytes();
        state.backlog = (unread > 0).then_some(Backlog {
            handled_until: handled.counted_at,
            counted_bytes: read_bytes + unread as u64,
            counted_at: now,
        });
    }

    /// Whether input has been read and is not handled yet.
    pub fn is_handling(&self) -> bool {
        self.state().is_handling
    }

    /// Whether input that is not handled at `now` may hold a cancellation that is overdue.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let state = self.state();
        state.can_cancel && state.age(now) > MAX_INPUT_AGE
    }

    /// Whether the client has sent so much that its reader is far behind at `now`.
    pub fn is_far_behind(&self, now: Instant) -> bool {
        self.state().age(now) > MAX_BACKLOG_AGE
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
