//! Applies readiness leases: sends health checks, feeds the leases with the results of checks and of other work, and
//! suspends and resumes workers.
use super::log_lines::LogLine;
use super::timers::TimerEvent;
use super::Core;
use crate::model::{Endpoint, TransportProtocol};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;
use wrenseam_policy::readiness_lease::{HealthCheckResult, LeaseAction};
use wrenseam_policy::{Micros, Outcome, WorkerId};

/// How often leases are reviewed.
pub(super) const LEASE_REVIEW_PERIOD: Micros = 100_000;

/// A health check that is unanswered for this long is abandoned. A worker may queue a check like a request.
const HEALTH_CHECK_TIMEOUT: Micros = 3_000_000;

/// A health check that is still unanswered.
#[derive(Clone, Debug)]
struct HealthCheck {
    worker: WorkerId,
    sent_at: Micros,
}

/// The unanswered health checks, by the core's number, and the number of checks sent.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    /// Numbers increase, so the first entry is the oldest check.
    open: BTreeMap<u64, HealthCheck>,
    /// Checks sent since the start of this process.
    pub(super) sent: u64,
}

impl Core {
    /// Reviews the leases and sets the timer of the next review.
    pub(super) fn review_leases_periodically(&mut self) {
        self.review_leases();
        let next = self.clock.now() + LEASE_REVIEW_PERIOD;
        self.timers.set(next, TimerEvent::LeaseReview);
    }

    /// Reviews the leases first if the last review is long overdue, as this process may have been stopped meanwhile and
    /// leases may have ended.
    pub(super) fn review_overdue_leases(&mut self) {
        if self.clock.now() > self.leases_reviewed_at + 2 * LEASE_REVIEW_PERIOD {
            self.review_leases();
            self.process_events();
        }
    }

    /// Suspends workers whose leases have ended, and sends the health checks that are due.
    fn review_leases(&mut self) {
        let now = self.clock.now();
        self.leases_reviewed_at = now;
        self.abandon_overdue_checks(now);
        let actions = self.leases.review(now);
        self.apply_lease_actions(actions);
    }

    /// The latest time at which new work may be started at a worker; `None` if no lease applies to it. A worker whose
    /// lease has already ended is suspended by this call.
    pub(super) fn lease_end(&mut self, worker: &str) -> Option<Instant> {
        let ends_at = self.leases.ends_at(worker)?;
        if ends_at <= self.clock.now() {
            self.review_leases();
        }
        Some(self.clock.instant(ends_at))
    }

    fn abandon_overdue_checks(&mut self, now: Micros) {
        while let Some(check) = self.health_checks.open.first_entry() {
            if now < check.get().sent_at + HEALTH_CHECK_TIMEOUT {
                return;
            }
            let (number, check) = check.remove_entry();
            self.workers.abandon_health_check(&check.worker, number);
        }
    }

    /// Carries out the actions that a change of the leases requires.
    pub(super) fn apply_lease_actions(&mut self, actions: impl IntoIterator<Item = LeaseAction>) {
        let mut changes = Vec::new();
        for action in actions {
            match action {
                LeaseAction::Check(worker) => self.check_health(worker),
                LeaseAction::Suspend { worker, reason } => {
                    let worker_id = &worker;
                    log_limited!("{}", LogLine::Suspended { worker_id, reason });
                    changes.extend(self.membership.suspend(&worker));
                }
                LeaseAction::Resume {
                    worker,
                    may_have_restarted,
                } => {
                    let worker_id = &worker;
                    log_limited!(
                        "{}",
                        LogLine::Resumed {
                            worker_id,
                            may_have_restarted
                        }
                    );
                    let restarted_at = may_have_restarted.then(|| self.clock.now());
                    changes.extend(self.membership.resume(&worker, restarted_at));
                }
            }
        }
        self.apply_readiness_changes(changes);
    }

    fn check_health(&mut self, worker: WorkerId) {
        let number = self.next_number();
        if !self.ensure_connection_available(&worker, None) {
            return;
        }
        let Some(transport) = self.workers.transport(&worker) else {
            return;
        };
        transport.check_health(number);
        self.health_checks.sent += 1;
        let sent_at = self.clock.now();
        let check = HealthCheck { worker, sent_at };
        self.health_checks.open.insert(number, check);
    }

    /// Passes the result of a health check to the leases. A check that has already ended or was abandoned is ignored.
    pub(super) fn end_health_check(&mut self, number: u64, result: HealthCheckResult) {
        let Some(check) = self.health_checks.open.remove(&number) else {
            return;
        };
        let now = self.clock.now();
        let HealthCheck { worker, sent_at } = check;
        let action = self.leases.check_ended(&worker, sent_at, result, now);
        self.apply_lease_actions(action);
    }

    /// Updates a worker's lease from the outcome of new work that was sent to it at `sent_at`.
    pub(super) fn update_lease(&mut self, worker: &str, sent_at: Micros, outcome: Outcome) {
        let now = self.clock.now();
        match outcome {
            Outcome::Ok => {
                let action = self.leases.accepted(worker, sent_at, now);
                self.apply_lease_actions(action);
            }
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Reset => {
                self.leases.suspected(worker, now);
            }
            _ => {}
        }
    }

    /// Updates the leases of the workers at this address after a connection to it ended or was refused. An end is
    /// ignored while discovery still reports, which renews the leases.
    pub(super) fn handle_worker_connection_end(&mut self, address: SocketAddr, refused: bool) {
        let now = self.clock.now();
        if !refused && !self.leases.is_out_of_contact(now) {
            return;
        }
        for endpoint in self.workers.endpoints() {
            if endpoint.address != address {
                continue;
            }
            if refused {
                self.leases.refused(&endpoint.id, now);
            } else {
                self.leases.suspected(&endpoint.id, now);
            }
        }
    }

    /// Updates the leases after changes of the discovery service's list. Workers of another source get no leases, as
    /// they are listed by a file that does not change.
    pub(super) fn sync_leases(&mut self, source: TransportProtocol, changed: &BTreeSet<WorkerId>) {
        if source != TransportProtocol::Frames {
            return;
        }
        for worker in changed {
            let is_ready = self.membership.is_listed_ready(worker);
            self.leases.listed(worker, is_ready);
        }
    }
}

/// The ids of these endpoints, each once.
pub(super) fn ids<'a>(endpoints: impl IntoIterator<Item = &'a Endpoint>) -> BTreeSet<WorkerId> {
    let id = |endpoint: &Endpoint| endpoint.id.clone();
    endpoints.into_iter().map(id).collect()
}
