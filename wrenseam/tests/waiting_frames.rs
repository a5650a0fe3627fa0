//! Memory of calls that wait behind a write that finds no room. The only test of its binary, as it measures the memory
//! of its own process.
mod link;

use link::{listener_with_full_backlog, request};
use std::sync::Arc;
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::model::{AttemptKey, Payload, Request};
use wrenseam::process_usage::resident_kib;
use wrenseam::queue::CoreHandle;
use wrenseam::worker::frames::Frames;
use wrenseam::worker::{AttemptLimits, CancelOutcome, Transport};

const CALLS: usize = 10_000;
const BODY_BYTES: usize = 16 * 1024;
const RESPONSE_TIMEOUT_US: u64 = 20_000_000;

/// A worker whose connection is not established yet, or that does not read, holds up the calls to it. Those that are
/// cancelled meanwhile must not stay in memory.
#[test]
fn cancelled_calls_that_wait_for_their_connection_are_dropped() {
    may::config().set_workers(1).set_worker_pin(false); // as the program has it
    let (_listener, address, _fillers) = listener_with_full_backlog();
    let settings = wrenseam_policy::Settings::default();
    let mut limits = Limits::new(48, 384, &settings);
    limits.connect_timeout = Duration::from_secs(20);
    let (reports, _inbox) = std::sync::mpsc::channel();
    let mut transport = Frames::new(address, Arc::new(limits), CoreHandle::new(reports));
    let mut before = 0;
    for attempt in 0..CALLS {
        if attempt == 1 {
            before = resident_kib().expect("Linux"); // the scheduler runs and the connection is being established
        }
        let key = AttemptKey {
            request: 1,
            attempt,
        };
        let call = Request {
            payload: Payload::Bytes(vec![7; BODY_BYTES]),
            ..Arc::into_inner(request(attempt as u64)).expect("not shared")
        };
        let limits = AttemptLimits::with_timeout(RESPONSE_TIMEOUT_US);
        transport.send(key, &Arc::new(call), limits);
        assert_eq!(transport.cancel(key), CancelOutcome::NeverStarted);
    }
    let taken_kib = resident_kib().expect("Linux").saturating_sub(before);
    let budget_kib = 48 * 1024 / 4;
    assert!(taken_kib < budget_kib, "{taken_kib} KiB taken");
}
