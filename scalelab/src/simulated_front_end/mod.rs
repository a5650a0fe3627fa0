//! A front end without sockets: the decision policy on simulated time, with simulated workers. All of its counts are the
//! same in every run of a scenario and seed; only the times taken with the machine's clock differ.
mod measurements;
mod popularity;
mod scenario;
mod schedule;
mod simulated_workers;

pub use measurements::{HandlingTimes, PolicyCounts, SentMessage, SentRecord};
pub use popularity::FunctionPopularity;
pub use scenario::Scenario;
use schedule::{AttemptEnd, AttemptKey, LoadOrderEnd, PolicyAction, ScheduleKey, ScheduledEvent};

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

/// A millisecond, in simulated microseconds.
pub const MS: Micros = 1_000;
/// A second, in simulated microseconds.
pub const SEC: Micros = 1_000_000;
/// Simulated time at which front ends start: late enough that workers with start time 0 are past slow start.
pub const START_TIME: Micros = 1_000 * SEC;
/// Time until a connection attempt to an unreachable worker fails.
const CONNECT_TIMEOUT: Micros = 250 * MS;
/// Time that a client waits for a response.
const REQUEST_TIMEOUT: Micros = 4 * SEC;
/// Memory that one replica needs, in megabytes.
const REPLICA_MEMORY_MB: f64 = 500.0;
/// Requests that one replica serves concurrently.
const REPLICA_CONCURRENCY: u32 = 4;
/// Classes that requests are spread over, evenly.
const CLASSES: u64 = 2;
/// Tenants that requests are spread over, evenly.
const TENANTS: usize = 5;
/// Requests in flight that simulated workers report with each attempt's result.
const REPORTED_IN_FLIGHT: f64 = 2.0;

/// A request that has no response yet.
struct PendingRequest {
    function: usize,
    arrived_at: Micros,
    /// Whether it is the first for its function at this front end.
    first: bool,
    /// Attempts sent so far, which is also the number of the next attempt.
    attempts: usize,
}

/// A simulated front end with its policy.
pub struct SimulatedFrontEnd {
    /// The scenario that is simulated.
    pub scenario: Scenario,
    /// Simulated time, in microseconds.
    pub now: Micros,
    /// Counts since the start.
    pub counts: PolicyCounts,
    /// Time spent in the policy. Experiments reset it where a measurement begins.
    pub handling_times: HandlingTimes,
    /// Times from arrival to the start of the attempt that was served, of each first request for a function.
    pub first_waits: Vec<Micros>,
    /// Messages sent to workers; `None` where they are not recorded.
    pub sent_log: Option<Vec<SentRecord>>,
    controller: Controller,
    popularity: Rc<FunctionPopularity>,
    rng: Pcg64Mcg,
    scheduled: BTreeMap<ScheduleKey, ScheduledEvent>,
    last_serial: u64,
    /// Reused buffer of the policy's actions.
    actions: Vec<Action>,
    /// Reused buffer of the actions to perform, converted to a form without heap data.
    pending_actions: Vec<PolicyAction>,
    /// Requests that have no response yet.
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    /// Where the end of each attempt in flight is in `scheduled`.
    attempt_ends: BTreeMap<AttemptKey, ScheduleKey>,
    /// When each replica that this front end's requests or load orders loaded is unloaded, by function and worker.
    loaded_until: BTreeMap<(usize, usize), Micros>,
    functions_called: BTreeSet<usize>,
    /// The workers of the endpoint list.
    listed: Vec<usize>,
    /// Index of the next new worker that joins the list.
    next_worker: usize,
    unreachable: BTreeSet<usize>,
    /// Workers that lost their replicas when they were disconnected: there the other front ends keep none loaded either.
    restarted: BTreeSet<usize>,
    /// The worker that left at the last change of the list; the next change replaces it and sets this to `None`.
    departed: Option<usize>,
}

fn worker_name(index: usize) -> WorkerId {
    format!("s-{index:08x}")
}

fn worker_index(name: &str) -> usize {
    usize::from_str_radix(&name[2..], 16).expect("a name made by worker_name")
}

/// A new policy for the front end of this index, and the heap bytes that it holds.
fn new_controller(scenario: &Scenario, index: u32, seed: u64) -> (Controller, i64) {
    let mut controller = None;
    let allocated = measure(|| {
        let settings = Settings {
            front_end_index: Some(index),
            ..scenario.settings()
        };
        controller = Some(Controller::new(settings, seed));
    });
    let controller = controller.expect("made by the closure");
    (controller, allocated.bytes_current)
}

impl SimulatedFrontEnd {
    /// A front end of index 0 that has just started and has read the whole endpoint list.
    pub fn new(scenario: &Scenario) -> SimulatedFrontEnd {
        let popularity = Rc::new(FunctionPopularity::new(scenario));
        SimulatedFrontEnd::with_index(scenario, &popularity, 0, START_TIME)
    }

