//! When a quiet connection on which answers are awaited is probed, and when it counts as unresponsive.
use crate::limits::Limits;
use std::time::{Duration, Instant};
use wrenseam_policy::FunctionId;

/// The oldest exchange that waits for its answer.
#[derive(Clone, Copy)]
pub(super) struct OldestExchange {
    pub(super) opened_at: Instant,
    pub(super) function: FunctionId,
}

/// What a check sees of a connection.
pub(super) struct Observation {
    /// The time of the check.
    pub(super) now: Instant,
    /// The time since the check before in which an answer could have been noticed.
    pub(super) observed: Duration,
    /// When an answer was last read.
    pub(super) last_answer_at: Option<Instant>,
    /// The oldest open exchange, probes aside.
    pub(super) oldest: Option<OldestExchange>,
    /// Whether an exchange was opened since the last answer.
    pub(super) opened_since_answer: bool,
    /// Whether the writer has taken over the last probe.
    pub(super) probe_taken: bool,
}

/// What a check asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeepaliveAction {
    /// Nothing.
    None,
    /// Send a probe that asks about this function.
    Probe(FunctionId),
    /// Close the connection, unless an answer came since this time.
    CloseIfSilentSince(Instant),
}

/// The keepalive checks of one connection.
#[derive(Default)]
pub(super) struct Keepalive {
    /// When the probe was sent that has not been answered.
    probe_sent_at: Option<Instant>,
    /// How long it has been unanswered. Only the time counts in which we looked and the writer had the probe, as a busy
    /// machine may hold either up.
    unanswered: Duration,
}

impl Keepalive {
    /// Decides what a check asks for. A probe is taken as sent.
    pub(super) fn check(&mut self, seen: &Observation, limits: &Limits) -> KeepaliveAction {
        match self.probe_sent_at {
            Some(sent_at) => self.check_probe(sent_at, seen, limits),
            None => self.check_quiet(seen, limits),
        }
    }

    fn check_probe(
        &mut self,
        sent_at: Instant,
        seen: &Observation,
        limits: &Limits,
    ) -> KeepaliveAction {
        if seen.last_answer_at.is_some_and(|at| at >= sent_at) {
            self.probe_sent_at = None;
            return KeepaliveAction::None;
        }
        if seen.probe_taken {
            self.unanswered += seen.observed;
        }
        if self.unanswered > limits.keepalive_timeout {
            return KeepaliveAction::CloseIfSilentSince(sent_at);
        }
        KeepaliveAction::None
    }

    fn check_quiet(&mut self, seen: &Observation, limits: &Limits) -> KeepaliveAction {
        let Some(oldest) = seen.oldest else {
            return KeepaliveAction::None;
        };
        let quiet_since = match seen.last_answer_at {
            Some(answer_at) => answer_at.max(oldest.opened_at),
            None => oldest.opened_at,
        };
        let quiet = seen.now.saturating_duration_since(quiet_since);
        let age = seen.now.saturating_duration_since(oldest.opened_at);
        if !probe_due(seen.opened_since_answer, quiet, age, limits) {
            return KeepaliveAction::None;
        }
        self.probe_sent_at = Some(seen.now);
        self.unanswered = Duration::ZERO;
        KeepaliveAction::Probe(oldest.function)
    }
}

/// Whether a connection is probed that has been `quiet` for so long. `oldest_age` is the age of its oldest open
/// exchange, `opened_since_answer` whether one was opened since the last answer. A connection that only waits for a
/// load is probed ever more seldom.
pub fn probe_due(
    opened_since_answer: bool,
    quiet: Duration,
    oldest_age: Duration,
    limits: &Limits,
) -> bool {
    let backoff = if opened_since_answer {
        Duration::ZERO
    } else {
        oldest_age * limits.keepalive_repeat_percent / 100
    };
    quiet > limits.keepalive_idle.max(backoff)
}
