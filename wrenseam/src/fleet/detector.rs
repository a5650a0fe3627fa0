//! Failure detection with local health, after Lifeguard: before a front end declares a peer down, it checks that the
//! fault is not its own. No I/O; the caller passes the time.
//!
//! - Consecutive failed probes, a failed probe during which no datagram arrived, and stalls of the process raise the
//!   local health score, which lengthens the probe period and the suspicion timeout.
//! - A suspicion is cleared when any datagram of the suspect arrives.
//! - A peer is declared down only if our own probes were acknowledged without a gap for half of the suspicion timeout,
//!   up to now. This proves that our datagrams arrive and that we receive answers. A front end that receives nothing
//!   declares no peer down.
use super::identity::PeerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// The highest (worst) local health score. Probe periods and suspicion timeouts are multiplied by the score plus one.
pub const MAX_HEALTH_SCORE: u32 = 3;

/// Consecutive failed probes that count as a gap in the acknowledgements.
const GAP_FAILURES: u32 = 2;
/// Consecutive failed probes after which the fault is assumed to be local.
const LOCAL_FAULT_FAILURES: u32 = 3;
/// How long ago, in quarters of a probe period, the last acknowledged probe may have started for a peer to be declared
/// down.
const MAX_ACK_AGE_QUARTERS: Micros = 9;

/// The probe that this front end sent last.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u8,
    started_at: Micros,
    acknowledged: bool,
}

/// A suspected peer and when the suspicion started.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    id: PeerId,
    since: Micros,
}

/// The outcome of a suspicion that has reached its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionOutcome {
    /// The peer is declared down.
    Confirmed,
    /// The peer is not declared down: a datagram of it arrived, or this incarnation of it is no longer suspected.
    Cleared,
    /// Too few of our own probes were acknowledged to rule out a local fault: the suspicion continues.
    Extended,
}

/// The failure detector of this front end.
#[derive(Debug, Default)]
pub struct Detector {
    probe: Option<Probe>,
    /// Consecutive failed probes.
    consecutive_failures: u32,
    /// When the last acknowledged probe started; `None` before the first acknowledgement.
    last_acked_probe_at: Option<Micros>,
    /// Since when probes have been acknowledged without a gap; `None` during a gap.
    acked_since: Option<Micros>,
    probe_period: Micros,
    /// How long probes must have been acknowledged without a gap before a peer is declared down.
    min_acked_time: Micros,
    /// Lifeguard's local health score, from 0 (healthy) to [`MAX_HEALTH_SCORE`].
    health_score: u32,
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    /// When the last datagram of each peer arrived.
    last_contact_at: BTreeMap<SocketAddr, Micros>,
    /// When the last datagram of any peer arrived.
    last_contact_any_at: Option<Micros>,
}

impl Detector {
    /// A detector with a healthy local score. Both times are in microseconds.
    pub fn new(probe_period: Micros, suspicion_timeout: Micros) -> Detector {
        Detector {
            probe_period,
            min_acked_time: suspicion_timeout / 2,
            ..Detector::default()
        }
    }

    /// Records the start of our probe `number`, which ends the one before it.
    pub fn record_probe(&mut self, now: Micros, number: u8) {
        if let Some(previous) = self.probe.take() {
            self.end_probe(previous);
        }
        self.probe = Some(Probe {
            number,
            started_at: now,
            acknowledged: false,
        });
    }

    /// Evaluates a finished probe. One or two consecutive failures may be the peers' fault, as a third of a fleet may
    /// go down at once. [`LOCAL_FAULT_FAILURES`] in a row, or one failure during which no datagram arrived, point to a
    /// local fault.
    fn end_probe(&mut self, probe: Probe) {
        if probe.acknowledged {
            self.health_score /= 2; // an acknowledgement proves that we can send and receive
            self.consecutive_failures = 0;
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures >= GAP_FAILURES {
            self.acked_since = None;
        }
        if self.consecutive_failures >= LOCAL_FAULT_FAILURES
            || self.last_contact_any_at < Some(probe.started_at)
        {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
    }

    /// Records an acknowledgement of our probe `number`, from its target or through an indirect probe. Ignored if the
    /// number is not that of the latest probe.
    pub fn record_ack(&mut self, now: Micros, number: u8) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) else {
            return;
        };
        probe.acknowledged = true;
        self.acked_since.get_or_insert(now);
        self.last_acked_probe_at = Some(probe.started_at);
    }

    /// Raises the local health score after the process was stopped or starved of processor time.
    pub fn handle_stall(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Lifeguard's local health multiplier, from 1: the factor on probe periods and suspicion timeouts.
    pub fn health_multiplier(&self) -> u32 {
        1 + self.health_score
    }

    /// Records that a datagram of the peer at `addr` arrived.
    pub fn record_contact(&mut self, now: Micros, addr: SocketAddr) {
        self.last_contact_at.insert(addr, now);
        self.last_contact_any_at = Some(now);
    }

    /// When the last datagram of any peer arrived; `None` if none has since the start or a restart.
    pub fn last_contact_any(&self) -> Option<Micros> {
        self.last_contact_any_at
    }

    /// When the last datagram of this peer arrived; `None` if none has in its current incarnation.
    pub fn last_contact(&self, addr: SocketAddr) -> Option<Micros> {
        self.last_contact_at.get(&addr).copied()
    }

    /// Records that `id` is suspected from `now` on.
    pub fn record_suspicion(&mut self, now: Micros, id: PeerId) {
        self.suspicions
            .insert(id.addr, Suspicion { id, since: now });
    }

    /// The peers under suspicion.
    pub fn suspects(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.suspicions.values().map(|suspicion| suspicion.id)
    }

    /// Decides the outcome of the suspicion of `id`, which has reached its timeout.
    pub fn resolve_suspicion(&mut self, now: Micros, id: PeerId) -> SuspicionOutcome {
        let suspicion = self.suspicions.get(&id.addr).copied();
        let Some(suspicion) = suspicion.filter(|suspicion| suspicion.id == id) else {
            return SuspicionOutcome::Cleared;
        };
        let outcome = if self.last_contact(id.addr) >= Some(suspicion.since) {
            SuspicionOutcome::Cleared
        } else if self.may_declare_down(now, suspicion.since) {
            SuspicionOutcome::Confirmed
        } else {
            SuspicionOutcome::Extended
        };
        if outcome != SuspicionOutcome::Extended {
            self.suspicions.remove(&id.addr);
        }
        outcome
    }

    /// Whether a peer that has been silent since `since` may be declared down. Within that time our own probes must
    /// have been acknowledged for long enough, without a gap and up to now.
    pub fn may_declare_down(&self, now: Micros, since: Micros) -> bool {
        let max_age = self.probe_period * MAX_ACK_AGE_QUARTERS / 4;
        let not_before = now.saturating_sub(max_age).max(since);
        let is_recent = self.last_acked_probe_at >= Some(not_before);
        let is_long_enough = self
            .acked_since
            .is_some_and(|start| now.saturating_sub(start.max(since)) >= self.min_acked_time);
        is_recent && is_long_enough
    }

    /// Drops the state of a peer that came up, went down or changed its incarnation, as it is of a former incarnation.
    pub fn forget(&mut self, addr: SocketAddr) {
        self.suspicions.remove(&addr);
        self.last_contact_at.remove(&addr);
    }

    /// Drops everything known about peers and probes; the local health score stays.
    pub fn restart(&mut self) {
        self.probe = None;
        self.last_acked_probe_at = None;
        self.acked_since = None;
        self.suspicions.clear();
        self.last_contact_at.clear();
        self.last_contact_any_at = None;
    }
}
