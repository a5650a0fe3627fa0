//! New versions of all functions while traffic is low: all replicas are invalid at once, and workers load the functions
//! again or answer "not loaded".
mod common;
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use wrenseam_policy::*;

const LOAD_TIME: Micros = 400 * MS;
const SERVICE_TIME: Micros = 50 * MS;

/// A front end, the replicas that its workers have loaded, and the events that are due.
struct World {
    harness: ControllerHarness,
    /// Workers and functions with a loaded replica.
    loaded: BTreeSet<(String, u64)>,
    /// Events by the time at which they are due and a sequence number.
    due: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    /// Number of the last attempt of each request.
    attempts: BTreeMap<u64, usize>,
    /// The function of each request.
    requests: BTreeMap<u64, u64>,
    /// The final answers of each request: whether it was served.
    answers: BTreeMap<u64, Vec<bool>>,
    /// Times at which requests arrived.
    arrivals: Vec<Micros>,
    /// Times at which loads were ordered.
    orders: Vec<Micros>,
    /// When a replica that is being loaded is ready.
    loading: BTreeMap<(String, u64), Micros>,
    load_on_demand: bool,
}

impl World {
    fn schedule(&mut self, delay: Micros, event: Event) {
        self.sequence += 1;
        self.due
            .insert((self.harness.now + delay, self.sequence), event);
    }

    /// Loads a function at a worker, unless that is under way already. Returns the time until the replica is ready.
    fn load(&mut self, replica: &(String, u64)) -> Micros {
        *self
            .loading
            .entry(replica.clone())
            .or_insert(self.harness.now + LOAD_TIME)
            - self.harness.now
    }

    /// Carries out the actions: schedules the events that follow from them.
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Timer { delay, token } if token != 0 => {
                    self.schedule(delay, Event::Timer { token })
                }
                Action::Send { id, worker, .. } => {
                    let attempt = *self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let replica = (worker, self.requests[&id]);
                    let is_loading = self.loading.contains_key(&replica);
                    let (outcome, replica_loaded, elapsed) = match self.loaded.contains(&replica) {
                        true => (Outcome::Ok, true, SERVICE_TIME),
                        false if is_loading || self.load_on_demand => {
                            (Outcome::Ok, false, self.load(&replica) + SERVICE_TIME)
                        }
                        false => (Outcome::NotLoaded, false, 2 * MS),
                    };
                    let result = Event::AttemptEnded(AttemptResult {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        request_closed: outcome == Outcome::Ok,
                        replica_loaded: Some(replica_loaded),
                        queue_depth: None,
                        in_flight: None,
                    });
                    self.schedule(elapsed, result);
                }
                Action::Load {
                    worker,
                    function,
                    replicas,
                } => {
                    let replica = (worker.clone(), function);
                    let was_loaded = self.loaded.contains(&replica);
                    let elapsed = if was_loaded || replicas == 0 {
                        2 * MS
                    } else {
                        self.load(&replica)
                    };
                    if replicas > 0 {
                        self.orders.push(self.harness.now);
                    }
                    self.schedule(
                        elapsed,
                        Event::LoadOrderEnded {
                            worker,
                            function,
                            replicas: u32::from(was_loaded || replicas > 0),
                            outcome: Outcome::Ok,
                            elapsed,
                        },
                    );
                }
                Action::Unload { worker, function } => {
                    self.loaded.remove(&(worker, function));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.answers.entry(id).or_default().push(false)
                }
                _ => {}
            }
        }
    }

    /// Feeds the events that are due, and the housekeeping timer every 20 ms.
    fn run(&mut self, until: Micros) {
        while self.harness.now < until {
            let tick = self.harness.now + 20 * MS;
            while let Some((&key, _)) = self.due.first_key_value().filter(|(k, _)| k.0 <= tick) {
                let Some(event) = self.due.remove(&key) else {
                    break;
                };
                self.harness.now = key.0;
                let ready: Vec<_> = self
                    .loading
                    .iter()
                    .filter(|(_, &at)| at <= key.0)
                    .map(|(replica, _)| replica.clone())
                    .collect();
                for replica in ready {
                    self.loading.remove(&replica);
                    self.loaded.insert(replica);
                }
                match &event {
                    Event::Request(NewRequest { id, .. }) if !self.requests.contains_key(id) => {}
                    Event::Request(_) => self.arrivals.push(key.0),
                    Event::AttemptEnded(AttemptResult {
                        id,
                        request_closed: true,
                        ..
                    }) if !self.answers.contains_key(id) => {
                        self.answers.entry(*id).or_default().push(true);
                    }
                    _ => {}
                }
                let actions = self.harness.feed(event);
                self.carry_out(actions);
            }
            self.harness.now = tick;
            let actions = self.harness.feed(Event::Timer { token: 0 });
            self.carry_out(actions);
        }
    }
}

