//! Detects zones that are down, so that their workers are not tried one by one.
//!
//! If each worker of such a zone were detected by itself, it would cost a failed attempt for each of them: a front end
//! with little traffic would lose most of its requests to a zone that has a third of the fleet.
//!
//! A zone is considered down once two of its workers were unresponsive since the last answer from any worker of the
//! zone, while other zones answered. Any answer from the zone, or a process that starts there, ends that. No I/O: time
//! is an argument.
use crate::types::{Micros, MILLISECOND, SECOND};
use std::collections::BTreeMap;

/// A connection failure after less time than this is a refusal by a running machine. A machine that is down or cut off
/// refuses nothing: the connection times out, which takes longer.
const UNRESPONSIVE_AFTER: Micros = 120 * MILLISECOND;
/// How long an unresponsive worker counts against its zone.
const UNRESPONSIVE_LIFETIME: Micros = 4 * SECOND;
/// A zone is not considered down if no other zone has answered for this long: this front end may be cut off itself.
const OTHER_ZONES_ANSWER_WITHIN: Micros = SECOND;
/// Minimum number of unresponsive workers for a zone to be considered down; a single one may have stopped alone.
const MIN_UNRESPONSIVE_WORKERS: usize = 2;

#[derive(Debug, Default)]
struct Zone {
    last_answer: Micros,
    /// Workers that were unresponsive since the last answer from the zone, with the time of their last failure.
    unresponsive: BTreeMap<usize, Micros>,
    down: bool,
    /// No worker of the zone is polled before this time while the zone is down.
    next_poll: Micros,
}

/// The health of all zones by their position in the settings; `None` stands for all workers without a known zone.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    zones: BTreeMap<Option<usize>, Zone>,
}

impl ZoneHealth {
    /// A connection to a worker of the zone was not established or broke, `elapsed` after a request or an order was
    /// sent.
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
            .retain(|_, &mut since| since + UNRESPONSIVE_LIFETIME > now);
        zone.unresponsive.insert(worker, now);
        // With no answer from any other zone meanwhile, this front end itself may be cut off.
        let recently = elapsed.max(OTHER_ZONES_ANSWER_WITHIN);
        let other_zones_answer = last_answer_elsewhere.is_some_and(|last| last + recently > now);
        zone.down |= zone.unresponsive.len() >= MIN_UNRESPONSIVE_WORKERS && other_zones_answer;
    }

    /// A worker of the zone answered, with whatever outcome.
    pub fn answered(&mut self, zone: Option<usize>, now: Micros) {
        self.zones.entry(zone).or_default().last_answer = now;
        self.recovered(zone);
    }

    /// The zone is not down, or not any more: its unresponsive workers are forgotten.
    pub fn recovered(&mut self, zone: Option<usize>) {
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.down = false;
            zone.next_poll = 0;
            zone.unresponsive.clear();
        }
    }

    /// Whether the zone is considered down.
    pub fn is_down(&self, zone: Option<usize>) -> bool {
        self.zones.get(&zone).is_some_and(|zone| zone.down)
    }

    /// Whether a worker of a zone that is down may be polled now: one per `interval` in the whole zone. If so, the poll
    /// counts as sent.
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
