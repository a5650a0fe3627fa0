//! Coroutines of the lab, and how they wait.
use std::time::Duration;

/// Starts a coroutine; the lab's are few and small.
pub fn spawn(run: impl FnOnce() + Send + 'static) {
    // SAFETY: the closure owns what it uses and blocks only on may's own sockets and sleeps.
    unsafe { may::coroutine::spawn(run) };
}

/// Has a coroutine wait, and takes it back to the scheduler's thread: `may` has it go on in its thread of timers, where
/// a socket that is waited for may be ready and gone before the wait has been written down.
pub fn pause(span: Duration) {
    may::coroutine::sleep(span);
    may::coroutine::yield_now();
}
