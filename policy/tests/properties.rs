//! Checks the five rules (see `rules.rs`) over seeded random event streams, by a checker that shares no code with the
//! policy.
mod common;
use common::*;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use wrenseam_policy::*;

struct SentAttempt {
    worker: String,
    sent_at: Micros,
    open: bool,
    may_have_executed: bool,
}

struct TrackedRequest {
    class: usize,
    deadline: Micros,
    attempts: Vec<SentAttempt>,
    /// Whether the policy rejected or failed it.
    answered: bool,
    /// Whether the client has a worker's answer or cancelled the request.
    closed: bool,
}

/// Tracks all events and actions, and collects the violations of the rules.
struct Checker {
    settings: Settings,
    /// Whether the front end stalls ([`received_at`]).
    stalls: bool,
    requests: BTreeMap<u64, TrackedRequest>,
    /// Since when the endpoint list shows a worker as draining or gone.
    not_ready_since: BTreeMap<String, Micros>,
    started_at: BTreeMap<String, Micros>,
    /// Attempts sent to workers in slow start: the worker, when it was sent, and when the worker's process started.
    slow_start_attempts: Vec<(String, Micros, Micros)>,
    request_times: Vec<Micros>,
    load_order_times: Vec<Micros>,
    violations: Vec<String>,
}

/// When the front end receives an event of time `t`: one that stalls receives none in the first two of every five
/// seconds.
fn received_at(t: Micros, stalls: bool) -> Micros {
    let offset = t % (5 * SEC);
    if stalls && offset < 2 * SEC {
        t - offset + 2 * SEC
    } else {
        t
    }
}

impl Checker {
    fn new(settings: &Settings, stalls: bool) -> Self {
        Checker {
            settings: settings.clone(),
            stalls,
            requests: BTreeMap::new(),
            not_ready_since: BTreeMap::new(),
            started_at: BTreeMap::new(),
            slow_start_attempts: vec![],
            request_times: vec![],
            load_order_times: vec![],
            violations: vec![],
        }
    }

