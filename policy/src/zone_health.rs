//! Which zones are taken for lost.
//!
//! Without this a zone's loss would be learnt worker by worker, at the price of a request for each: where requests are
//! few, a front end would pay for most of its own requests to a third of the fleet.
//!
//! A zone is lost once two of its workers were unresponsive since the last answer from any of it, while other zones
//! answered; any answer, or a process started there, ends that. No clock and no sockets: time is an argument.
use crate::types::{Micros, MILLISECOND, SECOND};
use std::collections::BTreeMap;

/// A failure that took less time is a refusal by a machine that is there; a connection that is not accepted, or that is
/// cut off as unresponsive, takes longer.
const UNRESPONSIVE_AFTER: Micros = 120 * MILLISECOND;
/// How long an unresponsive worker counts against its zone.
const SIGN_LIFETIME: Micros = 4 * SECOND;
/// Other zones answer within this where this front end is not cut off itself.
const OTHER_ZONES_ANSWER_WITHIN: Micros = SECOND;
/// Unresponsive workers that make a lost zone: one may have stopped alone.
const SIGNS_OF_LOSS: usize = 2;

#[derive(Debug, Default)]
struct Zone {
    last_answer: Micros,
    /// Workers that were unresponsive since then, and when last.
    unresponsive: BTreeMap<usize, Micros>,
    lost: bool,
    next_poll: Micros,
}

/// What is known of every zone, by its position in the settings; `None` stands for all workers without a known zone.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    zones: BTreeMap<Option<usize>, Zone>,
}

impl ZoneHealth {
    /// A worker of the zone did not accept a connection, or its connection was cut off, after this time.
    pub fn connection_failed(
        &mut self,
        zone: Option<usize>,
        worker: usize,
        now: Micros,
        elapsed: Micros,
    ) {
        if elapsed < UNRESPONSIVE_AFTER {
            return;
        }
        let last_answer_elsewhere = self
            .zones
            .iter()
            .filter(|(&other, _)| other != zone)
            .map(|(_, other)| other.last_answer)
            .max();
        let zone = self.zones.entry(zone).or_default();
        zone.unresponsive
            .retain(|_, &mut since| since + SIGN_LIFETIME > now);
        zone.unresponsive.insert(worker, now);
        // With no answer from any other zone in the meantime the fault may be this front end's own.
        let recently = elapsed.max(OTHER_ZONES_ANSWER_WITHIN);
        let others_answer = last_answer_elsewhere.is_some_and(|last| last + recently > now);
        zone.lost |= zone.unresponsive.len() >= SIGNS_OF_LOSS && others_answer;
    }

    /// A worker of the zone answered something.
    pub fn answered(&mut self, zone: Option<usize>, now: Micros) {
        self.zones.entry(zone).or_default().last_answer = now;
        self.recovered(zone);
    }

    /// The zone's loss is over, or was none.
    pub fn recovered(&mut self, zone: Option<usize>) {
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.lost = false;
            zone.next_poll = 0;
            zone.unresponsive.clear();
        }
    }

    /// Whether the zone is taken for lost.
    pub fn is_down(&self, zone: Option<usize>) -> bool {
        self.zones.get(&zone).is_some_and(|zone| zone.lost)
    }

    /// Whether a worker of a lost zone may be polled now: one in each `interval` for all of it. Notes the poll.
    pub fn may_poll(&mut self, zone: Option<usize>, now: Micros, interval: Micros) -> bool {
        match self.zones.get_mut(&zone) {
            Some(zone) if now >= zone.next_poll => {
                zone.next_poll = now + interval;
                true
            }
            _ => false,
        }
    }
}
