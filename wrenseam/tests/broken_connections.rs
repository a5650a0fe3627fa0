//! A connection that breaks beside a write: a frame that is wholly out may have run, whoever ends the connection, and
//! nothing is written once it has ended.
mod link;

use link::{frame, outcome, request, say, transport, FIRST};
use may::net::TcpStream as MayStream;
use rstest::rstest;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::net::{DirectCalls, SystemCalls};
use wrenseam::queue::{CoreHandle, Message};
use wrenseam::worker::frames::progress::Progress;
use wrenseam::worker::frames::Frames;
use wrenseam::worker::{AttemptLimits, CancelOutcome, Transport};
use wrenseam_policy::{Outcome, Settings};

/// Codes of frames.
const CODE_CALL: u8 = 2;
const CODE_CANCEL: u8 = 3;
const CODE_REJECTED: u8 = 203;

/// How long an answer is awaited, in microseconds: longer than the tests last.
const LONG: u64 = 20_000_000;

/// How long a write is held for whoever should not get on before it returns.
const HELD: Duration = Duration::from_millis(500);

/// The machine's calls, but a write tells that its bytes are out and then waits until it is let go. Only the writer's
/// coroutine waits: the reader's runs on.
struct HeldWrites {
    written: Mutex<Sender<usize>>,
    go_on: may::sync::mpmc::Receiver<()>,
}

impl SystemCalls for HeldWrites {
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<MayStream> {
        DirectCalls.connect(address, within)
    }

    fn write(&self, stream: &MayStream, bytes: &[u8]) -> io::Result<usize> {
        let count = DirectCalls.write(stream, bytes)?;
        let _ = self.written.lock().expect("sound").send(count);
        let _ = self.go_on.recv();
        Ok(count)
    }
}

/// The machine's calls, but no more bytes are written than are allowed.
struct ShortWrites {
    allowed: Arc<AtomicUsize>,
}

impl SystemCalls for ShortWrites {
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<MayStream> {
        DirectCalls.connect(address, within)
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

fn abort(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
    drop(stream); // sends a reset
}

/// A call of which the write is held, and the worker's side of it.
struct Held {
    transport: Frames,
    reports: Receiver<Message>,
    is_written: Receiver<usize>,
    let_go: may::sync::mpmc::Sender<()>,
    stream: TcpStream,
}

fn held_call() -> Held {
    let (written, is_written) = channel();
    let (let_go, go_on) = may::sync::mpmc::channel();
    let (mut transport, reports, listener) = transport_with(Arc::new(HeldWrites {
        written: Mutex::new(written),
        go_on,
    }));
    transport.send(FIRST, &request(9), AttemptLimits::with_timeout(LONG));
    let stream = listener.accept().expect("a connection").0;
    Held {
        transport,
        reports,
        is_written,
        let_go,
        stream,
    }
}

/// A transport that makes these calls, what it reports, and where its worker listens.
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

/// The worker has read the complete frame and ends its connection while the write that carried it has not returned: the
/// call may have run, and is not reported as one that never did.
#[rstest]
fn a_frame_whose_write_has_not_returned_may_have_run(#[values("close", "reset")] end: &str) {
    let Held {
        transport: _transport,
        reports,
        is_written,
        let_go,
        mut stream,
    } = held_call();
    assert_eq!(frame(&mut stream), (9, CODE_CALL), "it has come completely");
    is_written
        .recv_timeout(Duration::from_secs(20))
        .expect("written");
    match end {
        "reset" => abort(stream),
        _ => drop(stream),
    }
    if let Ok(Message::AttemptEnded { key: _, report }) = reports.recv_timeout(HELD) {
        panic!(
            "{:?} was reported while the write had not returned",
            report.outcome
        );
    }
    let_go.send(()).expect("the write waits");
    assert_eq!(outcome(&reports), (0, Outcome::Reset));
}

/// Whoever ends a connection's writing waits for the write that is being made, and none follows.
#[test]
fn an_end_counts_the_write_that_is_being_made() {
    let progress = Arc::new(Progress::default());
    let (sender, total) = channel();
    let (ending, begins) = channel();
    let ended = progress.clone();
    let other = std::thread::spawn(move || {
        begins.recv().expect("a write is being made");
        sender.send(ended.end()).expect("heard");
    });
    let during = progress.write(|| {
        ending.send(()).expect("the other waits");
        assert!(
            total.recv_timeout(HELD).is_err(),
            "it ended in the middle of a write"
        );
        Ok(10)
    });
    assert_eq!(during.expect("written"), 10);
    assert_eq!(total.recv().expect("reported"), 10);
    other.join().expect("ended");
    assert!(progress.write(|| panic!("written after the end")).is_err());
}

/// A cancelled attempt has ended once its worker has been told so, and not before: another attempt of its
/// request may follow at once, and where two must not be out together the first is over by then.
#[test]
fn an_attempt_is_cancelled_once_its_worker_has_been_notified() {
    let Held {
        mut transport,
        reports,
        is_written,
        let_go,
        mut stream,
    } = held_call();
    assert_eq!(frame(&mut stream), (9, CODE_CALL));
    is_written.recv().expect("written");
    assert_eq!(transport.cancel(FIRST), CancelOutcome::PendingConfirmation);
    assert!(
        reports.try_recv().is_err(),
        "the writer has not even got to it"
    );
    let_go.send(()).expect("the write waits");
    is_written.recv().expect("the cancellation is written");
    assert!(
        reports.try_recv().is_err(),
        "reported before its write returned"
    );
    let_go.send(()).expect("the write waits");
    assert_eq!(outcome(&reports), (0, Outcome::Cancelled));
    assert_eq!(frame(&mut stream), (9, CODE_CANCEL));
    assert_eq!(
        transport.cancel(FIRST),
        CancelOutcome::Unknown,
        "it has ended"
    );
}

/// A worker rejects a call of which it has half. The connection ends: the other half does not follow what was reported
/// as never run.
#[test]
fn a_call_rejected_midway_never_comes_completely() {
    let allowed = Arc::new(AtomicUsize::new(30));
    let (mut transport, reports, listener) = transport_with(Arc::new(ShortWrites {
        allowed: allowed.clone(),
    }));
    transport.send(FIRST, &request(9), AttemptLimits::with_timeout(LONG));
    let mut stream = listener.accept().expect("a connection").0;
    stream.read_exact(&mut [0; 30]).expect("the beginning");
    say(&mut stream, CODE_REJECTED, 9, "", b"");
    assert_eq!(outcome(&reports), (0, Outcome::ConnectFailed));
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

/// A code that was damaged on its way reads as one that proves that nothing ran: the checksum covers fields and body alone.
/// But a body came with it, as only with an answer to what ran.
#[rstest]
fn a_damaged_code_proves_nothing(#[values(202, 203, 205)] code: u8) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) = transport(listener.local_addr().expect("bound"), |_| {});
    transport.send(FIRST, &request(9), AttemptLimits::with_timeout(LONG));
    let mut stream = listener.accept().expect("a connection").0;
    assert_eq!(frame(&mut stream), (9, CODE_CALL));
    say(&mut stream, code, 9, "detail=resident", b"DONE");
    assert_eq!(outcome(&reports), (0, Outcome::Reset));
}
