//! A hundred front ends and more: each sees little, and what each does is multiplied.
mod common;
use common::*;
use wrenseam_policy::*;

fn many(front_ends: u32) -> Settings {
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

fn call(harness: &mut ControllerHarness, id: u64, function: u64, tenant: usize) -> Vec<Action> {
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

fn answer(
    harness: &mut ControllerHarness,
    id: u64,
    outcome: Outcome,
    elapsed: Micros,
    inflight: Option<f64>,
) -> Vec<Action> {
    let closed = outcome == Outcome::Ok;
    harness.feed(Event::AttemptEnded(AttemptResult {
        id,
        attempt: 0,
        outcome,
        elapsed,
        request_closed: closed,
        replica_loaded: None,
        queue_depth: None,
        in_flight: inflight,
    }))
}

/// Makes the controller take `function` for loaded at all of the workers that it queries.
fn warm_all(harness: &mut ControllerHarness, id: u64, function: u64) -> usize {
    let asked = load_orders(&call(harness, id, function, 0), 0);
    for w in &asked {
        harness.end_load_order(w, function, 1, Outcome::Ok);
    }
    answer(harness, id, Outcome::Ok, 50 * MS, None);
    asked.len()
}

#[test]
fn a_new_front_end_queries_a_few_preferred_workers_and_not_the_fleet() {
    let mut harness = ControllerHarness::new(many(200), 60);
    let asked = load_orders(&call(&mut harness, 1, 7, 0), 0).len();
    assert!(
        (1..=8).contains(&asked),
        "{asked} questions for one function"
    );
}

fn refusals(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count()
}

/// Feeds requests at these times from the start, each answered after `took`; returns how many were rejected.
fn play(calls: &[(Micros, usize)], took: Micros, inflight: Option<f64>) -> usize {
    play_at(200, calls, |_| took, inflight)
}

/// The same at one of so many front ends, and each request has a time of its own.
fn play_at(
    front_ends: u32,
    calls: &[(Micros, usize)],
    took: impl Fn(usize) -> Micros,
    inflight: Option<f64>,
) -> usize {
    let mut harness = ControllerHarness::new(many(front_ends), 6);
    warm_all(&mut harness, 1, 7);
    let (start, mut next, mut refused) = (harness.now, 0, 0);
    let mut open = std::collections::VecDeque::new();
    while next < calls.len() || !open.is_empty() {
        harness.advance(20 * MS);
        while next < calls.len() && calls[next].0 <= harness.now - start {
            let id = 100 + next as u64;
            let out = call(&mut harness, id, 7, calls[next].1);
            refused += refusals(&out);
            if refusals(&out) == 0 {
                open.push_back((harness.now + took(next), id));
            }
            next += 1;
        }
        while let Some(n) = open.iter().position(|&(t, _)| t <= harness.now) {
            let (_, id) = open.remove(n).unwrap();
            answer(
                &mut harness,
                id,
                Outcome::Ok,
                took(id as usize - 100),
                inflight,
            );
        }
    }
    refused
}

/// Four requests within half a second are no overload of two hundred front ends, only chance at one of them.
#[test]
fn a_few_requests_at_once_at_one_of_many_front_ends_shed_no_load() {
    let calls: Vec<_> = (0..48u64)
        .map(|n| (n / 4 * 2 * SEC + n % 4 * 110 * MS, 0))
        .collect();
    assert_eq!(play(&calls, 500 * MS, None), 0);
}

/// Tenants by their shares.
fn share(n: u64) -> usize {
    usize::from([false, false, false, true, true][n as usize % 5])
}

/// Seen on sockets: a fifth of the requests of the third second were rejected though all were answered in time.
/// The rate of answers had started at nothing and lagged, which read as a queue.
#[test]
fn the_first_seconds_and_a_rise_in_traffic_are_no_overload() {
    let start: Vec<_> = (0..200u64).map(|n| (n * 20 * MS, share(n))).collect();
    assert_eq!(play_at(3, &start, |_| 700 * MS, None), 0);
    let rise: Vec<_> = (0..500u64)
        .map(|n| ((n * 100).min(20_000 + n * 20) * MS / 2, share(n)))
        .collect();
    assert_eq!(play_at(3, &rise, |_| 280 * MS, None), 0);
    let queue: Vec<_> = (0..400u64).map(|n| (n * 20 * MS, share(n))).collect();
    assert!(
        play_at(3, &queue, |n| (200 + 10 * n as u64) * MS, None) > 0,
        "a queue that grows is one"
    );
}

/// Seen on sockets: replicas vanished, requests waited for loads, and what found a replica was rejected for it.
#[test]
fn requests_that_wait_for_loads_are_no_queue() {
    let calls: Vec<_> = (0..190u64).map(|n| (n * 20 * MS, share(n))).collect();
    let took = |n: usize| {
        if n.is_multiple_of(2) && n > 100 {
            1_900 * MS
        } else {
            100 * MS
        }
    };
    assert_eq!(play_at(3, &calls, took, None), 0);
}

#[test]
fn where_workers_report_capacity_slow_answers_at_one_front_end_shed_no_load() {
    let calls: Vec<_> = (0..80u64).map(|n| (n * 250 * MS, 0)).collect();
    assert_eq!(play(&calls, 1600 * MS, Some(1.0)), 0);
    assert!(
        play(&calls, 1600 * MS, Some(20.0)) > 0,
        "where they report crowds it does"
    );
}

/// Half of a thin stream is no proof that a tenant whose share is 40% goes beyond it at all front ends.
#[test]
fn a_tenants_quota_is_judged_by_its_part_of_the_traffic() {
    let calls: Vec<_> = (0..60u64).map(|n| (n * 500 * MS, n as usize % 2)).collect();
    assert_eq!(play(&calls, 700 * MS, None), 0);
    // Nine in ten of the requests are proof.
    let calls: Vec<_> = (0..60u64)
        .map(|n| (n * 500 * MS, usize::from(n % 10 > 0)))
        .collect();
    assert!(play(&calls, 700 * MS, None) > 0);
}

#[test]
fn requests_of_many_front_ends_spread_a_function_that_one_alone_would_not() {
    let workers = |front_ends| {
        let mut harness = ControllerHarness::new(many(front_ends), 40);
        warm_all(&mut harness, 1, 7);
        let mut held = std::collections::BTreeSet::new();
        for id in 10..40 {
            let out = call(&mut harness, id, 7, 0);
            for w in load_orders(&out, 1) {
                harness.end_load_order(&w, 7, 1, Outcome::Ok);
                held.insert(w);
            }
            harness.advance(100 * MS);
            answer(&mut harness, id, Outcome::Ok, 100 * MS, Some(1.0));
            harness.advance(300 * MS);
        }
        held.len()
    };
    let (few, hundreds) = (workers(2), workers(200));
    assert!(
        hundreds >= few + 5,
        "{few} workers for two front_ends, {hundreds} for two hundred"
    );
}

#[test]
fn a_tenant_rejected_by_a_worker_stays_away_and_other_tenants_are_served() {
    let mut harness = ControllerHarness::new(many(200), 1);
    warm_all(&mut harness, 1, 7);
    harness.advance(200 * MS);
    call(&mut harness, 2, 7, 0);
    answer(&mut harness, 2, Outcome::Ok, 50 * MS, Some(1.0)); // it reports room
    harness.advance(200 * MS);
    call(&mut harness, 3, 7, 0);
    answer(&mut harness, 3, Outcome::Rejected, 50 * MS, Some(1.0));
    harness.advance(2 * SEC);
    assert!(
        sent_workers(&call(&mut harness, 4, 7, 0)).is_empty(),
        "its tenant was turned away two seconds ago"
    );
    assert_eq!(sent_workers(&call(&mut harness, 5, 7, 1)), ["w0"]);
}

#[test]
fn a_worker_that_rejects_all_gets_a_growing_backoff() {
    let mut harness = ControllerHarness::new(many(200), 1);
    warm_all(&mut harness, 1, 7);
    let mut tries = 0;
    for id in 10..110 {
        if !sent_workers(&call(&mut harness, id, 7, 0)).is_empty() {
            tries += 1;
            answer(&mut harness, id, Outcome::Rejected, MS, None);
        }
        harness.advance(40 * MS);
    }
    // Four seconds: at 0, 0.2, 0.6, 1.4 and 3 s; with a constant wait it would be twenty.
    assert!((3..=7).contains(&tries), "{tries} tries");
}

#[test]
fn load_reported_some_seconds_ago_is_known_where_requests_are_few() {
    let mut harness = ControllerHarness::new(many(200), 6);
    warm_all(&mut harness, 1, 7);
    let mut to = std::collections::BTreeMap::new();
    for id in 10..130 {
        let w = sent_workers(&call(&mut harness, id, 7, 0)).remove(0);
        *to.entry(w.clone()).or_insert(0) += 1;
        let held = if w == "w0" { 30.0 } else { 2.0 };
        answer(&mut harness, id, Outcome::Ok, 50 * MS, Some(held));
        harness.advance(SEC);
    }
    // An even share would be 20; a load forgotten in two seconds comes to most of that.
    assert!(to.get("w0").copied().unwrap_or(0) <= 12, "{to:?}");
}

#[test]
fn where_no_load_is_reported_slow_answers_keep_requests_away() {
    let mut harness = ControllerHarness::new(many(200), 6);
    warm_all(&mut harness, 1, 7);
    let mut slow = 0;
    for id in 10..130 {
        let w = sent_workers(&call(&mut harness, id, 7, 0)).remove(0);
        slow += usize::from(w == "w0");
        let elapsed = if w == "w0" { 250 * MS } else { 100 * MS };
        answer(&mut harness, id, Outcome::Ok, elapsed, None);
        harness.advance(SEC / 4);
    }
    assert!(slow <= 15, "{slow} of 120 calls went to the slow worker");
}

#[test]
fn a_front_end_that_stood_still_ejects_no_worker_and_sends_nothing_twice() {
    let mut set = many(100);
    set.hedging = true;
    let mut harness = ControllerHarness::new(set, 4);
    warm_all(&mut harness, 1, 7);
    harness.advance(SEC);
    let sent: Vec<u64> = (10..14)
        .filter(|&id| !sent_workers(&call(&mut harness, id, 7, 0)).is_empty())
        .collect();
    assert_eq!(sent.len(), 4);
    harness.now += 2900 * MS; // it stands still; then everything comes at once, the timer first
    let woken = harness.feed(Event::Timer { token: 0 });
    assert!(
        sent_workers(&woken).is_empty()
            && !woken.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "{woken:?}"
    );
    for id in sent {
        answer(&mut harness, id, Outcome::Ok, 2900 * MS, None);
    }
    harness.advance(200 * MS);
    // All are still in the choice for a class that gets no trial requests.
    let mut seen = std::collections::BTreeSet::new();
    for id in 100..160 {
        seen.extend(sent_workers(&harness.request(id, NOT_IDEMPOTENT, 7)));
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
    assert_eq!(seen.len(), 4, "{seen:?}");
}

/// Where a worker is seen every few seconds, one time-out is all the warning there is.
#[test]
fn a_single_timeout_keeps_requests_away_for_some_seconds() {
    let mut harness = ControllerHarness::new(many(200), 60);
    warm_all(&mut harness, 1, 7);
    harness.advance(SEC);
    let silent = sent_workers(&harness.request(2, NOT_IDEMPOTENT, 7)).remove(0);
    harness.end_attempt(2, 0, Outcome::Timeout, 900 * MS);
    for id in 10..40 {
        harness.advance(SEC / 8);
        assert!(
            !sent_workers(&harness.request(id, NOT_IDEMPOTENT, 7)).contains(&silent),
            "call {id}"
        );
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
}

/// A hundred front ends that request one function for the first time: none queries, and all go where one load serves
/// them all. Guards against the cost of queries, and against a replica for each front end.
#[test]
fn first_requests_of_a_hundred_front_ends_meet_at_one_worker_without_a_query() {
    let mut met = std::collections::BTreeSet::new();
    for seed in 0..100 {
        let c = Controller::new(
            Settings {
                load_on_demand: true,
                ..many(100)
            },
            seed,
        );
        let mut harness = ControllerHarness {
            controller: c,
            now: 100 * SEC,
        };
        harness.feed(Event::EndpointUpdate {
            complete: true,
            endpoints: (0..60).map(endpoint).collect(),
        });
        let out = call(&mut harness, 1, 7, 0);
        assert!(
            load_orders(&out, 0).is_empty() && load_orders(&out, 1).is_empty(),
            "{out:?}"
        );
        met.extend(sent_workers(&out));
    }
    assert_eq!(met.len(), 1, "{met:?}");
}

/// What a first request found loaded is a sample of its worker's health like any other: most are such at size.
#[test]
fn a_first_request_that_finds_a_replica_loaded_is_a_health_sample() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..many(100)
        },
        4,
    );
    let mut first = Vec::new();
    for function in 1..80 {
        let to = sent_workers(&call(&mut harness, function, function, 0)).remove(0);
        let slow = to == "w3";
        first.push(slow);
        let elapsed = if slow { 2 * SEC } else { 50 * MS };
        let (outcome, warm) = (Outcome::Ok, Some(true));
        let (id, attempt, closed, crowd, inflight) = (function, 0, true, None, None);
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
        harness.advance(100 * MS);
    }
    let slow_ones = |part: &[bool]| part.iter().filter(|&&slow| slow).count();
    let (early, late) = (slow_ones(&first[..20]), slow_ones(&first[20..]));
    assert!(
        early == 1 && late < 3,
        "{early} of 20 calls, then {late} of 59"
    );
}

/// What workers hold of a function when our requests come tells how many of the preferred workers its requests need.
/// Guards one worker from the requests of all front ends, and the others from replicas of what is seldom called.
#[test]
fn requests_of_an_overloaded_function_spread_over_more_preferred_workers() {
    let spread = |held: Option<u32>| {
        let mut harness = ControllerHarness::new(
            Settings {
                load_on_demand: true,
                ..many(100)
            },
            40,
        );
        let mut met = std::collections::BTreeSet::new();
        for id in 1..60 {
            met.extend(sent_workers(&call(&mut harness, id, 7, 0)));
            let (attempt, outcome, elapsed, closed) = (0, Outcome::Ok, 50 * MS, true);
            let (warm, crowd, inflight) = (Some(true), held, None);
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
            harness.advance(600 * MS);
        }
        met.len()
    };
    assert_eq!(spread(None), 1);
    let places = spread(Some(2));
    assert!((3..=9).contains(&places), "{places} places");
}

/// A zone that vanishes without a word: two silent workers are enough to keep requests from all of it, and what was
/// never tried there is as good again as soon as one of it answers. Guards a third of each front end's requests.
#[test]
fn two_unresponsive_workers_eject_their_zone_until_one_answers() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..many(100)
        },
        20,
    );
    let zone = |w: &str| w[1..].parse::<usize>().unwrap() % 2;
    let (mut id, mut mute) = (0, std::collections::BTreeSet::new());
    let mut first = |harness: &mut ControllerHarness| {
        id += 1;
        (id, sent_workers(&call(harness, id, id, 0)).remove(0))
    };
    while mute.len() < 2 {
        let (id, w) = first(&mut harness);
        if zone(&w) == 0 {
            harness.now += 250 * MS;
            harness.end_attempt(id, 0, Outcome::ConnectFailed, 250 * MS);
            mute.insert(w);
        } else {
            answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
        }
        harness.advance(20 * MS);
    }
    for _ in 0..30 {
        let (id, w) = first(&mut harness);
        assert_eq!(zone(&w), 1, "{w} is in the lost zone");
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
    }
    let asked = load_orders(&harness.advance(3 * SEC), 0);
    assert!(
        (1..=4).contains(&asked.len()),
        "{asked:?}: the zone is asked, not each of its workers"
    );
    let known = asked[0].clone();
    for function in 1..40 {
        harness.end_load_order(&known, function, 0, Outcome::Ok);
    }
    let met: Vec<usize> = (0..30).map(|_| zone(&first(&mut harness).1)).collect();
    assert!(met.contains(&0), "the zone is back");
}

