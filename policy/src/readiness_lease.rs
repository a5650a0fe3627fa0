//! Readiness leases: how long what is known of a worker's readiness may be acted on.
//!
//! The endpoint list states what discovery knew when it last responded. A drain that it could not report counts as
//! reported after a fixed span all the same, so each statement is a lease that ends before that. Discovery renews the
//! leases of all workers whenever it responds. While it is not, a worker renews its own by taking new work or by
//! answering a health check, and one whose lease has ended is suspended: it gets nothing new until it answers.
//!
//! Health checks go to the workers in use when contact is lost, and to some more. What discovery cannot report of a
//! restart is inferred: a worker that refused connections, turned checks away or was out of sight may be a new process
//! when it answers again, and is taken for one.
//!
//! No I/O: time is an argument.
use crate::rendezvous;
use crate::settings::Settings;
use crate::types::{Micros, WorkerId, MILLISECOND, SECOND};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// What happens counts as reported so long after it, received or not.
const REPORTED_AFTER: Micros = 7 * SECOND;
/// What happened before a connection broke counts as reported so long after the break, ...
const REPORTED_AFTER_BREAK: Micros = 2 * SECOND;
/// ... before it fell silent, so long after the last response, ...
const REPORTED_AFTER_SILENCE: Micros = 4 * SECOND;
/// ... and before discovery moved, so long after the signal.
const REPORTED_AFTER_MOVE: Micros = 4 * SECOND;
/// To a process that takes over from another, what happens counts as reported so long after its start.
const REPORTED_AFTER_TAKE_OVER: Micros = 2 * SECOND;
/// The part of the drain grace by which leases are longer, as a divisor: the rest is for what is under way.
const GRACE_DIVISOR: Micros = 2;
/// The longest grace that is used.
const LONGEST_GRACE: Micros = SECOND;
/// A worker is checked so long before its lease ends, ...
const CHECK_LEAD: Micros = 300 * MILLISECOND;
/// ... and up to so much sooner, so that a fleet does not check a worker all at once.
const CHECK_LEAD_SPREAD: Micros = 600 * MILLISECOND;
/// An unanswered check is sent again after this.
const CHECK_TIMEOUT: Micros = 400 * MILLISECOND;
/// A worker that does not take new work is checked again after this.
const RECHECK: Micros = SECOND;
/// Health checks sent in one review at the most.
const CHECKS_PER_REVIEW: usize = 20;
/// A worker is in use for so long after it was last sent new work.
const IN_USE_FOR: Micros = 10 * SECOND;
/// Workers that are kept checked at the least, and at the most.
const LEAST_KEPT: usize = 16;
const MOST_KEPT: usize = 256;
/// A worker that was out of sight for so long beyond its lease may have restarted.
const RESTART_TIME: Micros = SECOND;
/// So many checks turned away one after another are a drain, fewer may be a full worker.
const CHECKS_OF_A_DRAIN: u32 = 2;

/// Why nothing is received from discovery any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// A connection on which events came has ended.
    Broken,
    /// A connection stays open and carries nothing more.
    Silent,
    /// Nobody answers.
    Unreachable,
    /// Discovery is at another address now.
    Moved,
}

impl Interruption {
    /// How long after the interruption what happened before it counts as reported.
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
    /// It takes none: it drains, or is full.
    NotAccepting,
    /// Its address refused the connection.
    Refused,
    /// The connection broke or could not be established.
    Unreachable,
}

/// Why a worker is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspendReason {
    /// Its lease has ended.
    LeaseEnded,
    /// It takes no new work.
    NotAccepting,
    /// It refused a connection.
    Refused,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send the worker a health check.
    Check(WorkerId),
    /// Send it nothing new.
    Suspend {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: SuspendReason,
    },
    /// It may be sent new work again.
    Resume {
        /// The worker.
        worker: WorkerId,
        /// Whether it may be a new process that discovery could not report.
        may_have_restarted: bool,
    },
}

