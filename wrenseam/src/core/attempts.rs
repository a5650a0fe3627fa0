//! Sends, cancels and ends attempts.
use super::log_lines::LogLine;
use super::timers::TimerEvent;
use super::Core;
use crate::model::{Answer, AttemptKey, AttemptReport, Milestone, Request};
use crate::worker::{AttemptLimits, CancelOutcome};
use std::sync::atomic::Ordering;
use std::time::Instant;
use wrenseam_policy::{AttemptResult, Event, Idempotency, Micros, Outcome};

impl Core {
    /// Sends an attempt. If it cannot be handed to a transport it ends at once, with an outcome that proves that it
    /// never ran.
    ///
    /// `timeout` 0 means that the attempt may use all of the request's remaining time. If the attempt is a retry of one
    /// that may have run, `write_deadline` is the time by which it must have been written completely.
    pub(super) fn send_attempt(
        &mut self,
        id: u64,
        worker: String,
        timeout: Micros,
        write_deadline: Option<Instant>,
    ) {
        let now = self.clock.now();
        let Some(request) = self.requests.request(id).cloned() else {
            return;
        };
        let has_connection = self.ensure_connection_available(&worker, Some(request.wire_id));
        let response_timeout = self.effective_timeout(now, &request, timeout);
        let admitted = self.admit_attempt(now, id);
        let Some(key) = self.requests.start_attempt(id, worker.clone(), now) else {
            return;
        };
        // The front sets this flag before the core receives the message that the client has gone.
        let client_gone = request.client_gone.load(Ordering::Acquire);
        let start_deadline = self.lease_end(&worker);
        let startable = admitted && response_timeout > 0 && !client_gone;
        let is_executed_elsewhere = startable && !self.claim_execution(id, request.wire_id, now);
        match self.workers.ready_transport(&worker) {
            // No connection is free. Reported as a rejection by the worker, so that the policy avoids it for a while.
            Some(_) if !has_connection => {
                self.end_attempt(key, AttemptReport::without_payload(Outcome::Rejected));
            }
            Some(_) if is_executed_elsewhere => {
                self.answer(id, Answer::Failed);
                self.finish_attempt(key, Outcome::NotSent);
            }
            Some(transport) if startable => {
                let limits = AttemptLimits {
                    response_timeout,
                    write_deadline,
                    start_deadline,
                };
                let timeline = &request.timeline;
                timeline.reach(Milestone::AttemptQueued, Instant::now());
                transport.send(key, &request, limits);
                self.leases.used(&worker, now);
                self.requests.mark_handed_over(key);
                self.request_counters.record_attempt_sent();
                let timeout_at = now.saturating_add(response_timeout);
                self.timers.set(timeout_at, TimerEvent::AttemptTimeout(key));
            }
            _ => self.finish_attempt(key, Outcome::NotSent),
        }
    }

    /// Records that a request is about to be sent if it must not be executed twice. Returns false if another process of
    /// this front end has sent one with the same id.
    fn claim_execution(&mut self, id: u64, wire_id: u64, now: Micros) -> bool {
        !self.must_run_once(id) || self.executed_ids.claim(wire_id, now)
    }

    /// Whether the request's class must never be executed twice.
    fn must_run_once(&self, id: u64) -> bool {
        let class = self.requests.class(id);
        let class = class.and_then(|class| self.settings.classes.get(class));
        class.is_some_and(|class| class.idempotency == Idempotency::NotIdempotent)
    }

    /// How long an attempt may take: its timeout (0: none) or the request's remaining time, whichever is shorter.
    fn effective_timeout(&self, now: Micros, request: &Request, timeout: Micros) -> Micros {
        let time_left = self.time_left(now, request);
        match timeout {
            0 => time_left,
            timeout => timeout.min(time_left),
        }
    }

