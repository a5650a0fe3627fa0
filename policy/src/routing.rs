//! Routing, the ordinary path of the design (docs/design.md): a request goes to a uniformly random worker among those
//! with a free replica. Finding none is a loss: it joins the loaded worker with the fewest of this front end's requests,
//! or waits for a replica. Everything else here is a guard, and says what it guards against.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::polling::{LookupStep, POLLED_WORKERS, POLL_INTERVAL};
use crate::request::Request;
use crate::settings::Idempotency;
use crate::state::State;
use crate::types::{Micros, RequestId};

/// Part of its life that a request waits with no attempt made: with none by then, a rejection while the client has time
/// to retry is worth more than a place in the queue.
const WAITING_PART: f64 = 0.45;
/// Attempts that were certainly not executed after which no further worker is tried.
const MOST_REJECTED_ATTEMPTS: usize = 3;
/// Errors after which requests of a function never served here end.
const MOST_ERRORS_OF_UNKNOWN_FUNCTION: u32 = 2;
/// Steps of an estimated load of 1 in which loaded workers are compared.
const LOAD_STEPS: f64 = 16.0;

impl State {
    /// Sends a request, or leaves it waiting until a replica is due, or ends it if nothing more can be done.
    pub(crate) fn place(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.owed(id) else {
            return;
        };
        if request.has_open_attempt() {
            return;
        }
        if self.is_exhausted(request, now) {
            return self.finish(id, actions);
        }
        let function = request.function;
        let is_fresh_loss = !(request.lost || request.is_retry);
        if let Some(worker) = self.pick_worker(id, now) {
            if is_fresh_loss {
                self.answer_unseen_loss(function, id, now, actions);
            }
            return self.send(now, id, worker, actions);
        }
        self.record_loss(function, id, is_fresh_loss, now);
        if let Some(worker) = self.least_loaded_worker(id, now) {
            if is_fresh_loss {
                self.add_replica(function, now, Some(id), actions);
            }
            return self.send(now, id, worker, actions);
        }
        if let Some(&worker) = self.common_workers(id, now, POLLED_WORKERS).first() {
            return self.send(now, id, worker, actions);
        }
        self.wait_for_replica(now, id, actions);
    }

    /// Places the waiting requests of one function, or of all, again.
    pub(crate) fn place_waiting(
        &mut self,
        only: Option<FunctionIndex>,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        for id in self.functions.waiting_requests(only) {
            self.place(now, id, actions);
        }
    }

    /// Whether no further attempt may be made.
    fn is_exhausted(&self, request: &Request, now: Micros) -> bool {
        let idempotency = self.class(request.class).idempotency;
        let must_not_repeat =
            request.may_have_executed() && idempotency == Idempotency::NotIdempotent;
        // Guards workers against requests that none of them can use: each answers them with an error.
        let is_unknown = request.errors >= MOST_ERRORS_OF_UNKNOWN_FUNCTION
            && !self.functions[request.function].is_known_to_load();
        // The deadline guards against a request for nobody: an attempt's time-out may come just before its timer.
        now >= request.deadline
            || request.rejected_attempts() >= MOST_REJECTED_ATTEMPTS
            || request.attempts.len() as u32 >= self.settings.max_attempts
            || must_not_repeat
            || is_unknown
    }

    /// A random worker among those with a free replica and, in a large fleet, the common workers.
    fn pick_worker(&mut self, id: RequestId, now: Micros) -> Option<WorkerIndex> {
        let request = self.requests.get(id)?;
        let function = request.function;
        let mut workers = self.free_workers_for(request, now);
        let spread = self.spread_of(function);
        let mut common = self.common_workers(id, now, spread);
        // A worker that has just started has nothing loaded, and would have to load what is loaded elsewhere.
        let has_free_worker = !workers.is_empty();
        common.retain(|&worker| !has_free_worker || self.capacity_share(worker, now).is_none());
        workers.extend(common);
        self.random.pick(&workers)
    }

    /// Exception to the design while several front ends share the workers: others' requests take replicas too. If they
    /// are as many as this front end's of late, all replicas known here are taken: a loss that cannot be seen.
    fn answer_unseen_loss(
        &mut self,
        function: FunctionIndex,
        id: RequestId,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let called = &self.functions[function];
        let replicas = called.replicas.values();
        let loaded = replicas.filter(|replica| replica.is_loaded(now)).count();
        let slots = loaded as f64 * f64::from(called.concurrency);
        if self.is_shared() && self.fleet_calls(function, called.service_time) > slots {
            self.functions[function].last_lost = now;
            self.add_replica(function, now, Some(id), actions);
        }
    }

    /// A marked retry is no fresh loss: the first attempt was counted.
    fn record_loss(&mut self, function: FunctionIndex, id: RequestId, is_fresh: bool, now: Micros) {
        if is_fresh {
            self.functions[function].last_lost = now;
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.lost = true;
        }
    }

