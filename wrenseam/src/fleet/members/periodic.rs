//! The periodic work on membership and records: repairs, rumors, alive queries, liveness checks, expiry of tombstones.
use super::{choose_random, Members, QUERY_ROUNDS_PER_PROBE, RUMOR_ROUNDS_PER_PROBE};
use crate::fleet::identity::PeerId;
use crate::fleet::liveness_check::CheckAction;
use crate::fleet::message::{batch_records, Message};
use crate::fleet::record::Record;
use crate::fleet::rumor::FANOUT;
use crate::fleet::traffic::TrafficKind;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Random members through which a member is queried, in addition to the direct query.
const RELAYS: usize = 2;

impl Members {
    /// Runs the work that is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        if self.has_left {
            return;
        }
        self.swim.tick(now);
        self.sync_directory(now);
        if self.repair_schedule.take_due(now, &mut self.rng) && !self.is_budget_low {
            self.start_repair();
        }
        if now >= self.next_rumor_at {
            self.next_rumor_at = now + self.probe_period / RUMOR_ROUNDS_PER_PROBE;
            self.send_rumors();
        }
        if now >= self.next_query_at {
            self.next_query_at = now + self.probe_period / QUERY_ROUNDS_PER_PROBE;
            self.query_suspects();
            self.run_liveness_checks(now);
            self.restart_if_isolated(now);
            self.expire_tombstones(now);
        }
    }

    /// Drops the view of the fleet if no datagram arrived for `isolation_timeout`: it is out of date by then and must
    /// not be spread.
    fn restart_if_isolated(&mut self, now: Micros) {
        if self.swim.alive() == 0 {
            self.silence_counts_from = now;
            return;
        }
        let last_contact_at = self.swim.detector().last_contact_any().unwrap_or(0);
        let silent_since = last_contact_at.max(self.silence_counts_from);
        if now.saturating_sub(silent_since) > self.isolation_timeout {
            self.restart(now);
        }
    }

    /// Removes expired tombstones from the directory and from foca.
    fn expire_tombstones(&mut self, now: Micros) {
        for id in self.directory.expire_tombstones(now) {
            self.swim.forget(id);
        }
    }

    /// Begins an anti-entropy repair with a random member.
    fn start_repair(&mut self) {
        let Some(to) = self.directory.repair_partners().choose(&mut self.rng) else {
            return;
        };
        self.directory.repair_started(to);
        let digests = Message::Digest(self.directory.part_digests());
        self.send(to, TrafficKind::RepairBegin, digests);
    }

    /// Sends the records that have just changed to [`FANOUT`] random members.
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
        for to in choose_random(&mut self.rng, partners, FANOUT) {
            for message in batch_records(true, records.clone()) {
                self.send(to, TrafficKind::Rumor, message);
            }
        }
    }

    /// Queries the suspected peers, directly and through relays.
    fn query_suspects(&mut self) {
        let suspects: Vec<PeerId> = self.swim.detector().suspects().collect();
        for id in suspects {
            self.send_alive_queries(id, false, RELAYS);
        }
    }

    /// Asks `target` whether it is alive, directly and through `relays` random members.
    fn send_alive_queries(&mut self, target: PeerId, gone: bool, relays: usize) {
        let mut recipients = self.pick_relays(target, relays);
        recipients.push(target.addr);
        let origin = self.directory.own().owner;
        for to in recipients {
            let query = Message::AliveQuery {
                target,
                gone,
                origin,
            };
            self.send(to, TrafficKind::Probe, query);
        }
    }

    /// At most `relays` random members through which `target` can be queried.
    fn pick_relays(&mut self, target: PeerId, relays: usize) -> Vec<SocketAddr> {
        if relays == 0 {
            return Vec::new();
        }
        let alive = self.directory.alive().map(|other| other.addr);
        let others = alive.filter(|&addr| addr != target.addr).collect();
        choose_random(&mut self.rng, others, relays)
    }

    /// Runs the liveness checks that are due.
    pub(super) fn run_liveness_checks(&mut self, now: Micros) {
        for action in self.liveness_checks.due(now) {
            match action {
                CheckAction::Query { id, is_retry } => {
                    let relays = if is_retry { RELAYS } else { 0 };
                    self.send_alive_queries(id, true, relays);
                }
                CheckAction::Expired { id, started_at } => self.expire_check(now, id, started_at),
            }
        }
    }

    /// Handles a liveness check whose reply timeout is over: the member is declared down if no datagram of it arrived
    /// since the check began and the detector finds no local fault. Else the check stays open.
    fn expire_check(&mut self, now: Micros, id: PeerId, started_at: Micros) {
        let detector = self.swim.detector();
        let had_contact = detector.last_contact(id.addr) >= Some(started_at);
        if !had_contact && detector.may_declare_down(now, started_at) {
            self.swim.mark_down(now, id, true);
            self.sync_directory(now);
        }
    }
}
