//! Evicted connections, and requests that cross the eviction: a request is either not read, and its client sends it
//! once more, or it gets its answer on the connection on which it came.
mod common;

use common::{connect, fastcgi, fastcgi_answer, Harness, Protocol, FUNCTION};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::net::ConnectionSlots;

/// Client connections that the program holds at 64 descriptors, of both fronts together.
const CONNECTIONS: usize = 8;

/// The id of the request that crosses.
const CROSSING: u16 = 0x100;

/// A request as bytes, whose client waits so long.
fn request(front: Protocol, id: u16, wait_ms: u32) -> Vec<u8> {
    let (wire, wait) = (format!("{id:016x}"), wait_ms.to_string());
    match front {
        Protocol::Platform => {
            let params = [
                ("SCRIPT_NAME", "/v1/tile-render"),
                ("HTTP_REQ_ID", &wire[..]),
                ("HTTP_REQ_OWNER", "acme"),
                ("HTTP_REQ_WAIT_MS", &wait),
                ("HTTP_REQ_KEY", FUNCTION),
            ];
            fastcgi(id, &params, b"x")
        }
        Protocol::Kserve => {
            let body = format!(
                r#"{{"id":"{wire}","parameters":{{"class":"tile-render","tenant":"acme","wait_ms":{wait}}},"inputs":[]}}"#
            );
            let length = body.len();
            let path = format!("/v2/models/{FUNCTION}/infer");
            format!("POST {path} HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
                .into_bytes()
        }
    }
}

/// Whether a complete answer comes.
fn is_answered(front: Protocol, stream: &mut TcpStream) -> bool {
    match front {
        Protocol::Platform => fastcgi_answer(stream).is_ok(),
        Protocol::Kserve => {
            let mut start = [0; 12];
            let whole = stream.read_exact(&mut start).is_ok() && start.starts_with(b"HTTP/1.1 ");
            // The rest of a rejection follows its status.
            whole && stream.read(&mut [0; 1024]).is_ok_and(|n| n > 0)
        }
    }
}

/// A connection that had a valid request, which was rejected at once: its client waits for 1 ms.
fn with_valid_request(front: Protocol, address: SocketAddr, id: u16) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(&request(front, id, 1)).expect("written");
    assert!(is_answered(front, &mut stream), "rejected at once");
    stream
}

/// All client connections are taken. While the program stands still a newcomer connects, and then a request that must
/// not be repeated comes on the connection that has been idle longest. Once the program goes on it accepts the newcomer
/// first, and looks for a connection to evict: the one with the request is read and answered, and evicted is one on
/// which nothing is unread. A client whose connection closes sends its request once more, as the platform's clients do.
#[rstest]
fn a_request_that_crosses_an_eviction_runs_once(
    #[values(Protocol::Platform, Protocol::Kserve)] front: Protocol,
) {
    let unsafe_class = (r#""effect":"retryable""#, r#""effect":"fragile""#);
    let stage = Harness::with(
        Protocol::Platform,
        &[(r#""sockets":256"#, r#""sockets":64"#), unsafe_class],
    );
    let address = if front == Protocol::Platform {
        stage.front
    } else {
        stage.kserve
    };
    let mut held: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|n| with_valid_request(front, address, n as u16 + 1))
        .collect();
    assert_eq!(stage.received_call_ids(), []);
    stage.signal("-STOP");
    let mut newcomer = connect(address);
    held[0]
        .write_all(&request(front, CROSSING, 900))
        .expect("written");
    stage.signal("-CONT");
    let answered = is_answered(front, &mut held[0]);
    if !answered {
        held[0] = connect(address);
        held[0]
            .write_all(&request(front, CROSSING, 900))
            .expect("written");
        assert!(is_answered(front, &mut held[0]), "at the second attempt");
    }
    assert_eq!(
        stage.received_call_ids(),
        [u64::from(CROSSING)],
        "calls at workers"
    );
    assert!(
        answered,
        "its connection was closed under a request that had been read"
    );
    newcomer
        .write_all(&request(front, 101, 1))
        .expect("written");
    assert!(
        is_answered(front, &mut newcomer),
        "a connection was evicted for the newcomer"
    );
}

/// An answer is queued before its request stops being open. In the other order a connection that closes once it is
/// idle closes ahead of the answer: the client sends its request once more, though it has run.
#[test]
fn a_connection_is_idle_only_once_its_answer_is_queued() {
    let slots = ConnectionSlots::new(1, Arc::default(), Arc::default());
    let guard = slots.acquire().expect("a slot");
    let slot = &guard.slot;
    assert!(slot.begin_request());
    let queued = AtomicBool::new(false);
    slot.answer_request(true, || {
        assert!(!slot.is_idle(), "idle before its answer is queued");
        let drained = Limits {
            client_idle_timeout: Duration::ZERO,
            ..limits()
        };
        assert!(
            !slot.has_idle_timed_out(&drained),
            "to be closed before its answer is queued"
        );
        queued.store(true, Ordering::Release);
    });
    assert!(queued.load(Ordering::Acquire) && slot.is_idle());
}

fn limits() -> Limits {
    Limits::new(192, 1024, &wrenseam_policy::Settings::default())
}
