//! What a front end does for its membership and records from time to time: repairs, rumors, liveness checks.
use super::{pick, Members, QUERY_ROUNDS_A_PROBE, RUMOR_ROUNDS_A_PROBE};
use crate::fleet::identity::PeerId;
use crate::fleet::liveness_check::CheckAction;
use crate::fleet::message::{batch_records, Message};
use crate::fleet::record::Record;
use crate::fleet::rumor::FANOUT;
use crate::fleet::traffic::TrafficKind;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Relays through which a member is queried, besides directly.
const RELAYS: usize = 2;

impl Members {
    /// Runs what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        if self.leaving {
            return;
        }
        self.swim.tick(now);
        self.sync_directory(now);
        if self.repair_schedule.take_due(now, &mut self.rng) && !self.is_budget_low {
            self.start_repair();
        }
        if now >= self.rumor_at {
            self.rumor_at = now + self.probe / RUMOR_ROUNDS_A_PROBE;
            self.send_rumors();
        }
        if now >= self.query_at {
            self.query_at = now + self.probe / QUERY_ROUNDS_A_PROBE;
            self.query_suspects();
            self.run_liveness_checks(now);
            self.restart_if_isolated(now);
            self.forget_gone(now);
        }
    }

    /// A front end that hears nobody for long has an outdated view, and drops it before it spreads it.
    fn restart_if_isolated(&mut self, now: Micros) {
        if self.swim.alive() == 0 {
            self.silence_excused_at = now;
            return;
        }
        let heard_at = self.swim.detector().heard_any().unwrap_or(0);
        let silent_since = heard_at.max(self.silence_excused_at);
        if now.saturating_sub(silent_since) > self.isolated_after {
            self.restart(now);
        }
    }

    /// Forgets members that have been gone for long.
    fn forget_gone(&mut self, now: Micros) {
        for id in self.directory.forget_gone(now) {
            self.swim.forget(id);
        }
    }

    /// Begins a repair with a random member.
    fn start_repair(&mut self) {
        let Some(to) = self.directory.repair_partners().choose(&mut self.rng) else {
            return;
        };
        self.directory.repair_started(to);
        let digests = Message::Digest(self.directory.part_digests());
        self.send(to, TrafficKind::RepairBegin, digests);
    }

    /// Passes the records that have just changed on to some random members.
    fn send_rumors(&mut self) {
        if self.rumors.is_empty() {
            return;
        }
        let owners = self.rumors.next_round();
        let records: Vec<Record> = owners
            .into_iter()
            .filter_map(|owner| self.directory.record(owner))
            .collect();
        let partners = self.directory.repair_partners().collect();
        for to in pick(&mut self.rng, partners, FANOUT) {
            for message in batch_records(true, records.clone()) {
                self.send(to, TrafficKind::Rumor, message);
            }
        }
    }

    /// Queries suspects, directly and through others.
    fn query_suspects(&mut self) {
        let suspects: Vec<PeerId> = self.swim.detector().suspects().collect();
        for id in suspects {
            self.send_alive_queries(id, false, RELAYS);
        }
    }

    /// Queries a member whether it is alive, through so many relays and directly.
    fn send_alive_queries(&mut self, about: PeerId, gone: bool, relays: usize) {
        let mut targets = self.pick_relays(about, relays);
        targets.push(about.addr);
        let origin = self.directory.own().owner;
        for to in targets {
            let query = Message::AliveQuery {
                target: about,
                gone,
                origin,
            };
            self.send(to, TrafficKind::Probe, query);
        }
    }

    /// So many random members through which another one can be queried.
    fn pick_relays(&mut self, about: PeerId, relays: usize) -> Vec<SocketAddr> {
        if relays == 0 {
            return Vec::new();
        }
        let alive = self.directory.alive().map(|other| other.addr);
        let others = alive.filter(|&addr| addr != about.addr).collect();
        pick(&mut self.rng, others, relays)
    }

    /// Does what is due for the members whose liveness is being checked.
    pub(super) fn run_liveness_checks(&mut self, now: Micros) {
        for action in self.liveness_checks.due(now) {
            match action {
                CheckAction::Query { id, is_repeat } => {
                    let relays = if is_repeat { RELAYS } else { 0 };
                    self.send_alive_queries(id, true, relays);
                }
                CheckAction::Expired { id, began } => self.end_check(now, id, began),
            }
        }
    }

    /// The time of a liveness check is up: the member is down if it stayed silent and we were able to hear it.
    fn end_check(&mut self, now: Micros, id: PeerId, began: Micros) {
        let detector = self.swim.detector();
        let was_heard = detector.last_heard(id.addr) >= Some(began);
        if !was_heard && detector.may_declare_down(now, began) {
            self.swim.mark_down(now, id, true);
            self.sync_directory(now);
        }
    }
}
