//! Workers that answer "not loaded" to a request whose function they lack: only a load order loads it there.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::*;

/// Four front ends, whose workers load functions only when ordered to.
fn small_fleet() -> Settings {
    Settings {
        front_ends: 4,
        max_attempts: 6,
        ..settings()
    }
}

/// A request for a function that is loaded nowhere is sent to the first two preferred workers to find that out, and
/// then a load is ordered. Requests that arrive meanwhile wait: they are not sent to other workers and cause no
/// further load. Once the replica is loaded, each request is sent there once.
#[rstest]
#[case::idempotent(IDEMPOTENT)]
#[case::not_idempotent(NOT_IDEMPOTENT)]
fn two_not_loaded_answers_lead_to_one_load_and_the_request_is_sent_there(#[case] class: usize) {
    let mut harness = ControllerHarness::new(small_fleet(), 6);
    let first = harness.request(1, class, 7);
    assert!(
        load_orders(&first, 0).is_empty(),
        "workers were polled instead of sent the request: {first:?}"
    );
    assert_eq!(sent_workers(&first).len(), 1);
    assert!(
        sent_workers(&harness.request(2, class, 7)).is_empty(),
        "a second request was sent to find the function"
    );
    let second = harness.end_attempt(1, 0, Outcome::NotLoaded, 2 * MS);
    assert_eq!(
        (sent_workers(&second).len(), load_orders(&second, 1).len()),
        (1, 0)
    );
    assert_ne!(sent_workers(&second), sent_workers(&first));
    let ordered = harness.end_attempt(1, 1, Outcome::NotLoaded, 2 * MS);
    let loading = load_orders(&ordered, 1);
    assert_eq!(
        (sent_workers(&ordered).len(), loading.len()),
        (0, 1),
        "the request was sent a third time, or not exactly one load was ordered: {ordered:?}"
    );
    assert!(
        sent_workers(&harness.request(3, class, 7)).is_empty()
            && load_orders(&harness.advance(100 * MS), 1).is_empty()
    );
    let loaded = harness.end_load_order(&loading[0], 7, 1, Outcome::Ok);
    let mut sent_to = sent_workers(&loaded);
    for (id, attempt) in [(1, 2), (2, 0), (3, 0)] {
        sent_to.extend(sent_workers(&harness.end_attempt(
            id,
            attempt,
            Outcome::Ok,
            300 * MS,
        )));
    }
    assert_eq!(
        sent_to,
        vec![loading[0].clone(); 3],
        "not each request was sent once to the worker with the replica"
    );
}

/// Another front end's load is in flight at the first preferred worker. A request that waits there longer than a "not
/// loaded" answer takes shows that, and the next request is sent there too.
#[test]
fn requests_are_sent_to_a_worker_that_loads_for_another_front_end() {
    let mut harness = ControllerHarness::new(small_fleet(), 6);
    let first = sent_workers(&harness.request(1, IDEMPOTENT, 7));
    harness.advance(100 * MS);
    assert_eq!(sent_workers(&harness.request(2, IDEMPOTENT, 7)), first);
}

/// A request that may have been executed is not retried if it is not idempotent. A "not loaded" answer proves that it
/// was not executed.
#[rstest]
#[case::reset(Outcome::Reset)]
#[case::timeout(Outcome::Timeout)]
#[case::error(Outcome::Error)]
fn after_a_not_loaded_answer_a_request_that_may_have_been_executed_fails(#[case] outcome: Outcome) {
    let mut harness = ControllerHarness::new(small_fleet(), 6);
    harness.request(1, NOT_IDEMPOTENT, 7);
    assert_eq!(
        sent_workers(&harness.end_attempt(1, 0, Outcome::NotLoaded, 2 * MS)).len(),
        1
    );
    let out = harness.end_attempt(1, 1, outcome, 50 * MS);
    assert!(
        sent_workers(&out).is_empty() && out.contains(&Action::Fail { id: 1 }),
        "the request was retried or not failed: {out:?}"
    );
}

/// A request with only "not loaded" answers was not executed: it is rejected in time for its client to retry.
#[test]
fn a_request_with_only_not_loaded_answers_is_rejected_before_half_its_deadline() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_budget_window: 5 * SEC,
            ..small_fleet()
        },
        6,
    ); // the load budget allows no load
    harness.request(1, NOT_IDEMPOTENT, 7);
    harness.end_attempt(1, 0, Outcome::NotLoaded, 2 * MS);
    harness.end_attempt(1, 1, Outcome::NotLoaded, 2 * MS);
    let out = harness.advance(1_500 * MS);
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::Reject { id: 1, .. })),
        "the request was not rejected: {out:?}"
    );
}

/// A worker that fails fast looks idle. Two errors in a row eject it; after that only idempotent requests are sent to
/// it, as trials.
#[test]
fn a_worker_that_fails_fast_is_ejected_and_gets_trial_requests() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..small_fleet()
        },
        6,
    );
    harness.mark_loaded(7, 1, &["w0", "w1", "w2", "w3", "w4", "w5"]);
    let (mut at_failing, mut not_idempotent, mut trials) = (0, 0, 0);
    for id in 10..800 {
        let class = [IDEMPOTENT, NOT_IDEMPOTENT][id as usize % 2];
        let mut sent_to = sent_workers(&harness.request(id, class, 7));
        let mut attempt = 0;
        while let Some(worker) = sent_to.pop() {
            let is_failing = worker == "w3";
            at_failing += usize::from(is_failing);
            not_idempotent += usize::from(is_failing && class == NOT_IDEMPOTENT);
            trials += usize::from(is_failing && id > 400);
            let outcome = if is_failing && !at_failing.is_multiple_of(3) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            let elapsed = if outcome == Outcome::Error {
                2 * MS
            } else {
                50 * MS
            };
            sent_to = sent_workers(&harness.end_attempt(id, attempt, outcome, elapsed));
            attempt += 1;
        }
        harness.advance(40 * MS);
    }
    assert!(
        at_failing <= 12 && not_idempotent <= 1,
        "{at_failing} requests went to the failing worker, {not_idempotent} of them not idempotent"
    );
    assert!(trials > 0, "the ejected worker got no trial requests");
}

/// To a process that has just started each function is new. Its requests count for the load budget once it is served;
/// those of a function that is never served do not.
#[rstest]
#[case::served(true, 3)]
#[case::never_served(false, 2)]
fn requests_made_before_a_function_was_served_earn_load_budget_once_it_is(
    #[case] served: bool,
    #[case] allowed: usize,
) {
    let settings = Settings {
        load_budget_window: 5 * SEC,
        load_budget_base: 2.0,
        load_budget_per_request: 0.1,
        ..small_fleet()
    };
    let mut harness = ControllerHarness::new(settings, 6);
    let mut orders = 0;
    for id in 1..=12 {
        orders += load_orders(&harness.request(id, IDEMPOTENT, 7), 1).len();
    }
    if served {
        harness.end_attempt(1, 0, Outcome::Ok, 50 * MS);
    } else {
        harness.end_attempt(1, 0, Outcome::Error, 50 * MS);
    }
    for function in 20..26 {
        harness.request(100 + function, IDEMPOTENT, function);
        for attempt in 0..2 {
            orders += load_orders(
                &harness.end_attempt(100 + function, attempt, Outcome::NotLoaded, MS),
                1,
            )
            .len();
        }
    }
    assert_eq!(
        orders, allowed,
        "the load budget is 2 and a tenth of the requests that count"
    );
}