    /// A front end of this index that has started at simulated time `now` and has read the whole endpoint list.
    pub fn with_index(
        scenario: &Scenario,
        popularity: &Rc<FunctionPopularity>,
        index: u32,
        now: Micros,
    ) -> SimulatedFrontEnd {
        let mut front_end = SimulatedFrontEnd::without_endpoints(scenario, popularity, index, now);
        let listed = front_end.listed.clone();
        front_end.update_endpoints(true, &listed, WorkerState::Ready, 0);
        if scenario.requests_per_s > 0.0 {
            let delay = front_end.request_interval();
            front_end.schedule(delay, ScheduledEvent::Request);
        }
        if scenario.endpoint_changes_per_s > 0.0 {
            front_end.schedule_endpoint_change();
        }
        front_end
    }

    fn without_endpoints(
        scenario: &Scenario,
        popularity: &Rc<FunctionPopularity>,
        index: u32,
        now: Micros,
    ) -> SimulatedFrontEnd {
        let seed = scenario
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(u64::from(index));
        let (controller, held_bytes) = new_controller(scenario, index, seed);
        let counts = PolicyCounts {
            held_bytes,
            ..PolicyCounts::default()
        };
        // Large enough never to grow: an allocation for the buffer would be counted as the policy's.
        let buffer_capacity = 256 + 4 * scenario.workers;
        SimulatedFrontEnd {
            scenario: scenario.clone(),
            now,
            counts,
            handling_times: HandlingTimes::default(),
            first_waits: Vec::new(),
            sent_log: None,
            controller,
            popularity: popularity.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            scheduled: BTreeMap::new(),
            last_serial: 0,
            actions: Vec::with_capacity(buffer_capacity),
            pending_actions: Vec::with_capacity(buffer_capacity),
            pending_requests: BTreeMap::new(),
            attempt_ends: BTreeMap::new(),
            loaded_until: BTreeMap::new(),
            functions_called: BTreeSet::new(),
            listed: (0..scenario.workers).collect(),
            next_worker: scenario.workers,
            unreachable: BTreeSet::new(),
            restarted: BTreeSet::new(),
            departed: None,
        }
    }

    /// The workers of the endpoint list.
    pub fn workers(&self) -> &[usize] {
        &self.listed
    }

    /// Number of distinct functions that this front end has had requests for.
    pub fn functions_called(&self) -> usize {
        self.functions_called.len()
    }

    /// Passes an update of the endpoint list to the policy: these workers, as the complete list or as a change to it.
    pub fn update_endpoints(
        &mut self,
        complete: bool,
        workers: &[usize],
        state: WorkerState,
        started_at: Micros,
    ) {
        let scenario = self.scenario.clone();
        let endpoint = |&worker: &usize| scenario.endpoint(worker, state, started_at);
        self.handle(|| Event::EndpointUpdate {
            complete,
            endpoints: workers.iter().map(endpoint).collect(),
        });
    }

