//! Workers without the function that answer a call with a miss: only an order loads it there.
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

/// A call of a function that stands nowhere asks the first two places itself, and then a load is ordered; calls that come
/// meanwhile neither ask again nor order, and all go where the copy stands, once each.
#[rstest]
#[case::may_repeat(SAFE)]
#[case::never_twice(UNSAFE)]
fn a_call_that_meets_misses_leads_to_one_load_and_is_sent_there(#[case] class: usize) {
    let mut rig = Rig::new(few(), 6);
    let first = rig.request(1, class, 7);
    assert!(
        loads(&first, 0).is_empty(),
        "{first:?}: the call asks, not an order"
    );
    assert_eq!(sends(&first).len(), 1);
    assert!(sends(&rig.request(2, class, 7)).is_empty(), "one call asks");
    let second = rig.outcome(1, 0, Outcome::NotLoaded, 2 * MS);
    assert_eq!((sends(&second).len(), loads(&second, 1).len()), (1, 0));
    assert_ne!(sends(&second), sends(&first));
    let ordered = rig.outcome(1, 1, Outcome::NotLoaded, 2 * MS);
    let at = loads(&ordered, 1);
    assert_eq!((sends(&ordered).len(), at.len()), (0, 1), "{ordered:?}");
    assert!(
        sends(&rig.request(3, class, 7)).is_empty() && loads(&rig.pass(100 * MS), 1).is_empty()
    );
    let done = rig.loaded(&at[0], 7, 1, Outcome::Ok);
    let mut to = sends(&done);
    for (id, attempt) in [(1, 2), (2, 0), (3, 0)] {
        to.extend(sends(&rig.outcome(id, attempt, Outcome::Ok, 300 * MS)));
    }
    assert_eq!(to, vec![at[0].clone(); 3], "each goes to the copy once");
}

/// The other gateways' load is under way at the first place: the call waits there, and others join it.
#[test]
fn a_call_that_waits_for_anothers_load_shows_the_way() {
    let mut rig = Rig::new(few(), 6);
    let first = sends(&rig.request(1, SAFE, 7));
    rig.pass(100 * MS);
    assert_eq!(sends(&rig.request(2, SAFE, 7)), first);
}

/// What may have run is never sent again where it must never run twice; a miss proves that nothing ran.
#[rstest]
#[case::reset(Outcome::Reset)]
#[case::silence(Outcome::Timeout)]
#[case::error(Outcome::Error)]
fn after_a_miss_a_call_that_may_have_run_ends(#[case] outcome: Outcome) {
    let mut rig = Rig::new(few(), 6);
    rig.request(1, UNSAFE, 7);
    assert_eq!(
        sends(&rig.outcome(1, 0, Outcome::NotLoaded, 2 * MS)).len(),
        1
    );
    let out = rig.outcome(1, 1, outcome, 50 * MS);
    assert!(
        sends(&out).is_empty() && out.contains(&Action::Fail { id: 1 }),
        "{out:?}"
    );
}

/// What only met misses is given up in time for its client to try again, and as refused: nothing ran.
#[test]
fn a_call_that_only_met_misses_is_refused_before_half_its_life() {
    let mut rig = Rig::new(
        Settings {
            load_budget_window: 5 * SEC,
            ..few()
        },
        6,
    ); // no load may be ordered
    rig.request(1, UNSAFE, 7);
    rig.outcome(1, 0, Outcome::NotLoaded, 2 * MS);
    rig.outcome(1, 1, Outcome::NotLoaded, 2 * MS);
    let out = rig.pass(1_500 * MS);
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::Reject { id: 1, .. })),
        "{out:?}"
    );
}

/// A worker that fails fast looks idle: two errors in a row take it out of the choice for calls that must not be lost,
/// and it is tried again by repeatable ones.
#[test]
fn a_worker_that_fails_fast_is_left_and_tried_again() {
    let mut rig = Rig::new(
        Settings {
            load_on_demand: true,
            ..few()
        },
        6,
    );
    rig.warm(7, 1, &["w0", "w1", "w2", "w3", "w4", "w5"]);
    let (mut failed, mut unsafe_failed, mut tried) = (0, 0, 0);
    for id in 10..800 {
        let class = [SAFE, UNSAFE][id as usize % 2];
        let mut to = sends(&rig.request(id, class, 7));
        let mut attempt = 0;
        while let Some(w) = to.pop() {
            let bad = w == "w3";
            failed += usize::from(bad);
            unsafe_failed += usize::from(bad && class == UNSAFE);
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
            to = sends(&rig.outcome(id, attempt, outcome, elapsed));
            attempt += 1;
        }
        rig.pass(40 * MS);
    }
    assert!(
        failed <= 12 && unsafe_failed <= 1,
        "{failed} calls failed, {unsafe_failed} that must run once"
    );
    assert!(tried > 0, "it is tried again");
}

/// To a process that has just started every function is new: its calls earn their part of the ration once it is served, those
/// of a function that nobody serves do not.
#[rstest]
#[case::served(true, 3)]
#[case::never_served(false, 2)]
fn calls_made_before_a_function_was_served_earn_loads_once_it_is(
    #[case] served: bool,
    #[case] most: usize,
) {
    let set = Settings {
        load_budget_window: 5 * SEC,
        load_budget_base: 2.0,
        load_budget_per_request: 0.1,
        ..few()
    };
    let mut rig = Rig::new(set, 6);
    let mut orders = 0;
    for id in 1..=12 {
        orders += loads(&rig.request(id, SAFE, 7), 1).len();
    }
    if served {
        rig.outcome(1, 0, Outcome::Ok, 50 * MS);
    } else {
        rig.outcome(1, 0, Outcome::Error, 50 * MS);
    }
    for function in 20..26 {
        rig.request(100 + function, SAFE, function);
        for attempt in 0..2 {
            orders += loads(
                &rig.outcome(100 + function, attempt, Outcome::NotLoaded, MS),
                1,
            )
            .len();
        }
    }
    assert_eq!(orders, most, "2 and a tenth of the calls that count");
}
