//! This front end's failure detection and how far it is to be trusted (local health, after Lifeguard): it doubts itself
//! before it declares others down. No I/O; time is handed in.
//!
//! - Its own probes that fail in a row or in silence, and times in which it did not run, raise its local health score,
//!   which makes its probes and suspicions longer.
//! - A suspicion is cleared once the suspect is heard from, by any datagram.
//! - It declares no peer down unless probes of its own were acknowledged for half of the suspicion's time, without a
//!   gap and up to now: proof that it heard and was heard. A front end that hears nobody declares nobody down.
use super::identity::PeerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// The worst local health score: probes and suspicions are at most so many times longer, and once more.
pub const MAX_HEALTH_SCORE: u32 = 3;

/// So many probes that fail one after another are a gap in the proof that we hear and are heard.
const GAP_FAILURES: u32 = 2;
/// So many probes that fail one after another are rather our own fault.
const OWN_FAILURES: u32 = 3;
/// A proof is up to now if the probe that gave it began within so many quarters of a probe period.
const PROOF_QUARTERS: Micros = 9;

/// A probe of ours.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u8,
    began: Micros,
    acknowledged: bool,
}

/// A peer whose probe failed, and since when.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    id: PeerId,
    since: Micros,
}

/// What becomes of a suspicion whose time is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionOutcome {
    /// The peer is declared down.
    Confirmed,
    /// It was heard from: the suspicion is dropped.
    Cleared,
    /// We have no proof that we hear and are heard: the suspicion goes on.
    Extended,
}

/// This front end's failure detection.
#[derive(Debug, Default)]
pub struct Detector {
    probe: Option<Probe>,
    /// Probes that failed, one after another.
    failures: u32,
    /// When the newest probe that was acknowledged had begun.
    acknowledged_probe_at: Option<Micros>,
    /// Since when probes have been acknowledged without a gap.
    acknowledged_since: Option<Micros>,
    probe_period: Micros,
    /// For how long we have to have heard and been heard before we declare a peer down.
    proof_for: Micros,
    /// Lifeguard's local health score: 0 is healthy.
    health_score: u32,
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    /// When each peer was last heard from, by any datagram of its own.
    heard_at: BTreeMap<SocketAddr, Micros>,
    /// When any peer was.
    heard_any_at: Option<Micros>,
}

impl Detector {
    /// A detector by the probe period and the time of a suspicion, which trusts itself.
    pub fn new(probe_period: Micros, suspicion_timeout: Micros) -> Detector {
        Detector {
            probe_period,
            proof_for: suspicion_timeout / 2,
            ..Detector::default()
        }
    }

    /// A probe begins; the one before it has ended.
    pub fn record_probe(&mut self, now: Micros, number: u8) {
        if let Some(before) = self.probe.take() {
            self.probe_ended(before);
        }
        self.probe = Some(Probe {
            number,
            began: now,
            acknowledged: false,
        });
    }

    /// One failure, or two, may be the others': a third of a fleet may go at once. [`OWN_FAILURES`] of them, or one
    /// in whose time nobody was heard, are rather ours.
    fn probe_ended(&mut self, probe: Probe) {
        if probe.acknowledged {
            self.health_score /= 2; // an answer proves that we hear and are heard
            self.failures = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= GAP_FAILURES {
            self.acknowledged_since = None;
        }
        if self.failures >= OWN_FAILURES || self.heard_any_at < Some(probe.began) {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
    }

    /// A probe of ours was acknowledged, by its target or by way of another.
    pub fn record_ack(&mut self, now: Micros, number: u8) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) else {
            return;
        };
        probe.acknowledged = true;
        self.acknowledged_since.get_or_insert(now);
        self.acknowledged_probe_at = Some(probe.began);
    }

    /// This front end did not run for a while.
    pub fn handle_stall(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// How many times longer probes and suspicions are: Lifeguard's local health multiplier.
    pub fn health_multiplier(&self) -> u32 {
        1 + self.health_score
    }

    /// A datagram of this peer's own came.
    pub fn record_contact(&mut self, now: Micros, addr: SocketAddr) {
        self.heard_at.insert(addr, now);
        self.heard_any_at = Some(now);
    }

    /// When anybody was last heard from.
    pub fn last_contact_any(&self) -> Option<Micros> {
        self.heard_any_at
    }

    /// When this peer was last heard from.
    pub fn last_contact(&self, addr: SocketAddr) -> Option<Micros> {
        self.heard_at.get(&addr).copied()
    }

    /// A peer is suspected from `now` on.
    pub fn record_suspicion(&mut self, now: Micros, id: PeerId) {
        self.suspicions
            .insert(id.addr, Suspicion { id, since: now });
    }

    /// Who is suspected.
    pub fn suspects(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.suspicions.values().map(|suspicion| suspicion.id)
    }

    /// The time of a suspicion is up: what becomes of it.
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

    /// Whether a peer that has been silent since then may be declared down: whether we heard and were heard for long
    /// enough, without a gap and up to now.
    pub fn may_declare_down(&self, now: Micros, since: Micros) -> bool {
        let proof_window = self.probe_period * PROOF_QUARTERS / 4;
        let lately = now.saturating_sub(proof_window).max(since);
        let is_up_to_now = self.acknowledged_probe_at >= Some(lately);
        let is_long_enough = self
            .acknowledged_since
            .is_some_and(|began| now.saturating_sub(began.max(since)) >= self.proof_for);
        is_up_to_now && is_long_enough
    }

    /// A peer is counted out, or alive in a new incarnation: what was known of the former is void.
    pub fn forget(&mut self, addr: SocketAddr) {
        self.suspicions.remove(&addr);
        self.heard_at.remove(&addr);
    }

    /// Begins anew as a member that knows nobody; its own health score stays.
    pub fn restart(&mut self) {
        self.probe = None;
        self.acknowledged_probe_at = None;
        self.acknowledged_since = None;
        self.suspicions.clear();
        self.heard_at.clear();
        self.heard_any_at = None;
    }
}