/// Guards a worker that is gone from a probe of every front end each second, all in step.
#[test]
fn probes_of_an_ejected_worker_back_off_and_are_out_of_step() {
    let asked = |seed: u64| {
        let c = Controller::new(
            Settings {
                load_on_demand: true,
                ..many(100)
            },
            seed,
        );
        let mut harness = ControllerHarness {
            controller: c,
            now: 100 * SEC,
        };
        harness.feed(Event::EndpointUpdate {
            complete: true,
            endpoints: vec![endpoint(0), endpoint(1), endpoint(2)],
        });
        let dead = sent_workers(&call(&mut harness, 1, 7, 0)).remove(0);
        harness.end_attempt(1, 0, Outcome::ConnectFailed, 2 * MS);
        let mut times = Vec::new();
        for step in 0..800 {
            for w in load_orders(&harness.advance(20 * MS), 0)
                .iter()
                .filter(|w| **w == dead)
            {
                times.push(step);
                harness.end_load_order(w, 7, 0, Outcome::ConnectFailed);
            }
        }
        times
    };
    let all: Vec<Vec<i32>> = (0..20).map(asked).collect();
    assert!(
        all.iter().all(|t| (2..=6).contains(&t.len())),
        "in 16 s: {all:?}"
    );
    let second: std::collections::BTreeSet<i32> = all.iter().map(|t| t[1]).collect();
    assert!(second.len() > 8, "in step: {second:?}");
}

