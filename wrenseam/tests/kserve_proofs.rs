//! What a v2 worker's answer proves of a call: one that says that nothing ran is believed only where it must be the
//! answer to this call.
mod link;

use link::{outcome, request, transport_of, Protocol};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wrenseam::limits::Limits;
use wrenseam::model::{AttemptKey, ClientProbe, ClientState, Request};
use wrenseam::queue::Message;
use wrenseam::worker::{AttemptLimits, Transport};
use wrenseam_policy::Outcome;

const LONG: u64 = 20_000_000;

/// One exchange at a time: which connection the next one takes does not hang on which coroutine is quicker. Connects
/// have time on a busy machine: one that fails ends its call before the worker sees it.
const ONE_CONNECTION: fn(&mut Limits) = |limits| {
    limits.max_v2_connections_per_worker = 1;
    limits.connect_timeout = Duration::from_secs(20);
};

/// A rejection that says when to retry.
const REJECTED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\n{}";

/// An answer that carries a body and, if any, the call's id.
fn served(id: Option<u64>) -> String {
    let id = id.map_or(String::new(), |id| format!(r#""id":"{id:016x}","#));
    let body = format!(
        r#"{{{id}"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["x"]}}]}}"#
    );
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A call that has come completely.
struct ReceivedCall {
    /// On which connection it came, counted from the first.
    connection: usize,
    /// Where its answer goes.
    stream: TcpStream,
}

impl ReceivedCall {
    /// Answers it.
    fn answer(&mut self, answer: &str) {
        self.stream.write_all(answer.as_bytes()).expect("answered");
    }
}

/// A worker that tells of each call and leaves the answer to the test.
fn worker() -> (SocketAddr, Receiver<ReceivedCall>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (sender, calls) = channel();
    std::thread::spawn(move || {
        let streams = listener.incoming().map_while(Result::ok);
        for (connection, accepted) in streams.enumerate() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                while let Some(stream) = read_call(&accepted) {
                    if sender.send(ReceivedCall { connection, stream }).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, calls)
}

/// Reads a call completely. Returns where its answer goes.
fn read_call(mut stream: &TcpStream) -> Option<TcpStream> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))?
        .parse()
        .ok()?;
    stream.read_exact(&mut vec![0; length]).ok()?;
    stream.try_clone().ok()
}

fn next_call(calls: &Receiver<ReceivedCall>) -> ReceivedCall {
    calls.recv_timeout(Duration::from_secs(20)).expect("a call")
}

fn attempt(request: u64) -> AttemptKey {
    AttemptKey {
        request,
        attempt: request as usize,
    }
}

#[rstest]
#[case::no_such_model(
    "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
    Outcome::NotLoaded
)]
#[case::too_many(
    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
    Outcome::Rejected
)]
#[case::rejected(REJECTED, Outcome::Rejected)]
#[case::rejected_behind_an_interim_answer(&format!("HTTP/1.1 103 Early Hints\r\n\r\n{REJECTED}"), Outcome::Rejected)]
// A proxy says so too when it has lost the answer to a call that it passed on.
#[case::unavailable(
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    Outcome::Error
)]
#[case::bad_gateway(
    "HTTP/1.1 502 Bad Gateway\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    Outcome::Error
)]
#[case::timed_out(
    "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
    Outcome::Error
)]
#[case::failed(
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    Outcome::Error
)]
#[case::an_interim_answer_alone("HTTP/1.1 100 Continue\r\n\r\n", Outcome::Reset)]
#[case::nothing("", Outcome::Reset)]
#[case::half_a_rejection(
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Le",
    Outcome::Reset
)]
#[case::served(&served(None), Outcome::Ok)]
#[case::served_by_its_id(&served(Some(9)), Outcome::Ok)]
#[case::served_by_the_id_of_another(&served(Some(8)), Outcome::Reset)]
fn an_answer_proves(#[case] answer: &str, #[case] proves: Outcome) {
    let (address, calls) = worker();
    let (mut transport, reports) = transport_of(Protocol::Kserve, address, ONE_CONNECTION);
    transport.send(attempt(1), &request(9), AttemptLimits::with_timeout(LONG));
    let mut call = next_call(&calls);
    call.answer(answer);
    call.stream.shutdown(Shutdown::Both).expect("open");
    assert_eq!(outcome(&reports), (1, proves));
}

/// A worker that has served its first call, by its id, on a connection that is kept.
struct Served {
    transport: Box<dyn Transport>,
    reports: Receiver<Message>,
    calls: Receiver<ReceivedCall>,
    first: ReceivedCall,
}

fn served_call() -> Served {
    let (address, calls) = worker();
    let (mut transport, reports) = transport_of(Protocol::Kserve, address, ONE_CONNECTION);
    transport.send(attempt(1), &request(1), AttemptLimits::with_timeout(LONG));
    let mut first = next_call(&calls);
    first.answer(&served(Some(1)));
    assert_eq!(outcome(&reports), (1, Outcome::Ok));
    Served {
        transport,
        reports,
        calls,
        first,
    }
}

