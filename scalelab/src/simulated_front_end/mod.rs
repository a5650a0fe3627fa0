//! A front end without sockets: the decision module before stand-in workers, on simulated time. All that it counts is
//! the same in every run of a scenario and seed; only what the clock measures is not.
mod measurements;
mod popularity;
mod scenario;
mod schedule;

pub use measurements::{HandlingTimes, PolicyCounts};
pub use popularity::FunctionPopularity;
pub use scenario::Scenario;
use schedule::{PolicyAction, ScheduledEvent};

use allocation_counter::{measure, AllocationInfo};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;
use wrenseam_policy::{
    Action, AttemptResult, Controller, Event, Micros, NewRequest, Outcome, RequestId, Settings,
    WorkerId, WorkerState,
};

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;
/// Calls start here, so that a start told as 0 is long ago.
pub const START_TIME: Micros = 1_000 * SEC;
const AWAY: Micros = 250 * MS; // a connection to a worker that is not there counts as failed after this

fn name(worker: usize) -> WorkerId {
    format!("s-{worker:08x}")
}

fn number(worker: &str) -> usize {
    usize::from_str_radix(&worker[2..], 16).expect("named by us")
}

struct Call {
    function: usize,
    arrived: Micros,
    first: bool,
    attempts: usize,
}

/// One front end.
pub struct SimulatedFrontEnd {
    pub scenario: Scenario,
    controller: Controller,
    popularity: Rc<FunctionPopularity>,
    pub now: Micros,
    rng: Pcg64Mcg,
    due: BTreeMap<(Micros, u64), ScheduledEvent>,
    serial: u64,
    out: Vec<Action>,
    todo: Vec<PolicyAction>,
    calls: BTreeMap<RequestId, Call>,
    ends: BTreeMap<(RequestId, usize), (Micros, u64)>,
    /// Until when a copy that we caused stands.
    warm: BTreeMap<(usize, usize), Micros>,
    functions_called: BTreeSet<usize>,
    /// The workers of the list, and those that are gone without a word.
    listed: Vec<usize>,
    next_worker: usize,
    away: BTreeSet<usize>,
    /// Workers at which nobody else's calls keep a copy, as they came back empty.
    emptied: BTreeSet<usize>,
    gone: Option<usize>,
    pub counts: PolicyCounts,
    pub handling_times: HandlingTimes,
    /// Time from arrival to the attempt that was served, of first calls of a function.
    pub first_waits: Vec<Micros>,
    /// When an attempt went to whom, and when an order or question did, where asked for.
    pub log: Option<Vec<(Micros, usize, bool)>>,
}

impl SimulatedFrontEnd {
    /// A front end that has just started and has been told of all workers.
    pub fn new(scenario: &Scenario) -> SimulatedFrontEnd {
        SimulatedFrontEnd::with_index(
            scenario,
            &Rc::new(FunctionPopularity::new(scenario)),
            0,
            START_TIME,
        )
    }

