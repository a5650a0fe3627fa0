//! The five rules, one by one.
mod common;
use common::*;
use wrenseam_policy::*;

#[test]
fn rule_1_a_held_request_is_answered_before_the_client_leaves() {
    let mut rig = Rig::new(settings(), 0);
    let out = rig.request(1, UNSAFE, 7);
    let timer = out.iter().find_map(|a| match a {
        Action::Timer { delay, token } if *token != 0 => Some((*delay, *token)),
        _ => None,
    });
    let (delay, token) = timer.expect("a timer for the held request");
    assert!(delay < 3 * SEC);
    rig.now += delay;
    let end = rig.feed(Event::Timer { token });
    assert!(matches!(end[..], [Action::Reject { id: 1, .. }]), "{end:?}");
    assert!(rig.feed(Event::Timer { token }).is_empty());
}

#[test]
fn rule_2_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut rig = Rig::new(settings(), 3);
        rig.warm(7, 1, &["w0", "w1", "w2"]);
        rig.request(2, UNSAFE, 7);
        let out = rig.outcome(2, 0, outcome, 50 * MS);
        assert!(sends(&out).is_empty());
        assert!(
            out.contains(&Action::Fail { id: 2 }),
            "{outcome:?}: {out:?}"
        );
    }
}

#[test]
fn rule_2_an_unsafe_request_that_never_ran_is_sent_again() {
    let mut rig = Rig::new(settings(), 3);
    rig.warm(7, 1, &["w0", "w1", "w2"]);
    let first = sends(&rig.request(2, UNSAFE, 7));
    let again = sends(&rig.outcome(2, 0, Outcome::ConnectFailed, 50 * MS));
    assert_eq!(again.len(), 1);
    assert_ne!(first, again);
}

#[test]
fn rule_2_a_keyed_request_stays_in_its_cell_and_window() {
    for (wait, expected) in [(0, true), (3 * SEC, false)] {
        let mut rig = Rig::new(settings(), 6);
        rig.warm(7, 1, &["w0", "w1", "w2", "w3", "w4", "w5"]);
        let out = rig.feed(Event::Request(NewRequest {
            id: 2,
            class: KEYED,
            tenant: None,
            function: 7,
            time_left: 10 * SEC,
            memory_mb: 500.0,
            concurrency: 1,
            load_time: 0,
            retry: false,
        }));
        let first: usize = sends(&out)[0][1..].parse().unwrap();
        rig.now += wait;
        let again = sends(&rig.outcome(2, 0, Outcome::Error, 50 * MS));
        assert_eq!(again.len(), usize::from(expected), "after {wait}");
        if let Some(w) = again.first() {
            let w: usize = w[1..].parse().unwrap();
            assert!(w != first && w / 2 == first / 2);
        }
    }
}

#[test]
fn rule_3_a_draining_or_gone_worker_gets_nothing_new() {
    for state in [WorkerState::Draining, WorkerState::Gone] {
        let mut rig = Rig::new(settings(), 2);
        rig.warm(7, 1, &["w0"]);
        rig.feed(Event::EndpointUpdate {
            complete: false,
            endpoints: vec![Endpoint { state, ..entry(0) }],
        });
        let mut out = rig.request(2, SAFE, 7);
        out.extend(rig.pass(4 * SEC));
        assert!(
            !sends(&out).contains(&"w0".to_string()) && !loads(&out, 1).contains(&"w0".to_string())
        );
    }
}

#[test]
fn rule_4_a_cold_worker_gets_a_part_of_what_warm_ones_get() {
    let mut rig = Rig::new(settings(), 3);
    rig.warm(7, 1, &["w0", "w1", "w2"]);
    rig.feed(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![Endpoint {
            started_at: rig.now,
            ..entry(2)
        }],
    });
    rig.loaded("w2", 7, 1, Outcome::Ok);
    let mut to_cold = 0;
    let mut id = 10;
    for _ in 0..50 {
        rig.pass(20 * MS);
        for _ in 0..4 {
            id += 1;
            let out = rig.request(id, SAFE, 7);
            to_cold += sends(&out).iter().filter(|w| *w == "w2").count();
            // Whatever stands where is found at once, so only the budget keeps calls away.
            for w in loads(&out, 0).into_iter().chain(loads(&out, 1)) {
                let found = rig.loaded(&w, 7, 1, Outcome::Ok);
                to_cold += sends(&found).iter().filter(|w| *w == "w2").count();
            }
            rig.outcome(id, 0, Outcome::Ok, 50 * MS);
        }
    }
    // 200 calls of 50 ms in a second over three workers: an even share would be 66.
    assert!(to_cold < 20, "{to_cold} calls to the cold worker");
}

#[test]
fn rule_5_orders_stay_within_the_ration() {
    let mut set = settings();
    (
        set.load_budget_window,
        set.load_budget_base,
        set.load_budget_per_request,
    ) = (5 * SEC, 2.0, 0.1);
    let mut rig = Rig::new(set, 3);
    let (mut orders, mut taken) = (0, 0);
    for id in 0..40 {
        taken += 1;
        let mut out = rig.request(id, SAFE, id);
        for w in loads(&out, 0) {
            out.extend(rig.loaded(&w, id, 0, Outcome::Ok));
        }
        for w in loads(&out, 1) {
            orders += 1;
            assert!(f64::from(orders) <= 2.0 + 0.1 * f64::from(taken));
            rig.loaded(&w, id, 1, Outcome::Ok);
        }
    }
    assert!(orders >= 2);
}
