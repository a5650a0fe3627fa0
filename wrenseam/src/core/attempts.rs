//! Attempts: how they are sent, called off, and how they end.
use super::peers::Peer;
use super::{Answer, Attempt, AttemptKey, AttemptReport, Core, Due};
use crate::worker::{AttemptLimits, CancelOutcome};
use std::sync::atomic::Ordering;
use std::time::Instant;
use wrenseam_policy::{Event, Micros, Outcome, WorkerState};

impl Core {
    /// An attempt ended, and the module hears of it at once.
    pub(super) fn ended(&mut self, key: AttemptKey, report: AttemptReport) {
        self.end(key, report);
        self.decide();
        self.forget(key.request);
    }

    /// The end of an attempt, once: reports of an attempt that has ended already are dropped. The module hears
    /// of it as its next event.
    pub(super) fn end(&mut self, key: AttemptKey, report: AttemptReport) {
        let (id, attempt) = (key.request, key.attempt);
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = open.attempts.get_mut(attempt).filter(|a| a.open) else {
            return;
        };
        out.open = false;
        if out.carried && matches!(report.outcome, Outcome::ConnectFailed | Outcome::NotSent) {
            self.tally.unsent();
        }
        let elapsed = self.clock.now().saturating_sub(out.sent);
        let AttemptReport {
            outcome,
            replica_loaded: warm,
            queue_depth: crowd,
            payload,
        } = report;
        if let (Outcome::Ok, Some(payload)) = (outcome, payload) {
            self.answer(id, Answer::Served(payload));
        }
        let (closed, inflight) = (self.requests.get(&id).is_none_or(|o| o.answered), None);
        self.events.push_back(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            elapsed,
            request_closed: closed,
            replica_loaded: warm,
            queue_depth: crowd,
            in_flight: inflight,
        });
    }

    /// Calls an attempt off. While its request is owed an answer it stays open until its worker has been told: what the
    /// module sends in its place must not be out beside it.
    pub(super) fn cancel(&mut self, key: AttemptKey) {
        let Some(open) = self.requests.get(&key.request) else {
            return;
        };
        let Some(attempt) = open.attempts.get(key.attempt).filter(|a| a.open) else {
            return;
        };
        let owed = !open.answered;
        let peer = self.peers.get_mut(&attempt.worker);
        let outcome = match peer.map_or(CancelOutcome::Unknown, |p| p.cancel(key)) {
            CancelOutcome::NeverStarted => Outcome::NotSent,
            CancelOutcome::PendingConfirmation if owed => return, // its report follows; its time-out should that stay out
            CancelOutcome::PendingConfirmation | CancelOutcome::Unknown => Outcome::Cancelled,
        };
        self.end(key, AttemptReport::without_payload(outcome));
        self.forget(key.request);
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        id: u64,
        worker: String,
        (timeout, whole_by): (Micros, Option<Instant>),
    ) {
        let room = self.room(&worker);
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let key = AttemptKey {
            request: id,
            attempt: open.attempts.len(),
        };
        let request = open.request.clone();
        let left = self.left(now, &request);
        let budget = if timeout == 0 {
            left
        } else {
            timeout.min(left)
        };
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let extra = !open.attempts.is_empty();
        // The fleet's retry budget: an extra attempt that it refuses is moot, as one to a worker that is not.
        let allowed = self.gate.as_mut().is_none_or(|g| g.attempt(now, extra));
        open.attempts.push(Attempt {
            worker: worker.clone(),
            sent: now,
            open: true,
            carried: false,
        });
        let ready = |p: &&mut Peer| p.endpoint.state == WorkerState::Ready;
        match self.peers.get_mut(&worker).filter(ready) {
            // Nothing ran, and this worker is left alone for a while.
            Some(_) if !room => self.end(key, AttemptReport::without_payload(Outcome::Rejected)),
            // (A client that left is known to its front before it is told here.)
            Some(peer)
                if !open.request.client_gone.load(Ordering::Acquire) && budget > 0 && allowed =>
            {
                peer.transport.send(
                    key,
                    &open.request,
                    AttemptLimits {
                        answer_timeout: budget,
                        write_deadline: whole_by,
                    },
                );
                if let Some(attempt) = open.attempts.last_mut() {
                    attempt.carried = true;
                }
                self.tally.sent();
                self.timers
                    .set(now.saturating_add(budget), Due::Attempt(key));
            }
            _ => {
                self.end(key, AttemptReport::without_payload(Outcome::NotSent));
                self.forget(id);
            }
        }
    }
}
