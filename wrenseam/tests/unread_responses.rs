//! Connections that the front end closes while their clients still have responses to read: the responses are written,
//! but a client that reads slowly does not have them yet, and goes on sending requests. A reset would destroy them.
mod common;

use common::{
    connect, fastcgi_record, read_fastcgi_answer, request_bytes, InProcessFront, PassedRequest,
    Protocol, FUNCTION,
};
use rstest::rstest;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};
use wrenseam::limits::Limits;
use wrenseam::memory_budget::MemoryBudget;
use wrenseam::model::{Answer, Payload};
use wrenseam::net::Outbox;
use wrenseam::queue::Message;
use Protocol::{Kserve as V2, Platform};

/// FastCGI record type of a question for variables.
const GET_VALUES: u8 = 9;
/// Each FastCGI question is answered with some 57 KB.
const FASTCGI_QUESTIONS: usize = 6;
/// Each v2 question is answered with some 350 bytes.
const V2_QUESTIONS: usize = 1_000;
/// Idle timeout of the tests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a client reads nothing: longer than a connection lingers after its last response.
const UNREAD_TIME: Duration = Duration::from_millis(1_200);
/// Pause after each read of a slow client.
const READ_PAUSE: Duration = Duration::from_millis(5);
/// How long the clients of requests wait, in ms.
const WAIT_MS: u32 = 20_000;
/// Time after which a front end that drains holds no connection in use, less that in which it still serves requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// No test takes longer.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Held by each test: one of them keeps the scheduler's only thread, which all share.
static SCHEDULER_LOCK: RwLock<()> = RwLock::new(());

/// Why the front end closes the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Drain,
    Shutdown,
    IdleTimeout,
    Eviction,
    InvalidInput,
}

/// Starts a front. No test keeps the scheduler's thread while the guard is held.
fn start(
    protocol: Protocol,
    change: impl FnOnce(&mut Limits),
) -> (RwLockReadGuard<'static, ()>, InProcessFront) {
    let guard = SCHEDULER_LOCK.read().expect("not poisoned");
    (guard, InProcessFront::start(protocol, change))
}

/// Sends questions that the front answers itself, and waits until the responses are in the system's buffers.
fn ask(front: &mut InProcessFront, questions: &[u8]) {
    front.client.write_all(questions).expect("written");
    let since = Instant::now();
    let mut answered = false;
    while !answered || front.context.unsent_bytes.load(Ordering::Acquire) > 0 {
        assert!(since.elapsed() < TEST_TIMEOUT, "not written");
        answered = front.client.peek(&mut [0]).is_ok_and(|count| count > 0);
        std::thread::sleep(READ_PAUSE);
    }
}

/// A question that a front answers itself.
fn question(protocol: Protocol) -> Vec<u8> {
    match protocol {
        Platform => fastcgi_record(GET_VALUES, 0, &b"\x0e\0FCGI_MAX_CONNS".repeat(3_000)),
        V2 => format!("GET /v2/models/{FUNCTION} HTTP/1.1\r\nHost: t\r\n\r\n").into_bytes(),
    }
}

fn questions(protocol: Protocol) -> Vec<u8> {
    let count = match protocol {
        Platform => FASTCGI_QUESTIONS,
        V2 => V2_QUESTIONS,
    };
    question(protocol).repeat(count)
}

/// Reads slowly until the connection ends. Returns the number of bytes.
fn read_slowly(client: &mut TcpStream) -> std::io::Result<usize> {
    let mut total = 0;
    loop {
        match client.read(&mut [0; 16_384])? {
            0 => return Ok(total),
            count => total += count,
        }
        std::thread::sleep(READ_PAUSE);
    }
}

/// The number of bytes with which a front answers these questions.
fn response_bytes(protocol: Protocol, questions: &[u8]) -> usize {
    let (_scheduler, mut front) = start(protocol, |_| {});
    let mut sender = front.client.try_clone().expect("cloned");
    let questions = questions.to_vec();
    let sending = std::thread::spawn(move || {
        sender.write_all(&questions).expect("written");
        sender
            .shutdown(std::net::Shutdown::Write)
            .expect("the end of the requests");
    });
    let total = read_slowly(&mut front.client).expect("all responses");
    sending.join().expect("sent");
    total
}

