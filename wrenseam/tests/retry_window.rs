//! A repeat of a keyed request that may have run: workers drop it only for a while, so it is not written later, whatever
//! held it up.
mod link;

use link::{late_worker, outcome, request, transport, transport_of, Protocol, FIRST};
use rstest::rstest;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam::model::{AttemptKey, Payload, Request};
use wrenseam::worker::AttemptLimits;
use wrenseam_policy::Outcome;

const LONG: u64 = 20_000_000;

/// The connection comes up once the window has passed: the repeat is not written, and reported as never run. One whose
/// window is still open is written.
#[rstest]
fn a_repeat_that_waits_for_its_connection_past_the_window_is_not_written(
    #[values(Protocol::Frames, Protocol::Kserve)] protocol: Protocol,
    #[values(1_000, LONG)] window: u64,
) {
    let (listener, address, fillers) = late_worker();
    let (mut transport, reports) =
        transport_of(protocol, address, |l| l.connect = Duration::from_secs(20));
    transport.send(
        FIRST,
        &request(9),
        AttemptLimits {
            answer_timeout: LONG,
            write_deadline: Some(Instant::now() + Duration::from_micros(window)),
        },
    );
    let since = Instant::now();
    while since.elapsed() <= Duration::from_micros(1_000) {
        std::thread::yield_now();
    }
    let mut accepted: Vec<TcpStream> = (0..=fillers.len())
        .map(|_| listener.accept().expect("one").0)
        .collect();
    let late = accepted.last_mut().expect("the late one");
    if window == LONG {
        late.read_exact(&mut [0; 16]).expect("written");
        return;
    }
    assert_eq!(outcome(&reports), (0, Outcome::NotSent));
    drop((transport, reports));
    late.set_read_timeout(Some(Duration::from_millis(300)))
        .expect("set");
    assert!(
        !matches!(late.read(&mut [0; 16]), Ok(n) if n > 0),
        "it was written"
    );
}

/// Repeats lie behind a write that stalls until the window has passed. The one that is written in part ends its
/// connection and never comes whole; what the worker has read whole is what was reported as possibly run.
#[test]
fn a_repeat_that_is_half_written_at_the_windows_end_never_comes_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (mut transport, reports) = transport(address, |l| {
        (l.streams, l.write_stall) = (1_000, Duration::from_secs(60));
    });
    let all = 900;
    let terms = AttemptLimits {
        answer_timeout: 60_000_000,
        write_deadline: Some(Instant::now() + Duration::from_millis(500)),
    };
    for n in 0..all {
        let plain = Arc::into_inner(request(n)).expect("ours alone");
        let call = Arc::new(Request {
            payload: Payload::Bytes(vec![n as u8; 16_000]),
            ..plain
        });
        wrenseam::worker::Transport::send(
            &mut transport,
            AttemptKey {
                request: n,
                attempt: 0,
            },
            &call,
            terms,
        );
    }
    let mut stream = listener.accept().expect("a connection").0;
    // Nothing is read until all have ended: only the window ends them so soon.
    let outcomes: Vec<Outcome> = (0..all).map(|_| outcome(&reports).1).collect();
    let may_have_run = outcomes.iter().filter(|o| **o == Outcome::Reset).count();
    assert!(may_have_run > 0 && outcomes.iter().all(|o| *o != Outcome::Ok));
    let mut whole = 0;
    while stream.peek(&mut [0; 1]).is_ok_and(|n| n > 0) {
        let mut head = [0; 16];
        if stream.read_exact(&mut head).is_err() {
            break;
        }
        let rest = usize::from(u16::from_be_bytes([head[2], head[3]])) + 16_000 + 4;
        if stream.read_exact(&mut vec![0; rest]).is_err() {
            break;
        }
        whole += 1;
    }
    assert!(
        whole <= may_have_run,
        "{whole} came whole, {may_have_run} were told to may have run"
    );
    assert!(whole < all as usize, "the write stalled");
}
