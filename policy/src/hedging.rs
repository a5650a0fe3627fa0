//! Hedged requests: guards against waiting out a worker that will not answer. A request that may be repeated and whose
//! attempt is long overdue, or is at an ejected worker, goes to a free worker as well; where two attempts at once are
//! not allowed, it is cancelled first and placed again when that is confirmed.
use crate::action::Action;
use crate::outlier_detection::SILENT_MULTIPLE;
use crate::request::{Attempt, AttemptState, Request};
use crate::settings::Idempotency;
use crate::state::State;
use crate::types::{Micros, RequestId, SECOND};

/// A broken connection within this time shows that answers get lost as well.
const LOSS_MEMORY: Micros = 5 * SECOND;
/// Where answers take less than this part of the latency objectives there is capacity for hedged requests.
const SPARE_CAPACITY: f64 = 0.2;
/// A hedged request follows after this multiple of the attempt's expected time, ...
const PATIENCE: f64 = 4.0;
/// ... and after this part of the latency objective at the least.
const LEAST_PATIENCE: f64 = 0.5;
/// The same multiple for an attempt at an ejected worker.
const PATIENCE_WITH_EJECTED: f64 = 1.5;

impl State {
    /// Hedges all requests for which that is due.
    pub(crate) fn hedge_overdue_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let may_hedge = self.may_hedge(now);
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| self.is_overdue(request, may_hedge, now))
            .map(|(id, _)| id)
            .collect();
        for id in overdue {
            self.hedge(id, now, actions);
        }
    }

    /// Whether sound workers' attempts may be hedged: answers get lost, or there is capacity to spare.
    fn may_hedge(&self, now: Micros) -> bool {
        let answers_get_lost = self.last_reset > 0 && now < self.last_reset + LOSS_MEMORY;
        let spare = SPARE_CAPACITY * self.mean_latency_objective();
        self.settings.hedging && (answers_get_lost || self.estimator.answer_time() < spare)
    }

    /// Whether a request has just one attempt in flight, which is late, and may have another.
    fn is_overdue(&self, request: &Request, may_hedge: bool, now: Micros) -> bool {
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
        let is_late = waited > self.patience(request, attempt, may_hedge);
        is_only && is_late && has_attempts_left && may_repeat
    }

    /// How long an attempt is waited for before it is hedged, in microseconds.
    fn patience(&self, request: &Request, attempt: &Attempt, may_hedge: bool) -> f64 {
        let longest = SILENT_MULTIPLE * attempt.expected;
        let patience = if self.workers[attempt.worker].health.is_ejected() {
            PATIENCE_WITH_EJECTED * attempt.expected
        } else if may_hedge {
            let objective = self.class(request.class).latency_objective as f64;
            (PATIENCE * attempt.expected).max(LEAST_PATIENCE * objective)
        } else {
            f64::INFINITY
        };
        patience.min(longest)
    }

    fn hedge(&mut self, id: RequestId, now: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let free = self.free_workers_for(request, now);
        if free.is_empty() || !self.retry_budget.has_token() {
            return;
        }
        if self.settings.hedging {
            if let Some(worker) = self.random.pick(&free) {
                self.send(now, id, worker, actions);
            }
        } else if self.settings.cancellation {
            self.cancel_last_attempt(id, actions);
        }
        self.retry_budget.spend();
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