/// Guards the replicas that a hundred front ends share from the account of one: what lies idle by it serves others.
#[test]
fn in_a_large_fleet_nothing_is_unloaded_for_an_own_replica() {
    let drops = |front_ends: u32| {
        let set = Settings {
            load_on_demand: true,
            kind_memory_mb: vec![1500.0],
            ..many(front_ends)
        };
        let mut harness = ControllerHarness::new(set, 2);
        let mut all = Vec::new();
        for function in 1..20u64 {
            let first = call(&mut harness, function, function, 0);
            for (n, w) in load_orders(&first, 0).iter().enumerate() {
                harness.end_load_order(w, function, u32::from(n == 0), Outcome::Ok);
            }
            answer(&mut harness, function, Outcome::Ok, 50 * MS, None);
            // More than its lanes take: a replica of one's own is wanted, on memory that is short.
            let burst: Vec<u64> = (1..10).map(|n| 1000 * n + function).collect();
            for &id in &burst {
                let out = call(&mut harness, id, function, 0);
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
            "the test must order copies"
        );
        all.iter()
            .filter(|a| matches!(a, Action::Unload { .. }))
            .count()
    };
    assert!(drops(16) > 0, "the test must want room");
    assert_eq!(drops(100), 0);
}

/// A worker short of connections refuses ours: requests leave it at once, each with one final answer elsewhere, it
/// is not tried in a loop, and what is loaded there is still known when it answers again.
#[test]
fn a_worker_that_refuses_connections_is_ejected_and_found_again_with_its_replicas() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..many(100)
        },
        20,
    );
    let home = sent_workers(&call(&mut harness, 1, 7, 0)).remove(0);
    answer(&mut harness, 1, Outcome::Ok, 50 * MS, None);
    let (mut tried, mut asked) = (0, Vec::new());
    for id in 2..42 {
        let to = sent_workers(&call(&mut harness, id, 7, 0)).remove(0);
        if to == home {
            tried += 1;
            let moved = sent_workers(&harness.end_attempt(id, 0, Outcome::ConnectFailed, 2 * MS));
            assert!(moved.len() == 1 && moved[0] != home, "{moved:?}");
            harness.end_attempt(id, 1, Outcome::Ok, 50 * MS);
        } else {
            answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
        }
        for w in load_orders(&harness.advance(200 * MS), 0) {
            asked.push(w.clone());
            harness.end_load_order(&w, 7, 0, Outcome::ConnectFailed);
        }
    }
    assert!(
        tried <= 2 && (1..=6).contains(&asked.len()),
        "{tried} calls and {asked:?} in 8 s"
    );
    while load_orders(&harness.advance(20 * MS), 0) != [home.as_str()] {}
    harness.end_load_order(&home, 7, 1, Outcome::Ok);
    let back = (100..140).any(|id| {
        let to = sent_workers(&call(&mut harness, id, 7, 0)).remove(0);
        answer(&mut harness, id, Outcome::Ok, 50 * MS, None);
        to == home
    });
    assert!(back, "never called again");
}

/// Processor time moves the clock of a front end with part of a core: without requests it wakes ten times a second,
/// however many members there are, and sends nothing.
#[test]
fn an_idle_front_end_before_a_large_fleet_wakes_seldom_and_queries_nothing() {
    let mut harness = ControllerHarness::new(
        Settings {
            load_on_demand: true,
            ..many(100)
        },
        60,
    );
    call(&mut harness, 1, 7, 0);
    answer(&mut harness, 1, Outcome::Ok, 50 * MS, None);
    harness.advance(30 * SEC); // the last copy is renewed no more
    let (end, mut wakes) = (harness.now + 10 * SEC, 0);
    while harness.now < end {
        let out = harness.feed(Event::Timer { token: 0 });
        let [Action::Timer { delay, .. }] = out[..] else {
            panic!("{out:?}")
        };
        harness.now += delay;
        wakes += 1;
    }
    assert!(wakes <= 110, "{wakes} in 10 s");
}
