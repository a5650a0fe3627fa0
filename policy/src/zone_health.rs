//! Which zones are taken for lost. Guards against learning a zone's loss worker by worker, at the price of a call
//! for each: where calls are few, a gateway would pay for most of its own calls to a third of the fleet.
//!
//! A zone is lost once two of its workers were mute since the last answer from any of it, while other zones
//! answered; any answer, or news of a process started there, ends that. No clock, no sockets: time is handed in.
use crate::interface::Micros;
use std::collections::BTreeMap;

const MUTE: Micros = 120_000; // a refusal comes sooner; a connection not taken, or cut off for silence, later
const KEPT: Micros = 4_000_000; // how long a worker's silence tells of its zone
const OTHERS: Micros = 1_000_000; // other zones answer within this where we are not cut off ourselves
const SIGNS: usize = 2; // mute workers that make a lost zone: one may have died alone

#[derive(Default)]
struct Zone {
    heard: Micros,
    /// Workers that were mute since then, and when last.
    mute: BTreeMap<usize, Micros>,
    lost: bool,
    next_trial: Micros,
}

/// What is known of every zone.
#[derive(Default)]
pub(crate) struct Zones(BTreeMap<Option<usize>, Zone>);

impl Zones {
    /// A worker of the zone took no connection, or had its own cut off, after so long.
    pub(crate) fn mute(
        &mut self,
        zone: Option<usize>,
        worker: usize,
        now: Micros,
        elapsed: Micros,
    ) {
        if elapsed < MUTE {
            return; // refused or reset by a machine that is there
        }
        let others = self
            .0
            .iter()
            .filter(|(&z, _)| z != zone)
            .map(|(_, other)| other.heard)
            .max();
        let z = self.0.entry(zone).or_default();
        z.mute.retain(|_, &mut at| at + KEPT > now);
        z.mute.insert(worker, now);
        // With no other zone heard in the meantime the fault may be our own.
        z.lost |= z.mute.len() >= SIGNS && others.is_some_and(|o| o + elapsed.max(OTHERS) > now);
    }

    /// A worker of the zone answered something.
    pub(crate) fn heard(&mut self, zone: Option<usize>, now: Micros) {
        let z = self.0.entry(zone).or_default();
        z.heard = now;
        self.back(zone);
    }

    /// The zone's loss is over, or was none.
    pub(crate) fn back(&mut self, zone: Option<usize>) {
        if let Some(z) = self.0.get_mut(&zone) {
            (z.lost, z.next_trial) = (false, 0);
            z.mute.clear();
        }
    }

    /// Whether the zone is taken for lost.
    pub(crate) fn lost(&self, zone: Option<usize>) -> bool {
        self.0.get(&zone).is_some_and(|z| z.lost)
    }

    /// Whether a worker of a lost zone may be asked now: one at a time for the whole of it.
    pub(crate) fn may_ask(&mut self, zone: Option<usize>, now: Micros, gap: Micros) -> bool {
        let Some(z) = self.0.get_mut(&zone).filter(|z| now >= z.next_trial) else {
            return false;
        };
        z.next_trial = now + gap;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    const SEC: Micros = 1_000_000;

    fn heard() -> Zones {
        let mut zones = Zones::default();
        zones.heard(Some(0), 10 * SEC);
        zones.heard(Some(1), 10 * SEC);
        zones
    }

    #[test]
    fn two_mute_workers_of_one_zone_lose_it_and_an_answer_brings_it_back() {
        let mut zones = heard();
        zones.mute(Some(0), 1, 10 * SEC + 300_000, 250_000);
        assert!(!zones.lost(Some(0)), "one may have died alone");
        zones.heard(Some(1), 10 * SEC + 400_000);
        zones.mute(Some(0), 2, 10 * SEC + 500_000, 250_000);
        assert!(zones.lost(Some(0)) && !zones.lost(Some(1)));
        assert!(
            zones.may_ask(Some(0), 11 * SEC, SEC) && !zones.may_ask(Some(0), 11 * SEC + 1, SEC)
        );
        zones.heard(Some(0), 12 * SEC);
        assert!(!zones.lost(Some(0)));
    }

    #[test]
    fn refusals_old_signs_and_our_own_cut_lose_no_zone() {
        let mut zones = heard();
        for w in 0..5 {
            zones.mute(Some(0), w, 10 * SEC, 2_000); // processes that died refuse at once
        }
        assert!(!zones.lost(Some(0)));
        zones.mute(Some(0), 1, 10 * SEC, 250_000);
        zones.heard(Some(1), 20 * SEC);
        zones.mute(Some(0), 2, 20 * SEC, 250_000);
        assert!(!zones.lost(Some(0)), "ten seconds apart");
        let mut zones = heard();
        for (n, w) in (0..8).enumerate() {
            zones.mute(Some(w % 2), w, (20 + n as Micros) * SEC, 250_000);
        }
        assert!(
            !zones.lost(Some(0)) && !zones.lost(Some(1)),
            "nothing answers: it may be us"
        );
    }
}
