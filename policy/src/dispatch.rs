//! Sending attempts, and the one final answer of each request.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::placement::Placement;
use crate::request::{Attempt, AttemptState};
use crate::retry::retry_window;
use crate::state::{State, DEFAULT_SPAN};
use crate::types::{Micros, RequestId, MILLISECOND};
use crate::worker::OpenAttempt;
use crate::worker_health::TRIAL_INTERVAL;

/// The shortest time that an attempt gets.
const LEAST_TIMEOUT: Micros = MILLISECOND;
/// The least time that an answer is expected to take, in microseconds.
pub(crate) const MIN_EXPECTED_TIME: f64 = 10.0 * MILLISECOND as f64;
/// Part of the longest Retry-After that clients are advised of.
const RETRY_AFTER_DIVISOR: Micros = 2;

impl State {
    /// Sends an attempt of a request to a worker.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let timeout = request.deadline.saturating_sub(now).max(LEAST_TIMEOUT);
        let class = request.class;
        let retry_window = retry_window(request, self.class(class), now);
        let function = request.function;
        self.functions.stop_waiting(function, id);
        self.record_attempt(now, id, function, worker);
        let in_slow_start = self.capacity_share(worker, now).is_some();
        if in_slow_start {
            let weight = self.request_weight(class);
            self.workers[worker].slow_start.spend(now, weight);
        }
        let worker = &mut self.workers[worker];
        worker.health.schedule_trial(now + TRIAL_INTERVAL);
        actions.push(Action::Send {
            id,
            worker: worker.endpoint.worker.clone(),
            timeout,
            retry_window,
        });
    }

    fn record_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        function: FunctionIndex,
        worker: WorkerIndex,
    ) {
        let is_known = self
            .replica(function, worker)
            .is_some_and(|replica| replica.is_loaded(now) || replica.is_load_ordered());
        let loads_function = !is_known && self.settings.load_on_demand;
        let called = &self.functions[function];
        let load_time = if is_known {
            0.0
        } else {
            called.load_time.max(DEFAULT_SPAN as f64)
        };
        let expected = called.service_time.max(MIN_EXPECTED_TIME) + load_time;
        let own_in_flight = self
            .replica_mut(function, worker)
            .attempt_sent(loads_function);
        if loads_function {
            self.load_limiter.started();
        }
        let placement = Placement::of(&self.workers[worker].endpoint);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.attempts.push(Attempt {
            worker,
            placement,
            sent_at: now,
            expected,
            loads_function,
            own_in_flight,
            state: AttemptState::Open,
        });
        self.workers[worker].open_attempts.insert(OpenAttempt {
            sent_at: now,
            request: id,
            attempt: request.attempts.len() - 1,
        });
    }

    /// The one final answer: rejected where nothing can have been executed, failed otherwise. What is still in flight
    /// is cancelled, so that workers that can stop do.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.owed(id) else {
            return;
        };
        let answer = if request.may_have_executed() {
            Action::Fail { id }
        } else {
            Action::Reject {
                id,
                retry_after: self.settings.max_retry_after / RETRY_AFTER_DIVISOR,
            }
        };
        actions.push(answer);
        self.close(id, actions);
    }

    /// A client cancelled its request. It does not count for the load budget either.
    pub(crate) fn request_cancelled(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(id) {
            let arrived_at = request.arrived_at;
            self.functions[request.function].forget_uncounted_request(arrived_at);
            self.load_budget.uncount_request(arrived_at);
        }
        self.close(id, actions);
    }

    /// Ends a request's record, or leaves it until its attempts have ended; those in flight are cancelled.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.end_speculation(id, false);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.closed = true;
        self.functions.stop_waiting(request.function, id);
        if self.settings.cancellation {
            for (number, attempt) in request.attempts.iter_mut().enumerate() {
                if attempt.state == AttemptState::Open {
                    attempt.state = AttemptState::Cancelling;
                    actions.push(Action::Cancel {
                        id,
                        attempt: number,
                    });
                }
            }
        }
        if !request.has_open_attempt() {
            self.requests.remove(id);
        }
    }

    /// The end of a request that may have been sent although its answer was not likely in time; counts once.
    pub(crate) fn end_speculation(&mut self, id: RequestId, in_time: bool) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !std::mem::take(&mut request.speculative) {
            return;
        }
        self.functions[request.function].speculation_ended(in_time);
        if in_time {
            self.answer_times[request.class].trial_succeeded();
        }
    }
}
