//! The life cycle of a request: its arrival, the ends of its attempts, and its deadline.
use crate::action::Action;
use crate::admission::Arrival;
use crate::event::{AttemptResult, NewRequest, Outcome};
use crate::function::Function;
use crate::index::FunctionIndex;
use crate::outlier_detection::AttemptEnd;
use crate::request::{Attempt, Request};
use crate::state::{State, MAX_DURATION};
use crate::types::{Micros, RequestId, MILLISECOND};
use crate::worker::OpenAttempt;

/// The final answer is given this long before the client gives up.
const ANSWER_MARGIN: Micros = 8 * MILLISECOND;
/// Upper bound of the requests that one replica runs concurrently.
const MAX_CONCURRENCY: u32 = 1024;

/// The token of a request's deadline timer: odd, since the housekeeping timer's is 0.
fn deadline_token(id: RequestId) -> u64 {
    id << 1 | 1
}

/// The request whose deadline timer has this token.
pub(crate) fn request_of_deadline_token(token: u64) -> RequestId {
    token >> 1
}

impl State {
    /// Handles a client's new request: admits and places it, or rejects it. Ignored if its id is already in use.
    pub(crate) fn request_arrived(
        &mut self,
        now: Micros,
        new: &NewRequest,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.contains(new.id) {
            return;
        }
        let class = new.class.min(self.settings.classes.len() - 1);
        let function = self.function_called(now, new, class);
        let tenant = self.estimator.count_tenant(new.tenant);
        self.hedge_budget.earn();
        self.poll_budget.earn();
        let time_left = new.time_left.min(MAX_DURATION);
        let deadline = now + time_left.saturating_sub(ANSWER_MARGIN);
        let request = Request {
            function,
            class,
            tenant,
            arrived_at: now,
            deadline,
            is_retry: new.retry,
            lost: false,
            closed: false,
            errors: 0,
            speculative: false,
            attempts: Vec::new(),
        };
        self.requests.insert(new.id, request);
        let arrival = Arrival {
            class,
            tenant,
            function,
            time_left,
        };
        if !self.is_admitted(new.id, &arrival, now) {
            return self.finish(new.id, actions);
        }
        self.admitted(now, new.id, function, deadline, actions);
    }

    fn is_admitted(&mut self, id: RequestId, arrival: &Arrival, now: Micros) -> bool {
        arrival.time_left > ANSWER_MARGIN
            && !self.is_deadline_unreachable(id, arrival.time_left, now)
            && !self.is_shed(arrival)
    }

    fn admitted(
        &mut self,
        now: Micros,
        id: RequestId,
        function: FunctionIndex,
        deadline: Micros,
        actions: &mut Vec<Action>,
    ) {
        // Rule 1: this timer ends the request before its deadline, whatever else happens.
        actions.push(Action::Timer {
            delay: deadline - now,
            token: deadline_token(id),
        });
        if self.draw_virtual_loss(function, now) {
            self.functions[function].last_loss = now;
            self.add_replica(function, now, None, actions);
        }
        self.place(now, id, actions);
    }

    /// Updates the state of the called function, and adds the function if it is new.
    fn function_called(&mut self, now: Micros, new: &NewRequest, class: usize) -> FunctionIndex {
        let service_time = self.estimator.class_service_time(class);
        let load_time = new.load_time.min(MAX_DURATION) as f64;
        if self.functions.find(new.function).is_none() {
            self.make_room_for_function();
        }
        let index = self.functions.find_or_insert(new.function, || {
            Function::new(new.function, service_time, load_time)
        });
        let function = &mut self.functions[index];
        if new.memory_mb.is_finite() && new.memory_mb > 0.0 {
            function.memory_mb = new.memory_mb;
        }
        function.concurrency = new.concurrency.clamp(1, MAX_CONCURRENCY);
        function.called(now, class, new.retry);
        let lifetime = self.replica_lifetime(index);
        let function = &mut self.functions[index];
        for replica in function.replicas.values_mut() {
            if replica.count() > 0 {
                replica.extend(lifetime);
            }
        }
        // Rule 5 lets the load budget grow only with the requests of the regular clients, not with those of unknown
        // tenants. A request for a function that no worker has served may be one of the latter, so it does not count
        // before the function is served.
        if function.has_been_served() {
            self.load_budget.count_request(now);
        } else {
            function.add_uncounted_request(now);
        }
        index
    }

