//! The five rules over seeded random event streams, judged by a checker that shares no code with the policy.
mod common;
use common::*;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use wrenseam_policy::*;

struct Sent {
    worker: String,
    at: Micros,
    open: bool,
    ran: bool,
}

struct Known {
    class: usize,
    ends: Micros,
    sent: Vec<Sent>,
    answered: bool,
    client_knows: bool,
}

/// Keeps its own account of what was said and done, and lists every breach.
struct Checker {
    set: Settings,
    stalls: bool,
    requests: BTreeMap<u64, Known>,
    unready: BTreeMap<String, Micros>,
    started: BTreeMap<String, Micros>,
    /// Requests to warming workers: which, when, and when it had started.
    to_cold: Vec<(String, Micros, Micros)>,
    taken: Vec<Micros>,
    orders: Vec<Micros>,
    breaches: Vec<String>,
}

/// When a front end that stands still for two seconds in every five is notified of what happens at `t`.
fn heard(t: Micros, stalls: bool) -> Micros {
    let into = t % (5 * SEC);
    if stalls && into < 2 * SEC {
        t - into + 2 * SEC
    } else {
        t
    }
}

impl Checker {
    fn new(set: &Settings, stalls: bool) -> Self {
        Checker {
            set: set.clone(),
            stalls,
            requests: BTreeMap::new(),
            unready: BTreeMap::new(),
            started: BTreeMap::new(),
            to_cold: vec![],
            taken: vec![],
            orders: vec![],
            breaches: vec![],
        }
    }

    fn event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::EndpointUpdate {
                endpoints: entries, ..
            } => {
                for e in entries {
                    if e.state == WorkerState::Ready {
                        self.unready.remove(&e.worker);
                    } else {
                        self.unready.entry(e.worker.clone()).or_insert(now);
                    }
                    if e.started_at > 0 {
                        self.started.insert(e.worker.clone(), e.started_at);
                    }
                }
            }
            Event::Request(NewRequest {
                id,
                class,
                time_left: left,
                ..
            }) => {
                let (sent, answered, client_knows) = (vec![], false, false);
                let r = Known {
                    class: *class,
                    ends: now + left,
                    sent,
                    answered,
                    client_knows,
                };
                self.requests.insert(*id, r);
                self.taken.push(now);
            }
            Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                outcome,
                request_closed: closed,
                ..
            }) => {
                let r = self.requests.get_mut(id).unwrap();
                let s = &mut r.sent[*attempt];
                s.open = false;
                let never = [
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::NotSent,
                    Outcome::NotLoaded,
                ];
                s.ran = !never.contains(outcome);
                r.client_knows |= closed;
            }
            Event::RequestCancelled { id } => {
                self.requests.get_mut(id).unwrap().client_knows = true
            }
            _ => {}
        }
    }

    fn action(&mut self, now: Micros, action: &Action) {
        let mut breach = |what: &str| self.breaches.push(format!("{what}: {action:?}"));
        match action {
            Action::Send { id, worker, .. } => {
                let r = self.requests.get_mut(id).unwrap();
                if r.answered || r.client_knows {
                    breach("1 sent after the end");
                }
                if r.sent.len() as u32 >= self.set.max_attempts {
                    breach("too many attempts");
                }
                if !self.set.hedging && r.sent.iter().any(|s| s.open) {
                    breach("2 two at once");
                }
                let cell = |w: &str| w[1..].parse::<usize>().unwrap() / 2;
                for s in r.sent.iter().filter(|s| s.ran) {
                    let inside = cell(&s.worker) == cell(worker) && now <= s.at + 3 * SEC;
                    if r.class == NOT_IDEMPOTENT || r.class == KEYED && !inside {
                        breach("2 sent again");
                    }
                }
                r.sent.push(Sent {
                    worker: worker.clone(),
                    at: now,
                    open: true,
                    ran: true,
                });
                if self.unready.get(worker).is_some_and(|t| now > t + SEC) {
                    breach("3 sent to a draining worker");
                }
                let set = &self.set;
                if let Some(&t) = self
                    .started
                    .get(worker)
                    .filter(|&&t| now < t + set.slow_start_duration)
                {
                    self.to_cold.push((worker.clone(), now, t));
                    // One of the front ends alone may not go beyond what all may send.
                    let share = set.slow_start_initial_share
                        + (1.0 - set.slow_start_initial_share) * (now - t) as f64
                            / set.slow_start_duration as f64;
                    let quotas: f64 = set.tenants.iter().map(|t| t.quota_per_s).sum();
                    let most = set.overload_multiple * share * quotas / 6.0
                        * set.overload_window as f64
                        / SEC as f64;
                    let of = |c: &&(String, Micros, Micros)| {
                        c.0 == *worker && c.1 + set.overload_window > now && c.2 == t
                    };
                    let held = self.to_cold.iter().filter(of).count() as f64;
                    if quotas > 0.0 && held > most.max(1.0) {
                        breach("4 a cold worker is pushed over");
                    }
                }
            }
            Action::Load {
                worker,
                replicas: count,
                ..
            } if *count > 0 => {
                if self.unready.get(worker).is_some_and(|t| now > t + SEC) {
                    breach("3 loaded on a draining worker");
                }
                self.orders.push(now);
                let window = self.set.load_budget_window;
                let count = |of: &[Micros]| of.iter().filter(|&&t| t + window > now).count() as f64;
                let most = self.set.load_budget_base
                    + self.set.load_budget_per_request * count(&self.taken);
                if window > 0 && count(&self.orders) > most {
                    breach("5 too many loads");
                }
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let r = self.requests.get_mut(id).unwrap();
                if r.answered || now > heard(r.ends + 8 * MS, self.stalls) {
                    breach("1 answered twice or late");
                }
                let ran = r.sent.iter().any(|s| s.ran);
                if matches!(action, Action::Reject { .. }) && r.class != IDEMPOTENT && ran {
                    breach("2 refused what may have run");
                }
                r.answered = true;
            }
            _ => {}
        }
    }

    fn end(&mut self, now: Micros) {
        for (id, r) in &self.requests {
            if !r.answered && !r.client_knows && now > r.ends + 8 * MS {
                self.breaches.push(format!("1 request {id} was lost"));
            }
        }
    }
}

