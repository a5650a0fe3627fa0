//! How far this front end may trust its own failure detection (local health, after Lifeguard): it doubts itself
//! before it has others declared down. No I/O; time is handed in.
//!
//! - Its own probes that fail in a row or in silence, and times in which it did not run, lengthen its probes and
//!   suspicions.
//! - A suspicion is dropped once the suspect is heard from, by any datagram.
//! - It accuses nobody unless it has proof that it heard and was heard for half of the suspicion's time, without a gap
//!   and up to now: probes of its own that were acknowledged. Who hears nobody accuses nobody.
use super::identity::PeerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// The most that doubts in oneself add up to: probes and suspicions are at most so many times longer, and once more.
pub const MAX_HEALTH_SCORE: u32 = 3;

/// So many probes that fail one after another are a gap in the proof that we hear and are heard.
const GAP: u32 = 2;
/// So many tell of ourselves.
const FAILED_IN_A_ROW: u32 = 3;

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

/// This front end's failure detection, as it sees itself.
#[derive(Debug, Default)]
pub struct Detector {
    probe: Option<Probe>,
    /// Probes that failed, one after another.
    failed: u32,
    /// When the newest probe that was acknowledged had begun.
    proven: Option<Micros>,
    /// Since when probes have been acknowledged without a gap.
    proven_since: Option<Micros>,
    probe_period: Micros,
    /// For how long we have to have heard and been heard before we accuse.
    proof_for: Micros,
    health_score: u32,
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    /// When each peer was last heard from, by any datagram of its own.
    heard: BTreeMap<SocketAddr, Micros>,
    /// When anybody was.
    heard_any: Option<Micros>,
}

impl Detector {
    /// A detector by the probe period and the time of a suspicion, which trusts itself.
    pub fn new(probe_period: Micros, suspect_for: Micros) -> Detector {
        Detector {
            probe_period,
            proof_for: suspect_for / 2,
            ..Detector::default()
        }
    }

    /// A probe begins; the one before it has ended.
    pub fn probe_began(&mut self, now: Micros, number: u8) {
        if let Some(before) = self.probe.take() {
            self.probe_ended(before);
        }
        self.probe = Some(Probe {
            number,
            began: now,
            acknowledged: false,
        });
    }

    /// One failure, or two, may be the others': a third of a fleet may go at once. [`FAILED_IN_A_ROW`] of them, or one
    /// in whose time nobody was heard, are rather ours.
    fn probe_ended(&mut self, probe: Probe) {
        if probe.acknowledged {
            self.health_score /= 2; // an answer proves that we hear and are heard
            self.failed = 0;
            return;
        }
        self.failed += 1;
        if self.failed >= GAP {
            self.proven_since = None;
        }
        if self.failed >= FAILED_IN_A_ROW || self.heard_any < Some(probe.began) {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
    }

    /// A probe of ours was acknowledged, by its target or by way of another.
    pub fn acknowledged(&mut self, now: Micros, number: u8) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) else {
            return;
        };
        probe.acknowledged = true;
        self.proven_since.get_or_insert(now);
        self.proven = Some(probe.began);
    }

    /// This front end did not run for a while.
    pub fn stalled(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// How many times longer probes and suspicions are.
    pub fn factor(&self) -> u32 {
        1 + self.health_score
    }

    /// A datagram of this peer's own came.
    pub fn heard(&mut self, now: Micros, addr: SocketAddr) {
        self.heard.insert(addr, now);
        self.heard_any = Some(now);
    }

    /// When anybody was last heard from.
    pub fn heard_any(&self) -> Option<Micros> {
        self.heard_any
    }

    /// When this peer was last heard from.
    pub fn last_heard(&self, addr: SocketAddr) -> Option<Micros> {
        self.heard.get(&addr).copied()
    }

    /// A peer is suspected from `now` on.
    pub fn suspected(&mut self, now: Micros, id: PeerId) {
        self.suspicions
            .insert(id.addr, Suspicion { id, since: now });
    }

    /// Who is suspected.
    pub fn suspects(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.suspicions.values().map(|suspicion| suspicion.id)
    }

    /// The time of a suspicion is up.
    pub fn suspicion_timed_out(&mut self, now: Micros, id: PeerId) -> SuspicionOutcome {
        let Some(suspicion) = self
            .suspicions
            .get(&id.addr)
            .copied()
            .filter(|s| s.id == id)
        else {
            return SuspicionOutcome::Cleared;
        };
        let suspicion_timed_out = if self.last_heard(id.addr) >= Some(suspicion.since) {
            SuspicionOutcome::Cleared
        } else if self.may_declare_down(now, suspicion.since) {
            SuspicionOutcome::Confirmed
        } else {
            SuspicionOutcome::Extended
        };
        if suspicion_timed_out != SuspicionOutcome::Extended {
            self.suspicions.remove(&id.addr);
        }
        suspicion_timed_out
    }

    /// Whether we heard and were heard for long enough since then, without a gap and up to now.
    pub fn may_declare_down(&self, now: Micros, since: Micros) -> bool {
        let lately = now.saturating_sub(self.probe_period * 9 / 4).max(since);
        let up_to_now = self.proven >= Some(lately);
        let for_long = self
            .proven_since
            .is_some_and(|began| now.saturating_sub(began.max(since)) >= self.proof_for);
        up_to_now && for_long
    }

    /// A peer is counted out, or alive in a new incarnation: what was held of the former is void.
    pub fn forget(&mut self, addr: SocketAddr) {
        self.suspicions.remove(&addr);
        self.heard.remove(&addr);
    }

    /// Begins anew as a member that knows nobody; what it thinks of itself stays.
    pub fn restart(&mut self) {
        self.probe = None;
        self.proven = None;
        self.proven_since = None;
        self.suspicions.clear();
        self.heard.clear();
        self.heard_any = None;
    }
}
