//! Networking that all connections share: coroutines, system calls and the handling of their errors, the sending side
//! of client connections, and the limit on the number of client connections.
mod calls;
mod client_probe;
mod delivery;
mod failure;
mod fairness;
mod input_progress;
pub mod messages;
mod outbox;
mod response_memory;
mod slots;
mod writer;

pub use calls::{try_write, DirectCalls, SystemCalls};
pub use delivery::{has_peer_closed, last_arrival_age, unread_bytes};
pub use failure::{receive, would_block, ErrorAction, ReadOutcome};
pub use fairness::{
    units_of_bytes, NewConnectionPool, ReadTurns, WorkAllowance, WorkClock, HTTP_REQUEST_UNITS,
};
pub use input_progress::InputProgress;
pub use outbox::Outbox;
pub use slots::{ConnectionSlot, ConnectionSlots, SlotGuard};
pub use writer::Response;

use std::io::{self, ErrorKind};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The number that the next connection gets.
static NEXT_CONNECTION_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a number that is unique among the connections of this process.
pub fn next_connection_number() -> u64 {
    NEXT_CONNECTION_NUMBER.fetch_add(1, Ordering::Relaxed)
}

/// Starts a coroutine with a stack of `stack` bytes. The size is always stated, as the default of `may` is smaller.
///
/// # Errors
/// There is no memory for the stack.
pub fn spawn(stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // `may` panics if it cannot allocate the stack. Nothing has been started or changed by then.
    let start = AssertUnwindSafe(|| {
        // A panic leaves no shared state half updated: the state of each connection belongs to its own coroutines.
        let builder = may::coroutine::Builder::new().stack_size(stack / size_of::<usize>());
        may::go!(builder, run).map(|_| ())
    });
    catch_unwind(start).unwrap_or_else(|_| Err(ErrorKind::OutOfMemory.into()))
}

/// Suspends the calling coroutine for `duration`, see [`timer_duration`]; the scheduler runs other coroutines meanwhile.
pub fn sleep(duration: Duration) {
    may::coroutine::sleep(timer_duration(duration));
    resume_on_scheduler();
}

/// Steps of [`timer_duration`] within a power of two.
const TIMER_STEPS: u64 = 16;

/// The duration, rounded up by a sixteenth at the most, so that only some hundred different durations are in use. `may`
/// keeps a list of timers for each duration; with more than 1,024 lists it frees those that are empty, also while a timer
/// of such a list is still being referred to, which corrupts the heap.
pub fn timer_duration(duration: Duration) -> Duration {
    let micros = u64::try_from(duration.as_nanos().div_ceil(1_000)).unwrap_or(u64::MAX / 2);
    let step = (micros.max(1).ilog2().saturating_sub(TIMER_STEPS.ilog2())) as u64;
    let step = 1_u64 << step;
    Duration::from_micros(micros.div_ceil(step) * step)
}

/// Moves the calling coroutine back to the scheduler's thread after a wait that timed out, which `may` resumes on its
/// timer thread. If the coroutine waited for a socket from there, the socket could become ready, be used and be dropped
/// on the scheduler's thread before that wait was registered. The timer thread then panicked, and no wait of the
/// process ended any more.
pub fn resume_on_scheduler() {
    may::coroutine::yield_now();
}