/// One random stream: a world that answers, fails, drains and restarts at random.
#[allow(clippy::too_many_lines)] // one random world, whose parts share a generator and must draw in this order
fn stream(seed: u64, set: Settings, stalls: bool) -> Checker {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut draw = move |n: u64| u64::from(rng.next_u32()) % n;
    let mut checker = Checker::new(&set, stalls);
    let mut c = Controller::new(set, seed);
    // Events that are due, in order of time and then of making.
    let mut due: BTreeMap<(Micros, u64), Event> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, usize> = BTreeMap::new();
    let mut over: BTreeSet<u64> = BTreeSet::new();
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
        let (class, left) = (draw(3) as usize, (20 + draw(3000)) * MS);
        let (function, retry, memory_mb) = (draw(12), draw(8) == 0, 300.0);
        let (tenant, lanes, load_time) = (None, 1 + draw(2) as u32, 0);
        let r = Event::Request(NewRequest {
            id,
            class,
            tenant,
            function,
            time_left: left,
            memory_mb,
            concurrency: lanes,
            load_time,
            retry,
        });
        due.insert((at, serial), r);
        if draw(15) == 0 {
            serial += 1;
            due.insert(
                (at + draw(1 + left), serial),
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
            let e = Endpoint {
                state,
                started_at,
                ..endpoint(draw(6) as usize)
            };
            serial += 1;
            due.insert(
                (at + 1, serial),
                Event::EndpointUpdate {
                    complete: false,
                    endpoints: vec![e],
                },
            );
        }
    }
    let last = at + 20 * SEC;
    let mut out = Vec::new();
    while let Some(((now, _), mut event)) = due.pop_first().filter(|((t, _), _)| *t < last) {
        let now = heard(now, stalls);
        if let Event::AttemptEnded(AttemptResult {
            id,
            outcome,
            request_closed: closed,
            ..
        }) = &mut event
        {
            *closed = *outcome == Outcome::Ok || over.contains(id);
            if *outcome == Outcome::Ok {
                over.insert(*id);
            }
        }
        if matches!(&event, Event::RequestCancelled { id } if !over.insert(*id)) {
            continue;
        }
        checker.event(now, &event);
        c.handle(now, event, &mut out);
        for action in out.drain(..) {
            checker.action(now, &action);
            serial += 1;
            match action {
                Action::Timer { delay, token } => {
                    due.insert((now + delay.max(MS), serial), Event::Timer { token });
                }
                Action::Send { id, timeout, .. } => {
                    let n = attempts.entry(id).or_insert(0);
                    let all = [
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
                    let outcome = all.get(draw(24) as usize).copied().unwrap_or(Outcome::Ok);
                    let took = if outcome == Outcome::Timeout {
                        timeout
                    } else {
                        draw(600) * MS + 1
                    };
                    let (elapsed, closed) = (took.min(timeout), false);
                    let outcome = if took > timeout {
                        Outcome::Timeout
                    } else {
                        outcome
                    };
                    let (attempt, warm, crowd, inflight) = (*n, None, None, Some(draw(9) as f64));
                    *n += 1;
                    let e = Event::AttemptEnded(AttemptResult {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        request_closed: closed,
                        replica_loaded: warm,
                        queue_depth: crowd,
                        in_flight: inflight,
                    });
                    due.insert((now + elapsed.max(1), serial), e);
                }
                Action::Load {
                    worker,
                    function,
                    replicas: count,
                } => {
                    let (outcome, count) = match draw(6) {
                        0 => (Outcome::Rejected, 0),
                        1 => (Outcome::Error, 0),
                        2 => (Outcome::Reset, 0),
                        _ => (Outcome::Ok, count.max(draw(2) as u32)),
                    };
                    let elapsed = (2 + draw(700)) * MS;
                    let e = Event::LoadOrderEnded {
                        worker,
                        function,
                        replicas: count,
                        outcome,
                        elapsed,
                    };
                    due.insert((now + elapsed, serial), e);
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    over.insert(id);
                }
                _ => {}
            }
        }
    }
    checker.end(last);
    checker
}

fn sites() -> Vec<Settings> {
    let mut a = settings();
    (a.front_ends, a.front_end_index) = (3, Some(1));
    a.tenants = vec![TenantSettings {
        quota_per_s: 100.0,
        ..TenantSettings::default()
    }];
    let mut b = a.clone();
    (b.load_on_demand, b.hedging) = (true, true);
    (
        b.load_budget_window,
        b.load_budget_base,
        b.load_budget_per_request,
    ) = (5 * SEC, 4.0, 0.2);
    let mut many = b.clone();
    (many.front_ends, many.front_end_index) = (200, Some(77));
    let mut none = a.clone();
    (none.front_ends, none.front_end_index, none.tenants) = (0, None, vec![]);
    vec![settings(), a, b, many, none]
}

#[test]
fn the_rules_hold_over_random_streams() {
    for (n, set) in sites().into_iter().enumerate() {
        for seed in 0..40 {
            let stalls = seed % 2 == 1; // every other front end stands still now and then
            let checker = stream(seed, set.clone(), stalls);
            assert!(
                checker.breaches.is_empty(),
                "site {n}, seed {seed}: {:?}",
                checker.breaches
            );
            // One of two hundred front ends may send next to nothing to a fleet that restarts all the time.
            let least = if set.front_ends > 100 {
                0
            } else if stalls {
                11
            } else {
                31
            };
            let sent: usize = checker.requests.values().map(|r| r.sent.len()).sum();
            assert!(
                sent >= least,
                "site {n}, seed {seed}: only {sent} attempts were made"
            );
        }
    }
}

/// Settings between and around those of the two deployments, so that neither is special.
fn drawn(seed: u64) -> Settings {
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
    set.classes.iter_mut().for_each(|c| {
        (c.latency_objective, c.priority_weight) = (draw(400, 1_500) * MS, draw(1, 3) as f64)
    });
    set
}

#[test]
fn the_rules_hold_for_settings_over_the_range_of_both_deployments() {
    for seed in 0..120 {
        let (set, stalls) = (drawn(seed), seed % 3 == 1);
        let checker = stream(seed, set.clone(), stalls);
        assert!(
            checker.breaches.is_empty(),
            "seed {seed}, {set:?}: {:?}",
            checker.breaches
        );
        let sent: usize = checker.requests.values().map(|r| r.sent.len()).sum();
        assert!(
            sent >= 11,
            "seed {seed}, {set:?}: only {sent} attempts were made"
        );
    }
}

#[test]
fn the_checker_catches_a_faulty_stream() {
    let mut checker = Checker::new(&sites()[2], false);
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
        "2 sent again",
        "2 refused",
        "1 answered twice",
        "1 sent after",
        "3 sent",
        "5 too many",
        "lost",
    ] {
        assert!(
            checker.breaches.iter().any(|b| b.contains(what)),
            "not caught: {what}"
        );
    }
}
