//! Fleets of a hundred front ends and more: each sees few of the requests, and the work that each causes is multiplied
//! by their number.
mod common;
use common::*;
use wrenseam_policy::*;

/// Settings of one of `front_ends`, with two tenants that have 60% and 40% of the quotas.
fn fleet_settings(front_ends: u32) -> Settings {
    let tenant = |quota_per_s| TenantSettings {
        quota_per_s,
        ..TenantSettings::default()
    };
    let tenants = vec![tenant(60.0), tenant(40.0)];
    Settings {
        front_ends,
        tenants,
        ..settings()
    }
}

/// Feeds an idempotent request of a tenant.
fn request(harness: &mut ControllerHarness, id: u64, function: u64, tenant: usize) -> Vec<Action> {
    harness.feed(Event::Request(NewRequest {
        id,
        class: IDEMPOTENT,
        tenant: Some(tenant),
        function,
        time_left: 3 * SEC,
        memory_mb: 500.0,
        concurrency: 4,
        load_time: 400 * MS,
        retry: false,
    }))
}

/// Ends the first attempt of a request; the worker reports `in_flight`.
fn answer(
    harness: &mut ControllerHarness,
    id: u64,
    outcome: Outcome,
    elapsed: Micros,
    in_flight: Option<f64>,
) -> Vec<Action> {
    let request_closed = outcome == Outcome::Ok;
    harness.feed(Event::AttemptEnded(AttemptResult {
        id,
        attempt: 0,
        outcome,
        elapsed,
        request_closed,
        replica_loaded: None,
        queue_depth: None,
        in_flight,
    }))
}

/// Makes the controller know that `function` is loaded at all workers that it polls.
fn load_at_polled_workers(harness: &mut ControllerHarness, id: u64, function: u64) -> usize {
    let polled = load_orders(&request(harness, id, function, 0), 0);
    for w in &polled {
        harness.end_load_order(w, function, 1, Outcome::Ok);
    }
    answer(harness, id, Outcome::Ok, 50 * MS, None);
    polled.len()
}

#[test]
fn a_new_front_end_polls_a_few_preferred_workers_and_not_all() {
    let mut harness = ControllerHarness::new(fleet_settings(200), 60);
    let polls = load_orders(&request(&mut harness, 1, 7, 0), 0).len();
    assert!((1..=8).contains(&polls), "{polls} polls for one function");
}

fn rejections(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count()
}

/// Feeds one of 200 front ends requests, given as their times from the start and their tenants. Each is served after
/// `elapsed` unless it is rejected. Returns how many were rejected.
fn count_rejected(requests: &[(Micros, usize)], elapsed: Micros, in_flight: Option<f64>) -> usize {
    count_rejected_at(200, requests, |_| elapsed, in_flight)
}

/// The same at one of `front_ends`; `elapsed` returns the time until the answer by the request's position.
fn count_rejected_at(
    front_ends: u32,
    requests: &[(Micros, usize)],
    elapsed: impl Fn(usize) -> Micros,
    in_flight: Option<f64>,
) -> usize {
    let mut harness = ControllerHarness::new(fleet_settings(front_ends), 6);
    load_at_polled_workers(&mut harness, 1, 7);
    let (start, mut next, mut rejected) = (harness.now, 0, 0);
    let mut open = std::collections::VecDeque::new();
    while next < requests.len() || !open.is_empty() {
        harness.advance(20 * MS);
        while next < requests.len() && requests[next].0 <= harness.now - start {
            let id = 100 + next as u64;
            let out = request(&mut harness, id, 7, requests[next].1);
            rejected += rejections(&out);
            if rejections(&out) == 0 {
                open.push_back((harness.now + elapsed(next), id));
            }
            next += 1;
        }
        while let Some(n) = open.iter().position(|&(t, _)| t <= harness.now) {
            let (_, id) = open.remove(n).unwrap();
            answer(
                &mut harness,
                id,
                Outcome::Ok,
                elapsed(id as usize - 100),
                in_flight,
            );
        }
    }
    rejected
}

