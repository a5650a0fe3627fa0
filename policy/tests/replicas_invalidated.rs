//! New versions of what is loaded, on a quiet day: every replica is invalid at once, and what was loaded loads again or answers "not loaded".
mod common;
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use wrenseam_policy::*;

const LOAD: Micros = 400 * MS;
const WORK: Micros = 50 * MS;

/// Workers on which replicas are loaded, and all that is still to happen, by time.
struct World {
    harness: ControllerHarness,
    stands: BTreeSet<(String, u64)>,
    due: BTreeMap<(Micros, u64), Event>,
    set: u64,
    attempts: BTreeMap<u64, usize>,
    /// The function of each request, and how each ended: whether it was served.
    calls: BTreeMap<u64, u64>,
    ends: BTreeMap<u64, Vec<bool>>,
    taken: Vec<Micros>,
    orders: Vec<Micros>,
    /// The time at which a replica that is being loaded is ready.
    loading: BTreeMap<(String, u64), Micros>,
    load_on_demand: bool,
}

impl World {
    fn after(&mut self, span: Micros, event: Event) {
        self.set += 1;
        self.due.insert((self.harness.now + span, self.set), event);
    }

    /// When a replica is ready at a worker that may be loading it already.
    fn load(&mut self, place: &(String, u64)) -> Micros {
        *self
            .loading
            .entry(place.clone())
            .or_insert(self.harness.now + LOAD)
            - self.harness.now
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Timer { delay, token } if token != 0 => {
                    self.after(delay, Event::Timer { token })
                }
                Action::Send { id, worker, .. } => {
                    let attempt = *self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let place = (worker, self.calls[&id]);
                    let coming = self.loading.contains_key(&place);
                    let (outcome, warm, elapsed) = match self.stands.contains(&place) {
                        true => (Outcome::Ok, true, WORK),
                        false if coming || self.load_on_demand => {
                            (Outcome::Ok, false, self.load(&place) + WORK)
                        }
                        false => (Outcome::NotLoaded, false, 2 * MS),
                    };
                    let (closed, warm) = (outcome == Outcome::Ok, Some(warm));
                    let (crowd, inflight) = (None, None);
                    let end = Event::AttemptEnded(AttemptResult {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        request_closed: closed,
                        replica_loaded: warm,
                        queue_depth: crowd,
                        in_flight: inflight,
                    });
                    self.after(elapsed, end);
                }
                Action::Load {
                    worker,
                    function,
                    replicas: count,
                } => {
                    let place = (worker.clone(), function);
                    let stood = self.stands.contains(&place);
                    let elapsed = if stood || count == 0 {
                        2 * MS
                    } else {
                        self.load(&place)
                    };
                    if count > 0 {
                        self.orders.push(self.harness.now);
                    }
                    let (count, outcome) = (u32::from(stood || count > 0), Outcome::Ok);
                    self.after(
                        elapsed,
                        Event::LoadOrderEnded {
                            worker,
                            function,
                            replicas: count,
                            outcome,
                            elapsed,
                        },
                    );
                }
                Action::Unload { worker, function } => {
                    self.stands.remove(&(worker, function));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.ends.entry(id).or_default().push(false)
                }
                _ => {}
            }
        }
    }

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
                    .map(|(p, _)| p.clone())
                    .collect();
                for place in ready {
                    self.loading.remove(&place);
                    self.stands.insert(place);
                }
                match &event {
                    Event::Request(NewRequest { id, .. }) if !self.calls.contains_key(id) => {}
                    Event::Request(_) => self.taken.push(key.0),
                    Event::AttemptEnded(AttemptResult {
                        id,
                        request_closed: true,
                        ..
                    }) if !self.ends.contains_key(id) => {
                        self.ends.entry(*id).or_default().push(true);
                    }
                    _ => {}
                }
                let actions = self.harness.feed(event);
                self.act(actions);
            }
            self.harness.now = tick;
            let actions = self.harness.feed(Event::Timer { token: 0 });
            self.act(actions);
        }
    }
}

/// Each request ends once, orders keep within the load budget, and service is back once each function has been loaded again.
#[rstest]
fn all_replicas_invalidated_at_once_while_traffic_is_low(
    #[values(true, false)] load_on_demand: bool,
    #[values(1, 4, 300)] front_ends: u32,
    #[values((3.0, 0.2, 5), (6.0, 0.3, 3), (0.0, 0.0, 0))] ration: (f64, f64, u64),
    #[values(IDEMPOTENT, KEYED, NOT_IDEMPOTENT)] class: usize,
) {
    let (budget_base, budget_per_request, window) = ration;
    let set = Settings {
        front_ends,
        load_on_demand,
        load_budget_base: budget_base,
        load_budget_per_request: budget_per_request,
        load_budget_window: window * SEC,
        max_attempts: 6,
        ..settings()
    };
    let mut world = World {
        harness: ControllerHarness::new(set, 8),
        stands: BTreeSet::new(),
        due: BTreeMap::new(),
        set: 0,
        attempts: BTreeMap::new(),
        calls: BTreeMap::new(),
        ends: BTreeMap::new(),
        taken: Vec::new(),
        orders: Vec::new(),
        loading: BTreeMap::new(),
        load_on_demand,
    };
    let start = world.harness.now;
    let calls = 400u64;
    for id in 1..=calls {
        let function = 1 + id % 5;
        world.calls.insert(id, function);
        let (memory_mb, lanes, load_time) = (500.0, 2, LOAD);
        let (tenant, left, retry) = (None, 3 * SEC, false);
        let request = Event::Request(NewRequest {
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
        world.after(id * 100 * MS, request);
    }
    world.run(start + 20 * SEC);
    world.stands.clear();
    let void = world.harness.now;
    world.run(start + 45 * SEC);
    for id in 1..=calls {
        assert_eq!(
            world.ends.get(&id).map(Vec::len),
            Some(1),
            "call {id} ends once"
        );
    }
    for (n, &at) in world.orders.iter().enumerate().filter(|_| window > 0) {
        let within = |t: &&Micros| **t + window * SEC > at && **t <= at;
        let given = world.orders[..=n].iter().filter(within).count() as f64;
        let taken = world.taken.iter().filter(within).count() as f64;
        assert!(
            given <= budget_base + budget_per_request * taken,
            "{given} orders for {taken} calls"
        );
    }
    let back = |id: &&u64| start + **id * 100 * MS > void + 6 * SEC;
    let late: Vec<u64> = (1..=calls).filter(|id| back(&id)).collect();
    let served = late.iter().filter(|id| world.ends[id][0]).count();
    assert!(
        served * 10 >= late.len() * 9,
        "{served} of {} are served again",
        late.len()
    );
}
