//! Routing and replication without faults: polls, losses, new replicas, their expiry, and the choice of a worker.
mod common;
use common::*;
use wrenseam_policy::*;

#[test]
fn a_new_front_end_polls_before_it_orders_a_load() {
    let mut harness = ControllerHarness::new(settings(), 3);
    let out = harness.request(1, IDEMPOTENT, 7);
    assert_eq!(load_orders(&out, 0).len(), 3);
    assert!(load_orders(&out, 1).is_empty() && sent_workers(&out).is_empty());
    assert_eq!(
        sent_workers(&harness.end_load_order("w1", 7, 1, Outcome::Ok)),
        ["w1"]
    );
}

#[test]
fn if_no_worker_has_the_function_one_load_is_ordered_and_the_request_is_sent_there() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.request(1, IDEMPOTENT, 7);
    let mut out = Vec::new();
    for w in ["w0", "w1", "w2"] {
        out.extend(harness.end_load_order(w, 7, 0, Outcome::Ok));
    }
    let ordered = load_orders(&out, 1);
    assert_eq!(ordered.len(), 1);
    assert!(sent_workers(&out).is_empty());
    assert_eq!(
        sent_workers(&harness.end_load_order(&ordered[0], 7, 1, Outcome::Ok)),
        ordered
    );
}

#[test]
fn a_second_waiting_request_orders_no_further_load() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.request(1, IDEMPOTENT, 7);
    for w in ["w0", "w1", "w2"] {
        harness.end_load_order(w, 7, 0, Outcome::Ok);
    }
    assert!(load_orders(&harness.request(2, IDEMPOTENT, 7), 1).is_empty());
}

#[test]
fn requests_spread_evenly_over_free_loaded_workers() {
    let mut harness = ControllerHarness::new(settings(), 4);
    harness.mark_loaded(7, 1, &["w0", "w1", "w2"]);
    let mut requests = [0; 4];
    for id in 100..700 {
        let to = sent_workers(&harness.request(id, IDEMPOTENT, 7));
        let w: usize = to[0][1..].parse().unwrap();
        requests[w] += 1;
        harness.end_attempt(id, 0, Outcome::Ok, 50 * MS);
    }
    // 600 random choices of three workers: 200 each, within four standard deviations (46).
    assert_eq!(requests[3], 0, "w3 does not have the function loaded");
    assert!(
        requests[..3].iter().all(|n| (154..=246).contains(n)),
        "requests by worker: {requests:?}"
    );
}

#[test]
fn a_lost_request_goes_to_the_loaded_worker_with_fewest_in_flight_and_a_replica_is_added() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.mark_loaded(7, 1, &["w0"]);
    assert_eq!(sent_workers(&harness.request(2, IDEMPOTENT, 7)), ["w0"]);
    let out = harness.request(3, IDEMPOTENT, 7);
    assert_eq!(sent_workers(&out), ["w0"]);
    let ordered = load_orders(&out, 1);
    assert_eq!(ordered.len(), 1);
    assert_ne!(ordered[0], "w0");
    // Until that load ends, further losses add no replica.
    assert!(load_orders(&harness.request(4, IDEMPOTENT, 7), 1).is_empty());
}

#[test]
fn a_request_marked_as_a_retry_is_no_new_loss() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.mark_loaded(7, 1, &["w0"]);
    harness.request(2, IDEMPOTENT, 7);
    let out = harness.feed(Event::Request(NewRequest {
        id: 3,
        class: IDEMPOTENT,
        tenant: None,
        function: 7,
        time_left: 3 * SEC,
        memory_mb: 500.0,
        concurrency: 1,
        load_time: 0,
        retry: true,
    }));
    assert_eq!(sent_workers(&out), ["w0"]);
    assert!(load_orders(&out, 1).is_empty());
}

#[test]
fn the_new_replica_goes_where_the_least_recently_lost_function_is_idle() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.mark_loaded(1, 1, &["w1"]);
    harness.advance(100 * MS);
    harness.mark_loaded(2, 2, &["w2"]);
    harness.advance(100 * MS);
    harness.mark_loaded(7, 3, &["w0"]);
    harness.request(4, IDEMPOTENT, 7);
    assert_eq!(load_orders(&harness.request(5, IDEMPOTENT, 7), 1), ["w1"]);
}

#[test]
fn front_ends_prefer_the_same_worker_for_a_function() {
    let place = |seed| {
        let mut set = settings();
        (set.front_ends, set.load_on_demand) = (3, true);
        let mut controller = Controller::new(set, seed);
        let mut out = Vec::new();
        controller.handle(
            SEC,
            Event::EndpointUpdate {
                complete: true,
                endpoints: (0..9).map(endpoint).collect(),
            },
            &mut out,
        );
        let mut harness = ControllerHarness {
            controller,
            now: SEC,
        };
        harness.request(1, IDEMPOTENT, 7);
        let replies =
            (0..9).flat_map(|w| harness.end_load_order(&format!("w{w}"), 7, 0, Outcome::Ok));
        load_orders(&replies.collect::<Vec<_>>(), 1)
    };
    assert_eq!(place(1).len(), 1);
    assert!((2..12).all(|seed| place(seed) == place(1)));
}