/// Guards against shedding where four requests arrive at one of 200 front ends within half a second: that happens by
/// chance and is no overload of the fleet.
#[test]
fn a_few_requests_at_once_at_one_of_many_front_ends_are_not_shed() {
    let requests: Vec<_> = (0..48u64)
        .map(|n| (n / 4 * 2 * SEC + n % 4 * 110 * MS, 0))
        .collect();
    assert_eq!(count_rejected(&requests, 500 * MS, None), 0);
}

/// The tenant of request `n`: three in five are of tenant 0 and two of tenant 1, as their quotas.
fn tenant_of(n: u64) -> usize {
    usize::from([false, false, false, true, true][n as usize % 5])
}

/// Guards against a fault seen over real connections: a fifth of the requests of the third second were rejected
/// although all were answered in time. The estimated rate of answers started at 0 and lagged behind the traffic, and
/// the policy interpreted that as a growing queue.
#[test]
fn a_start_or_a_rise_of_traffic_is_no_overload_but_a_growing_queue_is() {
    let start: Vec<_> = (0..200u64).map(|n| (n * 20 * MS, tenant_of(n))).collect();
    assert_eq!(count_rejected_at(3, &start, |_| 700 * MS, None), 0);
    let rise: Vec<_> = (0..500u64)
        .map(|n| ((n * 100).min(20_000 + n * 20) * MS / 2, tenant_of(n)))
        .collect();
    assert_eq!(count_rejected_at(3, &rise, |_| 280 * MS, None), 0);
    let queue: Vec<_> = (0..400u64).map(|n| (n * 20 * MS, tenant_of(n))).collect();
    assert!(
        count_rejected_at(3, &queue, |n| (200 + 10 * n as u64) * MS, None) > 0,
        "no request was rejected while the queue grew"
    );
}

/// Guards against a fault seen over real connections: after replicas were unloaded, requests that waited for loads
/// counted as a queue, and requests that found a replica were rejected because of it.
#[test]
fn requests_that_wait_for_loads_do_not_count_as_a_queue() {
    let requests: Vec<_> = (0..190u64).map(|n| (n * 20 * MS, tenant_of(n))).collect();
    let elapsed = |n: usize| {
        if n.is_multiple_of(2) && n > 100 {
            1_900 * MS
        } else {
            100 * MS
        }
    };
    assert_eq!(count_rejected_at(3, &requests, elapsed, None), 0);
}

#[test]
fn slow_answers_shed_no_load_while_workers_report_few_requests_in_flight() {
    let requests: Vec<_> = (0..80u64).map(|n| (n * 250 * MS, 0)).collect();
    assert_eq!(count_rejected(&requests, 1600 * MS, Some(1.0)), 0);
    assert!(
        count_rejected(&requests, 1600 * MS, Some(20.0)) > 0,
        "no request was rejected although workers report 20 in flight"
    );
}

/// With few requests, half of them are no evidence that a tenant with 40% of the quotas exceeds its quota over all
/// front ends; nine in ten are.
#[test]
fn a_tenant_is_over_quota_only_if_its_share_of_the_traffic_is_clearly_larger() {
    let requests: Vec<_> = (0..60u64).map(|n| (n * 500 * MS, n as usize % 2)).collect();
    assert_eq!(count_rejected(&requests, 700 * MS, None), 0);
    let requests: Vec<_> = (0..60u64)
        .map(|n| (n * 500 * MS, usize::from(n % 10 > 0)))
        .collect();
    assert!(count_rejected(&requests, 700 * MS, None) > 0);
}

#[test]
fn more_front_ends_load_a_function_at_more_workers() {
    let loaded_workers = |front_ends| {
        let mut harness = ControllerHarness::new(fleet_settings(front_ends), 40);
        load_at_polled_workers(&mut harness, 1, 7);
        let mut loaded = std::collections::BTreeSet::new();
        for id in 10..40 {
            let out = request(&mut harness, id, 7, 0);
            for w in load_orders(&out, 1) {
                harness.end_load_order(&w, 7, 1, Outcome::Ok);
                loaded.insert(w);
            }
            harness.advance(100 * MS);
            answer(&mut harness, id, Outcome::Ok, 100 * MS, Some(1.0));
            harness.advance(300 * MS);
        }
        loaded.len()
    };
    let (few, hundreds) = (loaded_workers(2), loaded_workers(200));
    assert!(
        hundreds >= few + 5,
        "{few} workers for 2 front ends, {hundreds} for 200"
    );
}

