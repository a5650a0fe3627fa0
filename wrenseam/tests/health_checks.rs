//! Health checks of workers over binary frames: what is sent, and the result that each end of a check stands for.
mod link;

use link::{frames_transport, next_outcome, read_id_and_code, request, send_answer, FIRST_ATTEMPT};
use rstest::rstest;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::Duration;
use wrenseam::queue::Message;
use wrenseam::worker::{AttemptLimits, Transport};
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::Outcome;

const CODE_HEALTH_CHECK: u8 = 4;
/// How long a test waits for a report or a close.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of the health check that the tests send.
const CHECK: u64 = 5;

/// The result of the check. Reports of ended connections are skipped.
fn check_result(reports: &Receiver<Message>) -> HealthCheckResult {
    loop {
        match reports.recv_timeout(WAIT_TIMEOUT).expect("a report") {
            Message::HealthCheckEnded { check, result } => {
                assert_eq!(check, CHECK);
                return result;
            }
            Message::WorkerConnectionEnded { .. } => {}
            _ => panic!("an unexpected report"),
        }
    }
}

fn accept_check(listener: &TcpListener) -> (TcpStream, u64) {
    let mut stream = listener.accept().expect("a connection").0;
    let (id, code) = read_id_and_code(&mut stream);
    assert_eq!(code, CODE_HEALTH_CHECK);
    (stream, id)
}

#[rstest]
#[case::accepting(206, HealthCheckResult::Accepting)]
#[case::not_accepting(207, HealthCheckResult::NotAccepting)]
#[case::full(203, HealthCheckResult::NotAccepting)]
#[case::error(204, HealthCheckResult::NotAccepting)]
fn the_response_states_whether_the_worker_takes_new_work(
    #[case] code: u8,
    #[case] expected: HealthCheckResult,
    #[values(false, true)] is_draining: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) = frames_transport(listener.local_addr().expect("bound"), |_| {});
    if is_draining {
        transport.drain();
    }
    transport.check_health(CHECK);
    let (mut stream, id) = accept_check(&listener);
    send_answer(&mut stream, code, id, "", b"");
    assert_eq!(check_result(&reports), expected);
}

#[test]
fn a_refused_connection_and_a_broken_one_are_distinguished() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (mut transport, reports) = frames_transport(address, |_| {});
    transport.check_health(CHECK);
    drop(accept_check(&listener));
    assert_eq!(check_result(&reports), HealthCheckResult::Unreachable);
    drop(listener);
    transport.check_health(CHECK);
    assert_eq!(check_result(&reports), HealthCheckResult::Refused);
}

#[test]
fn an_abandoned_check_leaves_its_connection_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) =
        frames_transport(listener.local_addr().expect("bound"), |limits| {
            limits.worker_idle_timeout = Duration::ZERO;
        });
    transport.check_health(CHECK);
    let (_stream, _) = accept_check(&listener);
    transport.sweep();
    assert!(!transport.is_idle(), "the check's response is pending");
    transport.abandon_health_check(CHECK);
    let since = std::time::Instant::now();
    while !transport.is_idle() {
        assert!(since.elapsed() < WAIT_TIMEOUT, "the connection stays open");
        transport.sweep();
    }
    drop(reports);
}

/// A health check's response to a call shows that the responses on the connection no longer match its requests.
#[test]
fn a_health_response_to_a_call_ends_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut transport, reports) = frames_transport(listener.local_addr().expect("bound"), |_| {});
    let limits = AttemptLimits::with_timeout(20_000_000);
    transport.send(FIRST_ATTEMPT, &request(9), limits);
    let mut stream = listener.accept().expect("a connection").0;
    let (id, _) = read_id_and_code(&mut stream);
    send_answer(&mut stream, 206, id, "", b"");
    assert_eq!(next_outcome(&reports).1, Outcome::Reset);
}