    /// The same for the front end of this number at this time.
    pub fn with_index(
        scenario: &Scenario,
        popularity: &Rc<FunctionPopularity>,
        index: u32,
        now: Micros,
    ) -> SimulatedFrontEnd {
        let seed = scenario
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(u64::from(index));
        let room = 256 + 4 * scenario.workers; // never grows, as its growth would count as the module's
        let mut controller = None;
        let held = measure(|| {
            let settings = Settings {
                front_end_index: Some(index),
                ..scenario.settings()
            };
            controller = Some(Controller::new(settings, seed));
        });
        let controller = controller.expect("made by the closure");
        let mut front = SimulatedFrontEnd {
            controller,
            popularity: popularity.clone(),
            scenario: scenario.clone(),
            now,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            due: BTreeMap::new(),
            serial: 0,
            out: Vec::with_capacity(room),
            todo: Vec::with_capacity(room),
            calls: BTreeMap::new(),
            ends: BTreeMap::new(),
            warm: BTreeMap::new(),
            functions_called: BTreeSet::new(),
            listed: (0..scenario.workers).collect(),
            next_worker: scenario.workers,
            away: BTreeSet::new(),
            emptied: BTreeSet::new(),
            gone: None,
            counts: PolicyCounts::default(),
            handling_times: HandlingTimes::default(),
            first_waits: Vec::new(),
            log: None,
        };
        front.counts.held_bytes = held.bytes_current;
        let listed = front.listed.clone();
        front.update_endpoints(true, &listed, WorkerState::Ready, 0);
        if scenario.requests_per_s > 0.0 {
            let first = front.pause(scenario.requests_per_s);
            front.plan(first, ScheduledEvent::Call);
        }
        if scenario.endpoint_changes_per_s > 0.0 {
            front.plan(
                (SEC as f64 / scenario.endpoint_changes_per_s) as Micros,
                ScheduledEvent::Change,
            );
        }
        front
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn pause(&mut self, rate: f64) -> Micros {
        (-(1.0 - self.chance()).ln() / rate * SEC as f64) as Micros
    }

    fn plan(&mut self, after: Micros, due: ScheduledEvent) -> (Micros, u64) {
        self.serial += 1;
        self.due.insert((self.now + after, self.serial), due);
        (self.now + after, self.serial)
    }

    /// Tells the module of these workers.
    pub fn update_endpoints(
        &mut self,
        full: bool,
        workers: &[usize],
        state: WorkerState,
        started_at: Micros,
    ) {
        let scenario = self.scenario.clone();
        let entries = || {
            workers
                .iter()
                .map(|&n| scenario.entry(n, state, started_at))
                .collect()
        };
        self.feed(|| Event::EndpointUpdate {
            complete: full,
            endpoints: entries(),
        });
    }

    /// The workers whose machines are silent from now on, or no more.
    pub fn disconnect_workers(&mut self, workers: &[usize]) {
        self.away.extend(workers);
        self.emptied.extend(workers);
        let lost: BTreeSet<usize> = workers.iter().copied().collect();
        self.warm.retain(|&(_, w), _| !lost.contains(&w));
    }

    pub fn reconnect_workers(&mut self, workers: &[usize]) {
        workers.iter().for_each(|w| {
            self.away.remove(w);
        });
    }

    pub fn workers(&self) -> &[usize] {
        &self.listed
    }

    /// Lets this span pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((&(at, serial), &due)) =
            self.due.first_key_value().filter(|(k, _)| k.0 < end)
        {
            self.due.remove(&(at, serial));
            self.now = at;
            self.happen(due);
        }
        self.now = end;
    }

    fn happen(&mut self, due: ScheduledEvent) {
        match due {
            ScheduledEvent::Timer(token) => self.feed(|| Event::Timer { token }),
            ScheduledEvent::Call => self.call(),
            ScheduledEvent::Change => self.change(),
            ScheduledEvent::End {
                id,
                attempt,
                outcome,
                since,
                warm,
            } => {
                self.ends.remove(&(id, attempt));
                let closed = outcome == Outcome::Ok;
                let first = if closed {
                    self.calls.remove(&id).filter(|c| c.first)
                } else {
                    None
                };
                self.first_waits.extend(first.map(|c| since - c.arrived));
                let elapsed = self.now - since;
                let (crowd, inflight) = (Some(0), Some(2.0));
                self.feed(|| {
                    Event::AttemptEnded(AttemptResult {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        request_closed: closed,
                        replica_loaded: warm,
                        queue_depth: crowd,
                        in_flight: inflight,
                    })
                });
            }
            ScheduledEvent::Answer {
                worker,
                function,
                count,
                outcome,
                since,
            } => {
                let elapsed = self.now - since;
                if count > 0 {
                    let until = self.now + self.scenario.keep_alive;
                    self.warm.insert((function as usize, worker), until);
                }
                self.feed(|| Event::LoadOrderEnded {
                    worker: name(worker),
                    function,
                    replicas: count,
                    outcome,
                    elapsed,
                });
            }
        }
    }