/// Guards against a connection that is closed because nothing is owed on it while its client has not read the
/// responses: the next request on it was answered with a reset, which destroyed them.
#[rstest]
fn a_slow_client_gets_its_responses_whatever_ends_its_connection(
    #[values(Platform, V2)] protocol: Protocol,
    #[values(
        Ending::Drain,
        Ending::Shutdown,
        Ending::IdleTimeout,
        Ending::Eviction,
        Ending::InvalidInput
    )]
    ending: Ending,
) {
    let questions = questions(protocol);
    let expected = response_bytes(protocol, &questions);
    let (_scheduler, mut front) = start(protocol, |limits| {
        if ending == Ending::IdleTimeout {
            limits.first_request_timeout = IDLE_TIMEOUT;
        }
    });
    ask(&mut front, &questions);
    let context = front.context.clone();
    let has_ended = Arc::new(AtomicBool::new(false));
    match ending {
        Ending::Drain => context
            .process_state
            .draining
            .store(true, Ordering::Release),
        Ending::Shutdown => {
            context
                .process_state
                .draining
                .store(true, Ordering::Release);
            context.shutting_down.store(true, Ordering::Release);
        }
        Ending::IdleTimeout => {}
        Ending::Eviction => {
            let has_ended = has_ended.clone();
            std::thread::spawn(move || {
                while !has_ended.load(Ordering::Acquire) {
                    context.slots.evict_idle();
                    std::thread::sleep(READ_PAUSE);
                }
            });
        }
        Ending::InvalidInput => front.client.write_all(&[0xff; 64]).expect("written"),
    }
    std::thread::sleep(UNREAD_TIME);
    // What the client sends before it has read the end of the stream. The write fails after a reset.
    let _ = front.client.write_all(&question(protocol));
    let received = read_slowly(&mut front.client);
    has_ended.store(true, Ordering::Release);
    let received = received.expect("closed without a reset");
    assert!(received >= expected, "{received} of {expected} bytes");
}

/// Guards against a reset of a connection that is closed because too many responses wait on it: those that were queued
/// before reach a client that still reads.
#[test]
fn responses_queued_before_too_many_waited_reach_a_slow_client() {
    let max_unsent = 128 * 1024;
    let (_scheduler, mut front) = start(Platform, |limits| limits.max_unsent_bytes = max_unsent);
    let mut sender = front.client.try_clone().expect("cloned");
    let endless = question(Platform);
    std::thread::spawn(move || while sender.write_all(&endless).is_ok() {});
    let since = Instant::now();
    let unsent = || front.context.unsent_bytes.load(Ordering::Acquire);
    while unsent() < max_unsent / 2 {
        assert!(since.elapsed() < TEST_TIMEOUT, "nothing waits");
        std::thread::sleep(READ_PAUSE);
    }
    std::thread::sleep(UNREAD_TIME);
    let mut head = [0; 8];
    loop {
        match front.client.read(&mut head[..1]).expect("no reset") {
            0 => break,
            _ => front.client.read_exact(&mut head[1..]).expect("a head"),
        }
        let content = usize::from(u16::from_be_bytes([head[4], head[5]]));
        let mut rest = vec![0; content + usize::from(head[6])];
        front.client.read_exact(&mut rest).expect("a whole record");
        std::thread::sleep(READ_PAUSE);
    }
}

/// A client that takes nothing does not keep its connection: the front end closes it, and frees its slot.
#[rstest]
fn a_client_that_reads_nothing_is_not_waited_for(#[values(Platform, V2)] protocol: Protocol) {
    let (_scheduler, mut front) = start(protocol, |limits| {
        limits.first_request_timeout = IDLE_TIMEOUT;
        limits.write_stall_timeout = IDLE_TIMEOUT;
    });
    SockRef::from(&front.client)
        .set_recv_buffer_size(4_096)
        .expect("set");
    ask(&mut front, &questions(protocol));
    let since = Instant::now();
    let connections = &front.context.process_state.client_connections;
    while connections.load(Ordering::Acquire) > 0 {
        assert!(since.elapsed() < TEST_TIMEOUT, "the slot is still in use");
        std::thread::sleep(READ_PAUSE);
    }
}

