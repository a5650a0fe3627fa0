//! When a connection counts as mute, whatever holds the scheduler up meanwhile.
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use wrenseam::limits::Limits;
use wrenseam::model::{AttemptKey, Payload, Request};
use wrenseam::queue::{CoreHandle, Message};
use wrenseam::worker::frames::{encode, Frames};
use wrenseam::worker::{AttemptLimits, Transport};
use wrenseam_policy::{Outcome, Settings};

const CALL: u8 = 2;
const HOLD: u8 = 6;
const PATIENCE: Duration = Duration::from_secs(20);

fn request() -> Arc<Request> {
    Arc::new(Request {
        wire_id: 9,
        class: "c".to_owned(),
        tenant: "t".to_owned(),
        function: 7,
        timeout: 60_000_000,
        received_at: Instant::now(),
        idempotency_key: None,
        is_retry: false,
        memory_mb: 0.0,
        concurrency: 0,
        load_time: 0,
        payload: Payload::Bytes(Vec::new()),
        reserved_bytes: None,
        client_gone: Arc::default(),
        client_probe: None,
    })
}

/// The next frame, its id and code.
fn frame(stream: &mut TcpStream) -> (u64, u8) {
    let mut head = [0; 16];
    stream.read_exact(&mut head).expect("a frame");
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    stream
        .read_exact(&mut vec![0; fields + 4])
        .expect("the rest of it, without a body");
    (
        u64::from_be_bytes(head[8..].try_into().expect("eight")),
        head[1],
    )
}

fn say(stream: &mut TcpStream, id: u64, fields: &str) {
    let mut answer = encode(200, id, fields, &[]);
    answer[0] = 127;
    stream.write_all(&answer).expect("answered");
}

/// Has the scheduler stand still until the sender is dropped.
fn stand_still() -> Sender<()> {
    let ((stands, stood), (go_on, held)) = (channel(), channel::<()>());
    wrenseam::net::spawn(64 * 1024, move || {
        stands.send(()).expect("the test waits");
        let _ = held.recv();
    })
    .expect("a coroutine");
    stood.recv_timeout(PATIENCE).expect("it stands still");
    go_on
}

/// The scheduler's stand-still outlasts all that a worker is given for its word, and is no silence of the worker's.
#[rstest]
#[case::before_the_question_is_written(Some(false), Outcome::Ok)]
#[case::before_the_answer_is_read(Some(true), Outcome::Ok)]
#[case::never_and_no_answer_comes(None, Outcome::Reset)]
fn a_connection_ends_if_its_worker_is_mute_and_not_if_we_are_held_up(
    #[case] held: Option<bool>,
    #[case] end: Outcome,
) {
    static ONE: Mutex<()> = Mutex::new(()); // there is one scheduler
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let limits = Arc::new(Limits::new(192, 1024, &Settings::default()));
    let (queue, reports) = channel();
    let mut transport = Frames::new(
        listener.local_addr().expect("bound"),
        limits.clone(),
        CoreHandle::new(queue),
    );
    transport.send(
        AttemptKey {
            request: 1,
            attempt: 0,
        },
        &request(),
        AttemptLimits::with_timeout(60_000_000),
    );
    let mut worker = listener.accept().expect("a connection").0;
    assert_eq!(frame(&mut worker), (9, CALL));
    let outlast = |transport: &mut Frames| {
        let (since, all) = (Instant::now(), 2 * (limits.link_quiet + limits.link_answer));
        while since.elapsed() <= all {
            transport.check_keepalive();
            std::thread::yield_now();
        }
    };
    let mut still = (held == Some(false)).then(stand_still);
    if still.is_some() {
        outlast(&mut transport);
    }
    drop(still.take());
    worker.set_nonblocking(true).expect("set");
    let since = Instant::now();
    while worker.peek(&mut [0]).is_err() {
        assert!(since.elapsed() < PATIENCE, "no question");
        transport.check_keepalive();
    }
    worker.set_nonblocking(false).expect("set");
    let (question, code) = frame(&mut worker);
    assert_eq!(code, HOLD);
    if held.is_some() {
        still = (held == Some(true)).then(stand_still);
        say(&mut worker, question, "slots_up=1");
        if still.is_some() {
            outlast(&mut transport);
        }
        drop(still);
        say(&mut worker, 9, "detail=resident");
    }
    let since = Instant::now();
    let outcome = loop {
        match reports.try_recv() {
            Ok(Message::AttemptEnded { key: _, report }) => break report.outcome,
            _ if held.is_none() => transport.check_keepalive(),
            _ => std::thread::yield_now(),
        }
        assert!(since.elapsed() < PATIENCE, "nothing ended");
    };
    assert_eq!(outcome, end);
}