#[test]
fn after_a_rejection_a_worker_gets_no_requests_of_that_tenant_but_of_others() {
    let mut harness = ControllerHarness::new(fleet_settings(200), 1);
    load_at_polled_workers(&mut harness, 1, 7);
    harness.advance(200 * MS);
    request(&mut harness, 2, 7, 0);
    answer(&mut harness, 2, Outcome::Ok, 50 * MS, Some(1.0)); // it reports that it is not full
    harness.advance(200 * MS);
    request(&mut harness, 3, 7, 0);
    answer(&mut harness, 3, Outcome::Rejected, 50 * MS, Some(1.0));
    harness.advance(2 * SEC);
    assert!(
        sent_workers(&request(&mut harness, 4, 7, 0)).is_empty(),
        "sent to the worker that rejected the tenant two seconds ago"
    );
    assert_eq!(sent_workers(&request(&mut harness, 5, 7, 1)), ["w0"]);
}

#[test]
fn a_worker_that_rejects_all_requests_is_retried_with_growing_backoff() {
    let mut harness = ControllerHarness::new(fleet_settings(200), 1);
    load_at_polled_workers(&mut harness, 1, 7);
    let mut attempts = 0;
    for id in 10..110 {
        if !sent_workers(&request(&mut harness, id, 7, 0)).is_empty() {
            attempts += 1;
            answer(&mut harness, id, Outcome::Rejected, MS, None);
        }
        harness.advance(40 * MS);
    }
    // Within 4 s: at 0, 0.2, 0.6, 1.4 and 3 s. With a constant backoff there would be 20.
    assert!((3..=7).contains(&attempts), "{attempts} attempts in 4 s");
}

#[test]
fn with_few_requests_a_load_report_counts_for_several_seconds() {
    let mut harness = ControllerHarness::new(fleet_settings(200), 6);
    load_at_polled_workers(&mut harness, 1, 7);
    let mut requests = std::collections::BTreeMap::new();
    for id in 10..130 {
        let w = sent_workers(&request(&mut harness, id, 7, 0)).remove(0);
        *requests.entry(w.clone()).or_insert(0) += 1;
        let in_flight = if w == "w0" { 30.0 } else { 2.0 };
        answer(&mut harness, id, Outcome::Ok, 50 * MS, Some(in_flight));
        harness.advance(SEC);
    }
    // An even share would be 20; if reports were forgotten after 2 s, w0 would get most of that.
    assert!(
        requests.get("w0").copied().unwrap_or(0) <= 12,
        "requests by worker: {requests:?}"
    );
}

#[test]
fn without_load_reports_a_slow_worker_gets_fewer_requests() {
    let mut harness = ControllerHarness::new(fleet_settings(200), 6);
    load_at_polled_workers(&mut harness, 1, 7);
    let mut slow = 0;
    for id in 10..130 {
        let w = sent_workers(&request(&mut harness, id, 7, 0)).remove(0);
        slow += usize::from(w == "w0");
        let elapsed = if w == "w0" { 250 * MS } else { 100 * MS };
        answer(&mut harness, id, Outcome::Ok, elapsed, None);
        harness.advance(SEC / 4);
    }
    assert!(slow <= 15, "{slow} of 120 requests went to the slow worker");
}

