//! Hedged requests: protect against waiting for a worker that will not answer. If a request may be repeated and its
//! attempt is long overdue, or is at an ejected worker, a second attempt is sent to a free worker. Where two attempts
//! at a time are not allowed, the first is cancelled, and the request is placed again once the attempt has ended.
use crate::action::Action;
use crate::outlier_detection::SILENT_MULTIPLE;
use crate::request::{Attempt, AttemptState, Request};
use crate::settings::Idempotency;
use crate::state::State;
use crate::types::{Micros, RequestId, SECOND};

/// Answers are assumed to be lost for this long after a connection broke.
const LOST_ANSWER_PERIOD: Micros = 5 * SECOND;
/// There is capacity for hedged requests while answers take less than this fraction of the mean latency objective.
const SPARE_CAPACITY_OBJECTIVE_FRACTION: f64 = 0.2;
/// Delay of a hedged request, as a multiple of the attempt's expected time.
const HEDGE_DELAY_MULTIPLE: f64 = 4.0;
/// Lower bound of the delay of a hedged request, as a fraction of the latency objective.
const MIN_HEDGE_DELAY_OBJECTIVE_FRACTION: f64 = 0.5;
/// Delay of a hedged request for an attempt at an ejected worker, as a multiple of the attempt's expected time.
const EJECTED_HEDGE_DELAY_MULTIPLE: f64 = 1.5;

impl State {
    /// Hedges all requests whose attempt is overdue.
    pub(crate) fn hedge_overdue_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let may_hedge_early = self.may_hedge_early(now);
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| self.is_overdue(request, may_hedge_early, now))
            .map(|(id, _)| id)
            .collect();
        for id in overdue {
            self.hedge(id, now, actions);
        }
    }

    /// Whether attempts at workers that are not ejected may be hedged before the worker counts as silent: answers are
    /// being lost, or there is spare capacity.
    fn may_hedge_early(&self, now: Micros) -> bool {
        let are_answers_lost = self.last_reset > 0 && now < self.last_reset + LOST_ANSWER_PERIOD;
        let spare = SPARE_CAPACITY_OBJECTIVE_FRACTION * self.mean_latency_objective();
        self.settings.hedging && (are_answers_lost || self.estimator.answer_time() < spare)
    }

    /// Whether a request has exactly one attempt in flight, which is late, and may have a further one.
    fn is_overdue(&self, request: &Request, may_hedge_early: bool, now: Micros) -> bool {
        let Some(attempt) = request.attempts.last() else {
            return false;
        };
        if attempt.state != AttemptState::Open || request.closed {
            return false;
        }
        let open = request.attempts.iter().filter(|other| other.is_open());
        let is_only = open.count() == 1;
        let has_attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts;
        let may_repeat = self.class(request.class).idempotency != Idempotency::NotIdempotent;
        let waited = now.saturating_sub(attempt.sent_at.max(self.resumed_at)) as f64;
        let is_late = waited > self.hedge_delay(request, attempt, may_hedge_early);
        is_only && is_late && has_attempts_left && may_repeat
    }

    /// Time after which an attempt is hedged, in microseconds.
    fn hedge_delay(&self, request: &Request, attempt: &Attempt, may_hedge_early: bool) -> f64 {
        let longest = SILENT_MULTIPLE * attempt.expected_time;
        let delay = if self.workers[attempt.worker].health.is_ejected() {
            EJECTED_HEDGE_DELAY_MULTIPLE * attempt.expected_time
        } else if may_hedge_early {
            let objective = self.class(request.class).latency_objective as f64;
            (HEDGE_DELAY_MULTIPLE * attempt.expected_time)
                .max(MIN_HEDGE_DELAY_OBJECTIVE_FRACTION * objective)
        } else {
            f64::INFINITY
        };
        delay.min(longest)
    }

    fn hedge(&mut self, id: RequestId, now: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let free = self.free_workers_for(request, now);
        if free.is_empty() || !self.hedge_budget.has_token() {
            return;
        }
        if self.settings.hedging {
            if let Some(worker) = self.random.pick(&free) {
                self.send(now, id, worker, actions);
            }
        } else if self.settings.cancellation {
            self.cancel_last_attempt(id, actions);
        }
        self.hedge_budget.spend();
    }

    fn cancel_last_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let last = request.attempts.len() - 1;
        request.attempts[last].state = AttemptState::Cancelling;
        actions.push(Action::Cancel { id, attempt: last });
    }
}
