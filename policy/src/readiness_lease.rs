//! Readiness leases: how long a confirmation that a worker is ready may be relied on.
//!
//! The endpoint list is only as recent as the last response of the discovery service. By the protocol, a drain counts
//! as reported to this front end a fixed time after it began, even if the event could not be delivered, and new work
//! may be sent to the worker only for the drain grace after that. Each confirmation is therefore a lease that ends
//! within that grace. Each response of the discovery service renews the leases of all workers. While it does not
//! respond, a worker's own lease is renewed when it accepts new work or a health check, and a worker whose lease has
//! ended is suspended: it gets no new work until it answers.
//!
//! Health checks go to the workers that are in use when contact is lost, and to others up to a minimum number.
//! Discovery cannot report restarts meanwhile, so they are inferred: a worker that refused a connection, rejected
//! several health checks in a row or was unconfirmed for too long is treated as a new process when it answers again.
//!
//! No I/O: time is an argument.
use crate::lease::{Lease, REPORTED_AFTER};
use crate::rendezvous;
use crate::settings::Settings;
use crate::types::{Micros, WorkerId, MILLISECOND, SECOND};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Events from before a discovery connection broke count as reported this long after the break.
const REPORTED_AFTER_BREAK: Micros = 2 * SECOND;
/// Events from before a discovery connection went silent count as reported this long after the last response.
const REPORTED_AFTER_SILENCE: Micros = 4 * SECOND;
/// Events from before the discovery service moved count as reported this long after this front end was told to move.
const REPORTED_AFTER_MOVE: Micros = 4 * SECOND;
/// For a process that takes over from another, events from before its start count as reported this long after it.
const REPORTED_AFTER_TAKE_OVER: Micros = 2 * SECOND;
/// Leases are extended by the drain grace divided by this; the rest of the grace is for requests already being sent.
const GRACE_DIVISOR: Micros = 2;
/// Upper bound of the drain grace: a longer one in the settings is reduced to this.
const MAX_GRACE: Micros = SECOND;
/// A worker is sent a health check at the latest this long before its lease ends.
const CHECK_LEAD: Micros = 300 * MILLISECOND;
/// Health checks are sent up to this much earlier, so that the front ends of a fleet do not check a worker all at once.
const CHECK_LEAD_SPREAD: Micros = 600 * MILLISECOND;
/// A health check that was not answered is sent again after this time.
const CHECK_TIMEOUT: Micros = 400 * MILLISECOND;
/// A worker that does not take new work is checked again after this time.
const RECHECK_INTERVAL: Micros = SECOND;
/// Maximum number of health checks that one review sends.
const MAX_CHECKS_PER_REVIEW: usize = 20;
/// A worker counts as in use for this long after it was last sent new work.
const IN_USE_FOR: Micros = 10 * SECOND;
/// While fewer monitored workers than this are usable, further ones are monitored.
const MIN_MONITORED: usize = 16;
/// Maximum number of workers that are monitored by health checks at a time.
const MAX_MONITORED: usize = 256;
/// A worker that was unconfirmed for this long beyond the length of a lease may have restarted.
const MIN_RESTART_TIME: Micros = SECOND;
/// This many rejected health checks in a row indicate a drain; a worker that is only full may reject fewer.
const DRAIN_REJECTED_CHECKS: u32 = 2;

/// Why nothing is received from the discovery service any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The connection that delivered events has ended.
    Broken,
    /// The connection is open but delivers nothing any more.
    Silent,
    /// The service does not answer.
    Unreachable,
    /// The service has moved to another address.
    Moved,
}

impl Interruption {
    /// How long after the interruption events from before it count as reported.
    fn reported_after(self) -> Micros {
        match self {
            Interruption::Broken => REPORTED_AFTER_BREAK,
            Interruption::Silent => REPORTED_AFTER_SILENCE,
            Interruption::Unreachable => REPORTED_AFTER,
            Interruption::Moved => REPORTED_AFTER_MOVE,
        }
    }
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The worker takes new work.
    Accepting,
    /// The worker takes no new work: it is draining or full.
    NotAccepting,
    /// The worker's address refused the connection.
    Refused,
    /// The connection broke, or could not be established for a reason other than a refusal.
    Unreachable,
}

/// Why a worker is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspendReason {
    /// Its lease has ended.
    LeaseEnded,
    /// It rejected a health check.
    NotAccepting,
    /// It refused a connection.
    Refused,
}

/// An action that the caller must take for a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send the worker a health check.
    Check(WorkerId),
    /// Send the worker no new work.
    Suspend {
        /// The worker.
        worker: WorkerId,
        /// Why the worker is suspended.
        reason: SuspendReason,
    },
    /// Send the worker new work again.
    Resume {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker may be a new process whose start discovery could not report.
        may_have_restarted: bool,
    },
}