    fn event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::EndpointUpdate { endpoints, .. } => {
                for endpoint in endpoints {
                    let worker = endpoint.worker.clone();
                    if endpoint.state == WorkerState::Ready {
                        self.not_ready_since.remove(&worker);
                    } else {
                        self.not_ready_since.entry(worker.clone()).or_insert(now);
                    }
                    if endpoint.started_at > 0 {
                        self.started_at.insert(worker, endpoint.started_at);
                    }
                }
            }
            Event::Request(NewRequest {
                id,
                class,
                time_left,
                ..
            }) => {
                let (attempts, answered, closed) = (vec![], false, false);
                let request = TrackedRequest {
                    class: *class,
                    deadline: now + time_left,
                    attempts,
                    answered,
                    closed,
                };
                self.requests.insert(*id, request);
                self.request_times.push(now);
            }
            Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                outcome,
                request_closed,
                ..
            }) => {
                let request = self.requests.get_mut(id).unwrap();
                let attempt = &mut request.attempts[*attempt];
                attempt.open = false;
                let not_executed = [
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::NotSent,
                    Outcome::NotLoaded,
                ];
                attempt.may_have_executed = !not_executed.contains(outcome);
                request.closed |= request_closed;
            }
            Event::RequestCancelled { id } => self.requests.get_mut(id).unwrap().closed = true,
            _ => {}
        }
    }

    fn action(&mut self, now: Micros, action: &Action) {
        let mut violation = |what: &str| self.violations.push(format!("{what}: {action:?}"));
        match action {
            Action::Send { id, worker, .. } => {
                let request = self.requests.get_mut(id).unwrap();
                if request.answered || request.closed {
                    violation("rule 1: attempt sent after the request ended");
                }
                if request.attempts.len() as u32 >= self.settings.max_attempts {
                    violation("more attempts than max_attempts");
                }
                if !self.settings.hedging && request.attempts.iter().any(|other| other.open) {
                    violation("rule 2: two attempts at a time without hedging");
                }
                let cell = |w: &str| w[1..].parse::<usize>().unwrap() / 2;
                let may_have_executed = |other: &&SentAttempt| other.may_have_executed;
                for other in request.attempts.iter().filter(may_have_executed) {
                    let is_key_known =
                        cell(&other.worker) == cell(worker) && now <= other.sent_at + 3 * SEC;
                    if request.class == NOT_IDEMPOTENT || request.class == KEYED && !is_key_known {
                        violation("rule 2: repeated an attempt that may have been executed");
                    }
                }
                request.attempts.push(SentAttempt {
                    worker: worker.clone(),
                    sent_at: now,
                    open: true,
                    may_have_executed: true,
                });
                let not_ready_since = self.not_ready_since.get(worker);
                if not_ready_since.is_some_and(|since| now > since + SEC) {
                    violation("rule 3: attempt sent to a worker that is not ready");
                }
                let settings = &self.settings;
                if let Some(&started_at) = self
                    .started_at
                    .get(worker)
                    .filter(|&&started_at| now < started_at + settings.slow_start_duration)
                {
                    self.slow_start_attempts
                        .push((worker.clone(), now, started_at));
                    // This front end alone must not send more than all front ends together may.
                    let share = settings.slow_start_initial_share
                        + (1.0 - settings.slow_start_initial_share) * (now - started_at) as f64
                            / settings.slow_start_duration as f64;
                    let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
                    let most = settings.overload_multiple * share * quotas / 6.0
                        * settings.overload_window as f64
                        / SEC as f64;
                    let is_in_window = |attempt: &&(String, Micros, Micros)| {
                        attempt.0 == *worker
                            && attempt.1 + settings.overload_window > now
                            && attempt.2 == started_at
                    };
                    let sent = self.slow_start_attempts.iter().filter(is_in_window);
                    if quotas > 0.0 && sent.count() as f64 > most.max(1.0) {
                        violation("rule 4: overloaded a worker in slow start");
                    }
                }
            }
            Action::Load {
                worker, replicas, ..
            } if *replicas > 0 => {
                let not_ready_since = self.not_ready_since.get(worker);
                if not_ready_since.is_some_and(|since| now > since + SEC) {
                    violation("rule 3: load ordered at a worker that is not ready");
                }
                self.load_order_times.push(now);
                let window = self.settings.load_budget_window;
                let count_in_window =
                    |times: &[Micros]| times.iter().filter(|&&t| t + window > now).count() as f64;
                let most = self.settings.load_budget_base
                    + self.settings.load_budget_per_request * count_in_window(&self.request_times);
                if window > 0 && count_in_window(&self.load_order_times) > most {
                    violation("rule 5: load budget exceeded");
                }
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let request = self.requests.get_mut(id).unwrap();
                if request.answered || now > received_at(request.deadline + 8 * MS, self.stalls) {
                    violation("rule 1: answered twice or late");
                }
                let may_have_executed = request.attempts.iter().any(|a| a.may_have_executed);
                let is_rejected = matches!(action, Action::Reject { .. });
                if is_rejected && request.class != IDEMPOTENT && may_have_executed {
                    violation("rule 2: rejected a request that may have been executed");
                }
                request.answered = true;
            }
            _ => {}
        }
    }

    fn end(&mut self, now: Micros) {
        for (id, request) in &self.requests {
            if !request.answered && !request.closed && now > request.deadline + 8 * MS {
                self.violations
                    .push(format!("rule 1: request {id} got no final answer"));
            }
        }
    }
}

