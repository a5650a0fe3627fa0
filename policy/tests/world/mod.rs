//! A simulated deployment for the characterization test: clients, workers, faults and a clock. All of it is derived
//! from one seed with integer arithmetic. The simulation carries out the policy's actions and returns their results as
//! events.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use wrenseam_policy::*;

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
const START: Micros = 1_000 * SEC;
/// Number of functions that are not called by a timer.
const FUNCTIONS: u64 = 60;
/// Each period starts with a request for one of the two functions that are called by a timer, in turn.
const TIMER_PERIOD: Micros = 5 * SEC;
/// Identifier of the first of the two functions that are called by a timer.
const TIMER_FUNCTION: FunctionId = 1_000;
const LOAD_TIME: Micros = 400 * MS;
/// Concurrency of every third function.
const REPLICA_CAPACITY: u32 = 2;

/// The rate of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Traffic {
    Light,
    /// Most workers are busy.
    Busy,
    /// More than the workers can serve.
    Overload,
}

/// The parameters of a stream of events.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) front_ends: u32,
    pub(crate) workers: usize,
    /// Whether workers load a missing function for a request.
    pub(crate) load_on_demand: bool,
    /// Whether workers report their requests in flight, their queue depth and whether a replica was loaded, and whether
    /// the settings have tenants.
    pub(crate) reports: bool,
    /// Whether hedged requests are allowed and there is a load budget.
    pub(crate) hedging: bool,
    /// The rate of requests.
    pub(crate) traffic: Traffic,
    /// Number of events of the stream.
    pub(crate) events: usize,
}

/// A simulated worker process.
struct Worker {
    up: bool,
    /// The process does not answer before this time.
    unresponsive_until: Micros,
    /// Service times are multiplied by this.
    slowdown: u64,
    state: WorkerState,
    started_at: Micros,
    /// Loaded replicas by function.
    replicas: BTreeMap<FunctionId, u32>,
    /// When the load that a request started ends, by function.
    loading: BTreeMap<FunctionId, Micros>,
    in_flight: u32,
}

/// An attempt that the policy sent and that has not ended.
struct OpenAttempt {
    worker: usize,
    sent_at: Micros,
}

struct OpenRequest {
    function: FunctionId,
    /// Attempts sent so far.
    attempts: usize,
    /// Whether it has its final answer or was cancelled.
    finished: bool,
}

/// The deployment and the events that it has scheduled.
pub(crate) struct Simulation {
    scenario: Scenario,
    random: Pcg64,
    now: Micros,
    /// Number of events scheduled so far.
    sequence: u64,
    /// Scheduled events by time, then in the order of scheduling.
    due: BTreeMap<(Micros, u64), Event>,
    workers: Vec<Worker>,
    requests: BTreeMap<RequestId, OpenRequest>,
    open_attempts: BTreeMap<(RequestId, usize), OpenAttempt>,
    cancelled: BTreeSet<(RequestId, usize)>,
    next_request: RequestId,
    next_arrival: Micros,
    next_fault: Micros,
    /// Load times are multiplied by this.
    load_slowdown: u64,
    /// The timer period in which the last request arrived.
    last_timer_period: u64,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Simulation {
        let random = Pcg64::seed_from_u64(scenario.seed);
        let mut simulation = Simulation {
            scenario,
            random,
            now: START,
            sequence: 0,
            due: BTreeMap::new(),
            workers: Vec::new(),
            requests: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            next_request: 1,
            next_arrival: START + MS,
            next_fault: START + 2 * SEC,
            load_slowdown: 1,
            last_timer_period: 0,
        };
        for _ in 0..scenario.workers {
            simulation.add_worker(0);
        }
        simulation.schedule_complete_list(START);
        simulation
    }

