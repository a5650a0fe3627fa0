//! Long responses that are due at once: each request gets its one answer, whatever its own client or another one leaves
//! unread.
mod common;

use common::{
    connect, fastcgi_record, read_fastcgi_answer, request_bytes, InProcessFront, PassedRequest,
    Protocol,
};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wrenseam::limits::Limits;
use wrenseam::model::{Answer, Payload};
use wrenseam::queue::Message;
use Protocol::{Kserve as V2, Platform};

/// How long the clients of requests wait, in ms.
const WAIT_MS: u32 = 20_000;
/// Descriptor limit of the fronts.
const DESCRIPTORS: u64 = 1_024;
/// The largest response of the platform's functions, in bytes.
const LONG_BYTES: usize = 230_000;
/// The most requests that may be open on one connection.
const MAX_OPEN: u16 = 32;
/// FastCGI record type of a question for variables.
const GET_VALUES: u8 = 9;
/// Pause between two looks at what a front does.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// No wait takes longer.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// What a client received.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Received {
    /// Served with a body of this many bytes.
    Served(usize),
    Rejected,
    Failed,
}

fn start(protocol: Protocol, memory_mb: u64) -> InProcessFront {
    InProcessFront::start(protocol, |limits| {
        *limits = Limits::new(
            memory_mb,
            DESCRIPTORS,
            &wrenseam_policy::Settings::default(),
        );
        limits.first_request_timeout = WAIT_LIMIT;
    })
}

/// A JSON object of this length, which both fronts pass on as it is.
fn body(length: usize) -> Vec<u8> {
    let (head, end) = (br#"{"x":""#, br#""}"#);
    let mut body = head.to_vec();
    body.resize(length - end.len(), b'x');
    body.extend(end);
    body
}

/// Sends `count` requests and returns them as the core gets them.
fn send_requests(
    front: &InProcessFront,
    mut client: &TcpStream,
    protocol: Protocol,
    count: u16,
) -> Vec<PassedRequest> {
    (1..=count)
        .map(|id| {
            client
                .write_all(&request_bytes(protocol, id, WAIT_MS))
                .expect("written");
            front.next_request()
        })
        .collect()
}

/// Answers all requests at once with bodies of this length.
fn serve_all(requests: Vec<PassedRequest>, bytes: usize) {
    for PassedRequest { client, tag, .. } in requests {
        client.answer(tag, Answer::Served(Payload::Json(body(bytes))));
    }
}

/// Reads the next answer, which must be whole.
fn read_answer(client: &mut TcpStream, protocol: Protocol) -> Received {
    let (head, body) = match protocol {
        Platform => {
            let answer = read_fastcgi_answer(client).expect("a whole answer");
            (answer.head, answer.body)
        }
        V2 => read_v2_answer(client),
    };
    match head {
        head if head.contains(" 200 OK") => Received::Served(body.len()),
        head if head.contains(" 503 ") => Received::Rejected,
        _ => Received::Failed,
    }
}

fn read_v2_answer(client: &mut TcpStream) -> (String, Vec<u8>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        client.read_exact(&mut byte).expect("a whole head");
        head.extend(byte);
    }
    let head = String::from_utf8(head).expect("a head");
    let (_, length) = head.split_once("Content-Length: ").expect("a length");
    let length = length.lines().next().and_then(|length| length.parse().ok());
    let mut body = vec![0; length.expect("a length")];
    client.read_exact(&mut body).expect("a whole body");
    (head, body)
}

fn read_answers(client: &mut TcpStream, protocol: Protocol, count: u16) -> Vec<Received> {
    (0..count).map(|_| read_answer(client, protocol)).collect()
}