    /// Handles a deadline timer: gives the request its final answer unless it has one.
    pub(crate) fn deadline_passed(
        &mut self,
        now: Micros,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| now >= request.deadline) {
            self.finish(id, actions);
        }
    }

    /// Handles the end of an attempt: updates the state of its worker, and closes the request or places it again.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(result.id) else {
            return;
        };
        let Some(attempt) = request.end_attempt(result.attempt, result.outcome) else {
            return;
        };
        let function = request.function;
        let class = request.class;
        let tenant = request.tenant;
        self.release_attempt(function, &attempt, result);
        self.update_worker_after_attempt(now, function, &attempt, result, tenant, class);
        if result.outcome == Outcome::Ok {
            self.estimator.count_served();
            self.function_served(result.id, function);
        }
        let is_closed = self
            .requests
            .get(result.id)
            .is_none_or(|request| request.closed);
        if result.request_closed || is_closed {
            self.close(result.id, actions);
        } else {
            self.place(now, result.id, actions);
        }
        self.place_waiting(Some(function), now, actions);
    }

    /// Updates what is known of a worker and of its replicas by the end of an attempt.
    fn update_worker_after_attempt(
        &mut self,
        now: Micros,
        function: FunctionIndex,
        attempt: &Attempt,
        result: &AttemptResult,
        tenant: Option<usize>,
        class: usize,
    ) {
        let worker = attempt.worker;
        let is_current_process = attempt.sent_at >= self.workers[worker].endpoint.started_at;
        if self.workers[worker].is_ready() && is_current_process {
            if result.outcome == Outcome::Ok {
                self.workers[worker].rejections.served(tenant, class);
            }
            self.update_replica_after_attempt(now, function, attempt, result);
        }
        if result.outcome == Outcome::Rejected {
            self.attempt_rejected(worker, tenant, class, now);
        }
        if let Some(in_flight) = result.in_flight.filter(|in_flight| in_flight.is_finite()) {
            self.workers[worker].report_load(now, in_flight.max(0.0));
            self.estimator.load_report_received();
        }
        if is_current_process {
            let end = AttemptEnd {
                outcome: result.outcome,
                elapsed: result.elapsed,
                needed_load: match result.replica_loaded {
                    Some(was_loaded) => !was_loaded,
                    None => attempt.loads_function,
                },
            };
            self.record_attempt_end(now, function, attempt, &end);
        }
    }

    /// Removes the attempt from all counts of what is in flight.
    fn release_attempt(
        &mut self,
        function: FunctionIndex,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        self.workers[attempt.worker]
            .open_attempts
            .remove(&OpenAttempt {
                sent_at: attempt.sent_at,
                request: result.id,
                attempt: result.attempt,
            });
        self.replica_mut(function, attempt.worker)
            .attempt_ended(attempt.loads_function);
        if attempt.loads_function {
            self.load_limiter.ended();
        }
    }

    /// Updates what is known of the function's replicas at the worker by the end of an attempt.
    fn update_replica_after_attempt(
        &mut self,
        now: Micros,
        index: FunctionIndex,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        let expires_at = now + self.replica_lifetime(index);
        let replica = self.replica_mut(index, attempt.worker);
        match result.outcome {
            Outcome::Ok => replica.served(now, expires_at),
            Outcome::NotLoaded => replica.mark_unloaded(),
            _ => {}
        }
        if let Some(queue_depth) = result.queue_depth {
            let own = attempt.own_in_flight.saturating_sub(1);
            replica.queue_reported(now, queue_depth, own);
        }
        let found_replica = result.outcome == Outcome::Ok && result.replica_loaded != Some(false);
        if result.outcome == Outcome::Rejected || found_replica {
            let queue_depth = f64::from(result.queue_depth.unwrap_or(0));
            self.functions[index].adjust_spread(queue_depth);
        }
    }

    /// A request of the function was served: its earlier requests now count for the load budget too. Otherwise a
    /// process that has just started, to which every function is new, would have no budget for loads.
    fn function_served(&mut self, id: RequestId, function: FunctionIndex) {
        self.end_speculation(id, true);
        let earlier = self.functions[function].served();
        self.load_budget.count_earlier_requests(earlier);
    }
}