/// Guards against a drain that never ends: on a connection in use there is always a request open, unless requests that
/// arrive while the drain goes on are rejected at once.
#[rstest]
fn a_drain_ends_on_a_connection_in_use(#[values(Platform, V2)] protocol: Protocol) {
    let serve_time = Duration::from_millis(200);
    let (_scheduler, mut front) = start(protocol, |limits| limits.drain_serve_time = serve_time);
    let served = || Answer::Served(Payload::Bytes(b"DONE".to_vec()));
    front
        .client
        .write_all(&request_bytes(protocol, 1, WAIT_MS))
        .expect("written");
    let PassedRequest { client, tag, .. } = front.next_request();
    assert!(front.context.process_state.start_drain());
    // Another request arrives before the first is answered: served, as the drain has only begun.
    front
        .client
        .write_all(&request_bytes(protocol, 2, WAIT_MS))
        .expect("written");
    let second_tag = front.next_request().tag;
    client.answer(tag, served());
    std::thread::sleep(2 * serve_time);
    front
        .client
        .write_all(&request_bytes(protocol, 3, WAIT_MS))
        .expect("written");
    if protocol == Platform {
        let head = |client: &mut TcpStream| read_fastcgi_answer(client).expect("an answer").head;
        assert!(head(&mut front.client).starts_with("Status: 200"));
        let rejected = head(&mut front.client);
        assert!(rejected.starts_with("Status: 503"), "{rejected}");
        assert!(rejected.contains("Srv-Wait-Ms: "), "{rejected}");
    }
    client.answer(second_tag, served());
    let mut rest = String::new();
    front
        .client
        .read_to_string(&mut rest)
        .expect("closed without a reset");
    match protocol {
        Platform => assert_eq!(rest.matches("Status: 200").count(), 1, "{rest}"),
        V2 => {
            assert_eq!(rest.matches("HTTP/1.1 200").count(), 2, "{rest}");
            assert_eq!(rest.matches("HTTP/1.1 503").count(), 1, "{rest}");
        }
    }
    assert!(
        !matches!(front.inbox.try_recv(), Ok(Message::Request { .. })),
        "the rejected request reached the core"
    );
}

/// Guards against a drain that never ends on a connection whose client sends its next request as soon as it has an
/// answer: whenever the front end looked, it had just queued a response.
#[rstest]
fn a_drain_ends_although_rejected_requests_come_again(#[values(Platform, V2)] protocol: Protocol) {
    let (_scheduler, mut front) = start(protocol, |limits| limits.drain_serve_time = READ_PAUSE);
    assert!(front.context.process_state.start_drain());
    std::thread::sleep(2 * READ_PAUSE);
    let since = Instant::now();
    loop {
        let sent = front.client.write_all(&request_bytes(protocol, 1, WAIT_MS));
        let mut answer = [0; 4_096];
        if sent.is_err() || matches!(front.client.read(&mut answer), Ok(0) | Err(_)) {
            break;
        }
        assert!(since.elapsed() < DRAIN_TIME, "the connection is still open");
        std::thread::sleep(READ_PAUSE);
    }
}

/// Guards against a pending request that is never answered because what follows it on its connection is not a complete
/// request: v2 responses come in the order of the requests.
#[rstest]
#[case::half_sent(b"POST /v2/models/x/infer HTTP/1.1\r\n", "HTTP/1.1 408")]
#[case::invalid(b"\xff\xff\r\n\r\n", "HTTP/1.1 400")]
fn a_pending_v2_request_is_answered_before_its_connection_ends(
    #[case] input: &[u8],
    #[case] error: &str,
) {
    let (_scheduler, mut front) = start(V2, |limits| limits.request_read_timeout = IDLE_TIMEOUT);
    front
        .client
        .write_all(&request_bytes(V2, 1, WAIT_MS))
        .expect("written");
    front.client.write_all(input).expect("written");
    let PassedRequest { client, tag, .. } = front.next_request();
    std::thread::sleep(2 * IDLE_TIMEOUT);
    client.answer(tag, Answer::Served(Payload::Bytes(b"{}".to_vec())));
    let mut received = String::new();
    front
        .client
        .read_to_string(&mut received)
        .expect("closed without a reset");
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    assert!(received.contains(error), "{received}");
}

/// Guards against a close that comes later than the check that nothing is unread: while other coroutines had their turn,
/// a request arrived that was then closed on. Here the scheduler's only thread is kept from the check on.
#[rstest]
fn an_idle_connection_is_closed_with_the_check_that_it_is_idle(
    #[values(true, false)] linger: bool,
) {
    let _scheduler = SCHEDULER_LOCK.write();
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let limits = Arc::new(Limits::new(
        192,
        1024,
        &wrenseam_policy::Settings::default(),
    ));
    let budget = MemoryBudget::new(limits.memory_budget_bytes);
    let listener = may::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = connect(listener.local_addr().expect("bound"));
    let (release, released) = channel::<()>();
    wrenseam::net::spawn(64 * 1024, move || {
        let (stream, _) = listener.accept().expect("a connection");
        let out = Outbox::new(stream, &limits, &budget, &Arc::default());
        assert!(out.close_idle(linger));
        let _ = released.recv(); // blocks the thread, not only the coroutine
    })
    .expect("a coroutine");
    client.set_read_timeout(Some(UNREAD_TIME)).expect("set");
    let end = client.read(&mut [0; 8]);
    drop(release);
    assert_eq!(end.expect("closed"), 0);
}