    fn call(&mut self) {
        let next = self.pause(self.scenario.requests_per_s);
        self.plan(next, ScheduledEvent::Call);
        let (chance, mark) = (self.chance(), self.rng.next_u64());
        let n = self.popularity.draw(chance);
        self.counts.requests += 1;
        let id = self.counts.requests;
        let first = self.functions_called.insert(n);
        self.counts.first_requests += u64::from(first);
        self.calls.insert(
            id,
            Call {
                function: n,
                arrived: self.now,
                first,
                attempts: 0,
            },
        );
        let (class, tenant) = ((mark % 2) as usize, Some((mark >> 8) as usize % 5));
        let (left, load_time) = (4 * SEC, self.scenario.load_time);
        let (memory_mb, lanes, retry, function) = (500.0, 4, false, n as u64);
        self.feed(|| {
            Event::Request(NewRequest {
                id,
                class,
                tenant,
                function,
                time_left: left,
                memory_mb,
                concurrency: lanes,
                load_time,
                retry,
            })
        });
    }

    fn change(&mut self) {
        self.plan(
            (SEC as f64 / self.scenario.endpoint_changes_per_s) as Micros,
            ScheduledEvent::Change,
        );
        if self.gone.take().is_some() {
            let w = self.next_worker;
            self.next_worker += 1;
            self.listed.push(w);
            let now = self.now;
            return self.update_endpoints(false, &[w], WorkerState::Ready, now);
        }
        let at = self.rng.next_u64() as usize % self.listed.len();
        let w = self.listed.swap_remove(at);
        self.gone = Some(w);
        self.update_endpoints(false, &[w], WorkerState::Gone, 0);
    }

    /// Whether a copy stands there: ours, or by the calls of the others, which go where ours go.
    fn stands(&mut self, function: usize, worker: usize) -> bool {
        if self
            .warm
            .get(&(function, worker))
            .is_some_and(|&t| t > self.now)
        {
            return true;
        }
        let peers = f64::from(self.scenario.front_ends.saturating_sub(1));
        let others = if self.scenario.other_replicas_loaded && !self.emptied.contains(&worker) {
            self.scenario.requests_per_s * peers
        } else {
            0.0
        };
        let rate =
            others * self.popularity.share(function) * self.scenario.keep_alive as f64 / SEC as f64;
        self.chance() < 1.0 - (-rate).exp()
    }

    /// Gives the module an event and does what it asks for. What it allocates and frees is counted, with
    /// the event made for it and what it asks for let go.
    fn feed(&mut self, event: impl FnOnce() -> Event) {
        let (mut slot, mut took, mut inside) = (0, 0, AllocationInfo::default());
        let all = measure(|| {
            let event = event();
            slot = match event {
                Event::Request(_) => 0,
                Event::AttemptEnded(_) => 1,
                Event::Timer { .. } | Event::RequestCancelled { .. } => 2,
                Event::EndpointUpdate { .. } => 3,
                Event::LoadOrderEnded { .. } => 4,
            };
            let (controller, out, now) = (&mut self.controller, &mut self.out, self.now);
            inside = measure(|| {
                let start = Instant::now();
                controller.handle(now, event, out);
                took = start.elapsed().as_nanos() as u64;
            });
            self.todo.extend(self.out.drain(..).map(PolicyAction::from));
        });
        let s = &mut self.handling_times;
        *[
            &mut s.requests,
            &mut s.attempt_results,
            &mut s.timers,
            &mut s.endpoint_updates,
            &mut s.load_results,
        ][slot] += took;
        self.handling_times.longest = self.handling_times.longest.max(took);
        self.counts.events += 1;
        self.counts.allocations += inside.count_total;
        self.counts.allocated_bytes += inside.bytes_total;
        self.counts.held_bytes += all.bytes_current;
        let todo = std::mem::take(&mut self.todo);
        todo.iter().for_each(|t| self.act(*t));
        self.todo = todo;
        self.todo.clear();
    }