#[test]
fn after_a_stall_a_front_end_ejects_no_worker_and_hedges_no_request() {
    let mut set = fleet_settings(100);
    set.hedging = true;
    let mut harness = ControllerHarness::new(set, 4);
    load_at_polled_workers(&mut harness, 1, 7);
    harness.advance(SEC);
    let sent: Vec<u64> = (10..14)
        .filter(|&id| !sent_workers(&request(&mut harness, id, 7, 0)).is_empty())
        .collect();
    assert_eq!(sent.len(), 4);
    harness.now += 2900 * MS; // the front end stalls; then it gets all events at once, the timer first
    let resumed = harness.feed(Event::Timer { token: 0 });
    assert!(
        sent_workers(&resumed).is_empty()
            && !resumed.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "attempts sent or cancelled after the stall: {resumed:?}"
    );
    for id in sent {
        answer(&mut harness, id, Outcome::Ok, 2900 * MS, None);
    }
    harness.advance(200 * MS);
    // All workers get requests of a class that is not used for trial requests, so none is ejected.
    let mut seen = std::collections::BTreeSet::new();
    for id in 100..160 {
        seen.extend(sent_workers(&harness.request(id, NOT_IDEMPOTENT, 7)));
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
    assert_eq!(seen.len(), 4, "only {seen:?} got requests");
}

/// One of many front ends sends to a worker only every few seconds, so it must act on a single time-out.
#[test]
fn after_a_single_timeout_a_worker_gets_no_requests_for_some_seconds() {
    let mut harness = ControllerHarness::new(fleet_settings(200), 60);
    load_at_polled_workers(&mut harness, 1, 7);
    harness.advance(SEC);
    let unresponsive = sent_workers(&harness.request(2, NOT_IDEMPOTENT, 7)).remove(0);
    harness.end_attempt(2, 0, Outcome::Timeout, 900 * MS);
    for id in 10..40 {
        harness.advance(SEC / 8);
        assert!(
            !sent_workers(&harness.request(id, NOT_IDEMPOTENT, 7)).contains(&unresponsive),
            "request {id} was sent to {unresponsive}"
        );
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
}

/// A hundred front ends send their first request for one function: none polls, and all send to the same worker, where
/// one load serves them all. Guards against the cost of polls, and against one replica per front end.
#[test]
fn first_requests_of_a_hundred_front_ends_go_to_the_same_worker_without_polls() {
    let mut workers = std::collections::BTreeSet::new();
    for seed in 0..100 {
        let controller = Controller::new(
            Settings {
                load_on_demand: true,
                ..fleet_settings(100)
            },
            seed,
        );
        let mut harness = ControllerHarness {
            controller,
            now: 100 * SEC,
        };
        harness.feed(Event::EndpointUpdate {
            complete: true,
            endpoints: (0..60).map(endpoint).collect(),
        });
        let out = request(&mut harness, 1, 7, 0);
        assert!(
            load_orders(&out, 0).is_empty() && load_orders(&out, 1).is_empty(),
            "polls or load orders: {out:?}"
        );
        workers.extend(sent_workers(&out));
    }
    assert_eq!(workers.len(), 1, "first requests went to {workers:?}");
}

/// In a large fleet, most requests of a front end are its first for a function. Guards against ignoring their answers:
/// if a replica was loaded, the answer is a sample of the worker's health like any other.
#[test]
fn a_first_request_that_finds_a_replica_loaded_is_a_health_sample() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..fleet_settings(100)
        },
        4,
    );
    let mut sent_to_slow = Vec::new();
    for function in 1..80 {
        let to = sent_workers(&request(&mut harness, function, function, 0)).remove(0);
        let slow = to == "w3";
        sent_to_slow.push(slow);
        let elapsed = if slow { 2 * SEC } else { 50 * MS };
        let (outcome, replica_loaded) = (Outcome::Ok, Some(true));
        let (id, attempt, request_closed, queue_depth, in_flight) = (function, 0, true, None, None);
        harness.feed(Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            outcome,
            elapsed,
            request_closed,
            replica_loaded,
            queue_depth,
            in_flight,
        }));
        harness.advance(100 * MS);
    }
    let count = |part: &[bool]| part.iter().filter(|&&slow| slow).count();
    let (early, late) = (count(&sent_to_slow[..20]), count(&sent_to_slow[20..]));
    assert!(
        early == 1 && late < 3,
        "{early} of the first 20 requests went to the slow worker, then {late} of 59"
    );
}

/// The queue depths that workers report for a function show how many of the preferred workers its requests need.
/// Guards against all front ends sending to one worker, and against replicas of rarely called functions at many
/// workers.
#[test]
fn requests_of_an_overloaded_function_spread_over_more_preferred_workers() {
    let workers_used = |queue_depth: Option<u32>| {
        let mut harness = ControllerHarness::new(
            Settings {
                load_on_demand: true,
                ..fleet_settings(100)
            },
            40,
        );
        let mut workers = std::collections::BTreeSet::new();
        for id in 1..60 {
            workers.extend(sent_workers(&request(&mut harness, id, 7, 0)));
            let (attempt, outcome, elapsed, request_closed) = (0, Outcome::Ok, 50 * MS, true);
            let (replica_loaded, in_flight) = (Some(true), None);
            harness.feed(Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                outcome,
                elapsed,
                request_closed,
                replica_loaded,
                queue_depth,
                in_flight,
            }));
            harness.advance(600 * MS);
        }
        workers.len()
    };
    assert_eq!(workers_used(None), 1);
    let workers = workers_used(Some(2));
    assert!((3..=9).contains(&workers), "{workers} workers");
}