    /// A random number from 0 to `below` - 1.
    fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below.max(1)
    }

    /// True with a probability of 1 in `one_in`.
    fn chance(&mut self, one_in: u64) -> bool {
        self.draw(one_in) == 0
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), event);
    }

    fn add_worker(&mut self, started_at: Micros) {
        self.workers.push(Worker {
            up: true,
            unresponsive_until: 0,
            slowdown: 1,
            state: WorkerState::Ready,
            started_at,
            replicas: BTreeMap::new(),
            loading: BTreeMap::new(),
            in_flight: 0,
        });
    }

    fn endpoint(&self, worker: usize) -> Endpoint {
        Endpoint {
            worker: format!("worker-{worker}"),
            state: self.workers[worker].state,
            started_at: self.workers[worker].started_at,
            zone: (worker % 7 != 6).then_some(worker % 3),
            kind: worker % 2,
            cell: (worker % 5 != 4).then_some(worker as u64 / 2),
        }
    }

    /// Schedules an endpoint update with all workers except those that are gone.
    fn schedule_complete_list(&mut self, at: Micros) {
        let listed = |w: &usize| self.workers[*w].state != WorkerState::Gone;
        let endpoints = (0..self.workers.len())
            .filter(listed)
            .map(|w| self.endpoint(w))
            .collect();
        self.schedule(
            at,
            Event::EndpointUpdate {
                complete: true,
                endpoints,
            },
        );
    }

    /// Schedules an endpoint update with one worker.
    fn schedule_endpoint_update(&mut self, worker: usize, delay: Micros) {
        let endpoints = vec![self.endpoint(worker)];
        let at = self.now + delay;
        self.schedule(
            at,
            Event::EndpointUpdate {
                complete: false,
                endpoints,
            },
        );
    }

    /// Replaces the front end's process: the new one gets none of the events scheduled so far, and the complete list.
    pub(crate) fn restart_front_end(&mut self) {
        self.due.clear();
        self.open_attempts.clear();
        self.cancelled.clear();
        self.requests.clear();
        self.workers
            .iter_mut()
            .for_each(|worker| worker.in_flight = 0);
        self.schedule_complete_list(self.now + MS);
    }

    /// The next event and its time. Requests and faults are generated when the clock reaches them.
    pub(crate) fn next(&mut self) -> (Micros, Event) {
        loop {
            let first = self.due.keys().next().map_or(Micros::MAX, |key| key.0);
            if self.next_arrival <= first && self.next_arrival <= self.next_fault {
                self.now = self.now.max(self.next_arrival);
                self.generate_request();
            } else if self.next_fault <= first {
                self.now = self.now.max(self.next_fault);
                self.inject_fault();
            } else {
                let ((at, _), event) = self.due.pop_first().expect("an event is due");
                self.now = self.now.max(at);
                if let Some(event) = self.deliver(event) {
                    return (self.now, event);
                }
            }
        }
    }

    /// Fills in the fields of an event that depend on the time at which it happens; `None` if it no longer happens.
    fn deliver(&mut self, mut event: Event) -> Option<Event> {
        match &mut event {
            Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                outcome,
                elapsed,
                request_closed,
                in_flight,
                ..
            }) => {
                let open = self.open_attempts.remove(&(*id, *attempt))?;
                self.workers[open.worker].in_flight -= 1;
                self.cancelled.remove(&(*id, *attempt));
                *elapsed = self.now - open.sent_at;
                let request = self.requests.get_mut(id)?;
                request.finished |= *outcome == Outcome::Ok;
                *request_closed = request.finished;
                if self.scenario.reports && matches!(outcome, Outcome::Ok | Outcome::Rejected) {
                    *in_flight = Some(f64::from(self.workers[open.worker].in_flight));
                }
                Some(event)
            }
            Event::RequestCancelled { id } => {
                let request = self.requests.get_mut(id)?;
                let was_unanswered = !std::mem::replace(&mut request.finished, true);
                was_unanswered.then_some(event)
            }
            _ => Some(event),
        }
    }

    fn generate_request(&mut self) {
        let burst = (self.now / SEC) % 20 < 4;
        let gap = match (self.scenario.traffic, burst) {
            (Traffic::Overload, _) => 1,
            (Traffic::Busy, true) => 3,
            (Traffic::Busy, false) => 6,
            (Traffic::Light, true) => 8,
            (Traffic::Light, false) => 30,
        };
        self.next_arrival = self.now + 1 + self.draw(2 * gap * MS);
        let id = self.next_request;
        self.next_request += 1;
        // Popularity is skewed. The first request of each timer period calls a function that has no other callers.
        let skewed = self.draw(FUNCTIONS) * self.draw(FUNCTIONS) / FUNCTIONS;
        let period = self.now / TIMER_PERIOD;
        let on_timer = std::mem::replace(&mut self.last_timer_period, period) != period;
        let function = if on_timer {
            TIMER_FUNCTION + period % 2
        } else {
            skewed
        };
        let class = self.draw(4) as usize; // 3 is not in the settings: an unknown class
        let time_left = match self.draw(12) {
            0 => self.draw(40 * MS),
            1 => Micros::MAX,
            _ => (200 + self.draw(2_800)) * MS,
        };
        let memory_mb = match self.draw(40) {
            0 => f64::NAN,
            1 => 0.0,
            _ => 100.0 + (function * 37 % 500) as f64,
        };
        let event = Event::Request(NewRequest {
            id,
            class,
            tenant: [None, Some(0), Some(1), Some(9)][self.draw(4) as usize],
            function,
            time_left,
            memory_mb,
            concurrency: [REPLICA_CAPACITY, 1, 0][(function % 3) as usize],
            load_time: if function % 4 == 0 { 0 } else { LOAD_TIME },
            retry: self.draw(9) == 0,
        });
        self.requests.insert(
            id,
            OpenRequest {
                function,
                attempts: 0,
                finished: false,
            },
        );
        let now = self.now;
        if self.chance(200) {
            self.schedule(now, event.clone()); // the id is already in use
        }
        self.schedule(now, event);
        if self.chance(25) {
            let at = now + self.draw(SEC);
            self.schedule(at, Event::RequestCancelled { id });
        }
        if self.chance(150) {
            let token = self.draw(5_000);
            self.schedule(now, Event::Timer { token: token + 1 });
        }
    }

    fn inject_fault(&mut self) {
        self.next_fault = self.now + 300 * MS + self.draw(2 * SEC);
        let worker = self.draw(self.workers.len() as u64) as usize;
        let now = self.now;
        let update_delay = self.draw(600 * MS);
        match self.draw(14) {
            0 => self.workers[worker].up = false,
            1 => self.workers[worker].unresponsive_until = now + 2 * SEC,
            2 => {
                let zone = worker % 3;
                for other in (0..self.workers.len()).filter(|other| other % 3 == zone) {
                    self.workers[other].unresponsive_until = now + 3 * SEC;
                }
            }
            3 => self.workers[worker].slowdown = 8,
            4 | 5 => self.workers[worker].slowdown = 1,
            6 => {
                self.workers[worker].state = WorkerState::Draining;
                self.schedule_endpoint_update(worker, update_delay);
            }
            7 => {
                self.workers[worker].state = WorkerState::Gone;
                self.workers[worker].up = false;
                self.schedule_endpoint_update(worker, update_delay);
            }
            8 if self.workers.len() < 3 * self.scenario.workers => {
                self.add_worker(now);
                self.schedule_endpoint_update(self.workers.len() - 1, update_delay);
            }
            9 => self.load_slowdown = 6,
            10 => self.load_slowdown = 1,
            11 => self.schedule_complete_list(now + update_delay),
            // The front end stalls for 500 ms: it gets the events of that time when it resumes, and no request before.
            12 => {
                let resumes = now + 500 * MS;
                let delayed: Vec<_> = self
                    .due
                    .range(..(resumes, 0))
                    .map(|(key, _)| *key)
                    .collect();
                for key in delayed {
                    let event = self.due.remove(&key).expect("listed above");
                    self.due.insert((resumes, key.1), event);
                }
                self.next_arrival = self.next_arrival.max(resumes);
            }
            _ => self.restart_worker(worker, update_delay),
        }
        let stopped: Vec<usize> = (0..self.workers.len())
            .filter(|w| !self.workers[*w].up)
            .collect();
        if stopped.len() * 2 > self.workers.len() {
            self.restart_worker(stopped[0], update_delay);
        }
    }

    fn restart_worker(&mut self, worker: usize, update_delay: Micros) {
        let now = self.now;
        let process = &mut self.workers[worker];
        process.up = true;
        process.state = WorkerState::Ready;
        process.started_at = now;
        process.slowdown = 1;
        process.unresponsive_until = 0;
        process.replicas.clear();
        process.loading.clear();
        self.schedule_endpoint_update(worker, update_delay);
    }

    /// Carries out one action of the policy.
    pub(crate) fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Send {
                id,
                worker,
                timeout,
                ..
            } => self.send(*id, index_of(worker), *timeout),
            Action::Cancel { id, attempt } => self.cancel(*id, *attempt),
            Action::Reject { id, .. } | Action::Fail { id } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.finished = true;
                }
            }
            Action::Timer { delay, token } => {
                let at = self.now.saturating_add(*delay).min(Micros::MAX / 4);
                self.schedule(at, Event::Timer { token: *token });
            }
            Action::Load {
                worker,
                function,
                replicas,
            } => self.load(index_of(worker), *function, *replicas),
            Action::Unload { worker, function } => {
                self.workers[index_of(worker)].replicas.remove(function);
            }
            Action::WatchEndpoints | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, worker: usize, timeout: Micros) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (function, attempt) = (request.function, request.attempts);
        request.attempts += 1;
        self.open_attempts.insert(
            (id, attempt),
            OpenAttempt {
                worker,
                sent_at: now,
            },
        );
        self.workers[worker].in_flight += 1;
        let (outcome, took, replica_loaded) = self.serve(worker, function, timeout);
        let depth = self.workers[worker].in_flight.min(30);
        let reports = self.scenario.reports && matches!(outcome, Outcome::Ok | Outcome::Rejected);
        let event = Event::AttemptEnded(AttemptResult {
            id,
            attempt,
            outcome,
            elapsed: 0,
            request_closed: false,
            replica_loaded: replica_loaded.filter(|_| reports),
            queue_depth: (reports && depth > 1).then_some(depth - 1),
            in_flight: None,
        });
        self.schedule(now + took.min(timeout), event);
    }

    /// The outcome of an attempt, how long it takes, and whether a replica was loaded when it arrived.
    fn serve(
        &mut self,
        worker: usize,
        function: FunctionId,
        timeout: Micros,
    ) -> (Outcome, Micros, Option<bool>) {
        let now = self.now;
        let fault = self.draw(120);
        let service = (15 + self.draw(60)) * MS * self.workers[worker].slowdown;
        let load = self.load_duration(worker, function);
        let process = &mut self.workers[worker];
        if !process.up {
            return (Outcome::ConnectFailed, MS, None);
        }
        if process.unresponsive_until > now {
            return (
                if fault < 60 {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Reset
                },
                250 * MS,
                None,
            );
        }
        match fault {
            0 => return (Outcome::Error, 5 * MS, None),
            1 => return (Outcome::Reset, 20 * MS, None),
            2 => return (Outcome::Timeout, timeout, None),
            3 => return (Outcome::NotSent, MS, None),
            _ => {}
        }
        if process.in_flight > 12 {
            return (Outcome::Rejected, 2 * MS, None);
        }
        let is_loaded = load == 0;
        if !is_loaded && !self.scenario.load_on_demand {
            return (Outcome::NotLoaded, 2 * MS, None);
        }
        if !is_loaded {
            process.loading.insert(function, now + load);
        }
        let took = load + service;
        let outcome = if took > timeout {
            Outcome::Timeout
        } else {
            Outcome::Ok
        };
        (outcome, took, Some(is_loaded))
    }

    /// Time until a replica of the function is loaded at the worker; 0 if one is.
    fn load_duration(&mut self, worker: usize, function: FunctionId) -> Micros {
        let full_load_time = LOAD_TIME * self.load_slowdown + self.draw(100 * MS);
        let now = self.now;
        let process = &mut self.workers[worker];
        if let Some(&ready_at) = process.loading.get(&function) {
            if ready_at <= now {
                process.loading.remove(&function);
                *process.replicas.entry(function).or_default() += 1;
            } else {
                return ready_at - now;
            }
        }
        if process.replicas.contains_key(&function) {
            return 0;
        }
        full_load_time
    }

    fn cancel(&mut self, id: RequestId, attempt: usize) {
        if self.open_attempts.contains_key(&(id, attempt)) && self.cancelled.insert((id, attempt)) {
            let event = Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                outcome: Outcome::Cancelled,
                elapsed: 0,
                request_closed: false,
                replica_loaded: None,
                queue_depth: None,
                in_flight: None,
            });
            let at = self.now + 2 * MS;
            self.schedule(at, event);
        }
    }

    /// Carries out a load order; a poll if `replicas` is 0.
    fn load(&mut self, worker: usize, function: FunctionId, replicas: u32) {
        let now = self.now;
        let fault = self.draw(60);
        let load = self.load_duration(worker, function);
        let process = &mut self.workers[worker];
        let loaded = process.replicas.get(&function).copied().unwrap_or(0);
        let (outcome, elapsed) = if !process.up {
            (Outcome::ConnectFailed, MS)
        } else if process.unresponsive_until > now {
            (Outcome::Reset, 250 * MS)
        } else if replicas == 0 {
            (Outcome::Ok, 2 * MS)
        } else if process.state != WorkerState::Ready {
            (Outcome::Rejected, 2 * MS)
        } else {
            match fault {
                0 => (Outcome::Error, load + 2 * MS),
                1 => (Outcome::Rejected, 2 * MS),
                2 => (Outcome::Timeout, 10 * SEC),
                _ => (Outcome::Ok, load + 2 * MS),
            }
        };
        let loads = outcome == Outcome::Ok && replicas > loaded;
        if loads {
            process.replicas.insert(function, replicas);
        }
        let event = Event::LoadOrderEnded {
            worker: format!("worker-{worker}"),
            function,
            replicas: if loads { replicas } else { loaded },
            outcome,
            elapsed,
        };
        self.schedule(now + elapsed, event);
    }
}

fn index_of(worker: &str) -> usize {
    worker["worker-".len()..]
        .parse()
        .expect("the simulation's worker names end in a number")
}
