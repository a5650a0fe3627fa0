//! Requests whose clients give up before an answer is likely, and clients whose deadlines are always short.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::*;

/// One front end of a fleet of `front_ends`, with this latency objective for all classes, and enough workers that a
/// single request in flight is no overload.
fn harness(front_ends: u32, latency_objective: Micros) -> ControllerHarness {
    let mut settings = Settings {
        front_ends,
        load_on_demand: true,
        ..settings()
    };
    settings
        .classes
        .iter_mut()
        .for_each(|class| class.latency_objective = latency_objective);
    ControllerHarness::new(settings, front_ends.max(6) as usize)
}

/// Answers all load orders and polls at once, as if each function were loaded at all workers, including those that
/// follow from the answers. Returns all actions.
fn answer_orders(harness: &mut ControllerHarness, mut actions: Vec<Action>) -> Vec<Action> {
    let mut n = 0;
    while n < actions.len() {
        if let Action::Load {
            worker,
            function,
            replicas,
        } = actions[n].clone()
        {
            actions.extend(harness.end_load_order(&worker, function, replicas.max(1), Outcome::Ok));
        }
        n += 1;
    }
    actions
}

/// Makes `n` requests one after another, whose clients wait for `time_left` while an answer takes `answer_time`.
/// Returns how many were served and how many were rejected at once with Retry-After.
fn run_requests(
    harness: &mut ControllerHarness,
    n: usize,
    function: u64,
    time_left: Micros,
    answer_time: Micros,
) -> (usize, usize) {
    let (mut served, mut rejected) = (0, 0);
    for _ in 0..n {
        let id = harness.now;
        let request = Event::Request(NewRequest {
            id,
            class: IDEMPOTENT,
            tenant: None,
            function,
            time_left,
            memory_mb: 500.0,
            concurrency: 8,
            load_time: 0,
            retry: false,
        });
        let actions = harness.feed(request);
        let actions = answer_orders(harness, actions);
        let has_retry_after =
            |a: &Action| matches!(a, Action::Reject { retry_after, .. } if *retry_after > 0);
        rejected += usize::from(actions.iter().any(has_retry_after));
        let sent = !sent_workers(&actions).is_empty();
        let elapsed = answer_time.min(time_left);
        let actions = harness.advance(if sent { elapsed } else { 20 * MS });
        answer_orders(harness, actions);
        let (outcome, in_time) = if answer_time < time_left {
            (Outcome::Ok, true)
        } else {
            (Outcome::Timeout, false)
        };
        if sent {
            harness.feed(Event::AttemptEnded(AttemptResult {
                id,
                attempt: 0,
                outcome,
                elapsed,
                request_closed: in_time,
                replica_loaded: Some(true),
                queue_depth: None,
                in_flight: None,
            }));
            served += usize::from(in_time);
        }
    }
    (served, rejected)
}

/// Guards against wasted work: clients that waited for 63 ms retried repeatedly while answers took longer. The attempts
/// for them filled the workers, and requests with enough time left were rejected, even long afterwards.
#[rstest]
fn requests_that_cannot_meet_their_deadline_are_rejected_at_once(
    #[values(17, 300)] front_ends: u32,
) {
    let mut harness = harness(front_ends, 400 * MS);
    assert_eq!(
        run_requests(&mut harness, 20, 7, 3 * SEC, 120 * MS),
        (20, 0)
    );
    let (served, rejected) = run_requests(&mut harness, 40, 7, 47 * MS, 120 * MS);
    assert!(
        served == 0 && rejected >= 38,
        "{rejected} of 40 rejected, {served} served; only one in two seconds may be sent as a trial"
    );
    assert_eq!(
        run_requests(&mut harness, 20, 7, 180 * MS, 120 * MS),
        (20, 0),
        "requests with enough time left were not served"
    );
}

/// Clients whose deadlines are all under 300 ms, with requests that take little time, are served from the first request
/// on, whether the settings state a latency objective or not, and again soon after a time in which answers came too
/// late.
#[rstest]
fn requests_with_short_deadlines_are_served_where_answers_are_fast(
    #[values(1, 4, 300)] front_ends: u32,
    #[values(0, 60 * MS, 30 * SEC)] latency_objective: Micros,
    #[values(60 * MS, 290 * MS)] time_left: Micros,
) {
    let mut harness = harness(front_ends, latency_objective);
    assert_eq!(
        run_requests(&mut harness, 50, 7, time_left, 20 * MS),
        (50, 0)
    );
    run_requests(&mut harness, 50, 7, time_left, time_left + 100 * MS);
    harness.advance(SEC);
    let (served, _) = run_requests(&mut harness, 50, 7, time_left, 20 * MS);
    assert!(
        served >= 45,
        "{served} of 50 served after answers were fast again"
    );
}

/// A function with fast answers in a class whose other answers take far longer than this function's clients wait.
#[rstest]
fn a_fast_function_of_a_slow_class_is_served(#[values(1, 4, 300)] front_ends: u32) {
    let mut harness = harness(front_ends, 400 * MS);
    let (mut served, mut rejected) = (0, 0);
    for _ in 0..60 {
        run_requests(&mut harness, 1, 7, 3 * SEC, 500 * MS);
        let counts = run_requests(&mut harness, 1, 8, 150 * MS, 20 * MS);
        (served, rejected) = (served + counts.0, rejected + counts.1);
    }
    assert!(served >= 55, "{served} of 60 served, {rejected} rejected");
}
