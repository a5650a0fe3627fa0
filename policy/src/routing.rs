//! Routing as docs/design.md describes it: a request goes to a uniformly random worker among those with a free replica.
//! If there is none, that is a loss: the request goes to the worker with a loaded replica that has the fewest of this
//! front end's requests, or waits for a replica. All other rules here are safeguards; their comments name what they
//! protect against.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::polling::{LookupStep, LOOKUP_INTERVAL, MAX_POLLED_WORKERS};
use crate::request::Request;
use crate::settings::Idempotency;
use crate::state::State;
use crate::types::{Micros, RequestId};

/// Fraction of the time until its deadline for which a request waits for a replica while no worker could execute it:
/// after that, a rejection that leaves the client time to retry is better than further waiting.
const MAX_WAITING_SHARE: f64 = 0.45;
/// Number of attempts rejected or not delivered after which no further worker is tried.
const MAX_REJECTED_ATTEMPTS: usize = 3;
/// Number of errors, of attempts or of load orders, after which requests for a function that no worker has served are
/// given up.
const MAX_ERRORS_OF_UNKNOWN_FUNCTION: u32 = 2;
/// Steps per request in flight in which estimated loads are compared: smaller differences count as ties.
const LOAD_STEPS_PER_REQUEST: f64 = 16.0;

impl State {
    /// Sends a request to a worker, lets it wait for a replica, or gives its final answer if no attempt may be made.
    pub(crate) fn place(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.unanswered(id) else {
            return;
        };
        if request.has_open_attempt() {
            return;
        }
        if self.must_give_up(request, now) {
            return self.finish(id, actions);
        }
        let function = request.function;
        let would_be_new_loss = !(request.lost || request.is_retry);
        if let Some(worker) = self.pick_worker(id, now) {
            if would_be_new_loss {
                self.handle_inferred_loss(function, id, now, actions);
            }
            return self.send(now, id, worker, actions);
        }
        self.record_loss(function, id, would_be_new_loss, now);
        if let Some(worker) = self.least_loaded_worker(id, now) {
            if would_be_new_loss {
                self.add_replica(function, now, Some(id), actions);
            }
            return self.send(now, id, worker, actions);
        }
        if let Some(&worker) = self.common_workers(id, now, MAX_POLLED_WORKERS).first() {
            return self.send(now, id, worker, actions);
        }
        self.wait_for_replica(now, id, actions);
    }

    /// Tries again to place the waiting requests of one function, or of all functions if `only` is `None`.
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

    /// Whether the request gets its final answer now because no further attempt may be made.
    fn must_give_up(&self, request: &Request, now: Micros) -> bool {
        let idempotency = self.class(request.class).idempotency;
        let must_not_repeat =
            request.may_have_executed() && idempotency == Idempotency::NotIdempotent;
        // Protects workers from requests for a function that none of them has: each would answer with an error.
        let is_unknown = request.errors >= MAX_ERRORS_OF_UNKNOWN_FUNCTION
            && !self.functions[request.function].has_been_served();
        // The deadline is checked here too, since an attempt's timeout may come just before the deadline's timer, and
        // no client would wait for a further attempt.
        now >= request.deadline
            || request.rejected_attempts() >= MAX_REJECTED_ATTEMPTS
            || request.attempts.len() as u32 >= self.settings.max_attempts
            || must_not_repeat
            || is_unknown
    }

    /// A uniformly random worker among those with a free replica and, in a large fleet, the [`State::common_workers`].
    fn pick_worker(&mut self, id: RequestId, now: Micros) -> Option<WorkerIndex> {
        let request = self.requests.get(id)?;
        let function = request.function;
        let mut workers = self.free_workers_for(request, now);
        let spread = self.spread_of(function);
        let mut common = self.common_workers(id, now, spread);
        // A worker that has just started has nothing loaded: it would load a function that is already loaded elsewhere.
        let has_free_worker = !workers.is_empty();
        common.retain(|&worker| !has_free_worker || self.capacity_share(worker, now).is_none());
        workers.extend(common);
        self.random.pick(&workers)
    }

    /// Exception to the design while several front ends share the workers: other front ends' requests occupy replicas
    /// too, but are not visible to this one. If the expected requests of all front ends exceed the slots of all known
    /// replicas, the request counts as lost although a replica looks free.
    fn handle_inferred_loss(
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
            self.functions[function].last_loss = now;
            self.add_replica(function, now, Some(id), actions);
        }
    }

    /// Records that a request found no free replica; `is_new` if that counts as a loss of its function. A request that
    /// was lost before, or that its client marked as a retry, does not count again.
    fn record_loss(&mut self, function: FunctionIndex, id: RequestId, is_new: bool, now: Micros) {
        if is_new {
            self.functions[function].last_loss = now;
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.lost = true;
        }
    }

    /// The worker with a loaded replica that has the fewest of this front end's requests for the function. Ties go to
    /// the worker with the lowest estimated load, weighted by its health: in a large fleet most workers have none of
    /// this front end's requests.
    fn least_loaded_worker(&self, id: RequestId, now: Micros) -> Option<WorkerIndex> {
        let request = self.requests.get(id)?;
        let function = &self.functions[request.function];
        let load = |worker: WorkerIndex| {
            let known = &self.workers[worker];
            let in_flight = self.estimator.in_flight_at(known, now);
            (in_flight * known.health.score() * LOAD_STEPS_PER_REQUEST) as u64
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

    /// Exception to the design in a large fleet: each front end sees too few requests of a function to know where it is
    /// loaded, and polls by a hundred front ends cost more than they tell. All front ends prefer workers in the same
    /// order, so the first usable ones are where other front ends send their requests; this front end sends its own
    /// there too, and the answers report whether a replica is loaded. Returns those of the first `max_workers` usable
    /// workers at which no replica is known yet and this front end's requests do not fill one.
    fn common_workers(
        &mut self,
        id: RequestId,
        now: Micros,
        max_workers: usize,
    ) -> Vec<WorkerIndex> {
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
            .take(max_workers)
            .filter(|&worker| takes_first_requests(worker))
            .collect()
    }

    /// Number of common workers that the requests of a function are spread over: grows with the queue depths that
    /// workers reported for this front end's requests. A fractional number is rounded up or down at random.
    fn spread_of(&mut self, function: FunctionIndex) -> usize {
        let spread = self.functions[function].spread();
        if spread <= 1.0 {
            return 1;
        }
        (spread + self.random.fraction()) as usize
    }

    /// Lets a request wait for a replica, and has one found or loaded.
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

    /// Protects against holding a request until its client can no longer use the answer.
    fn has_waited_too_long(&self, request: &Request, now: Micros) -> bool {
        let waited = now.saturating_sub(request.arrived_at) as f64;
        let life = (request.deadline - request.arrived_at) as f64;
        waited > MAX_WAITING_SHARE * life && request.only_found_function_not_loaded()
    }

    /// Protects workers and the load budget from requests for functions that no worker knows: orders to load them fail
    /// at once.
    fn are_load_orders_failing(&self, function: FunctionIndex, now: Micros) -> bool {
        self.functions[function].orders_fail(MAX_ERRORS_OF_UNKNOWN_FUNCTION, now, LOOKUP_INTERVAL)
    }

    /// Orders one more replica if those being loaded do not suffice for the waiting requests.
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
        // No order may be given (budget, limit or settings): if workers load missing functions on demand, the request
        // itself is sent to have the function loaded.
        if self.settings.load_on_demand && self.load_limiter.is_below_limit() {
            if let Some(worker) = self.worker_for_replica(index, now, Some(id)) {
                self.send(now, id, worker, actions);
            }
        }
    }
}
