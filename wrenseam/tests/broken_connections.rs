//! Connections that break during a write: a completely written frame may have run, whichever side ends the connection,
//! and nothing is written after the end.
mod link;

use link::{frames_transport, next_outcome, read_id_and_code, request, send_answer, FIRST_ATTEMPT};
use may::net::TcpStream as MayStream;
use rstest::rstest;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::model::AttemptKey;
use wrenseam::net::{DirectCalls, SystemCalls};
use wrenseam::queue::{CoreHandle, Message};
use wrenseam::worker::frames::progress::WriteProgress;
use wrenseam::worker::frames::Frames;
use wrenseam::worker::{AttemptLimits, CancelOutcome, Transport};
use wrenseam_policy::{Outcome, Settings};

/// Codes of the frames that the tests receive or send.
const CODE_CALL: u8 = 2;
const CODE_CANCEL: u8 = 3;
const CODE_OK: u8 = 200;
const CODE_REJECTED: u8 = 203;

/// How long an answer is awaited, in microseconds: longer than the tests take.
const LONG_TIMEOUT: u64 = 20_000_000;

/// How long the tests watch for something that must not happen while a write is held.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// The operating system's calls, except that a write reports its count to the test and returns only once the test
/// allows it. Only the writer's coroutine waits; the reader's runs on.
struct HeldWrites {
    written: Mutex<Sender<usize>>,
    is_let_go: may::sync::mpmc::Receiver<()>,
}

impl SystemCalls for HeldWrites {
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> io::Result<MayStream> {
        DirectCalls.connect(address, timeout)
    }

    fn write(&self, stream: &MayStream, bytes: &[u8]) -> io::Result<usize> {
        let count = DirectCalls.write(stream, bytes)?;
        let _ = self.written.lock().expect("not poisoned").send(count);
        let _ = self.is_let_go.recv();
        Ok(count)
    }
}

/// The operating system's calls, except that no more bytes are written than are allowed.
struct ShortWrites {
    allowed: Arc<AtomicUsize>,
}

impl SystemCalls for ShortWrites {
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> io::Result<MayStream> {
        DirectCalls.connect(address, timeout)
    }

    fn write(&self, stream: &MayStream, bytes: &[u8]) -> io::Result<usize> {
        let allowed = bytes.len().min(self.allowed.load(Ordering::Acquire));
        if allowed == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let count = DirectCalls.write(stream, &bytes[..allowed])?;
        self.allowed.fetch_sub(count, Ordering::AcqRel);
        Ok(count)
    }
}

/// The operating system's calls, except that the second write fails once the worker has answered. Until then it keeps the
/// scheduler's only thread, so that the answer is not read before.
struct FailingSecondWrite {
    writes: AtomicUsize,
    has_begun: Mutex<Sender<()>>,
}

impl SystemCalls for FailingSecondWrite {
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> io::Result<MayStream> {
        DirectCalls.connect(address, timeout)
    }

