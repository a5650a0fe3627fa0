//! Keepalive: when a quiet connection with open exchanges is probed, and when it counts as unresponsive.
use crate::limits::Limits;
use std::time::{Duration, Instant};
use wrenseam_policy::FunctionId;

/// The oldest exchange whose response is awaited.
#[derive(Clone, Copy)]
pub(super) struct OldestExchange {
    pub(super) opened_at: Instant,
    pub(super) function: FunctionId,
}

/// What a keepalive check knows of a connection.
pub(super) struct Observation {
    /// The time of the check.
    pub(super) now: Instant,
    /// How much of the time since the previous check counts as silence of the worker.
    pub(super) observed: Duration,
    /// When a response was last read; `None` if none was.
    pub(super) last_response_at: Option<Instant>,
    /// The oldest open exchange, probes and health checks aside.
    pub(super) oldest: Option<OldestExchange>,
    /// Whether an exchange, other than a probe or health check, was opened since the last response.
    pub(super) opened_since_response: bool,
    /// Whether the writer has received the last probe.
    pub(super) writer_has_probe: bool,
}

/// What a check decides to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeepaliveAction {
    /// Nothing.
    None,
    /// Send a probe about this function.
    Probe(FunctionId),
    /// Close the connection, unless something has been received since this time.
    CloseIfSilentSince(Instant),
}

/// The keepalive state of one connection.
#[derive(Default)]
pub(super) struct Keepalive {
    /// When the unanswered probe was sent; `None` if none is unanswered.
    probe_sent_at: Option<Instant>,
    /// How long the probe has been unanswered. Counts only time in which checks were made and the writer had received
    /// the probe, as a busy machine may delay either.
    unanswered: Duration,
}

impl Keepalive {
    /// Decides what to do. A probe that it asks for counts as sent.
    pub(super) fn check(&mut self, observation: &Observation, limits: &Limits) -> KeepaliveAction {
        match self.probe_sent_at {
            Some(sent_at) => self.check_probe(sent_at, observation, limits),
            None => self.check_quiet(observation, limits),
        }
    }

    fn check_probe(
        &mut self,
        sent_at: Instant,
        observation: &Observation,
        limits: &Limits,
    ) -> KeepaliveAction {
        if observation.last_response_at.is_some_and(|at| at >= sent_at) {
            self.probe_sent_at = None;
            return KeepaliveAction::None;
        }
        if observation.writer_has_probe {
            self.unanswered += observation.observed;
        }
        if self.unanswered > limits.keepalive_timeout {
            return KeepaliveAction::CloseIfSilentSince(sent_at);
        }
        KeepaliveAction::None
    }

    fn check_quiet(&mut self, observation: &Observation, limits: &Limits) -> KeepaliveAction {
        let Some(oldest) = observation.oldest else {
            return KeepaliveAction::None;
        };
        let quiet_since = match observation.last_response_at {
            Some(response_at) => response_at.max(oldest.opened_at),
            None => oldest.opened_at,
        };
        let quiet = observation.now.saturating_duration_since(quiet_since);
        let age = observation.now.saturating_duration_since(oldest.opened_at);
        if !probe_due(observation.opened_since_response, quiet, age, limits) {
            return KeepaliveAction::None;
        }
        self.probe_sent_at = Some(observation.now);
        self.unanswered = Duration::ZERO;
        KeepaliveAction::Probe(oldest.function)
    }
}

/// Whether a connection that has been quiet for `quiet` is probed. `oldest_age` is the age of its oldest open exchange,
/// and `opened_since_response` tells whether an exchange was opened since the last response. If none was, as while a
/// replica loads, probes become less frequent with that age.
pub fn probe_due(
    opened_since_response: bool,
    quiet: Duration,
    oldest_age: Duration,
    limits: &Limits,
) -> bool {
    let backoff = if opened_since_response {
        Duration::ZERO
    } else {
        oldest_age * limits.keepalive_repeat_percent / 100
    };
    quiet > limits.keepalive_idle.max(backoff)
}