/// The lease state of a worker that the endpoint list names as ready.
#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// The worker's own confirmation since contact with discovery was lost.
    own_lease: Lease,
    /// When the worker was last sent new work; 0 if never.
    last_used_at: Micros,
    /// Whether the worker gets regular health checks until contact with discovery is regained.
    is_monitored: bool,
    suspended: Option<SuspendReason>,
    /// Health checks that the worker rejected in a row.
    rejected_checks: u32,
    /// When the worker last took no new work; 0 if never. An answer to what was sent up to then does not renew its
    /// lease.
    not_accepting_at: Micros,
    may_have_restarted: bool,
    /// When the worker last refused a connection; `None` once a review has suspended it for that.
    refused_at: Option<Micros>,
    /// Whether a health check is due even if the lease is not about to end or the worker is not monitored.
    needs_check: bool,
    /// No health check is sent before this time.
    next_check_at: Micros,
}

impl WorkerRecord {
    fn is_in_use(&self, now: Micros) -> bool {
        self.last_used_at > 0 && now < self.last_used_at + IN_USE_FOR
    }

    /// Whether the worker is suspended because of what it answered itself, or because its address refused a connection:
    /// that is newer than anything that discovery may still have to report.
    fn has_rejected(&self) -> bool {
        matches!(
            self.suspended,
            Some(SuspendReason::NotAccepting | SuspendReason::Refused)
        )
    }

    /// Resets what was recorded since contact with discovery was lost: discovery has reported all events up to `at`.
    fn contact_regained(&mut self, at: Micros) {
        *self = WorkerRecord {
            last_used_at: self.last_used_at,
            refused_at: self.refused_at.filter(|&refused_at| refused_at > at),
            ..WorkerRecord::default()
        };
    }
}

/// The readiness leases of one front end's workers.
#[derive(Clone, Debug)]
pub struct ReadinessLeases {
    /// The lease that discovery's last confirmation of the endpoint list gives all workers.
    list_lease: Lease,
    /// Whether a discovery service is in use; without one no lease applies.
    has_discovery: bool,
    last_interruption: Micros,
    /// The workers that the endpoint list names as ready.
    workers: BTreeMap<WorkerId, WorkerRecord>,
    health_checks_enabled: bool,
    /// Added to the end of each lease: part of the drain grace.
    grace: Micros,
    /// Gives each front end its own order of workers and times of health checks.
    seed: u64,
}

impl ReadinessLeases {
    /// Starts with no workers. Leases apply from the first call of [`ReadinessLeases::watch_started`],
    /// [`ReadinessLeases::list_confirmed`] or [`ReadinessLeases::interrupted`] on.
    pub fn new(settings: &Settings, seed: u64) -> ReadinessLeases {
        ReadinessLeases {
            list_lease: Lease::default(),
            has_discovery: false,
            last_interruption: 0,
            workers: BTreeMap::new(),
            health_checks_enabled: settings.health_checks,
            grace: settings.drain_grace.min(MAX_GRACE) / GRACE_DIVISOR,
            seed,
        }
    }

    /// Starts watching a discovery service: the endpoint list of the start configuration counts as confirmed at `now`.
    /// The lease is shorter where this process takes over from another.
    pub fn watch_started(&mut self, now: Micros, takes_over: bool) {
        self.has_discovery = true;
        self.list_lease = Lease::new(now);
        if takes_over {
            self.list_lease.ends_at = now + REPORTED_AFTER_TAKE_OVER;
        }
    }

    /// Applies a worker's entry in the endpoint list. A worker that is not ready is forgotten and has no lease.
    pub fn listed(&mut self, worker: &str, is_ready: bool) {
        if !is_ready {
            self.workers.remove(worker);
        } else if !self.workers.contains_key(worker) {
            self.workers
                .insert(worker.to_owned(), WorkerRecord::default());
        }
    }

    /// Whether discovery has not responded for so long that its lease is about to end and workers are checked directly.
    pub fn is_out_of_contact(&self, now: Micros) -> bool {
        self.has_discovery
            && now + CHECK_LEAD + CHECK_LEAD_SPREAD >= self.list_lease.ends_at + self.grace
    }

    /// Number of workers that are suspended now.
    pub fn suspended_count(&self) -> usize {
        let is_suspended = |record: &&WorkerRecord| record.suspended.is_some();
        self.workers.values().filter(is_suspended).count()
    }

    /// When the worker's lease ends, grace included; `None` where no lease applies: no discovery service is in use, or
    /// the worker is not listed as ready.
    pub fn ends_at(&self, worker: &str) -> Option<Micros> {
        let record = self.workers.get(worker).filter(|_| self.has_discovery)?;
        Some(record.own_lease.ends_at.max(self.list_lease.ends_at) + self.grace)
    }

