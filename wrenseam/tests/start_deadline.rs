//! The start deadline of new work: an attempt or load order that has waited for its connection beyond the deadline is
//! not written, as its worker may drain by then.
mod link;

use link::{
    listener_with_full_backlog, next_outcome, request, transport_of, Protocol, FIRST_ATTEMPT,
};
use rstest::rstest;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use wrenseam::worker::AttemptLimits;
use wrenseam_policy::Outcome;

/// The connect timeout, and a start deadline that does not pass: longer than the test runs.
const CONNECT: Duration = Duration::from_secs(20);
const ANSWER_TIMEOUT_MICROS: u64 = 20_000_000;
/// A start deadline that passes before the connection is established.
const SOON: Duration = Duration::from_millis(60);

#[derive(Clone, Copy, Debug)]
enum NewWork {
    Attempt,
    LoadOrder,
}

#[rstest]
fn new_work_is_not_written_once_its_start_deadline_has_passed(
    #[values(Protocol::Frames, Protocol::Kserve)] protocol: Protocol,
    #[values(NewWork::Attempt, NewWork::LoadOrder)] work: NewWork,
    #[values(SOON, CONNECT)] within: Duration,
) {
    let (listener, address, fillers) = listener_with_full_backlog();
    let (mut transport, reports) = transport_of(protocol, address, |limits| {
        limits.connect_timeout = CONNECT;
    });
    let since = Instant::now();
    let start_deadline = Some(since + within);
    match work {
        NewWork::Attempt => {
            let limits = AttemptLimits {
                start_deadline,
                ..AttemptLimits::with_timeout(ANSWER_TIMEOUT_MICROS)
            };
            transport.send(FIRST_ATTEMPT, &request(9), limits);
        }
        NewWork::LoadOrder => transport.order(1, 7, 1, start_deadline),
    }
    while since.elapsed() <= SOON {
        std::thread::yield_now();
    }
    let mut accepted: Vec<TcpStream> = (0..=fillers.len())
        .map(|_| listener.accept().expect("accepted").0)
        .collect();
    let late = accepted
        .last_mut()
        .expect("the last connection is the one to the worker");
    if within == CONNECT {
        late.read_exact(&mut [0; 1]).expect("written");
        return;
    }
    assert_eq!(next_outcome(&reports).1, Outcome::NotSent);
    drop((transport, reports));
    let read = late.read(&mut [0; 1]);
    assert!(!matches!(read, Ok(count) if count > 0), "it was written");
}
