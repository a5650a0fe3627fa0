//! When a connection counts as unresponsive: delays of our own scheduler must not count.
mod link;

use link::{read_id_and_code, request, send_answer, FIRST_ATTEMPT};
use rstest::rstest;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use wrenseam::limits::Limits;
use wrenseam::queue::Message;
use wrenseam::worker::frames::Frames;
use wrenseam::worker::{AttemptLimits, Transport};
use wrenseam_policy::{Outcome, Settings};

const CODE_CALL: u8 = 2;
const CODE_LOAD_ORDER: u8 = 6;
const CODE_OK: u8 = 200;

/// The id of the call under test.
const CALL: u64 = 9;

/// How long the call's answer is awaited, in microseconds: longer than the test takes.
const ANSWER_TIMEOUT: u64 = 60_000_000;

/// How long the test waits for an expected event; long enough for a busy machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// When the scheduler is blocked, for longer than a worker has time to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stall {
    BeforeProbeIsWritten,
    BeforeAnswerIsRead,
    /// Never; the worker does not answer instead.
    NeverAndNoAnswer,
}

/// Blocks the scheduler until the returned sender is dropped.
fn stall_scheduler() -> Sender<()> {
    let (blocked, is_blocked) = channel();
    let (resume, is_resumed) = channel::<()>();
    wrenseam::net::spawn(64 * 1024, move || {
        blocked.send(()).expect("the test waits");
        let _ = is_resumed.recv();
    })
    .expect("a coroutine");
    is_blocked
        .recv_timeout(EVENT_TIMEOUT)
        .expect("the scheduler is blocked");
    resume
}

/// Makes keepalive checks for longer than a worker has time to answer a probe.
fn check_beyond_timeouts(transport: &mut Frames) {
    let limits = Limits::new(192, 1024, &Settings::default());
    let span = 2 * (limits.keepalive_idle + limits.keepalive_timeout);
    let since = Instant::now();
    while since.elapsed() <= span {
        transport.check_keepalive();
        std::thread::yield_now();
    }
}

/// Makes keepalive checks until the worker has received a probe. Returns its id.
fn receive_probe(transport: &mut Frames, worker: &mut TcpStream) -> u64 {
    worker.set_nonblocking(true).expect("set");
    let since = Instant::now();
    while worker.peek(&mut [0]).is_err() {
        assert!(since.elapsed() < EVENT_TIMEOUT, "no probe was sent");
        transport.check_keepalive();
    }
    worker.set_nonblocking(false).expect("set");
    let (probe, code) = read_id_and_code(worker);
    assert_eq!(code, CODE_LOAD_ORDER);
    probe
}

/// Waits for the outcome of the call. With `keeps_checking`, keepalive checks are made meanwhile.
fn outcome_of_call(
    transport: &mut Frames,
    reports: &Receiver<Message>,
    keeps_checking: bool,
) -> Outcome {
    let since = Instant::now();
    loop {
        if let Ok(Message::AttemptEnded { key: _, report }) = reports.try_recv() {
            return report.outcome;
        }
        if keeps_checking {
            transport.check_keepalive();
        } else {
            std::thread::yield_now();
        }
        assert!(since.elapsed() < EVENT_TIMEOUT, "nothing ended");
    }
}

/// A worker must not count as unresponsive because our scheduler was blocked for longer than the worker has time to
/// answer a probe. If the worker itself does not answer, its connection is closed.
#[rstest]
#[case::before_the_probe_is_written(Stall::BeforeProbeIsWritten, Outcome::Ok)]
#[case::before_the_answer_is_read(Stall::BeforeAnswerIsRead, Outcome::Ok)]
#[case::never_and_no_answer_comes(Stall::NeverAndNoAnswer, Outcome::Reset)]
fn a_connection_ends_if_its_worker_is_unresponsive_and_not_if_our_scheduler_is_blocked(
    #[case] stall: Stall,
    #[case] end: Outcome,
) {
    static SCHEDULER: Mutex<()> = Mutex::new(()); // all tests share one scheduler
    let _exclusive = SCHEDULER.lock().unwrap_or_else(PoisonError::into_inner);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) =
        link::frames_transport(listener.local_addr().expect("bound"), |_| {});
    let limits = AttemptLimits::with_timeout(ANSWER_TIMEOUT);
    transport.send(FIRST_ATTEMPT, &request(CALL), limits);
    let mut worker = listener.accept().expect("a connection").0;
    assert_eq!(read_id_and_code(&mut worker), (CALL, CODE_CALL));
    if stall == Stall::BeforeProbeIsWritten {
        let resume = stall_scheduler();
        check_beyond_timeouts(&mut transport);
        drop(resume);
    }
    let probe = receive_probe(&mut transport, &mut worker);
    if stall == Stall::BeforeAnswerIsRead {
        let resume = stall_scheduler();
        send_answer(&mut worker, CODE_OK, probe, "slots_up=1", b"");
        check_beyond_timeouts(&mut transport);
        drop(resume);
    }
    if stall == Stall::BeforeProbeIsWritten {
        send_answer(&mut worker, CODE_OK, probe, "slots_up=1", b"");
    }
    let is_answered = stall != Stall::NeverAndNoAnswer;
    if is_answered {
        send_answer(&mut worker, CODE_OK, CALL, "detail=resident", b"");
    }
    assert_eq!(outcome_of_call(&mut transport, &reports, !is_answered), end);
}
