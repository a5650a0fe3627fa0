//! The write deadline of a retry (with an idempotency key) of an attempt that may have run. Workers recognise
//! duplicates only for a limited time, so the retry must not be written later, whatever delayed it.
mod link;

use link::{
    frames_transport, listener_with_full_backlog, next_outcome, request, transport_of, Protocol,
    FIRST_ATTEMPT,
};
use rstest::rstest;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam::model::{AttemptKey, Payload, Request};
use wrenseam::worker::{AttemptLimits, Transport};
use wrenseam_policy::Outcome;

/// Longer than the tests take, in microseconds.
const LONG_TIMEOUT: u64 = 20_000_000;

/// A window that ends almost at once, in microseconds.
const SHORT_WINDOW: u64 = 1_000;

/// Length of a frame's header, body and checksum; the length of its fields varies.
const HEADER_BYTES: usize = 16;
const BODY_BYTES: usize = 16_000;
const CHECKSUM_BYTES: usize = 4;

/// The connection is established after the window has ended: the retry is not written, and is reported as never run.
/// With a window that is still open the retry is written.
#[rstest]
fn a_retry_that_waits_for_its_connection_past_the_window_is_not_written(
    #[values(Protocol::Frames, Protocol::Kserve)] protocol: Protocol,
    #[values(SHORT_WINDOW, LONG_TIMEOUT)] window: u64,
) {
    let (listener, address, fillers) = listener_with_full_backlog();
    let (mut transport, reports) = transport_of(protocol, address, |limits| {
        limits.connect_timeout = Duration::from_secs(20);
    });
    let limits = AttemptLimits {
        response_timeout: LONG_TIMEOUT,
        write_deadline: Some(Instant::now() + Duration::from_micros(window)),
        start_deadline: None,
    };
    transport.send(FIRST_ATTEMPT, &request(9), limits);
    let since = Instant::now();
    while since.elapsed() <= Duration::from_micros(SHORT_WINDOW) {
        std::thread::yield_now();
    }
    let mut accepted: Vec<TcpStream> = (0..=fillers.len())
        .map(|_| listener.accept().expect("a connection").0)
        .collect();
    let late = accepted.last_mut().expect("the delayed connection");
    if window == LONG_TIMEOUT {
        late.read_exact(&mut [0; HEADER_BYTES]).expect("written");
        return;
    }
    assert_eq!(next_outcome(&reports), (0, Outcome::NotSent));
    drop((transport, reports));
    late.set_read_timeout(Some(Duration::from_millis(300)))
        .expect("set");
    let read = late.read(&mut [0; HEADER_BYTES]);
    assert!(!matches!(read, Ok(count) if count > 0), "it was written");
}

/// Retries are queued behind a stalled write until the window ends. The one that is partly written ends its connection
/// and is never completed. No more retries reach the worker completely than are reported as possibly run.
#[test]
fn a_retry_that_is_half_written_at_the_windows_end_never_comes_completely() {
    const RETRIES: u64 = 900;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (mut transport, reports) = frames_transport(address, |limits| {
        limits.max_streams_per_connection = 1_000;
        limits.write_stall_timeout = Duration::from_secs(60);
    });
    let limits = AttemptLimits {
        response_timeout: 60_000_000,
        write_deadline: Some(Instant::now() + Duration::from_millis(500)),
        start_deadline: None,
    };
    for number in 0..RETRIES {
        let key = AttemptKey {
            request: number,
            attempt: 0,
        };
        transport.send(key, &large_request(number), limits);
    }
    let mut stream = listener.accept().expect("a connection").0;
    // Nothing is read until all retries have ended, so that only the window can end them this soon.
    let outcomes: Vec<Outcome> = (0..RETRIES).map(|_| next_outcome(&reports).1).collect();
    let may_have_run = outcomes
        .iter()
        .filter(|outcome| **outcome == Outcome::Reset)
        .count();
    assert!(may_have_run > 0 && outcomes.iter().all(|outcome| *outcome != Outcome::Ok));
    let complete = count_complete_frames(&mut stream);
    assert!(
        complete <= may_have_run,
        "{complete} came completely, {may_have_run} were reported as possibly run"
    );
    assert!(complete < RETRIES as usize, "the write stalled");
}

/// A request with a body of `BODY_BYTES`.
fn large_request(number: u64) -> Arc<Request> {
    let plain = Arc::into_inner(request(number)).expect("the only reference");
    Arc::new(Request {
        payload: Payload::Bytes(vec![number as u8; BODY_BYTES]),
        ..plain
    })
}

/// How many complete frames came before the connection ended.
fn count_complete_frames(stream: &mut TcpStream) -> usize {
    let mut complete = 0;
    while stream.peek(&mut [0; 1]).is_ok_and(|count| count > 0) {
        let mut header = [0; HEADER_BYTES];
        if stream.read_exact(&mut header).is_err() {
            break;
        }
        let fields = usize::from(u16::from_be_bytes([header[2], header[3]]));
        let mut rest = vec![0; fields + BODY_BYTES + CHECKSUM_BYTES];
        if stream.read_exact(&mut rest).is_err() {
            break;
        }
        complete += 1;
    }
    complete
}