#[test]
fn a_replica_that_exceeds_a_workers_memory_unloads_the_least_recently_lost_function() {
    let mut set = settings();
    set.kind_memory_mb = vec![1600.0]; // the usable share of it holds two replicas of 500 MB, not three
    let mut harness = ControllerHarness::new(set, 2);
    harness.mark_loaded(1, 1, &["w1"]);
    harness.advance(100 * MS);
    harness.mark_loaded(2, 2, &["w1"]);
    harness.advance(100 * MS);
    harness.mark_loaded(7, 3, &["w0"]);
    harness.request(4, IDEMPOTENT, 7);
    let out = harness.request(5, IDEMPOTENT, 7);
    assert!(
        out.contains(&Action::Unload {
            worker: "w1".into(),
            function: 1
        }),
        "{out:?}"
    );
    assert!(!out.contains(&Action::Unload {
        worker: "w1".into(),
        function: 2
    }));
}

#[test]
fn replica_state_expires_after_the_keep_alive_and_an_order_renews_the_last_replica() {
    let mut harness = ControllerHarness::new(settings(), 2);
    harness.mark_loaded(7, 1, &["w0"]);
    let out = harness.advance(7 * SEC);
    assert_eq!(load_orders(&out, 1), ["w0"]);
    // As the order is not answered, the replica state expires: the next request is not sent before workers are polled.
    harness.advance(5 * SEC);
    assert!(sent_workers(&harness.request(2, IDEMPOTENT, 7)).is_empty());
}

#[test]
fn a_not_loaded_answer_clears_the_replica_state_and_another_replica_is_looked_for() {
    let mut harness = ControllerHarness::new(settings(), 2);
    harness.mark_loaded(7, 1, &["w0"]);
    assert_eq!(sent_workers(&harness.request(2, NOT_IDEMPOTENT, 7)), ["w0"]);
    let out = harness.end_attempt(2, 0, Outcome::NotLoaded, 2 * MS);
    assert!(!load_orders(&out, 0).is_empty() || !load_orders(&out, 1).is_empty());
    let again = harness.request(3, IDEMPOTENT, 7);
    assert!(sent_workers(&again).is_empty());
}

#[test]
fn with_load_on_demand_a_request_is_sent_although_the_load_budget_is_exhausted() {
    let mut set = settings();
    (set.load_on_demand, set.load_budget_window) = (true, 5 * SEC); // the budget allows no load orders
    let mut harness = ControllerHarness::new(set, 2);
    harness.request(1, IDEMPOTENT, 7);
    let mut out = harness.end_load_order("w0", 7, 0, Outcome::Ok);
    out.extend(harness.end_load_order("w1", 7, 0, Outcome::Ok));
    assert_eq!(sent_workers(&out).len(), 1);
    assert!(load_orders(&out, 1).is_empty());
}

#[test]
fn a_reported_queue_depth_occupies_the_slots_of_a_replica() {
    let mut harness = ControllerHarness::new(settings(), 3);
    harness.mark_loaded(7, 1, &["w0", "w1"]);
    for id in 2..40 {
        let to = sent_workers(&harness.request(id, IDEMPOTENT, 7)).remove(0);
        let queue_depth = (to == "w0").then_some(3);
        harness.feed(Event::AttemptEnded(AttemptResult {
            id,
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: 50 * MS,
            request_closed: true,
            replica_loaded: Some(true),
            queue_depth,
            in_flight: None,
        }));
        if to == "w0" {
            assert_eq!(
                sent_workers(&harness.request(id + 100, IDEMPOTENT, 7)),
                ["w1"]
            );
            return;
        }
    }
    panic!("no request was sent to w0");
}

/// Sends requests for function 7 with these times between them, each served at once. Returns the orders between each
/// request and the next: replicas ordered within the last second, replicas ordered before that, and orders to unload
/// before that.
fn orders_between_requests(gaps: &[Micros]) -> Vec<(usize, usize, usize)> {
    let mut harness = ControllerHarness::new(settings(), 3);
    let orders_after = |(n, &gap): (usize, &Micros)| {
        let mut out = harness.request(n as u64, IDEMPOTENT, 7);
        for w in load_orders(&out, 0) {
            out.extend(harness.end_load_order(&w, 7, 0, Outcome::Ok));
        }
        for w in load_orders(&out, 1) {
            harness.end_load_order(&w, 7, 1, Outcome::Ok);
        }
        harness.end_attempt(n as u64, 0, Outcome::Ok, 50 * MS);
        let (early, late) = (harness.advance(gap - SEC), harness.advance(SEC));
        load_orders(&late, 1)
            .iter()
            .for_each(|w| drop(harness.end_load_order(w, 7, 1, Outcome::Ok)));
        let unloads = early
            .iter()
            .filter(|action| matches!(action, Action::Unload { .. }))
            .count();
        (
            load_orders(&late, 1).len(),
            load_orders(&early, 1).len(),
            unloads,
        )
    };
    gaps.iter().enumerate().map(orders_after).collect()
}

/// Guards against two faults that were seen over real connections: eight in ten requests of timers found no replica,
/// because it had been unloaded since the last one; and replicas that were kept loaded between the requests of a timer
/// took the memory that other functions needed.
#[test]
fn a_replica_is_prefetched_for_a_periodic_request_and_unloaded_after_it() {
    let even = orders_between_requests(&[10 * SEC; 5]);
    assert!(
        even[2..]
            .iter()
            .all(|&(late, early, unloads)| (late, early, unloads) == (1, 0, 1)),
        "orders at even intervals: {even:?}"
    );
    let uneven =
        orders_between_requests(&[10 * SEC, 7 * SEC, 12 * SEC, 9 * SEC, 6 * SEC, 10 * SEC]);
    assert!(
        uneven[2..]
            .iter()
            .all(|&(late, _, unloads)| (late, unloads) == (0, 0)),
        "orders at uneven intervals: {uneven:?}"
    );
}