/// A statement that a worker takes new work.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    /// When it was true.
    confirmed_at: Micros,
    /// What happened after that may count as reported from then on.
    ends_at: Micros,
}

impl Lease {
    fn new(confirmed_at: Micros) -> Lease {
        Lease {
            confirmed_at,
            ends_at: confirmed_at.saturating_add(REPORTED_AFTER),
        }
    }

    fn renew(&mut self, confirmed_at: Micros) {
        if confirmed_at > self.confirmed_at {
            *self = Lease::new(confirmed_at);
        }
    }

    /// What happened before `at` counts as reported at `reported_at`.
    fn shorten(&mut self, at: Micros, reported_at: Micros) {
        if self.confirmed_at < at {
            self.ends_at = self.ends_at.min(reported_at);
        }
    }
}

/// What is known of a worker that the list names as ready.
#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// What the worker itself stated since contact was lost.
    own: Lease,
    last_used_at: Micros,
    /// Whether it is kept checked until contact is regained.
    is_kept: bool,
    suspended: Option<SuspendReason>,
    /// Checks that it turned away one after another.
    checks_turned_away: u32,
    /// Statements of before this time do not count: it turned new work away then.
    not_accepting_at: Micros,
    may_have_restarted: bool,
    /// When it last refused a connection, until that has been taken into account.
    refused_at: Option<Micros>,
    /// A check is wanted at once.
    is_in_doubt: bool,
    next_check_at: Micros,
}

impl WorkerRecord {
    fn is_in_use(&self, now: Micros) -> bool {
        self.last_used_at > 0 && now < self.last_used_at + IN_USE_FOR
    }

    /// Forgets what belongs to a loss of contact: discovery has reported all that had happened at `at`.
    fn contact_regained(&mut self, at: Micros) {
        *self = WorkerRecord {
            last_used_at: self.last_used_at,
            refused_at: self.refused_at.filter(|&refused_at| refused_at > at),
            ..WorkerRecord::default()
        };
    }
}

/// The leases of one front end's workers.
#[derive(Clone, Debug)]
pub struct ReadinessLeases {
    /// What discovery stated of all workers.
    list: Lease,
    /// Whether there is a discovery service that could report drains.
    is_followed: bool,
    last_interruption: Micros,
    workers: BTreeMap<WorkerId, WorkerRecord>,
    may_check: bool,
    /// By how much leases are longer.
    grace: Micros,
    seed: u64,
}

impl ReadinessLeases {
    /// No leases yet. They apply from the first contact or interruption on.
    pub fn new(settings: &Settings, seed: u64) -> ReadinessLeases {
        ReadinessLeases {
            list: Lease::default(),
            is_followed: false,
            last_interruption: 0,
            workers: BTreeMap::new(),
            may_check: settings.health_checks,
            grace: settings.drain_grace.min(LONGEST_GRACE) / GRACE_DIVISOR,
            seed,
        }
    }

    /// A discovery service is followed from now on, and the start configuration states what it has reported. Whether
    /// this process takes over from another.
    pub fn watch_started(&mut self, now: Micros, takes_over: bool) {
        self.is_followed = true;
        self.list = Lease::new(now);
        if takes_over {
            self.list.ends_at = now + REPORTED_AFTER_TAKE_OVER;
        }
    }

    /// The list names a worker: as ready, or as one that gets nothing new.
    pub fn listed(&mut self, worker: &str, is_ready: bool) {
        if !is_ready {
            self.workers.remove(worker);
        } else if !self.workers.contains_key(worker) {
            self.workers
                .insert(worker.to_owned(), WorkerRecord::default());
        }
    }

    /// Whether so much time has passed since discovery last responded that workers are asked themselves.
    pub fn is_out_of_contact(&self, now: Micros) -> bool {
        self.is_followed && now + CHECK_LEAD + CHECK_LEAD_SPREAD >= self.list.ends_at + self.grace
    }

