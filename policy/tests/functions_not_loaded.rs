//! Workers without the function that answer a request with "not loaded": only an order loads it there.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::*;

fn few() -> Settings {
    Settings {
        front_ends: 4,
        max_attempts: 6,
        ..settings()
    }
}

/// A request of a function that is loaded nowhere queries the first two preferred workers itself, and then a load is ordered; requests that come
/// meanwhile neither query again nor order, and all go where the replica is loaded, once each.
#[rstest]
#[case::may_repeat(IDEMPOTENT)]
#[case::never_twice(NOT_IDEMPOTENT)]
fn a_request_that_meets_not_loaded_answers_leads_to_one_load_and_is_sent_there(
    #[case] class: usize,
) {
    let mut harness = ControllerHarness::new(few(), 6);
    let first = harness.request(1, class, 7);
    assert!(
        load_orders(&first, 0).is_empty(),
        "{first:?}: the call asks, not an order"
    );
    assert_eq!(sent_workers(&first).len(), 1);
    assert!(
        sent_workers(&harness.request(2, class, 7)).is_empty(),
        "one call asks"
    );
    let second = harness.end_attempt(1, 0, Outcome::NotLoaded, 2 * MS);
    assert_eq!(
        (sent_workers(&second).len(), load_orders(&second, 1).len()),
        (1, 0)
    );
    assert_ne!(sent_workers(&second), sent_workers(&first));
    let ordered = harness.end_attempt(1, 1, Outcome::NotLoaded, 2 * MS);
    let at = load_orders(&ordered, 1);
    assert_eq!(
        (sent_workers(&ordered).len(), at.len()),
        (0, 1),
        "{ordered:?}"
    );
    assert!(
        sent_workers(&harness.request(3, class, 7)).is_empty()
            && load_orders(&harness.advance(100 * MS), 1).is_empty()
    );
    let done = harness.end_load_order(&at[0], 7, 1, Outcome::Ok);
    let mut to = sent_workers(&done);
    for (id, attempt) in [(1, 2), (2, 0), (3, 0)] {
        to.extend(sent_workers(&harness.end_attempt(
            id,
            attempt,
            Outcome::Ok,
            300 * MS,
        )));
    }
    assert_eq!(to, vec![at[0].clone(); 3], "each goes to the copy once");
}

/// The other front ends' load is under way at the first preferred worker: the request waits there, and others join it.
#[test]
fn a_request_that_waits_for_another_front_ends_load_attracts_the_next() {
    let mut harness = ControllerHarness::new(few(), 6);
    let first = sent_workers(&harness.request(1, IDEMPOTENT, 7));
    harness.advance(100 * MS);
    assert_eq!(sent_workers(&harness.request(2, IDEMPOTENT, 7)), first);
}

/// What may have run is never sent again where it must never run twice; a not-loaded answer proves that nothing ran.
#[rstest]
#[case::reset(Outcome::Reset)]
#[case::silence(Outcome::Timeout)]
#[case::error(Outcome::Error)]
fn after_a_not_loaded_answer_a_request_that_may_have_run_fails(#[case] outcome: Outcome) {
    let mut harness = ControllerHarness::new(few(), 6);
    harness.request(1, NOT_IDEMPOTENT, 7);
    assert_eq!(
        sent_workers(&harness.end_attempt(1, 0, Outcome::NotLoaded, 2 * MS)).len(),
        1
    );
    let out = harness.end_attempt(1, 1, outcome, 50 * MS);
    assert!(
        sent_workers(&out).is_empty() && out.contains(&Action::Fail { id: 1 }),
        "{out:?}"
    );
}

/// What only met not-loaded answers is given up in time for its client to try again, and as rejected: nothing ran.
#[test]
fn a_request_that_only_met_not_loaded_answers_is_rejected_before_half_its_deadline() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_budget_window: 5 * SEC,
            ..few()
        },
        6,
    ); // no load may be ordered
    harness.request(1, NOT_IDEMPOTENT, 7);
    harness.end_attempt(1, 0, Outcome::NotLoaded, 2 * MS);
    harness.end_attempt(1, 1, Outcome::NotLoaded, 2 * MS);
    let out = harness.advance(1_500 * MS);
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::Reject { id: 1, .. })),
        "{out:?}"
    );
}

/// A worker that fails fast looks idle: two errors in a row eject it for requests that must not be lost,
/// and it is tried again by repeatable ones.
#[test]
fn a_worker_that_fails_fast_is_ejected_and_probed() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..few()
        },
        6,
    );
    harness.mark_loaded(7, 1, &["w0", "w1", "w2", "w3", "w4", "w5"]);
    let (mut failed, mut unsafe_failed, mut tried) = (0, 0, 0);
    for id in 10..800 {
        let class = [IDEMPOTENT, NOT_IDEMPOTENT][id as usize % 2];
        let mut to = sent_workers(&harness.request(id, class, 7));
        let mut attempt = 0;
        while let Some(w) = to.pop() {
            let bad = w == "w3";
            failed += usize::from(bad);
            unsafe_failed += usize::from(bad && class == NOT_IDEMPOTENT);
            tried += usize::from(bad && id > 400);
            let outcome = if bad && !failed.is_multiple_of(3) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            let elapsed = if outcome == Outcome::Error {
                2 * MS
            } else {
                50 * MS
            };
            to = sent_workers(&harness.end_attempt(id, attempt, outcome, elapsed));
            attempt += 1;
        }
        harness.advance(40 * MS);
    }
    assert!(
        failed <= 12 && unsafe_failed <= 1,
        "{failed} calls failed, {unsafe_failed} that must run once"
    );
    assert!(tried > 0, "it is tried again");
}

/// To a process that has just started every function is new: its requests earn their part of the load budget once it is served, those
/// of a function that nobody serves do not.
#[rstest]
#[case::served(true, 3)]
#[case::never_served(false, 2)]
fn requests_made_before_a_function_was_served_earn_load_budget_once_it_is(
    #[case] served: bool,
    #[case] most: usize,
) {
    let set = Settings {
        load_budget_window: 5 * SEC,
        load_budget_base: 2.0,
        load_budget_per_request: 0.1,
        ..few()
    };
    let mut harness = ControllerHarness::new(set, 6);
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
    assert_eq!(orders, most, "2 and a tenth of the calls that count");
}
