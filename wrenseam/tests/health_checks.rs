//! Health checks of workers over binary frames: what is asked, and what each end tells.
mod link;

use link::{frame, outcome, request, say, transport, FIRST};
use rstest::rstest;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::Duration;
use wrenseam::queue::Message;
use wrenseam::worker::{AttemptLimits, Transport};
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::Outcome;

const CODE_HEALTH_CHECK: u8 = 4;
const PATIENCE: Duration = Duration::from_secs(20);
const CHECK: u64 = 5;

/// How the check of this number ended; ends of connections are passed over.
fn check_end(reports: &Receiver<Message>) -> HealthCheckResult {
    loop {
        match reports.recv_timeout(PATIENCE).expect("a report") {
            Message::HealthCheckEnded { check, result } => {
                assert_eq!(check, CHECK);
                return result;
            }
            Message::WorkerConnectionEnded { .. } => {}
            _ => panic!("another report"),
        }
    }
}

fn accept_check(listener: &TcpListener) -> (TcpStream, u64) {
    let mut stream = listener.accept().expect("a connection").0;
    let (id, code) = frame(&mut stream);
    assert_eq!(code, CODE_HEALTH_CHECK);
    (stream, id)
}

#[rstest]
#[case::accepting(206, HealthCheckResult::Accepting)]
#[case::not_accepting(207, HealthCheckResult::NotAccepting)]
#[case::full(203, HealthCheckResult::NotAccepting)]
#[case::error(204, HealthCheckResult::NotAccepting)]
fn an_answer_tells_whether_the_worker_takes_new_work(
    #[case] code: u8,
    #[case] expected: HealthCheckResult,
    #[values(false, true)] is_draining: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) = transport(listener.local_addr().expect("bound"), |_| {});
    if is_draining {
        transport.drain();
    }
    transport.check_health(CHECK);
    let (mut stream, id) = accept_check(&listener);
    say(&mut stream, code, id, "", b"");
    assert_eq!(check_end(&reports), expected);
}

#[test]
fn a_refused_connection_and_a_broken_one_are_distinguished() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (mut transport, reports) = transport(address, |_| {});
    transport.check_health(CHECK);
    drop(accept_check(&listener));
    assert_eq!(check_end(&reports), HealthCheckResult::Unreachable);
    drop(listener);
    transport.check_health(CHECK);
    assert_eq!(check_end(&reports), HealthCheckResult::Refused);
}

#[test]
fn a_check_that_was_abandoned_leaves_its_connection_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) = transport(listener.local_addr().expect("bound"), |limits| {
        limits.worker_idle_timeout = Duration::ZERO;
    });
    transport.check_health(CHECK);
    let (_stream, _) = accept_check(&listener);
    transport.sweep();
    assert!(!transport.is_idle(), "its answer is awaited");
    transport.abandon_health_check(CHECK);
    let since = std::time::Instant::now();
    while !transport.is_idle() {
        assert!(since.elapsed() < PATIENCE, "it never closed");
        transport.sweep();
    }
    drop(reports);
}

/// A health answer to a call shows that the stream is out of step.
#[test]
fn a_health_answer_to_a_call_ends_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) = transport(listener.local_addr().expect("bound"), |_| {});
    let limits = AttemptLimits::with_timeout(20_000_000);
    transport.send(FIRST, &request(9), limits);
    let mut stream = listener.accept().expect("a connection").0;
    let (id, _) = frame(&mut stream);
    say(&mut stream, 206, id, "", b"");
    assert_eq!(outcome(&reports).1, Outcome::Reset);
}
