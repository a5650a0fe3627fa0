//! Starts and suspends the lab's coroutines (`may`).
use std::time::Duration;

/// Starts a coroutine, with the stack size that the lab has configured.
pub fn spawn(run: impl FnOnce() + Send + 'static) {
    // SAFETY: the closure owns what it uses and blocks only on may's own sockets and sleeps.
    unsafe { may::coroutine::spawn(run) };
}

/// Suspends the calling coroutine for `span`. `may` resumes a sleeping coroutine on its timer thread, where a socket
/// can become ready before the coroutine's wait for it is registered; the yield moves it back to the scheduler's
/// thread.
pub fn sleep(span: Duration) {
    may::coroutine::sleep(span);
    may::coroutine::yield_now();
}
