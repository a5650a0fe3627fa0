//! What a front end does for its membership and records from time to time: repairs, rumors, liveness checks.
use super::{pick, Members, RELAYS};
use crate::fleet::identity::PeerId;
use crate::fleet::liveness_check::CheckAction;
use crate::fleet::message::{records_in_messages, Message};
use crate::fleet::record::Record;
use crate::fleet::rumor::FANOUT;
use crate::fleet::traffic::TrafficKind;
use rand::seq::IteratorRandom;
use wrenseam_policy::Micros;

impl Members {
    /// Runs what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        if self.leaving {
            return;
        }
        self.swim.tick(now);
        self.sync_directory(now);
        if self.repair_schedule.is_due(now, &mut self.rng) && !self.is_budget_low {
            self.start_repair(now);
        }
        if now >= self.rumor_at {
            self.rumor_at = now + self.probe / 4;
            self.send_rumors();
        }
        if now >= self.query_at {
            self.query_at = now + self.probe / 2;
            self.query_suspects(now);
            self.restart_if_isolated(now);
        }
    }

    /// Who hears nobody for long knows nothing of the others any more, and forgets what it knew before it tells it.
    fn restart_if_isolated(&mut self, now: Micros) {
        if self.swim.alive() == 0 {
            self.accompanied = now;
        }
        let heard = self
            .swim
            .detector()
            .heard_any()
            .unwrap_or(0)
            .max(self.accompanied);
        if self.swim.alive() > 0 && now.saturating_sub(heard) > self.isolated_after {
            self.restart(now);
        }
        for id in self.directory.forget_gone(now) {
            self.swim.forget(id);
        }
    }

    /// Begins a repair with a random member.
    fn start_repair(&mut self, _now: Micros) {
        let members = self
            .directory
            .alive()
            .map(|id| id.addr)
            .filter(|&addr| self.directory.repairs(addr));
        let Some(to) = members.choose(&mut self.rng) else {
            return;
        };
        self.directory.tried(to);
        self.send(
            to,
            TrafficKind::RepairBegin,
            Message::Digest(self.directory.part_digests()),
        );
    }

    fn send_rumors(&mut self) {
        if self.rumors.is_empty() {
            return;
        }
        let owners = self.rumors.round();
        let records: Vec<Record> = owners
            .into_iter()
            .filter_map(|owner| self.directory.record(owner))
            .collect();
        let members = self
            .directory
            .alive()
            .map(|id| id.addr)
            .filter(|&addr| self.directory.repairs(addr));
        for to in pick(&mut self.rng, members.collect(), FANOUT) {
            for message in records_in_messages(true, records.clone()) {
                self.send(to, TrafficKind::Rumor, message);
            }
        }
    }

    /// Asks suspects, themselves and by way of others, whether they are there, and judges liveness_checks.
    fn query_suspects(&mut self, now: Micros) {
        let suspects: Vec<PeerId> = self.swim.detector().suspects().collect();
        suspects
            .into_iter()
            .for_each(|id| self.send_alive_queries(id, false, RELAYS));
        self.run_liveness_checks(now);
    }

    /// Asks a member whether it is there, itself and by way of so many others.
    fn send_alive_queries(&mut self, about: PeerId, gone: bool, relays: usize) {
        let mut others = Vec::new();
        if relays > 0 {
            others.extend(
                self.directory
                    .alive()
                    .map(|other| other.addr)
                    .filter(|&addr| addr != about.addr),
            );
        }
        let mut ways = pick(&mut self.rng, others, relays);
        ways.push(about.addr);
        let origin = self.directory.own().owner;
        for to in ways {
            self.send(
                to,
                TrafficKind::Probe,
                Message::AliveQuery {
                    about,
                    gone,
                    origin,
                },
            );
        }
    }

    pub(super) fn run_liveness_checks(&mut self, now: Micros) {
        for step in self.liveness_checks.due(now) {
            match step {
                CheckAction::Query { id, again } => {
                    self.send_alive_queries(id, true, if again { RELAYS } else { 0 })
                }
                CheckAction::Expired { id, began } => {
                    let heard = self.swim.detector().last_heard(id.addr) >= Some(began);
                    if !heard && self.swim.detector().may_declare_down(now, began) {
                        self.swim.learn(now, id, true, true);
                        self.sync_directory(now);
                    }
                }
            }
        }
    }
}
