//! The five rules that the policy must never break: 1, each request gets one final answer, before its deadline; 2, an
//! attempt is repeated only as far as the class's idempotency allows; 3, a draining worker gets no new work; 4, workers
//! in slow start are not overloaded; 5, load orders stay within the load budget.
mod common;
use common::*;
use wrenseam_policy::*;

#[test]
fn rule_1_a_waiting_request_is_answered_before_its_deadline() {
    let mut harness = ControllerHarness::new(settings(), 0);
    let out = harness.request(1, NOT_IDEMPOTENT, 7);
    let timer = out.iter().find_map(|action| match action {
        Action::Timer { delay, token } if *token != 0 => Some((*delay, *token)),
        _ => None,
    });
    let (delay, token) = timer.expect("a timer for the deadline of the waiting request");
    assert!(delay < 3 * SEC);
    harness.now += delay;
    let end = harness.feed(Event::Timer { token });
    assert!(matches!(end[..], [Action::Reject { id: 1, .. }]), "{end:?}");
    assert!(harness.feed(Event::Timer { token }).is_empty());
}

#[test]
fn rule_2_a_non_idempotent_request_that_may_have_executed_fails_and_is_not_sent_again() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut harness = ControllerHarness::new(settings(), 3);
        harness.mark_loaded(7, 1, &["w0", "w1", "w2"]);
        harness.request(2, NOT_IDEMPOTENT, 7);
        let out = harness.end_attempt(2, 0, outcome, 50 * MS);
        assert!(sent_workers(&out).is_empty());
        assert!(
            out.contains(&Action::Fail { id: 2 }),
            "{outcome:?}: {out:?}"
        );
    }
}

#[test]
fn rule_2_a_non_idempotent_request_that_was_not_executed_is_sent_again() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.mark_loaded(7, 1, &["w0", "w1", "w2"]);
    let first = sent_workers(&harness.request(2, NOT_IDEMPOTENT, 7));
    let again = sent_workers(&harness.end_attempt(2, 0, Outcome::ConnectFailed, 50 * MS));
    assert_eq!(again.len(), 1);
    assert_ne!(first, again);
}

#[test]
fn rule_2_a_keyed_request_is_repeated_only_within_its_cell_and_key_memory() {
    for (wait, expected) in [(0, true), (3 * SEC, false)] {
        let mut harness = ControllerHarness::new(settings(), 6);
        harness.mark_loaded(7, 1, &["w0", "w1", "w2", "w3", "w4", "w5"]);
        let out = harness.feed(Event::Request(NewRequest {
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
        let first: usize = sent_workers(&out)[0][1..].parse().unwrap();
        harness.now += wait;
        let again = sent_workers(&harness.end_attempt(2, 0, Outcome::Error, 50 * MS));
        assert_eq!(
            again.len(),
            usize::from(expected),
            "attempts after an answer delayed by {wait} microseconds"
        );
        if let Some(w) = again.first() {
            let w: usize = w[1..].parse().unwrap();
            assert!(
                w != first && w / 2 == first / 2,
                "sent to w{w} after w{first}"
            );
        }
    }
}

#[test]
fn rule_3_a_draining_or_gone_worker_gets_nothing_new() {
    for state in [WorkerState::Draining, WorkerState::Gone] {
        let mut harness = ControllerHarness::new(settings(), 2);
        harness.mark_loaded(7, 1, &["w0"]);
        harness.feed(Event::EndpointUpdate {
            complete: false,
            endpoints: vec![Endpoint {
                state,
                ..endpoint(0)
            }],
        });
        let mut out = harness.request(2, IDEMPOTENT, 7);
        out.extend(harness.advance(4 * SEC));
        assert!(
            !sent_workers(&out).contains(&"w0".to_string())
                && !load_orders(&out, 1).contains(&"w0".to_string()),
            "{state:?}: w0 got new work: {out:?}"
        );
    }
}

#[test]
fn rule_4_a_worker_in_slow_start_gets_a_fraction_of_the_requests() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.mark_loaded(7, 1, &["w0", "w1", "w2"]);
    harness.feed(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![Endpoint {
            started_at: harness.now,
            ..endpoint(2)
        }],
    });
    harness.end_load_order("w2", 7, 1, Outcome::Ok);
    let mut to_new_worker = 0;
    let mut id = 10;
    for _ in 0..50 {
        harness.advance(20 * MS);
        for _ in 0..4 {
            id += 1;
            let out = harness.request(id, IDEMPOTENT, 7);
            to_new_worker += sent_workers(&out).iter().filter(|w| *w == "w2").count();
            // All polls and load orders succeed, so only the slow-start limit keeps requests away.
            for w in load_orders(&out, 0).into_iter().chain(load_orders(&out, 1)) {
                let answer = harness.end_load_order(&w, 7, 1, Outcome::Ok);
                to_new_worker += sent_workers(&answer).iter().filter(|w| *w == "w2").count();
            }
            harness.end_attempt(id, 0, Outcome::Ok, 50 * MS);
        }
    }
    // 200 requests of 50 ms in a second over three workers: an even share would be 66.
    assert!(
        to_new_worker < 20,
        "{to_new_worker} requests to the worker in slow start"
    );
}

#[test]
fn rule_5_orders_stay_within_the_load_budget() {
    let mut set = settings();
    (
        set.load_budget_window,
        set.load_budget_base,
        set.load_budget_per_request,
    ) = (5 * SEC, 2.0, 0.1);
    let mut harness = ControllerHarness::new(set, 3);
    let (mut orders, mut requests) = (0, 0);
    for id in 0..40 {
        requests += 1;
        let mut out = harness.request(id, IDEMPOTENT, id);
        for w in load_orders(&out, 0) {
            out.extend(harness.end_load_order(&w, id, 0, Outcome::Ok));
        }
        for w in load_orders(&out, 1) {
            orders += 1;
            assert!(
                f64::from(orders) <= 2.0 + 0.1 * f64::from(requests),
                "{orders} load orders after {requests} requests"
            );
            harness.end_load_order(&w, id, 1, Outcome::Ok);
        }
    }
    assert!(orders >= 2, "only {orders} load orders");
}
