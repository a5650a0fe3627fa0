//! Handles the core's timers when they fire.
use super::timers::TimerEvent;
use super::{Core, IDLE_SWEEP_PERIOD};
use crate::model::{Answer, AttemptKey, AttemptReport};
use crate::worker::CancelOutcome;
use std::sync::atomic::Ordering;
use wrenseam_policy::{Event, Outcome};

impl Core {
    /// Handles one timer. Timers are never cancelled, so the attempt, load order or request that it was set for may
    /// have ended already.
    pub(super) fn handle_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::Policy(token) => self.events.push_back(Event::Timer { token }),
            TimerEvent::AttemptTimeout(key) => self.time_out_attempt(key),
            TimerEvent::LoadOrderTimeout(order) => self.time_out_load_order(order),
            TimerEvent::RequestDeadline(id) => self.finish_request(id, Answer::Failed),
            TimerEvent::KeepaliveCheck => self.check_keepalive(),
            TimerEvent::LeaseReview => self.review_leases_periodically(),
            TimerEvent::IdleSweep => self.sweep_idle(),
        }
    }

    /// Ends an attempt whose worker did not respond in time, so that a request does not wait for a worker that failed
    /// without closing its connection.
    fn time_out_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.requests.open_attempt(key) else {
            return;
        };
        let outcome = match self.workers.cancel(attempt.worker(), key) {
            // The attempt provably never ran, so it may be retried even in classes that must not run twice.
            CancelOutcome::NeverStarted => Outcome::ConnectFailed,
            CancelOutcome::PendingConfirmation | CancelOutcome::Unknown => Outcome::Timeout,
        };
        self.handle_attempt_end(key, AttemptReport::without_payload(outcome));
    }

    /// Makes the keepalive check of the connections to workers, and closes idle ones if clients need their descriptors.
    ///
    /// Both are skipped if this thread itself was delayed: what workers sent in the meantime has not been read yet, so
    /// the check would close connections whose workers do respond.
    fn check_keepalive(&mut self) {
        let now = self.clock.now();
        let period = self.limits.keepalive_check_interval;
        if now < self.last_keepalive_check + 2 * period {
            self.workers.check_keepalive();
            let clients = self
                .process_state
                .client_connections
                .load(Ordering::Acquire);
            self.workers
                .trim_idle_connections(0, self.pool_limit(), clients);
        }
        self.last_keepalive_check = now;
        self.timers.set(now + period, TimerEvent::KeepaliveCheck);
    }

    /// Closes idle connections and removes the records of workers that are gone. Workers are replaced continually, so
    /// their records would otherwise accumulate.
    fn sweep_idle(&mut self) {
        self.report_high_memory();
        self.workers.close_idle_connections();
        for id in self.workers.remove_gone() {
            self.membership.forget(&id);
        }
        let next = self.clock.now() + IDLE_SWEEP_PERIOD;
        self.timers.set(next, TimerEvent::IdleSweep);
    }
}