    /// Whether the fleet's retry budget allows the request's next attempt. The first attempt is always allowed.
    fn admit_attempt(&mut self, now: Micros, id: u64) -> bool {
        let extra = self.requests.was_attempted(id);
        self.fleet_admission
            .as_mut()
            .is_none_or(|fleet_admission| fleet_admission.admit_attempt(now, extra))
    }

    /// Cancels an attempt. If it may have started and its request is unanswered, it stays open until its transport
    /// reports its end or its timeout fires, as the attempt that replaces it must not run at the same time.
    pub(super) fn cancel_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.requests.open_attempt(key) else {
            return;
        };
        let is_unanswered = !self.requests.is_answered(key.request);
        match self.workers.cancel(attempt.worker(), key) {
            CancelOutcome::NeverStarted => self.finish_attempt(key, Outcome::NotSent),
            CancelOutcome::PendingConfirmation if is_unanswered => {}
            CancelOutcome::PendingConfirmation | CancelOutcome::Unknown => {
                self.finish_attempt(key, Outcome::Cancelled)
            }
        }
    }

    /// Ends an attempt that its transport reported or that timed out, and carries out the policy's actions at once.
    pub(super) fn handle_attempt_end(&mut self, key: AttemptKey, report: AttemptReport) {
        self.end_attempt(key, report);
        self.process_events();
        self.remove_if_finished(key.request);
    }

    /// Ends an attempt without a response while an action is carried out. The policy handles the end after the
    /// remaining actions.
    fn finish_attempt(&mut self, key: AttemptKey, outcome: Outcome) {
        self.end_attempt(key, AttemptReport::without_payload(outcome));
        self.remove_if_finished(key.request);
    }

    /// Ends an attempt and queues the end as an event for the policy. The first successful attempt answers the request.
    /// An attempt that has already ended is ignored.
    fn end_attempt(&mut self, key: AttemptKey, report: AttemptReport) {
        let Some(attempt) = self.requests.close_attempt(key) else {
            return;
        };
        let elapsed = self.clock.now().saturating_sub(attempt.started_at());
        let worker = attempt.worker().to_owned();
        let sent_at = attempt.started_at();
        let not_written = matches!(report.outcome, Outcome::ConnectFailed | Outcome::NotSent);
        if attempt.handed_over() && not_written {
            self.request_counters.record_attempt_not_sent();
        }
        if report.outcome.proves_not_executed() {
            self.forget_executed(key.request);
        }
        self.log_attempt_end(key, &worker, report.outcome, elapsed);
        self.update_lease(&worker, sent_at, report.outcome);
        if let (Outcome::Ok, Some(payload)) = (report.outcome, report.payload) {
            self.answer(key.request, Answer::Served(payload));
        }
        self.events.push_back(Event::AttemptEnded(AttemptResult {
            id: key.request,
            attempt: key.attempt,
            outcome: report.outcome,
            elapsed,
            request_closed: self.requests.is_answered(key.request),
            replica_loaded: report.replica_loaded,
            queue_depth: report.queue_depth,
            in_flight: None,
        }));
    }

    /// Records that a request that must not be executed twice was not executed. It has no other attempt that may have
    /// been, as the policy retries only after such an end.
    fn forget_executed(&mut self, id: u64) {
        if !self.must_run_once(id) {
            return;
        }
        if let Some(wire_id) = self.requests.request(id).map(|request| request.wire_id) {
            self.executed_ids.remove(wire_id);
        }
    }

    /// Logs the end of an attempt that neither succeeded nor was cancelled.
    fn log_attempt_end(&self, key: AttemptKey, worker: &str, outcome: Outcome, elapsed: Micros) {
        if matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
            return;
        }
        let Some(request) = self.requests.request(key.request) else {
            return;
        };
        let line = LogLine::AttemptNotServed {
            wire_id: request.wire_id,
            attempt: key.attempt,
            worker,
            outcome,
            elapsed,
        };
        log_limited!("{line}");
    }
}