/// Feeds a controller one random stream of events, in which workers answer, fail, drain and restart.
#[allow(clippy::too_many_lines)] // all parts share one random number generator and must draw in this order
fn run_stream(seed: u64, settings: Settings, stalls: bool) -> Checker {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut draw = move |n: u64| u64::from(rng.next_u32()) % n;
    let mut checker = Checker::new(&settings, stalls);
    let mut controller = Controller::new(settings, seed);
    // Scheduled events by time, then in the order of scheduling.
    let mut due: BTreeMap<(Micros, u64), Event> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, usize> = BTreeMap::new();
    let mut closed: BTreeSet<u64> = BTreeSet::new();
    let mut serial = 0;
    let start = 100 * SEC;
    due.insert(
        (start, 0),
        Event::EndpointUpdate {
            complete: true,
            endpoints: (0..6).map(endpoint).collect(),
        },
    );
    let mut at = start;
    for id in 1..400u64 {
        at += draw(40) * MS;
        serial += 1;
        let (class, time_left) = (draw(3) as usize, (20 + draw(3000)) * MS);
        let (function, retry, memory_mb) = (draw(12), draw(8) == 0, 300.0);
        let (tenant, concurrency, load_time) = (None, 1 + draw(2) as u32, 0);
        let request = Event::Request(NewRequest {
            id,
            class,
            tenant,
            function,
            time_left,
            memory_mb,
            concurrency,
            load_time,
            retry,
        });
        due.insert((at, serial), request);
        if draw(15) == 0 {
            serial += 1;
            due.insert(
                (at + draw(1 + time_left), serial),
                Event::RequestCancelled { id },
            );
        }
        if draw(10) == 0 {
            use WorkerState::*;
            let state = [Draining, Gone]
                .get(draw(6) as usize)
                .copied()
                .unwrap_or(Ready);
            let started_at = if state == WorkerState::Ready && draw(2) == 0 {
                at
            } else {
                0
            };
            let changed = Endpoint {
                state,
                started_at,
                ..endpoint(draw(6) as usize)
            };
            serial += 1;
            due.insert(
                (at + 1, serial),
                Event::EndpointUpdate {
                    complete: false,
                    endpoints: vec![changed],
                },
            );
        }
    }
    let last = at + 20 * SEC;
    let mut out = Vec::new();
    while let Some(((now, _), mut event)) = due.pop_first().filter(|((t, _), _)| *t < last) {
        let now = received_at(now, stalls);
        if let Event::AttemptEnded(AttemptResult {
            id,
            outcome,
            request_closed,
            ..
        }) = &mut event
        {
            *request_closed = *outcome == Outcome::Ok || closed.contains(id);
            if *outcome == Outcome::Ok {
                closed.insert(*id);
            }
        }
        if matches!(&event, Event::RequestCancelled { id } if !closed.insert(*id)) {
            continue;
        }
        checker.event(now, &event);
        controller.handle(now, event, &mut out);
        for action in out.drain(..) {
            checker.action(now, &action);
            serial += 1;
            match action {
                Action::Timer { delay, token } => {
                    due.insert((now + delay.max(MS), serial), Event::Timer { token });
                }
                Action::Send { id, timeout, .. } => {
                    let attempts_so_far = attempts.entry(id).or_insert(0);
                    let outcomes = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Error,
                        Outcome::Rejected,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::NotLoaded,
                        Outcome::Timeout,
                    ];
                    let outcome = outcomes
                        .get(draw(24) as usize)
                        .copied()
                        .unwrap_or(Outcome::Ok);
                    let took = if outcome == Outcome::Timeout {
                        timeout
                    } else {
                        draw(600) * MS + 1
                    };
                    let (elapsed, request_closed) = (took.min(timeout), false);
                    let outcome = if took > timeout {
                        Outcome::Timeout
                    } else {
                        outcome
                    };
                    let (attempt, replica_loaded, queue_depth, in_flight) =
                        (*attempts_so_far, None, None, Some(draw(9) as f64));
                    *attempts_so_far += 1;
                    let ended = Event::AttemptEnded(AttemptResult {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        request_closed,
                        replica_loaded,
                        queue_depth,
                        in_flight,
                    });
                    due.insert((now + elapsed.max(1), serial), ended);
                }
                Action::Load {
                    worker,
                    function,
                    replicas,
                } => {
                    let (outcome, replicas) = match draw(6) {
                        0 => (Outcome::Rejected, 0),
                        1 => (Outcome::Error, 0),
                        2 => (Outcome::Reset, 0),
                        _ => (Outcome::Ok, replicas.max(draw(2) as u32)),
                    };
                    let elapsed = (2 + draw(700)) * MS;
                    let ended = Event::LoadOrderEnded {
                        worker,
                        function,
                        replicas,
                        outcome,
                        elapsed,
                    };
                    due.insert((now + elapsed, serial), ended);
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    closed.insert(id);
                }
                _ => {}
            }
        }
    }
    checker.end(last);
    checker
}

/// Settings of deployments of different size, with and without load on demand, hedging, a load budget and quotas. The
/// last one does not state the number of front ends.
fn deployments() -> Vec<Settings> {
    let mut small_fleet = settings();
    (small_fleet.front_ends, small_fleet.front_end_index) = (3, Some(1));
    small_fleet.tenants = vec![TenantSettings {
        quota_per_s: 100.0,
        ..TenantSettings::default()
    }];
    let mut on_demand = small_fleet.clone();
    (on_demand.load_on_demand, on_demand.hedging) = (true, true);
    (
        on_demand.load_budget_window,
        on_demand.load_budget_base,
        on_demand.load_budget_per_request,
    ) = (5 * SEC, 4.0, 0.2);
    let mut large_fleet = on_demand.clone();
    (large_fleet.front_ends, large_fleet.front_end_index) = (200, Some(77));
    let mut not_stated = small_fleet.clone();
    (
        not_stated.front_ends,
        not_stated.front_end_index,
        not_stated.tenants,
    ) = (0, None, vec![]);
    vec![settings(), small_fleet, on_demand, large_fleet, not_stated]
}