    /// How many workers are suspended.
    pub fn suspended_count(&self) -> usize {
        let is_suspended = |record: &&WorkerRecord| record.suspended.is_some();
        self.workers.values().filter(is_suspended).count()
    }

    /// Until when a worker may be sent new work by what is known of it; `None` where no lease applies to it.
    pub fn ends_at(&self, worker: &str) -> Option<Micros> {
        let record = self.workers.get(worker).filter(|_| self.is_followed)?;
        Some(record.own.ends_at.max(self.list.ends_at) + self.grace)
    }

    /// Discovery has reported all that had happened at `at`.
    pub fn list_confirmed(&mut self, at: Micros) -> Vec<LeaseAction> {
        self.is_followed = true;
        if at < self.last_interruption {
            return Vec::new();
        }
        self.list.renew(at);
        let mut actions = Vec::new();
        for (worker, record) in &mut self.workers {
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

    /// Nothing is received from discovery since `at`.
    pub fn interrupted(&mut self, at: Micros, cause: Interruption) {
        self.is_followed = true;
        self.last_interruption = self.last_interruption.max(at);
        let reported_at = at.saturating_add(cause.reported_after());
        self.list.shorten(at, reported_at);
        for record in self.workers.values_mut() {
            record.own.shorten(at, reported_at);
        }
    }

    /// A worker is sent new work.
    pub fn used(&mut self, worker: &str, now: Micros) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.last_used_at = now;
        }
    }

    /// A worker took new work, or stated that it does, in answer to what was sent at `sent_at`.
    pub fn accepted(&mut self, worker: &str, sent_at: Micros, now: Micros) -> Option<LeaseAction> {
        if !self.is_out_of_contact(now) || sent_at < self.last_interruption {
            return None;
        }
        let list_confirmed_at = self.list.confirmed_at;
        let longest_sight = REPORTED_AFTER + self.grace + RESTART_TIME;
        let record = self.workers.get_mut(worker)?;
        if sent_at <= record.not_accepting_at {
            return None;
        }
        let last_seen_at = record.own.confirmed_at.max(list_confirmed_at);
        let was_out_of_sight = now > last_seen_at.saturating_add(longest_sight);
        record.own.renew(sent_at);
        record.checks_turned_away = 0;
        record.is_in_doubt = false;
        record.suspended.take()?;
        Some(LeaseAction::Resume {
            worker: worker.to_owned(),
            may_have_restarted: std::mem::take(&mut record.may_have_restarted) || was_out_of_sight,
        })
    }