    /// Runs the simulation for this much simulated time.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 >= end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.dispatch(event);
        }
        self.now = end;
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Timer(token) => self.handle(|| Event::Timer { token }),
            ScheduledEvent::Request => self.receive_request(),
            ScheduledEvent::EndpointChange => self.change_endpoint(),
            ScheduledEvent::AttemptEnd(end) => self.end_attempt(end),
            ScheduledEvent::LoadOrderEnd(end) => self.end_load_order(end),
        }
    }

    /// Draws a uniform number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws the time until the next request: requests arrive as a Poisson process.
    fn request_interval(&mut self) -> Micros {
        let rate = self.scenario.requests_per_s;
        (-(1.0 - self.uniform()).ln() / rate * SEC as f64) as Micros
    }

    fn schedule(&mut self, delay: Micros, event: ScheduledEvent) -> ScheduleKey {
        self.last_serial += 1;
        let key = (self.now + delay, self.last_serial);
        self.scheduled.insert(key, event);
        key
    }

    fn schedule_endpoint_change(&mut self) {
        let interval = (SEC as f64 / self.scenario.endpoint_changes_per_s) as Micros;
        self.schedule(interval, ScheduledEvent::EndpointChange);
    }

    fn receive_request(&mut self) {
        let interval = self.request_interval();
        self.schedule(interval, ScheduledEvent::Request);
        let uniform = self.uniform();
        let attributes = self.rng.next_u64();
        let function = self.popularity.draw(uniform);
        let first = self.functions_called.insert(function);
        self.counts.requests += 1;
        self.counts.first_requests += u64::from(first);
        let id = self.counts.requests;
        let pending = PendingRequest {
            function,
            arrived_at: self.now,
            first,
            attempts: 0,
        };
        self.pending_requests.insert(id, pending);
        let request = NewRequest {
            id,
            class: (attributes % CLASSES) as usize,
            tenant: Some((attributes >> 8) as usize % TENANTS),
            function: function as u64,
            time_left: REQUEST_TIMEOUT,
            memory_mb: REPLICA_MEMORY_MB,
            concurrency: REPLICA_CONCURRENCY,
            load_time: self.scenario.load_time,
            retry: false,
        };
        self.handle(|| Event::Request(request));
    }

    /// Changes the endpoint list: in turn, a random worker leaves it, and a new worker joins it.
    fn change_endpoint(&mut self) {
        self.schedule_endpoint_change();
        if self.departed.take().is_some() {
            let joined = self.next_worker;
            self.next_worker += 1;
            self.listed.push(joined);
            self.update_endpoints(false, &[joined], WorkerState::Ready, self.now);
            return;
        }
        let position = self.rng.next_u64() as usize % self.listed.len();
        let departed = self.listed.swap_remove(position);
        self.departed = Some(departed);
        self.update_endpoints(false, &[departed], WorkerState::Gone, 0);
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        self.attempt_ends.remove(&(end.request, end.attempt));
        let served = end.outcome == Outcome::Ok;
        if served {
            let request = self.pending_requests.remove(&end.request);
            if let Some(request) = request.filter(|request| request.first) {
                self.first_waits.push(end.sent_at - request.arrived_at);
            }
        }
        let result = AttemptResult {
            id: end.request,
            attempt: end.attempt,
            outcome: end.outcome,
            elapsed: self.now - end.sent_at,
            request_closed: served,
            replica_loaded: end.replica_loaded,
            queue_depth: Some(0),
            in_flight: Some(REPORTED_IN_FLIGHT),
        };
        self.handle(|| Event::AttemptEnded(result));
    }

    fn end_load_order(&mut self, end: LoadOrderEnd) {
        if end.replicas > 0 {
            let replica = (end.function as usize, end.worker);
            let until = self.now + self.scenario.keep_alive;
            self.loaded_until.insert(replica, until);
        }
        let elapsed = self.now - end.sent_at;
        self.handle(|| Event::LoadOrderEnded {
            worker: worker_name(end.worker),
            function: end.function,
            replicas: end.replicas,
            outcome: end.outcome,
            elapsed,
        });
    }

    /// Passes an event to the policy and performs the actions that it returns. Allocations are counted within the policy
    /// only; the bytes held also count the event, which the policy takes over, and the actions, which are dropped here.
    fn handle(&mut self, make_event: impl FnOnce() -> Event) {
        let mut nanoseconds = 0;
        let mut within_policy = AllocationInfo::default();
        let all = measure(|| {
            let event = make_event();
            let kind = time_of_kind(&mut self.handling_times, &event);
            let (controller, actions, now) = (&mut self.controller, &mut self.actions, self.now);
            within_policy = measure(|| {
                let start = Instant::now();
                controller.handle(now, event, actions);
                nanoseconds = start.elapsed().as_nanos() as u64;
            });
            *kind += nanoseconds;
            let actions = self.actions.drain(..).map(PolicyAction::from);
            self.pending_actions.extend(actions);
        });
        self.handling_times.longest = self.handling_times.longest.max(nanoseconds);
        self.counts.events += 1;
        self.counts.allocations += within_policy.count_total;
        self.counts.allocated_bytes += within_policy.bytes_total;
        self.counts.held_bytes += all.bytes_current;
        let mut actions = std::mem::take(&mut self.pending_actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.pending_actions = actions;
    }

    fn perform(&mut self, action: PolicyAction) {
        match action {
            PolicyAction::Send { request, worker } => self.send_attempt(request, worker),
            PolicyAction::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            PolicyAction::Reject(request) => {
                self.counts.rejected += 1;
                let pending = self.pending_requests.remove(&request);
                let first = pending.is_some_and(|pending| pending.first);
                self.counts.first_rejected += u64::from(first);
            }
            PolicyAction::Fail(request) => {
                self.counts.failed += 1;
                self.pending_requests.remove(&request);
            }
            PolicyAction::Timer { delay, token } => {
                self.schedule(delay, ScheduledEvent::Timer(token));
            }
            PolicyAction::Load {
                worker,
                function,
                replicas,
            } => self.send_load_order(worker, function, replicas),
            PolicyAction::Unload { worker, function } => {
                self.counts.unloads += 1;
                self.loaded_until.remove(&(function as usize, worker));
            }
            PolicyAction::Ignored => {}
        }
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: usize) {
        self.counts.cancels += 1;
        let Some(key) = self.attempt_ends.remove(&(request, attempt)) else {
            return;
        };
        if let Some(ScheduledEvent::AttemptEnd(end)) = self.scheduled.remove(&key) {
            let cancelled = AttemptEnd {
                outcome: Outcome::Cancelled,
                replica_loaded: None,
                ..end
            };
            self.schedule_attempt_end(0, cancelled);
        }
    }
}

/// The field of `times` for this kind of event.
fn time_of_kind<'a>(times: &'a mut HandlingTimes, event: &Event) -> &'a mut u64 {
    match event {
        Event::Request(_) => &mut times.requests,
        Event::AttemptEnded(_) => &mut times.attempt_results,
        Event::Timer { .. } | Event::RequestCancelled { .. } => &mut times.timers,
        Event::EndpointUpdate { .. } => &mut times.endpoint_updates,
        Event::LoadOrderEnded { .. } => &mut times.load_results,
    }
}
