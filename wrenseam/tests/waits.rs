//! The thread in which a coroutine continues after a wait: the scheduler's, never the timer thread.
use rstest::rstest;
use std::sync::mpsc::channel;
use std::thread::{current, ThreadId};
use std::time::Duration;
use wrenseam::net::{resume_on_scheduler, sleep, spawn};

const WAIT: Duration = Duration::from_millis(1);

fn receive_nothing() {
    let (_sender, queue) = may::sync::mpsc::channel::<()>();
    assert!(queue.recv_timeout(WAIT).is_err());
    resume_on_scheduler();
}

/// Guards against a coroutine that continues in the timer thread. When one waited for a socket there, the timer thread
/// panicked, and no wait in the process ever ended again.
#[rstest]
#[case::sleep(|| sleep(WAIT))]
#[case::receive_timeout(receive_nothing)]
fn a_coroutine_continues_in_the_schedulers_thread_after_a_wait(#[case] wait: fn()) {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let (sender, threads) = channel::<(ThreadId, ThreadId)>();
    spawn(64 * 1024, move || {
        let before = current().id();
        wait();
        sender
            .send((before, current().id()))
            .expect("the test receives");
    })
    .expect("a coroutine");
    let (before, after) = threads
        .recv_timeout(Duration::from_secs(20))
        .expect("the wait ends");
    assert_eq!(before, after);
}