    /// A worker's address refused a connection: its process has ended, and what answers there next may be another.
    pub fn refused(&mut self, worker: &str, now: Micros) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.refused_at = Some(now);
        }
    }

    /// A worker turned work away, or a connection to it failed or broke: it drains, is full, or is gone.
    pub fn suspected(&mut self, worker: &str, now: Micros) {
        if !self.is_out_of_contact(now) {
            return;
        }
        if let Some(record) = self.workers.get_mut(worker) {
            record.is_in_doubt = true;
        }
    }

    /// A health check that was sent at `sent_at` ended.
    pub fn check_ended(
        &mut self,
        worker: &str,
        sent_at: Micros,
        result: HealthCheckResult,
        now: Micros,
    ) -> Option<LeaseAction> {
        if !self.is_out_of_contact(now) {
            return None;
        }
        let reason = match result {
            HealthCheckResult::Accepting => return self.accepted(worker, sent_at, now),
            HealthCheckResult::NotAccepting => SuspendReason::NotAccepting,
            HealthCheckResult::Refused => SuspendReason::Refused,
            HealthCheckResult::Unreachable => return None, // it is checked again
        };
        let record = self.workers.get_mut(worker)?;
        record.not_accepting_at = record.not_accepting_at.max(sent_at);

        record.is_in_doubt = false;
        record.next_check_at = now + RECHECK;
        if reason == SuspendReason::NotAccepting {
            record.checks_turned_away += 1;
        }
        record.may_have_restarted |=
            reason == SuspendReason::Refused || record.checks_turned_away >= CHECKS_OF_A_DRAIN;
        let was_suspended = record.suspended.replace(reason).is_some();
        (!was_suspended).then(|| LeaseAction::Suspend {
            worker: worker.to_owned(),
            reason,
        })
    }

    /// Suspends the workers whose leases have ended, and asks those that are in use before theirs do.
    pub fn review(&mut self, now: Micros) -> Vec<LeaseAction> {
        if !self.is_out_of_contact(now) {
            return Vec::new();
        }
        self.choose_kept(now);
        let mut actions = self.suspend_refused(now);
        actions.extend(self.suspend_ended(now));
        if self.may_check {
            actions.extend(self.checks_due(now));
        }
        actions
    }

    /// Chooses the workers that are kept checked: those in use, and some more, in an order of this front end's own.
    fn choose_kept(&mut self, now: Micros) {
        let kept = self.workers.values().filter(|record| record.is_kept);
        let room = MOST_KEPT.saturating_sub(kept.clone().count());
        let usable = kept.filter(|record| record.suspended.is_none()).count();
        let missing = LEAST_KEPT.saturating_sub(usable);
        let seed = self.seed;
        let mut others: Vec<(&WorkerId, &mut WorkerRecord)> = self
            .workers
            .iter_mut()
            .filter(|(_, record)| !record.is_kept && (missing > 0 || record.is_in_use(now)))
            .collect();
        let in_use = others
            .iter()
            .filter(|(_, record)| record.is_in_use(now))
            .count();
        others.sort_by_cached_key(|(worker, record)| {
            let used_at = record.is_in_use(now).then_some(record.last_used_at);
            (Reverse(used_at), rendezvous::weight(seed, worker))
        });
        for (_, record) in others.into_iter().take(missing.max(in_use).min(room)) {
            record.is_kept = true;
        }
    }

    /// Suspends the workers that refused a connection since discovery last responded, until they answer again.
    fn suspend_refused(&mut self, now: Micros) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        for (worker, record) in &mut self.workers {
            if record.refused_at.take().is_none() {
                continue;
            }
            record.may_have_restarted = true;
            record.not_accepting_at = now;
            record.is_in_doubt = true;
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

    fn suspend_ended(&mut self, now: Micros) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        for (worker, record) in &mut self.workers {
            let ends_at = record.own.ends_at.max(self.list.ends_at) + self.grace;
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

    /// The checks that are due, those of workers in doubt first, then by the ends of their leases.
    fn checks_due(&mut self, now: Micros) -> Vec<LeaseAction> {
        let (list_ends_at, grace, seed) = (self.list.ends_at, self.grace, self.seed);
        let mut due: Vec<(bool, Micros, &WorkerId, &mut WorkerRecord)> = Vec::new();
        for (worker, record) in &mut self.workers {
            let ends_at = record.own.ends_at.max(list_ends_at) + grace;
            let lead = CHECK_LEAD + rendezvous::weight(seed, worker) % CHECK_LEAD_SPREAD;
            let is_due = record.is_in_doubt
                || record.is_kept && (record.suspended.is_some() || now + lead >= ends_at);
            if is_due && now >= record.next_check_at {
                due.push((!record.is_in_doubt, ends_at, worker, record));
            }
        }
        due.sort_by_key(|(is_certain, ends_at, ..)| (*is_certain, *ends_at));
        due.truncate(CHECKS_PER_REVIEW);
        due.into_iter()
            .map(|(_, _, worker, record)| {
                record.next_check_at = now + CHECK_TIMEOUT;
                record.is_in_doubt = false;
                LeaseAction::Check(worker.clone())
            })
            .collect()
    }
}