/// Two unresponsive workers are enough to eject their whole zone, and one answer from it ends that also for workers
/// that were never tried. Guards against trying the workers of a failed zone one by one, which costs each front end a
/// third of its requests if the zone has a third of the workers.
#[test]
fn two_unresponsive_workers_eject_their_zone_until_one_answers() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..fleet_settings(100)
        },
        20,
    );
    let zone = |w: &str| w[1..].parse::<usize>().unwrap() % 2;
    let (mut id, mut unresponsive) = (0, std::collections::BTreeSet::new());
    let mut first_request = |harness: &mut ControllerHarness| {
        id += 1;
        (id, sent_workers(&request(harness, id, id, 0)).remove(0))
    };
    while unresponsive.len() < 2 {
        let (id, w) = first_request(&mut harness);
        if zone(&w) == 0 {
            harness.now += 250 * MS;
            harness.end_attempt(id, 0, Outcome::ConnectFailed, 250 * MS);
            unresponsive.insert(w);
        } else {
            answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
        }
        harness.advance(20 * MS);
    }
    for _ in 0..30 {
        let (id, w) = first_request(&mut harness);
        assert_eq!(zone(&w), 1, "request sent to {w}, whose zone is down");
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
    let polled = load_orders(&harness.advance(3 * SEC), 0);
    assert!(
        (1..=4).contains(&polled.len()),
        "polls in 3 s: {polled:?}; expected one per interval for the whole zone"
    );
    let worker = polled[0].clone();
    for function in 1..40 {
        harness.end_load_order(&worker, function, 0, Outcome::Ok);
    }
    let zones: Vec<usize> = (0..30)
        .map(|_| zone(&first_request(&mut harness).1))
        .collect();
    assert!(
        zones.contains(&0),
        "no request was sent to the zone after its answer"
    );
}

/// Guards against all front ends polling a stopped worker every second and at the same time.
#[test]
fn polls_of_an_ejected_worker_back_off_with_jitter() {
    let poll_steps = |seed: u64| {
        let controller = Controller::new(
            Settings {
                load_on_demand: true,
                ..fleet_settings(100)
            },
            seed,
        );
        let mut harness = ControllerHarness {
            controller,
            now: 100 * SEC,
        };
        harness.feed(Event::EndpointUpdate {
            complete: true,
            endpoints: vec![endpoint(0), endpoint(1), endpoint(2)],
        });
        let stopped = sent_workers(&request(&mut harness, 1, 7, 0)).remove(0);
        harness.end_attempt(1, 0, Outcome::ConnectFailed, 2 * MS);
        let mut steps = Vec::new();
        for step in 0..800 {
            for w in load_orders(&harness.advance(20 * MS), 0)
                .iter()
                .filter(|w| **w == stopped)
            {
                steps.push(step);
                harness.end_load_order(w, 7, 0, Outcome::ConnectFailed);
            }
        }
        steps
    };
    let all: Vec<Vec<i32>> = (0..20).map(poll_steps).collect();
    assert!(
        all.iter().all(|steps| (2..=6).contains(&steps.len())),
        "steps of 20 ms with a poll, in 16 s: {all:?}"
    );
    let second: std::collections::BTreeSet<i32> = all.iter().map(|steps| steps[1]).collect();
    assert!(
        second.len() > 8,
        "the second polls of 20 front ends coincide: {second:?}"
    );
}

