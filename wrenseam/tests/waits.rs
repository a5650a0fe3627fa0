//! Where coroutines go on after a wait: never in the thread of timers.
use rstest::rstest;
use std::sync::mpsc::channel;
use std::thread::{current, ThreadId};
use std::time::Duration;
use wrenseam::net::{resume_on_scheduler, sleep, spawn};

const SPAN: Duration = Duration::from_millis(1);

fn unheard() {
    let (_sender, queue) = may::sync::mpsc::channel::<()>();
    assert!(queue.recv_timeout(SPAN).is_err());
    resume_on_scheduler();
}

/// Guards the thread of timers: with a socket that is waited for there it ended in a panic, and no wait ever ended again.
#[rstest]
#[case::a_pause(|| sleep(SPAN))]
#[case::an_answer_that_does_not_come(unheard)]
fn a_wait_that_ends_leaves_the_coroutine_in_the_schedulers_thread(#[case] wait: fn()) {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let (seen, threads) = channel::<(ThreadId, ThreadId)>();
    spawn(64 * 1024, move || {
        let before = current().id();
        wait();
        seen.send((before, current().id())).expect("the test waits");
    })
    .expect("a coroutine");
    let (before, after) = threads
        .recv_timeout(Duration::from_secs(20))
        .expect("the wait ends");
    assert_eq!(before, after);
}
