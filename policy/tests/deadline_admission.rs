//! Requests whose clients leave before an answer is likely, and clients that never wait long.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::*;

/// One of so many front ends, whose classes have this latency objective, before enough workers that a request in flight is no overload.
fn harness(front_ends: u32, aim: Micros) -> ControllerHarness {
    let mut set = Settings {
        front_ends,
        load_on_demand: true,
        ..settings()
    };
    set.classes
        .iter_mut()
        .for_each(|c| c.latency_objective = aim);
    ControllerHarness::new(set, front_ends.max(6) as usize)
}

/// Answers all orders at once, as by workers that hold every function, and those that come of it.
fn settle(harness: &mut ControllerHarness, mut out: Vec<Action>) -> Vec<Action> {
    let mut n = 0;
    while n < out.len() {
        if let Action::Load {
            worker,
            function,
            replicas: count,
        } = out[n].clone()
        {
            out.extend(harness.end_load_order(&worker, function, count.max(1), Outcome::Ok));
        }
        n += 1;
    }
    out
}

/// Makes requests one after another, whose clients have `left` while an answer takes `took`: how many were served, and how
/// many rejected at once with Retry-After.
fn calls(
    harness: &mut ControllerHarness,
    n: usize,
    function: u64,
    left: Micros,
    took: Micros,
) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    for _ in 0..n {
        let (id, class, tenant, memory_mb, lanes, load_time) =
            (harness.now, IDEMPOTENT, None, 500.0, 8, 0);
        let retry = false;
        let call = Event::Request(NewRequest {
            id,
            class,
            tenant,
            function,
            time_left: left,
            memory_mb,
            concurrency: lanes,
            load_time,
            retry,
        });
        let out = harness.feed(call);
        let out = settle(harness, out);
        let advised =
            |a: &Action| matches!(a, Action::Reject { retry_after, .. } if *retry_after > 0);
        refused += usize::from(out.iter().any(advised));
        let sent = !sent_workers(&out).is_empty();
        let out = harness.advance(if sent { took.min(left) } else { 20 * MS });
        settle(harness, out);
        let (outcome, closed) = if took < left {
            (Outcome::Ok, true)
        } else {
            (Outcome::Timeout, false)
        };
        let (attempt, elapsed, warm, crowd, inflight) = (0, took.min(left), Some(true), None, None);
        if sent {
            harness.feed(Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                outcome,
                elapsed,
                request_closed: closed,
                replica_loaded: warm,
                queue_depth: crowd,
                in_flight: inflight,
            }));
            served += usize::from(closed);
        }
    }
    (served, refused)
}

/// Seen on sockets: clients that waited 63 ms came again and again while answers took longer. What was sent for them filled
/// the workers, and requests with time left were rejected, also long after.
#[rstest]
fn requests_that_cannot_meet_their_deadline_are_rejected_at_once(
    #[values(17, 300)] front_ends: u32,
) {
    let mut harness = harness(front_ends, 400 * MS);
    assert_eq!(calls(&mut harness, 20, 7, 3 * SEC, 120 * MS), (20, 0));
    let (served, refused) = calls(&mut harness, 40, 7, 47 * MS, 120 * MS);
    assert!(
        served == 0 && refused >= 38,
        "{refused} of 40 refused; one in two seconds may be tried"
    );
    assert_eq!(
        calls(&mut harness, 20, 7, 180 * MS, 120 * MS),
        (20, 0),
        "what can end is sent"
    );
}

/// All of a customer's deadlines are under 300 ms and its work is short: it is served from the first request on, whether the
/// settings state a latency objective or not, and again soon after a spell in which answers came too late.
#[rstest]
fn short_deadlines_are_served_where_the_work_is_short(
    #[values(1, 4, 300)] front_ends: u32,
    #[values(0, 60 * MS, 30 * SEC)] aim: Micros,
    #[values(60 * MS, 290 * MS)] left: Micros,
) {
    let mut harness = harness(front_ends, aim);
    assert_eq!(calls(&mut harness, 50, 7, left, 20 * MS), (50, 0));
    calls(&mut harness, 50, 7, left, left + 100 * MS);
    harness.advance(SEC);
    let (served, _) = calls(&mut harness, 50, 7, left, 20 * MS);
    assert!(served >= 45, "{served} of 50 after the spell");
}

/// A function whose requests are short, of a class whose others take far longer than its clients wait.
#[rstest]
fn a_quick_function_of_a_slow_class_is_served(#[values(1, 4, 300)] front_ends: u32) {
    let mut harness = harness(front_ends, 400 * MS);
    let (mut served, mut refused) = (0, 0);
    for _ in 0..60 {
        calls(&mut harness, 1, 7, 3 * SEC, 500 * MS);
        let ends = calls(&mut harness, 1, 8, 150 * MS, 20 * MS);
        (served, refused) = (served + ends.0, refused + ends.1);
    }
    assert!(served >= 55, "{served} of 60 served, {refused} refused");
}
