//! What all connections share: coroutines, system calls and their failures, the sending side of client connections,
//! and the limit of their number.
mod calls;
mod failure;
mod fairness;
pub mod messages;
mod outbox;

mod slots;
mod writer;

pub use calls::{write_now, DirectCalls, SystemCalls};
pub use failure::{receive, would_block, Failure, ReadOutcome};
pub use fairness::ReadFairness;
pub use outbox::Outbox;
pub use slots::{ConnectionSlot, ConnectionSlots, SlotGuard};

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The number of the next connection.
static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// A number that no other connection of the program has.
pub fn connection_number() -> u64 {
    CONNECTIONS.fetch_add(1, Ordering::Relaxed)
}

/// Runs a coroutine of this stack size. May's own default would be smaller and unstated.
///
/// # Errors
/// The system has no memory for the stack.
pub fn spawn(stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // No shared state is left half-done by a panic: each connection's state belongs to its coroutines.
    let builder = may::coroutine::Builder::new().stack_size(stack / size_of::<usize>());
    may::go!(builder, run).map(|_| ())
}

/// Has a coroutine sleep, and go on with the scheduler's other coroutines.
pub fn sleep(span: Duration) {
    may::coroutine::sleep(span);
    resume_on_scheduler();
}

/// Takes a coroutine back to the scheduler's thread after a wait that timed out: `may` resumes it in its timer thread.
/// A socket that is waited for there can be ready, used and gone in the scheduler's thread before the wait has been
/// registered: the timer thread then panicked, and no wait of the process ever ended again.
pub fn resume_on_scheduler() {
    may::coroutine::yield_now();
}
