//! Passes events to the policy and carries out the actions that it returns.
use super::log_lines::LogLine;
use super::timers::TimerEvent;
use super::Core;
use crate::model::{Answer, AttemptKey};
use wrenseam_policy::{Action, Micros};

impl Core {
    /// Passes the queued events to the policy and carries out its actions in order until no event is left, including
    /// the events that the actions themselves queue.
    pub(super) fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let decided_at = self.clock.now();
            self.controller.handle(decided_at, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(decided_at, action);
            }
        }
    }

    fn execute(&mut self, decided_at: Micros, action: Action) {
        match action {
            Action::Send {
                id,
                worker,
                timeout,
                retry_window,
            } => {
                // Measured from the policy's decision, as this thread may have been delayed since then.
                let write_deadline = retry_window
                    .map(|window| self.clock.instant(decided_at.saturating_add(window)));
                self.send_attempt(id, worker, timeout, write_deadline);
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(AttemptKey {
                request: id,
                attempt,
            }),
            Action::Reject { id, retry_after } => {
                self.finish_request(id, Answer::Rejected { retry_after });
            }
            Action::Fail { id } => self.finish_request(id, Answer::Failed),
            Action::Timer { delay, token } => self.set_policy_timer(delay, token),
            Action::Load {
                worker,
                function,
                replicas,
            } => self.order_load(worker, function, replicas),
            Action::Unload { worker, function } => self.order_unload(&worker, function),
            Action::Log { text } => log_limited!("{}", LogLine::Policy(&text)),
            Action::WatchEndpoints => {} // the discovery client watches the endpoint lists from the start
        }
    }

    fn set_policy_timer(&mut self, delay: Micros, token: u64) {
        let at = self.clock.now().saturating_add(delay);
        self.timers.set(at, TimerEvent::Policy(token));
    }
}