/// A rejection comes twice, the second time behind the next call: it is not taken for that call's answer. Rejections
/// name no call, so the connection that carried one carries no other call.
#[test]
fn a_second_rejection_is_not_taken_for_that_of_the_next_call() {
    let (address, calls) = worker();
    let (mut transport, reports) = transport_of(Protocol::Kserve, address, ONE_CONNECTION);
    transport.send(attempt(1), &request(1), AttemptLimits::with_timeout(LONG));
    let mut first = next_call(&calls);
    first.answer(REJECTED);
    assert_eq!(outcome(&reports), (1, Outcome::Rejected));
    transport.send(attempt(2), &request(2), AttemptLimits::with_timeout(LONG));
    let mut second = next_call(&calls);
    let _ = first.stream.write_all(REJECTED.as_bytes()); // the connection may be closed
    second.answer(&served(Some(2)));
    assert_eq!(outcome(&reports), (2, Outcome::Ok));
    assert_ne!(
        first.connection, second.connection,
        "a connection of its own"
    );
}

/// An answer comes twice, the second time behind the next call on the connection: it names another, so what became of
/// this one is not known.
#[test]
fn a_second_answer_is_not_taken_for_that_of_the_next_call() {
    let Served {
        mut transport,
        reports,
        calls,
        first,
    } = served_call();
    transport.send(attempt(2), &request(2), AttemptLimits::with_timeout(LONG));
    let mut second = next_call(&calls);
    assert_eq!(
        first.connection, second.connection,
        "a kept connection is used again"
    );
    second.answer(&served(Some(1)));
    assert_eq!(outcome(&reports), (2, Outcome::Reset));
}

/// What does not name its call leaves no connection for another: a second one could not be told from the next call's.
#[rstest]
#[case::an_answer_without_an_id(None, false)]
#[case::an_answer_with_its_id(Some(1), true)]
fn only_an_answer_that_names_its_call_leaves_its_connection_in_use(
    #[case] id: Option<u64>,
    #[case] kept: bool,
) {
    let (address, calls) = worker();
    let (mut transport, reports) = transport_of(Protocol::Kserve, address, ONE_CONNECTION);
    transport.send(attempt(1), &request(1), AttemptLimits::with_timeout(LONG));
    let mut first = next_call(&calls);
    first.answer(&served(id));
    assert_eq!(outcome(&reports), (1, Outcome::Ok));
    transport.send(attempt(2), &request(2), AttemptLimits::with_timeout(LONG));
    let second = next_call(&calls);
    assert_eq!(second.connection == first.connection, kept);
}

/// An answer comes twice and an order follows it: the order is not on that connection, where it would take the second
/// answer for its own, leave its own to the next call and that one's to the call after it. A rejection of the one would
/// prove of the other that it never ran; a schedule under load found that (`tests/schedules.rs`).
#[test]
fn an_order_does_not_share_a_connection_with_calls() {
    let Served {
        mut transport,
        reports,
        calls,
        first,
    } = served_call();
    transport.order(1, 7, 1, None);
    let mut ordered = next_call(&calls);
    assert_ne!(
        first.connection, ordered.connection,
        "a connection of its own"
    );
    ordered.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    assert_eq!(outcome(&reports), (usize::MAX, Outcome::Ok));
    transport.send(attempt(2), &request(2), AttemptLimits::with_timeout(LONG));
    assert_eq!(
        next_call(&calls).connection,
        first.connection,
        "the call's connection is still in use, the order's is not"
    );
}

/// The first time that anybody looks at this client, the worker says something unasked on its idle connection.
#[derive(Debug)]
struct Meanwhile {
    worker: Mutex<TcpStream>,
    said: AtomicBool,
}

impl ClientProbe for Meanwhile {
    fn state(&self) -> ClientState {
        if !self.said.swap(true, Ordering::AcqRel) {
            let mut worker = self.worker.lock().expect("sound");
            worker.write_all(REJECTED.as_bytes()).expect("said");
            let since = Instant::now();
            while unacknowledged(&worker) && since.elapsed() < Duration::from_secs(20) {
                std::thread::yield_now();
            }
        }
        ClientState::Connected
    }
}

/// Whether bytes that were written have not come to the other side yet.
fn unacknowledged(stream: &TcpStream) -> bool {
    let ports = [
        stream.local_addr().expect("bound").port(),
        stream.peer_addr().expect("connected").port(),
    ];
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read");
    table.lines().skip(1).any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let port = |word: &str| {
            word.rsplit(':')
                .next()
                .and_then(|p| u16::from_str_radix(p, 16).ok())
        };
        let ours = [port(words[1]), port(words[2])] == ports.map(Some);
        ours && !words[4].starts_with("00000000")
    })
}

/// Between the look at an idle connection and the first byte of a call something comes on it: no answer to that call,
/// which goes out on a connection of its own.
#[test]
fn what_comes_before_the_first_byte_is_no_answer() {
    let Served {
        mut transport,
        reports,
        calls,
        first,
    } = served_call();
    let plain = Arc::into_inner(request(2)).expect("ours alone");
    let client_probe = Meanwhile {
        worker: Mutex::new(first.stream),
        said: AtomicBool::new(false),
    };
    let call = Arc::new(Request {
        client_probe: Some(Arc::new(client_probe)),
        ..plain
    });
    transport.send(attempt(2), &call, AttemptLimits::with_timeout(LONG));
    let mut second = next_call(&calls);
    second.answer(&served(Some(2)));
    assert_eq!(outcome(&reports), (2, Outcome::Ok));
    assert_ne!(
        first.connection, second.connection,
        "a connection of its own"
    );
}