    /// Discovery has reported all events up to `at`: renews all leases and resumes the suspended workers, except those
    /// that have shown themselves that they take no new work, which are checked until they do. Ignored if `at` is before
    /// the last interruption.
    pub fn list_confirmed(&mut self, at: Micros) -> Vec<LeaseAction> {
        self.has_discovery = true;
        if at < self.last_interruption {
            return Vec::new();
        }
        self.list_lease.renew(at);
        let mut actions = Vec::new();
        for (worker, record) in &mut self.workers {
            if record.has_rejected() && self.health_checks_enabled {
                continue;
            }
            if record.suspended.is_some() {
                actions.push(LeaseAction::Resume {
                    worker: worker.clone(),
                    may_have_restarted: false,
                });
            }
            record.contact_regained(at);
        }
        actions
    }

    /// Nothing has been received from discovery since `at`: leases may end sooner, depending on the cause.
    pub fn interrupted(&mut self, at: Micros, cause: Interruption) {
        self.has_discovery = true;
        self.last_interruption = self.last_interruption.max(at);
        let reported_at = at.saturating_add(cause.reported_after());
        self.list_lease.shorten(at, reported_at);
        for record in self.workers.values_mut() {
            record.own_lease.shorten(at, reported_at);
        }
    }

    /// The worker is sent new work: it counts as in use.
    pub fn used(&mut self, worker: &str, now: Micros) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.last_used_at = now;
        }
    }

    /// The worker accepted work or a health check that was sent at `sent_at`: renews its own lease and, if it was
    /// suspended, resumes it. Ignored for other workers while in contact with discovery.
    pub fn accepted(&mut self, worker: &str, sent_at: Micros, now: Micros) -> Option<LeaseAction> {
        if !self.is_observed(worker, now) || sent_at < self.last_interruption {
            return None;
        }
        let list_confirmed_at = self.list_lease.confirmed_at;
        let max_unconfirmed = REPORTED_AFTER + self.grace + MIN_RESTART_TIME;
        let record = self.workers.get_mut(worker)?;
        if sent_at <= record.not_accepting_at {
            return None;
        }
        let last_confirmed_at = record.own_lease.confirmed_at.max(list_confirmed_at);
        let was_unconfirmed_too_long = now > last_confirmed_at.saturating_add(max_unconfirmed);
        record.own_lease.renew(sent_at);
        record.rejected_checks = 0;
        record.needs_check = false;
        record.suspended.take()?;
        Some(LeaseAction::Resume {
            worker: worker.to_owned(),
            may_have_restarted: std::mem::take(&mut record.may_have_restarted)
                || was_unconfirmed_too_long,
        })
    }

    /// The worker's address refused a connection: its process has ended, and the next to answer there may be a new one.
    pub fn refused(&mut self, worker: &str, now: Micros) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.refused_at = Some(now);
        }
    }

    /// The worker rejected work, or a connection to it failed or broke: it may be draining, full or gone, so the next
    /// review checks it. Ignored while in contact with discovery.
    pub fn suspected(&mut self, worker: &str, now: Micros) {
        if !self.is_out_of_contact(now) {
            return;
        }
        if let Some(record) = self.workers.get_mut(worker) {
            record.needs_check = true;
        }
    }

    /// A health check that was sent at `sent_at` has ended. While in contact with discovery ignored unless the worker is
    /// suspended.
    pub fn check_ended(
        &mut self,
        worker: &str,
        sent_at: Micros,
        result: HealthCheckResult,
        now: Micros,
    ) -> Option<LeaseAction> {
        if !self.is_observed(worker, now) {
            return None;
        }
        let reason = match result {
            HealthCheckResult::Accepting => return self.accepted(worker, sent_at, now),
            HealthCheckResult::NotAccepting => SuspendReason::NotAccepting,
            HealthCheckResult::Refused => SuspendReason::Refused,
            HealthCheckResult::Unreachable => return None, // the check is sent again after CHECK_TIMEOUT
        };
        let record = self.workers.get_mut(worker)?;
        record.not_accepting_at = record.not_accepting_at.max(sent_at);

        record.needs_check = false;
        record.next_check_at = now + RECHECK_INTERVAL;
        if reason == SuspendReason::NotAccepting {
            record.rejected_checks += 1;
        }
        record.may_have_restarted |=
            reason == SuspendReason::Refused || record.rejected_checks >= DRAIN_REJECTED_CHECKS;
        let was_suspended = record.suspended.replace(reason).is_some();
        (!was_suspended).then(|| LeaseAction::Suspend {
            worker: worker.to_owned(),
            reason,
        })
    }

    /// Whether the worker's own answers count: while out of contact with discovery, and as long as it is suspended.
    fn is_observed(&self, worker: &str, now: Micros) -> bool {
        let record = self.workers.get(worker);
        self.is_out_of_contact(now) || record.is_some_and(|record| record.suspended.is_some())
    }

    /// Suspends the workers whose leases have ended or that refused a connection, and returns the health checks that
    /// are due. While in contact with discovery only suspended workers are checked. To be called periodically.
    pub fn review(&mut self, now: Micros) -> Vec<LeaseAction> {
        if !self.is_out_of_contact(now) {
            return self.checks_due_to(now, WorkerRecord::has_rejected);
        }
        self.choose_monitored(now);
        let mut actions = self.suspend_refused(now);
        actions.extend(self.suspend_expired(now));
        if self.health_checks_enabled {
            actions.extend(self.checks_due(now));
        }
        actions
    }

    /// Chooses the workers to monitor by health checks: those in use, the most recently used first, then others up to
    /// the minimum, in an order that differs between front ends.
    fn choose_monitored(&mut self, now: Micros) {
        let monitored = self.workers.values().filter(|record| record.is_monitored);
        let room = MAX_MONITORED.saturating_sub(monitored.clone().count());
        let usable = monitored
            .filter(|record| record.suspended.is_none())
            .count();
        let missing = MIN_MONITORED.saturating_sub(usable);
        let seed = self.seed;
        let mut candidates: Vec<(&WorkerId, &mut WorkerRecord)> = self
            .workers
            .iter_mut()
            .filter(|(_, record)| !record.is_monitored && (missing > 0 || record.is_in_use(now)))
            .collect();
        let in_use = candidates
            .iter()
            .filter(|(_, record)| record.is_in_use(now))
            .count();
        candidates.sort_by_cached_key(|(worker, record)| {
            let used_at = record.is_in_use(now).then_some(record.last_used_at);
            (Reverse(used_at), rendezvous::weight(seed, worker))
        });
        for (_, record) in candidates.into_iter().take(missing.max(in_use).min(room)) {
            record.is_monitored = true;
        }
    }

    /// Suspends the workers that refused a connection after discovery's last confirmation, until they answer again.
    fn suspend_refused(&mut self, now: Micros) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        for (worker, record) in &mut self.workers {
            if record.refused_at.take().is_none() {
                continue;
            }
            record.may_have_restarted = true;
            record.not_accepting_at = now;
            record.needs_check = true;
            let reason = SuspendReason::Refused;
            if record.suspended.replace(reason).is_none() {
                actions.push(LeaseAction::Suspend {
                    worker: worker.clone(),
                    reason,
                });
            }
        }
        actions
    }

    fn suspend_expired(&mut self, now: Micros) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        for (worker, record) in &mut self.workers {
            let ends_at = record.own_lease.ends_at.max(self.list_lease.ends_at) + self.grace;
            if record.suspended.is_none() && now >= ends_at {
                let reason = SuspendReason::LeaseEnded;
                record.suspended = Some(reason);
                actions.push(LeaseAction::Suspend {
                    worker: worker.clone(),
                    reason,
                });
            }
        }
        actions
    }

    /// The health checks that are due: those requested by [`ReadinessLeases::suspected`] or a refusal first, then by
    /// the end of the worker's lease.
    fn checks_due(&mut self, now: Micros) -> Vec<LeaseAction> {
        self.checks_due_to(now, |record| record.needs_check || record.is_monitored)
    }

    /// The health checks that are due to workers that `is_checked` selects.
    fn checks_due_to(
        &mut self,
        now: Micros,
        is_checked: impl Fn(&WorkerRecord) -> bool,
    ) -> Vec<LeaseAction> {
        let (list_ends_at, grace, seed) = (self.list_lease.ends_at, self.grace, self.seed);
        let mut due: Vec<(bool, Micros, &WorkerId, &mut WorkerRecord)> = Vec::new();
        for (worker, record) in &mut self.workers {
            if !is_checked(record) {
                continue;
            }
            let ends_at = record.own_lease.ends_at.max(list_ends_at) + grace;
            let lead = CHECK_LEAD + rendezvous::weight(seed, worker) % CHECK_LEAD_SPREAD;
            let is_late = record.suspended.is_some() || now + lead >= ends_at;
            let is_due = record.needs_check || is_late;
            if is_due && now >= record.next_check_at {
                due.push((!record.needs_check, ends_at, worker, record));
            }
        }
        due.sort_by_key(|(is_routine, ends_at, ..)| (*is_routine, *ends_at));
        due.truncate(MAX_CHECKS_PER_REVIEW);
        due.into_iter()
            .map(|(_, _, worker, record)| {
                record.next_check_at = now + CHECK_TIMEOUT;
                record.needs_check = false;
                LeaseAction::Check(worker.clone())
            })
            .collect()
    }
}