    /// The loaded worker with the fewest of this front end's requests for the function. Ties go to the least loaded by
    /// all accounts: in a large fleet this front end's are mostly none.
    fn least_loaded_worker(&self, id: RequestId, now: Micros) -> Option<WorkerIndex> {
        let request = self.requests.get(id)?;
        let function = &self.functions[request.function];
        let load = |worker: WorkerIndex| {
            let known = &self.workers[worker];
            let in_flight = self.estimator.in_flight_at(known, now);
            (in_flight * known.health.score() * LOAD_STEPS) as u64
        };
        function
            .replicas
            .iter()
            .filter(|(&worker, replica)| {
                replica.is_loaded(now)
                    && self.is_usable(worker, request.class, now)
                    && self.may_go_to(request, worker, now)
            })
            .map(|(&worker, replica)| (replica.own_in_flight(), load(worker), worker))
            .min()
            .map(|(_, _, worker)| worker)
    }

    /// Exception to the design in a large fleet: each front end sees too little of a function to know where it is
    /// loaded, and a hundred that poll cost more than they learn. All prefer alike, so the first workers that may be
    /// used are where others' requests go: this one's go there too, and their answers tell. So many at most, of which
    /// no replica is known yet.
    fn common_workers(&mut self, id: RequestId, now: Micros, most: usize) -> Vec<WorkerIndex> {
        if !self.is_large_fleet() || !self.settings.load_on_demand {
            return Vec::new();
        }
        let Some(index) = self.requests.get(id).map(|request| request.function) else {
            return Vec::new();
        };
        let preferred = self.preferred_workers(index);
        let Some(request) = self.requests.get(id) else {
            return Vec::new();
        };
        let function = &self.functions[index];
        let is_eligible = |worker: WorkerIndex| {
            self.is_usable(worker, function.class, now)
                && !self.is_ejected(worker)
                && now >= self.workers[worker].no_memory_until
                && self.may_go_to(request, worker, now)
        };
        let takes_first_requests = |worker: WorkerIndex| {
            function.replicas.get(&worker).is_none_or(|replica| {
                !replica.is_loaded(now) && replica.own_in_flight() < function.concurrency
            })
        };
        preferred
            .into_iter()
            .filter(|&worker| is_eligible(worker))
            .take(most)
            .filter(|&worker| takes_first_requests(worker))
            .collect()
    }

    /// How many common workers the requests of a function are spread over: more, the deeper the queues at its workers
    /// were when this front end's came. What is between two numbers is left to chance.
    fn spread_of(&mut self, function: FunctionIndex) -> usize {
        let spread = self.functions[function].spread();
        if spread <= 1.0 {
            return 1;
        }
        (spread + self.random.fraction()) as usize
    }

    /// Leaves a request waiting for a replica, and sees to it that one comes.
    fn wait_for_replica(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let function = request.function;
        if self.has_waited_too_long(request, now) || self.are_load_orders_failing(function, now) {
            return self.finish(id, actions);
        }
        self.functions.wait(function, id);
        match self.next_lookup_step(id, now) {
            LookupStep::TryAt(worker) => return self.send(now, id, worker, actions),
            LookupStep::AwaitOther => return,
            LookupStep::Poll => {
                if self.poll_workers(function, now, actions) {
                    return;
                }
            }
            LookupStep::Load => {}
        }
        self.load_for_waiting(now, id, function, actions);
    }

    /// Guards against keeping a request until nobody can use its answer.
    fn has_waited_too_long(&self, request: &Request, now: Micros) -> bool {
        let waited = now.saturating_sub(request.arrived_at) as f64;
        let life = (request.deadline - request.arrived_at) as f64;
        waited > WAITING_PART * life && request.met_only_missing_functions()
    }

    /// Guards workers and the load budget against requests of what no worker knows: orders to load it fail at once.
    fn are_load_orders_failing(&self, function: FunctionIndex, now: Micros) -> bool {
        self.functions[function].orders_fail(MOST_ERRORS_OF_UNKNOWN_FUNCTION, now, POLL_INTERVAL)
    }

    /// Orders one more replica where those on their way do not suffice for the waiting requests.
    fn load_for_waiting(
        &mut self,
        now: Micros,
        id: RequestId,
        index: FunctionIndex,
        actions: &mut Vec<Action>,
    ) {
        let function = &self.functions[index];
        let waiting = function.waiting.len() as u32;
        let replicas = function.replicas.values();
        let loading = replicas.filter(|replica| replica.is_loading()).count() as u32;
        if waiting <= loading * function.concurrency.max(2) {
            return;
        }
        if self.add_replica(index, now, Some(id), actions) || loading > 0 {
            return;
        }
        // No order may be given (budget, limit or settings): where requests load by themselves, this one does.
        if self.settings.load_on_demand && self.load_limiter.is_below_limit() {
            if let Some(worker) = self.worker_for_replica(index, now, Some(id)) {
                self.send(now, id, worker, actions);
            }
        }
    }
}
