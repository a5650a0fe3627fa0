//! What all connections share: coroutines, system calls and their failures, the sending side of client connections,
//! and their count.
mod calls;
mod failure;
mod outbox;
mod reads;
mod seats;

pub use calls::{write_now, DirectCalls, SystemCalls};
pub use failure::{receive, timed_out, Failure, Received};
pub use outbox::Outbox;
pub use reads::Reads;
pub use seats::{Occupant, Seat, Seats};

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// A number that no other connection of the program has.
pub fn connection_number() -> u64 {
    CONNECTIONS.fetch_add(1, Ordering::Relaxed)
}

/// Runs a coroutine of this stack size. May's own default would be smaller and unstated.
pub fn spawn(stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // No shared state is left half-done by a panic: each connection's state belongs to its coroutines.
    let builder = may::coroutine::Builder::new().stack_size(stack / size_of::<usize>());
    may::go!(builder, run).map(|_| ())
}

/// Has a coroutine wait, and go on with the scheduler's other coroutines.
pub fn pause(span: Duration) {
    may::coroutine::sleep(span);
    back();
}

/// Takes a coroutine back to the scheduler's thread from where a wait's time was up: `may` has it go on in its thread
/// of timers. A socket that is waited for there can be ready, used and gone in the scheduler's thread before the wait
/// has been written down: the thread of timers then panicked, and no wait of the process ever ended again.
pub fn back() {
    may::coroutine::yield_now();
}
