//! What the answer of a v2 worker proves about a call: an answer that says that nothing ran is believed only if it must
//! be the answer to this call.
mod link;

use link::{next_outcome, request, transport_of, Protocol};
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

const LONG_TIMEOUT: u64 = 20_000_000;

/// One exchange at a time, so that it does not depend on scheduling which connection the next one uses. The long
/// connect timeout is for busy machines: a connect that fails would end its call before the worker sees it.
const ONE_CONNECTION: fn(&mut Limits) = |limits| {
    limits.max_v2_connections_per_worker = 1;
    limits.connect_timeout = Duration::from_secs(20);
};

/// A rejection with a Retry-After header.
const REJECTED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\n{}";

/// An answer that carries a body and, if given, the call's id.
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

/// A call that has been received completely.
struct ReceivedCall {
    /// The number of the connection that it came on, from 0.
    connection: usize,
    /// The stream to answer on.
    stream: TcpStream,
}

impl ReceivedCall {
    /// Answers it.
    fn answer(&mut self, answer: &str) {
        self.stream.write_all(answer.as_bytes()).expect("answered");
    }
}

/// A worker that passes each call to the test, which answers it.
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

/// Reads a complete call. Returns the stream to answer on; `None` if the connection ended.
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
// A proxy answers so too when it has lost the answer to a call that it passed on.
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
    transport.send(
        attempt(1),
        &request(9),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut call = next_call(&calls);
    call.answer(answer);
    call.stream.shutdown(Shutdown::Both).expect("open");
    assert_eq!(next_outcome(&reports), (1, proves));
}

/// A worker that has answered its first call with the call's id, so that the connection is kept.
struct Served {
    transport: Box<dyn Transport>,
    reports: Receiver<Message>,
    calls: Receiver<ReceivedCall>,
    first: ReceivedCall,
}

fn served_call() -> Served {
    let (address, calls) = worker();
    let (mut transport, reports) = transport_of(Protocol::Kserve, address, ONE_CONNECTION);
    transport.send(
        attempt(1),
        &request(1),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut first = next_call(&calls);
    first.answer(&served(Some(1)));
    assert_eq!(next_outcome(&reports), (1, Outcome::Ok));
    Served {
        transport,
        reports,
        calls,
        first,
    }
}

/// A duplicate of a rejection arrives after the next call was sent: it must not be read as that call's answer.
/// Rejections carry no id, so a connection that carried one is not used again.
#[test]
fn a_second_rejection_is_not_taken_for_that_of_the_next_call() {
    let (address, calls) = worker();
    let (mut transport, reports) = transport_of(Protocol::Kserve, address, ONE_CONNECTION);
    transport.send(
        attempt(1),
        &request(1),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut first = next_call(&calls);
    first.answer(REJECTED);
    assert_eq!(next_outcome(&reports), (1, Outcome::Rejected));
    transport.send(
        attempt(2),
        &request(2),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut second = next_call(&calls);
    let _ = first.stream.write_all(REJECTED.as_bytes()); // the connection may be closed
    second.answer(&served(Some(2)));
    assert_eq!(next_outcome(&reports), (2, Outcome::Ok));
    assert_ne!(
        first.connection, second.connection,
        "a connection of its own"
    );
}

/// A duplicate of an answer arrives after the next call was sent on the connection. It carries the id of the first
/// call, so whether the second has run is unknown.
#[test]
fn a_second_answer_is_not_taken_for_that_of_the_next_call() {
    let Served {
        mut transport,
        reports,
        calls,
        first,
    } = served_call();
    transport.send(
        attempt(2),
        &request(2),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut second = next_call(&calls);
    assert_eq!(
        first.connection, second.connection,
        "a kept connection is used again"
    );
    second.answer(&served(Some(1)));
    assert_eq!(next_outcome(&reports), (2, Outcome::Reset));
}

/// Only an answer with the call's id keeps its connection in use: a duplicate of any other answer could not be told
/// apart from the answer to the next call.
#[rstest]
#[case::an_answer_without_an_id(None, false)]
#[case::an_answer_with_its_id(Some(1), true)]
fn only_an_answer_that_names_its_call_leaves_its_connection_in_use(
    #[case] id: Option<u64>,
    #[case] kept: bool,
) {
    let (address, calls) = worker();
    let (mut transport, reports) = transport_of(Protocol::Kserve, address, ONE_CONNECTION);
    transport.send(
        attempt(1),
        &request(1),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let mut first = next_call(&calls);
    first.answer(&served(id));
    assert_eq!(next_outcome(&reports), (1, Outcome::Ok));
    transport.send(
        attempt(2),
        &request(2),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    let second = next_call(&calls);
    assert_eq!(second.connection == first.connection, kept);
}

/// Guards against a load order on a connection that carries calls. If a duplicate answer has arrived there, the order
/// reads it as its own answer, the next call reads the order's answer, and the call after it reads that call's answer:
/// a rejection of one call would then count as proof that another never ran. `tests/schedules.rs` found this fault
/// under load.
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
    assert_eq!(next_outcome(&reports), (usize::MAX, Outcome::Ok));
    transport.send(
        attempt(2),
        &request(2),
        AttemptLimits::with_timeout(LONG_TIMEOUT),
    );
    assert_eq!(
        next_call(&calls).connection,
        first.connection,
        "the call's connection is still in use, the order's is not"
    );
}

/// A client probe whose first use makes the worker send an unsolicited answer on its idle connection.
#[derive(Debug)]
struct UnsolicitedAnswer {
    worker: Mutex<TcpStream>,
    sent: AtomicBool,
}

impl ClientProbe for UnsolicitedAnswer {
    fn state(&self) -> ClientState {
        if !self.sent.swap(true, Ordering::AcqRel) {
            let mut worker = self.worker.lock().expect("not poisoned");
            worker.write_all(REJECTED.as_bytes()).expect("sent");
            let since = Instant::now();
            while unacknowledged(&worker) && since.elapsed() < Duration::from_secs(20) {
                std::thread::yield_now();
            }
        }
        ClientState::Connected
    }
}

/// Whether bytes written to the stream have not reached the other side yet.
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

/// Input arrives on an idle connection after it was checked and before the first byte of a call is written. It is not
/// an answer to that call, which must be sent on another connection.
#[test]
fn what_comes_before_the_first_byte_is_no_answer() {
    let Served {
        mut transport,
        reports,
        calls,
        first,
    } = served_call();
    let plain = Arc::into_inner(request(2)).expect("the only reference");
    let client_probe = UnsolicitedAnswer {
        worker: Mutex::new(first.stream),
        sent: AtomicBool::new(false),
    };
    let call = Arc::new(Request {
        client_probe: Some(Arc::new(client_probe)),
        ..plain
    });
    transport.send(attempt(2), &call, AttemptLimits::with_timeout(LONG_TIMEOUT));
    let mut second = next_call(&calls);
    second.answer(&served(Some(2)));
    assert_eq!(next_outcome(&reports), (2, Outcome::Ok));
    assert_ne!(
        first.connection, second.connection,
        "a connection of its own"
    );
}
