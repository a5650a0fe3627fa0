//! Sends attempts, and gives each request its one final answer.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::placement::Placement;
use crate::request::{Attempt, AttemptState};
use crate::retry::retry_window;
use crate::state::{State, MIN_ASSUMED_LOAD_TIME};
use crate::types::{Micros, RequestId, MILLISECOND};
use crate::worker::OpenAttempt;
use crate::worker_health::TRIAL_INTERVAL;

/// Shortest timeout of an attempt.
const MIN_TIMEOUT: Micros = MILLISECOND;
/// Lower bound of the time that an answer is expected to take, in microseconds.
pub(crate) const MIN_EXPECTED_TIME: f64 = 10.0 * MILLISECOND as f64;
/// Clients are advised to wait for the longest Retry-After divided by this.
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
        let timeout = request.deadline.saturating_sub(now).max(MIN_TIMEOUT);
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
            called.load_time.max(MIN_ASSUMED_LOAD_TIME as f64)
        };
        let expected_time = called.service_time.max(MIN_EXPECTED_TIME) + load_time;
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
            expected_time,
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

    /// Gives the one final answer: rejected if no attempt can have been executed, failed otherwise. Attempts still in
    /// flight are cancelled, so that workers that support it stop executing them.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.unanswered(id) else {
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

    /// A client cancelled its request. The request no longer counts for the load budget.
    pub(crate) fn request_cancelled(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(id) {
            let arrived_at = request.arrived_at;
            self.functions[request.function].remove_uncounted_request(arrived_at);
            self.load_budget.remove_request(arrived_at);
        }
        self.close(id, actions);
    }

    /// Closes a request: cancels its attempts in flight if the settings allow it, and removes its record once none is
    /// open.
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

    /// Records whether a speculative request was answered in time, once per request; has no effect on other requests.
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