    fn act(&mut self, todo: PolicyAction) {
        match todo {
            PolicyAction::Send(id, w) => self.attempt(id, w),
            PolicyAction::Cancel(id, attempt) => {
                self.counts.cancels += 1;
                if let Some(key) = self.ends.remove(&(id, attempt)) {
                    if let Some(ScheduledEvent::End { since, .. }) = self.due.remove(&key) {
                        let end = ScheduledEvent::End {
                            id,
                            attempt,
                            outcome: Outcome::Cancelled,
                            since,
                            warm: None,
                        };
                        let key = self.plan(0, end);
                        self.ends.insert((id, attempt), key);
                    }
                }
            }
            PolicyAction::Refuse(id) => {
                self.counts.rejected += 1;
                let first = self.calls.remove(&id).is_some_and(|c| c.first);
                self.counts.first_rejected += u64::from(first);
            }
            PolicyAction::Fail(id) => {
                self.counts.failed += 1;
                self.calls.remove(&id);
            }
            PolicyAction::Timer(delay, token) => {
                self.plan(delay, ScheduledEvent::Timer(token));
            }
            PolicyAction::Load(worker, function, wanted) => {
                let since = self.now;
                let f = function as usize;
                self.log
                    .iter_mut()
                    .for_each(|l| l.push((since, worker, false)));
                if wanted > 0 {
                    self.counts.load_orders += 1
                } else {
                    self.counts.queries += 1
                }
                if self.away.contains(&worker) {
                    let (count, outcome) = (0, Outcome::ConnectFailed);
                    self.plan(
                        AWAY,
                        ScheduledEvent::Answer {
                            worker,
                            function,
                            count,
                            outcome,
                            since,
                        },
                    );
                    return;
                }
                let stands = self.stands(f, worker);
                let took = if wanted > 0 && !stands {
                    self.scenario.load_time
                } else {
                    0
                } + MS;
                let count = if wanted > 0 {
                    wanted
                } else {
                    u32::from(stands)
                };
                self.plan(
                    took,
                    ScheduledEvent::Answer {
                        worker,
                        function,
                        count,
                        outcome: Outcome::Ok,
                        since,
                    },
                );
            }
            PolicyAction::Drop(worker, function) => {
                self.counts.unloads += 1;
                self.warm.remove(&(function as usize, worker));
            }
            PolicyAction::Other => {}
        }
    }

    fn attempt(&mut self, id: RequestId, w: usize) {
        self.counts.attempts += 1;
        let now = self.now;
        self.log.iter_mut().for_each(|l| l.push((now, w, true)));
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (f, attempt, since) = (call.function, call.attempts, self.now);
        call.attempts += 1;
        if self.away.contains(&w) {
            self.counts.unreachable += 1;
            let end = ScheduledEvent::End {
                id,
                attempt,
                outcome: Outcome::ConnectFailed,
                since,
                warm: None,
            };
            let key = self.plan(AWAY, end);
            self.ends.insert((id, attempt), key);
            return;
        }
        let stands = self.stands(f, w);
        let miss = !stands && !self.scenario.load_on_demand;
        self.counts.loads_begun += u64::from(!stands);
        let service = (25.0 + 50.0 * self.chance()) as Micros * MS;
        let load = if stands { 0 } else { self.scenario.load_time };
        let (outcome, took) = if miss {
            (Outcome::NotLoaded, MS)
        } else {
            (Outcome::Ok, MS + service + load)
        };
        if !miss {
            self.warm
                .insert((f, w), self.now + took + self.scenario.keep_alive);
        }
        let key = self.plan(
            took,
            ScheduledEvent::End {
                id,
                attempt,
                outcome,
                since,
                warm: (!miss).then_some(stands),
            },
        );
        self.ends.insert((id, attempt), key);
    }
}

impl SimulatedFrontEnd {
    /// Functions that this front end has called.
    pub fn functions_called(&self) -> usize {
        self.functions_called.len()
    }
}