#[test]
fn the_rules_hold_over_random_streams() {
    for (n, set) in deployments().into_iter().enumerate() {
        for seed in 0..40 {
            let stalls = seed % 2 == 1;
            let checker = run_stream(seed, set.clone(), stalls);
            assert!(
                checker.violations.is_empty(),
                "deployment {n}, seed {seed}: {:?}",
                checker.violations
            );
            // Where workers restart all the time, slow start may leave one of 200 front ends no attempt at all.
            let least = if set.front_ends > 100 {
                0
            } else if stalls {
                11
            } else {
                31
            };
            let sent: usize = checker.requests.values().map(|r| r.attempts.len()).sum();
            assert!(
                sent >= least,
                "deployment {n}, seed {seed}: only {sent} attempts were made"
            );
        }
    }
}

/// Random settings in the range of the two deployments and around it, so that the rules hold not just for those two.
fn random_settings(seed: u64) -> Settings {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
    let mut draw = |low: u64, high: u64| low + u64::from(rng.next_u32()) % (high - low + 1);
    let mut set = settings();
    (set.front_ends, set.front_end_index) = (draw(2, 6) as u32, Some(draw(0, 1) as u32));
    set.tenants = vec![TenantSettings {
        quota_per_s: draw(30, 700) as f64,
        ..TenantSettings::default()
    }];
    (set.load_on_demand, set.hedging) = (draw(0, 1) == 0, draw(0, 1) == 0);
    (
        set.load_budget_window,
        set.load_budget_base,
        set.load_budget_per_request,
    ) = (5 * SEC, draw(3, 4) as f64, draw(15, 20) as f64 / 100.0);
    (set.max_attempts, set.keep_alive) = (draw(3, 6) as u32, draw(8, 16) * SEC);
    (set.slow_start_initial_share, set.slow_start_duration) =
        (draw(15, 45) as f64 / 100.0, draw(6, 17) * SEC);
    (set.overload_multiple, set.overload_window) = (draw(2, 3) as f64, draw(500, 1_500) * MS);
    set.classes.iter_mut().for_each(|class| {
        (class.latency_objective, class.priority_weight) =
            (draw(400, 1_500) * MS, draw(1, 3) as f64)
    });
    set
}

#[test]
fn the_rules_hold_for_settings_over_the_range_of_both_deployments() {
    for seed in 0..120 {
        let (set, stalls) = (random_settings(seed), seed % 3 == 1);
        let checker = run_stream(seed, set.clone(), stalls);
        assert!(
            checker.violations.is_empty(),
            "seed {seed}, {set:?}: {:?}",
            checker.violations
        );
        let sent: usize = checker.requests.values().map(|r| r.attempts.len()).sum();
        assert!(
            sent >= 11,
            "seed {seed}, {set:?}: only {sent} attempts were made"
        );
    }
}

#[test]
fn the_checker_detects_violations() {
    let mut checker = Checker::new(&deployments()[2], false);
    let request = |id, class| {
        Event::Request(NewRequest {
            id,
            class,
            tenant: None,
            function: 1,
            time_left: SEC,
            memory_mb: 1.0,
            concurrency: 1,
            load_time: 0,
            retry: false,
        })
    };
    checker.event(0, &request(1, NOT_IDEMPOTENT));
    checker.event(0, &request(2, IDEMPOTENT));
    let gone = Endpoint {
        state: WorkerState::Gone,
        ..endpoint(0)
    };
    checker.event(
        0,
        &Event::EndpointUpdate {
            complete: false,
            endpoints: vec![gone],
        },
    );
    let send = |id, w: &str| Action::Send {
        id,
        worker: w.into(),
        timeout: 0,
        retry_window: None,
    };
    checker.action(1, &send(1, "w1"));
    checker.action(2, &send(1, "w2"));
    checker.action(
        3,
        &Action::Reject {
            id: 1,
            retry_after: 0,
        },
    );
    checker.action(4, &Action::Fail { id: 1 });
    checker.action(5, &send(1, "w3"));
    checker.action(2 * SEC, &send(2, "w0"));
    for _ in 0..6 {
        checker.action(
            10 * SEC,
            &Action::Load {
                worker: "w1".into(),
                function: 1,
                replicas: 1,
            },
        );
    }
    checker.end(20 * SEC);
    for what in [
        "rule 2: repeated",
        "rule 2: rejected",
        "rule 1: answered twice",
        "rule 1: attempt sent after",
        "rule 3: attempt sent",
        "rule 5: load budget",
        "got no final answer",
    ] {
        assert!(
            checker.violations.iter().any(|text| text.contains(what)),
            "not detected: {what}"
        );
    }
}