/// Each request gets one final answer, load orders stay within the load budget, and requests are served again once each
/// function has been loaded again.
#[rstest]
fn all_replicas_invalidated_at_once_while_traffic_is_low(
    #[values(true, false)] load_on_demand: bool,
    #[values(1, 4, 300)] front_ends: u32,
    #[values((3.0, 0.2, 5), (6.0, 0.3, 3), (0.0, 0.0, 0))] load_budget: (f64, f64, u64),
    #[values(IDEMPOTENT, KEYED, NOT_IDEMPOTENT)] class: usize,
) {
    let (budget_base, budget_per_request, window) = load_budget;
    let settings = Settings {
        front_ends,
        load_on_demand,
        load_budget_base: budget_base,
        load_budget_per_request: budget_per_request,
        load_budget_window: window * SEC,
        max_attempts: 6,
        ..settings()
    };
    let mut world = World {
        harness: ControllerHarness::new(settings, 8),
        loaded: BTreeSet::new(),
        due: BTreeMap::new(),
        sequence: 0,
        attempts: BTreeMap::new(),
        requests: BTreeMap::new(),
        answers: BTreeMap::new(),
        arrivals: Vec::new(),
        orders: Vec::new(),
        loading: BTreeMap::new(),
        load_on_demand,
    };
    let start = world.harness.now;
    let requests = 400u64;
    for id in 1..=requests {
        let function = 1 + id % 5;
        world.requests.insert(id, function);
        let request = Event::Request(NewRequest {
            id,
            class,
            tenant: None,
            function,
            time_left: 3 * SEC,
            memory_mb: 500.0,
            concurrency: 2,
            load_time: LOAD_TIME,
            retry: false,
        });
        world.schedule(id * 100 * MS, request);
    }
    world.run(start + 20 * SEC);
    world.loaded.clear();
    let invalidated_at = world.harness.now;
    world.run(start + 45 * SEC);
    for id in 1..=requests {
        assert_eq!(
            world.answers.get(&id).map(Vec::len),
            Some(1),
            "request {id} did not get exactly one final answer"
        );
    }
    for (n, &at) in world.orders.iter().enumerate().filter(|_| window > 0) {
        let in_window = |time: &&Micros| **time + window * SEC > at && **time <= at;
        let orders = world.orders[..=n].iter().filter(in_window).count() as f64;
        let arrivals = world.arrivals.iter().filter(in_window).count() as f64;
        assert!(
            orders <= budget_base + budget_per_request * arrivals,
            "{orders} load orders for {arrivals} requests exceed the load budget"
        );
    }
    let is_late = |id: &&u64| start + **id * 100 * MS > invalidated_at + 6 * SEC;
    let late: Vec<u64> = (1..=requests).filter(|id| is_late(&id)).collect();
    let served = late.iter().filter(|id| world.answers[id][0]).count();
    assert!(
        served * 10 >= late.len() * 9,
        "{served} of {} requests were served 6 s after the replicas were invalidated",
        late.len()
    );
}