    fn write(&self, stream: &MayStream, bytes: &[u8]) -> io::Result<usize> {
        if self.writes.fetch_add(1, Ordering::AcqRel) == 0 {
            return DirectCalls.write(stream, bytes);
        }
        let _ = self.has_begun.lock().expect("not poisoned").send(());
        while stream.inner().peek(&mut [0]).is_err() {
            std::thread::sleep(Duration::from_millis(1));
        }
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

fn abort(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
    drop(stream); // sends a reset
}

/// A call whose write is held, and the worker's side of its connection.
struct Held {
    transport: Frames,
    reports: Receiver<Message>,
    is_written: Receiver<usize>,
    let_go: may::sync::mpmc::Sender<()>,
    stream: TcpStream,
}

fn held_call() -> Held {
    let (written, is_written) = channel();
    let (let_go, is_let_go) = may::sync::mpmc::channel();
    let (mut transport, reports, listener) = transport_with(Arc::new(HeldWrites {
        written: Mutex::new(written),
        is_let_go,
    }));
    transport.send(
        FIRST_ATTEMPT,
        &request(9),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let stream = listener.accept().expect("a connection").0;
    Held {
        transport,
        reports,
        is_written,
        let_go,
        stream,
    }
}

/// A transport that uses these calls, its reports, and the listener of its worker.
fn transport_with(calls: Arc<dyn SystemCalls>) -> (Frames, Receiver<Message>, TcpListener) {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (queue, reports) = channel::<Message>();
    let plain = Limits::new(192, 1024, &Settings::default());
    let limits = Arc::new(Limits {
        connect_timeout: Duration::from_secs(20),
        ..plain
    });
    (
        Frames::new(address, limits, CoreHandle::new(queue)).with_calls(calls),
        reports,
        listener,
    )
}

/// The worker reads the complete frame and ends the connection before the write that carried the frame has returned:
/// the call may have run, and must not be reported as never run.
#[rstest]
fn a_frame_whose_write_has_not_returned_may_have_run(#[values("close", "reset")] end: &str) {
    let Held {
        transport: _transport,
        reports,
        is_written,
        let_go,
        mut stream,
    } = held_call();
    assert_eq!(
        read_id_and_code(&mut stream),
        (9, CODE_CALL),
        "it has come completely"
    );
    is_written
        .recv_timeout(Duration::from_secs(20))
        .expect("written");
    match end {
        "reset" => abort(stream),
        _ => drop(stream),
    }
    if let Ok(Message::AttemptEnded { key: _, report }) = reports.recv_timeout(HOLD_TIME) {
        panic!(
            "{:?} was reported while the write had not returned",
            report.outcome
        );
    }
    let_go.send(()).expect("the write waits");
    assert_eq!(next_outcome(&reports), (0, Outcome::Reset));
}

/// The end of a connection's writing waits for a write that is in progress, and no write follows it.
#[test]
fn an_end_counts_the_write_that_is_being_made() {
    let progress = Arc::new(WriteProgress::default());
    let (sender, total) = channel();
    let (ending, begins) = channel();
    let ended = progress.clone();
    let other = std::thread::spawn(move || {
        begins.recv().expect("a write is being made");
        sender.send(ended.end()).expect("the test waits");
    });
    let during = progress.write(|| {
        ending.send(()).expect("the other waits");
        assert!(
            total.recv_timeout(HOLD_TIME).is_err(),
            "it ended in the middle of a write"
        );
        Ok(10)
    });
    assert_eq!(during.expect("written"), 10);
    assert_eq!(total.recv().expect("reported"), 10);
    other.join().expect("ended");
    assert!(progress.write(|| panic!("written after the end")).is_err());
}

/// A cancelled attempt is reported as ended only after its worker has been notified. Another attempt of the request may
/// follow the report at once, and where two must not be open together the first must have ended by then.
#[test]
fn an_attempt_is_cancelled_once_its_worker_has_been_notified() {
    let Held {
        mut transport,
        reports,
        is_written,
        let_go,
        mut stream,
    } = held_call();
    assert_eq!(read_id_and_code(&mut stream), (9, CODE_CALL));
    is_written.recv().expect("written");
    assert_eq!(
        transport.cancel(FIRST_ATTEMPT),
        CancelOutcome::PendingConfirmation
    );
    assert!(
        reports.try_recv().is_err(),
        "reported before the writer handled the cancellation"
    );
    let_go.send(()).expect("the write waits");
    is_written.recv().expect("the cancellation is written");
    assert!(
        reports.try_recv().is_err(),
        "reported before its write returned"
    );
    let_go.send(()).expect("the write waits");
    assert_eq!(next_outcome(&reports), (0, Outcome::Cancelled));
    assert_eq!(read_id_and_code(&mut stream), (9, CODE_CANCEL));
    assert_eq!(
        transport.cancel(FIRST_ATTEMPT),
        CancelOutcome::Unknown,
        "it has ended"
    );
}

/// A worker rejects a call of which it has received only a part. The connection ends, as the rest must not follow once
/// the call is reported as never run.
#[test]
fn a_call_rejected_midway_never_comes_completely() {
    let allowed = Arc::new(AtomicUsize::new(30));
    let (mut transport, reports, listener) = transport_with(Arc::new(ShortWrites {
        allowed: allowed.clone(),
    }));
    transport.send(
        FIRST_ATTEMPT,
        &request(9),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut stream = listener.accept().expect("a connection").0;
    stream.read_exact(&mut [0; 30]).expect("the first bytes");
    send_answer(&mut stream, CODE_REJECTED, 9, "", b"");
    assert_eq!(next_outcome(&reports), (0, Outcome::ConnectFailed));
    allowed.store(usize::MAX / 2, Ordering::Release);
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    let rest = stream.read(&mut [0; 1024]);
    assert!(
        !matches!(rest, Ok(count) if count > 0),
        "the rest followed: {rest:?}"
    );
}

/// Guards against answers that are lost with a failed write: a worker that answers everything and closes makes the next
/// write fail, and its answers are still unread then.
#[test]
fn answers_that_have_arrived_count_although_a_write_fails() {
    let (has_begun, begins) = channel();
    let (mut transport, reports, listener) = transport_with(Arc::new(FailingSecondWrite {
        writes: AtomicUsize::new(0),
        has_begun: Mutex::new(has_begun),
    }));
    let limits = AttemptLimits::with_timeout(LONG_TIMEOUT);
    transport.send(FIRST_ATTEMPT, &request(9), limits);
    let mut stream = listener.accept().expect("a connection").0;
    assert_eq!(read_id_and_code(&mut stream), (9, CODE_CALL));
    let second = AttemptKey {
        request: 2,
        ..FIRST_ATTEMPT
    };
    transport.send(second, &request(10), limits);
    begins
        .recv_timeout(Duration::from_secs(20))
        .expect("the second write");
    send_answer(&mut stream, CODE_OK, 9, "detail=resident", b"DONE");
    let ends = [0, 1].map(|_| match reports.recv_timeout(Duration::from_secs(20)) {
        Ok(Message::AttemptEnded { key, report }) => (key.request, report.outcome),
        _ => panic!("no end of an attempt was reported"),
    });
    assert!(ends.contains(&(1, Outcome::Ok)), "{ends:?}");
    assert!(ends.contains(&(2, Outcome::ConnectFailed)), "{ends:?}");
}

/// A corrupted code may read as one that proves that nothing ran, since the checksum covers only fields and body. An
/// answer with such a code and a body is not believed, as only the answer to a call that ran has a body.
#[rstest]
fn a_damaged_code_proves_nothing(#[values(202, 203, 205)] code: u8) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) = frames_transport(listener.local_addr().expect("bound"), |_| {});
    transport.send(
        FIRST_ATTEMPT,
        &request(9),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut stream = listener.accept().expect("a connection").0;
    assert_eq!(read_id_and_code(&mut stream), (9, CODE_CALL));
    send_answer(&mut stream, code, 9, "detail=resident", b"DONE");
    assert_eq!(next_outcome(&reports), (0, Outcome::Reset));
}