/// Guards replicas that front ends share: one that looks idle to one of a hundred front ends serves the others.
#[test]
fn in_a_large_fleet_no_replica_is_unloaded_to_free_memory() {
    let unloads = |front_ends: u32| {
        let set = Settings {
            load_on_demand: true,
            kind_memory_mb: vec![1500.0],
            ..fleet_settings(front_ends)
        };
        let mut harness = ControllerHarness::new(set, 2);
        let mut all = Vec::new();
        for function in 1..20u64 {
            let first = request(&mut harness, function, function, 0);
            for (n, w) in load_orders(&first, 0).iter().enumerate() {
                harness.end_load_order(w, function, u32::from(n == 0), Outcome::Ok);
            }
            answer(&mut harness, function, Outcome::Ok, 50 * MS, None);
            // More requests than the replica's concurrency: another replica is needed, but there is not enough memory.
            let burst: Vec<u64> = (1..10).map(|n| 1000 * n + function).collect();
            for &id in &burst {
                let out = request(&mut harness, id, function, 0);
                for w in load_orders(&out, 1) {
                    all.extend(harness.end_load_order(&w, function, 1, Outcome::Ok));
                }
                all.extend(out);
            }
            for &id in &burst {
                all.extend(answer(&mut harness, id, Outcome::Ok, 50 * MS, None));
            }
            all.extend(harness.advance(100 * MS));
        }
        assert!(
            !load_orders(&all, 1).is_empty(),
            "no replica was ordered, so the test shows nothing"
        );
        all.iter()
            .filter(|a| matches!(a, Action::Unload { .. }))
            .count()
    };
    assert!(
        unloads(16) > 0,
        "a small fleet unloaded nothing, so the test shows nothing"
    );
    assert_eq!(unloads(100), 0);
}

/// A worker that has no connections left refuses new ones: its requests are retried at another worker, it is polled
/// with backoff, and once it answers it gets requests again for the function that it still has loaded.
#[test]
fn a_worker_that_refuses_connections_is_ejected_until_it_answers() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..fleet_settings(100)
        },
        20,
    );
    let preferred = sent_workers(&request(&mut harness, 1, 7, 0)).remove(0);
    answer(&mut harness, 1, Outcome::Ok, 50 * MS, None);
    let (mut refused, mut polled) = (0, Vec::new());
    for id in 2..42 {
        let to = sent_workers(&request(&mut harness, id, 7, 0)).remove(0);
        if to == preferred {
            refused += 1;
            let retried = sent_workers(&harness.end_attempt(id, 0, Outcome::ConnectFailed, 2 * MS));
            assert!(retried.len() == 1 && retried[0] != preferred, "{retried:?}");
            harness.end_attempt(id, 1, Outcome::Ok, 50 * MS);
        } else {
            answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
        }
        for w in load_orders(&harness.advance(200 * MS), 0) {
            polled.push(w.clone());
            harness.end_load_order(&w, 7, 0, Outcome::ConnectFailed);
        }
    }
    assert!(
        refused <= 2 && (1..=6).contains(&polled.len()),
        "{refused} requests to the worker and polls of {polled:?} in 8 s"
    );
    while load_orders(&harness.advance(20 * MS), 0) != [preferred.as_str()] {}
    harness.end_load_order(&preferred, 7, 1, Outcome::Ok);
    let gets_requests = (100..140).any(|id| {
        let to = sent_workers(&request(&mut harness, id, 7, 0)).remove(0);
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
        to == preferred
    });
    assert!(
        gets_requests,
        "no request was sent to the worker after it answered"
    );
}

/// Guards against the processor time that a front end uses without requests, which delays it where it has only part of
/// a core: it wakes ten times a second, whatever the number of workers, and polls none.
#[test]
fn an_idle_front_end_of_a_large_fleet_wakes_rarely_and_polls_no_worker() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..fleet_settings(100)
        },
        60,
    );
    request(&mut harness, 1, 7, 0);
    answer(&mut harness, 1, Outcome::Ok, 50 * MS, None);
    harness.advance(30 * SEC); // from then on the last replica is not renewed
    let (end, mut wakes) = (harness.now + 10 * SEC, 0);
    while harness.now < end {
        let out = harness.feed(Event::Timer { token: 0 });
        let [Action::Timer { delay, .. }] = out[..] else {
            panic!("actions other than one timer: {out:?}")
        };
        harness.now += delay;
        wakes += 1;
    }
    assert!(wakes <= 110, "{wakes} wake-ups in 10 s");
}