fn wait_until(what: &str, mut is_reached: impl FnMut() -> bool) {
    let since = Instant::now();
    while !is_reached() {
        assert!(since.elapsed() < WAIT_LIMIT, "{what}");
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Guards against a connection that is closed, with the answers of all its open requests, because a few long answers
/// are due on it at once.
#[rstest]
fn long_answers_that_are_due_at_once_are_all_served(
    #[values(Platform, V2)] protocol: Protocol,
    #[values((32, 16, LONG_BYTES), (32, MAX_OPEN, 100_000), (192, MAX_OPEN, LONG_BYTES), (192, 8, 1_000_000))]
    case: (u64, u16, usize),
) {
    let (memory_mb, count, bytes) = case;
    let mut front = start(protocol, memory_mb);
    let mut client = front.client.try_clone().expect("cloned");
    let requests = send_requests(&front, &client, protocol, count);
    let reader = std::thread::spawn(move || read_answers(&mut client, protocol, count));
    serve_all(requests, bytes);
    let received = reader.join().expect("all answers");
    assert_eq!(received, vec![Received::Served(bytes); count.into()]);
    // The connection is still in use.
    let requests = send_requests(&front, &front.client, protocol, 1);
    serve_all(requests, bytes);
    assert_eq!(
        read_answer(&mut front.client, protocol),
        Received::Served(bytes)
    );
}

/// Guards against answers that are lost because other clients leave theirs unread: these keep a share of the memory, and
/// get an answer to each request too.
#[rstest]
fn clients_that_do_not_read_leave_others_their_answers(
    #[values(Platform, V2)] protocol: Protocol,
    #[values(32, 192)] memory_mb: u64,
    #[values(1, 8)] hogs: usize,
) {
    const HOG_BYTES: usize = 1_000_000;
    let front = start(protocol, memory_mb);
    let mut clients = Vec::new();
    for _ in 0..hogs {
        let client = front.connect_another(protocol);
        let requests = send_requests(&front, &client, protocol, MAX_OPEN);
        serve_all(requests, HOG_BYTES);
        clients.push(client);
    }
    let reserved = front.context.budget.reserved();
    assert!(
        reserved <= front.context.limits.memory_budget_bytes,
        "{reserved}"
    );
    let mut other = front.connect_another(protocol);
    let requests = send_requests(&front, &other, protocol, 2);
    serve_all(requests, LONG_BYTES);
    let received = read_answers(&mut other, protocol, 2);
    assert_eq!(received, vec![Received::Served(LONG_BYTES); 2]);
    for client in &mut clients {
        let received = read_answers(client, protocol, MAX_OPEN);
        let is_whole =
            |answer: &Received| matches!(answer, Received::Served(HOG_BYTES) | Received::Failed);
        assert!(received.iter().all(is_whole), "{received:?}");
    }
    wait_until("memory is still reserved", || {
        front.context.budget.reserved() < LONG_BYTES
    });
}

/// A client that leaves its answers unread gets no further requests answered by workers: they are rejected with advice.
#[rstest]
fn requests_behind_unread_answers_are_rejected(#[values(Platform, V2)] protocol: Protocol) {
    let mut front = start(protocol, 192);
    let count = MAX_OPEN / 2;
    let requests = send_requests(&front, &front.client, protocol, count);
    serve_all(requests, 1_000_000);
    front
        .client
        .write_all(&request_bytes(protocol, count + 1, WAIT_MS))
        .expect("written");
    std::thread::sleep(WAIT_LIMIT / 50);
    let has_reached_core = |message| matches!(message, Message::Request { .. });
    assert!(!front.inbox.try_iter().any(has_reached_core));
    let received = read_answers(&mut front.client, protocol, count);
    assert!(!received.contains(&Received::Rejected), "{received:?}");
    assert_eq!(read_answer(&mut front.client, protocol), Received::Rejected);
}

/// Guards against a request that is open and loses its answer because its client leaves too many responses of the front
/// itself unread: the connection closes behind the answer.
#[test]
fn an_open_request_is_answered_before_its_connection_closes_for_unread_responses() {
    let max_unsent = 128 * 1024;
    let mut front = InProcessFront::start(Platform, |limits| limits.max_unsent_bytes = max_unsent);
    let request = send_requests(&front, &front.client, Platform, 1);
    let mut sender = front.client.try_clone().expect("cloned");
    let question = fastcgi_record(GET_VALUES, 0, &b"\x0e\0FCGI_MAX_CONNS".repeat(3_000));
    std::thread::spawn(move || while sender.write_all(&question).is_ok() {});
    let unsent = || front.context.unsent_bytes.load(Ordering::Acquire);
    wait_until("nothing waits", || unsent() > max_unsent / 2);
    std::thread::sleep(WAIT_LIMIT / 50);
    serve_all(request, LONG_BYTES);
    let mut received = Vec::new();
    front
        .client
        .read_to_end(&mut received)
        .expect("closed without a reset");
    let answers = records(&received)
        .filter(|(kind, request_id, _)| (*kind, *request_id) == (3, 1))
        .count();
    assert_eq!(answers, 1, "the end of the open request");
}

/// Guards against a response of the front itself that is never sent because it alone is longer than all of them may be
/// together, as the state of many workers is.
#[test]
fn a_long_response_of_the_front_itself_is_sent() {
    let front = start(V2, 192);
    let length = 2 * front.context.limits.max_unsent_bytes;
    let listener = may::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = connect(listener.local_addr().expect("bound"));
    let context = front.context;
    wrenseam::net::spawn(context.limits.coroutine_stack_bytes, move || {
        let (stream, _) = listener.accept().expect("a connection");
        let out = context.outbox(stream);
        out.send(vec![b'x'; length]);
        out.close();
    })
    .expect("a coroutine");
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("all of it");
    assert_eq!(received.len(), length);
}

/// The type, request id and content of each FastCGI record.
fn records(mut bytes: &[u8]) -> impl Iterator<Item = (u8, u16, &[u8])> {
    std::iter::from_fn(move || {
        let head = bytes.get(..8)?;
        let content = usize::from(u16::from_be_bytes([head[4], head[5]]));
        let end = 8 + content + usize::from(head[6]);
        let record = (
            head[1],
            u16::from_be_bytes([head[2], head[3]]),
            &bytes[8..8 + content],
        );
        bytes = &bytes[end..];
        Some(record)
    })
}

/// Guards against pending v2 requests that lose their answers because one more request came than may be open.
#[test]
fn pending_v2_requests_are_answered_although_too_many_are_sent() {
    let mut front = start(V2, 192);
    let requests = send_requests(&front, &front.client, V2, MAX_OPEN);
    front
        .client
        .write_all(&request_bytes(V2, MAX_OPEN + 1, WAIT_MS))
        .expect("written");
    std::thread::sleep(WAIT_LIMIT / 50);
    serve_all(requests, 1_000);
    let received = read_answers(&mut front.client, V2, MAX_OPEN);
    assert_eq!(received, vec![Received::Served(1_000); MAX_OPEN.into()]);
    assert_eq!(read_answer(&mut front.client, V2), Received::Rejected);
    assert_eq!(front.client.read(&mut [0]).expect("closed"), 0);
}
