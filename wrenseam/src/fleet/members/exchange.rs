//! What a front end makes of the datagrams of membership and records, and what it answers.
use super::Members;
use crate::fleet::directory::MergeAction;
use crate::fleet::identity::PeerId;
use crate::fleet::member_digest::{Liveness, MemberDigest, PARTS};
use crate::fleet::message::{records_in_messages, Envelope, Message, RECORDS_VERSION};
use crate::fleet::record::{Lifecycle, Record, Stamp};
use crate::fleet::repair;
use crate::fleet::traffic::TrafficKind;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

impl Members {
    /// Takes a datagram of membership or of records that came at `now`.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        if self.leaving {
            return;
        }
        if !self.swim.is_ours(bytes, RECORDS_VERSION) {
            if let Some(from) = self.swim.datagram(now, bytes) {
                self.notify_outdated_sender(now, from);
            }
            self.sync_directory(now);
            return;
        }
        let Ok(Envelope { from, message }) = Envelope::decode(bytes) else {
            self.counts.garbled += 1;
            return;
        };
        if !self.accept_sender(now, from) {
            self.counts.stranger += 1;
            return;
        }
        match message {
            Message::Digest(remote) => self.answer_digest(now, from, &remote),
            Message::Hashes { parts, hashes } => self.answer_hashes(now, from, parts, &hashes),
            Message::MemberDigests {
                unmatched,
                member_digests,
            } => self.take_member_digests(now, from, &member_digests, &unmatched),
            Message::Records { news, records } => {
                records
                    .into_iter()
                    .for_each(|record| self.take_record(now, record, news));
            }
            Message::Wanted(addresses) => self.send_records(from.addr, addresses.into_iter()),
            Message::AliveQuery {
                about,
                gone,
                origin,
            } => self.answer_alive_query(now, from, about, gone, origin),
            Message::AliveReply { record, origin } => {
                self.take_alive_reply(now, from, *record, origin)
            }
        }
        self.sync_directory(now);
    }

    /// A datagram came from `from` itself: takes it up as a member if it is a new one. Whether its word counts; one
    /// whose incarnation is past is told which it needs.
    fn accept_sender(&mut self, now: Micros, from: PeerId) -> bool {
        if from.addr == self.directory.own().owner {
            return false;
        }
        self.swim.detector().heard(now, from.addr);
        if self.notify_outdated_sender(now, from) {
            return false;
        }
        if self
            .directory
            .member_digest(from.addr)
            .is_none_or(|held| held.stamp.incarnation < from.incarnation)
        {
            self.swim.learn(now, from, false, true);
            self.sync_directory(now);
        }
        true
    }

    /// Tells a sender whose incarnation is past, or held as gone, so; whether it had to be told.
    fn notify_outdated_sender(&mut self, _now: Micros, from: PeerId) -> bool {
        let Some(held) = self.directory.member_digest(from.addr) else {
            return false;
        };
        let (known, gone) = (held.stamp.incarnation, held.liveness.is_gone());
        if known < from.incarnation || known == from.incarnation && !gone {
            return false;
        }
        let about = PeerId {
            addr: from.addr,
            incarnation: known,
        };
        let origin = self.directory.own().owner;
        self.send(
            from.addr,
            TrafficKind::Join,
            Message::AliveQuery {
                about,
                gone,
                origin,
            },
        );
        true
    }

    fn answer_digest(&mut self, now: Micros, from: PeerId, remote: &[u32; PARTS]) {
        let differing = repair::differing(&self.directory.part_digests(), remote);
        if differing == 0 {
            return;
        }
        self.repair_schedule.views_differ(now);
        if self.is_budget_low {
            return;
        }
        self.counts.repairs += 1;
        let (parts, hashes) = repair::hashes(&self.directory, differing, &mut self.rng);
        self.send(
            from.addr,
            TrafficKind::RepairBegin,
            Message::Hashes { parts, hashes },
        );
    }

    fn answer_hashes(&mut self, now: Micros, from: PeerId, parts: u16, remote: &[u32]) {
        self.repair_schedule.views_differ(now);
        let (member_digests, unmatched) =
            repair::mismatches(&self.directory, parts, remote, &mut self.rng);
        if !member_digests.is_empty() || !unmatched.is_empty() {
            self.send(
                from.addr,
                TrafficKind::Repair,
                Message::MemberDigests {
                    unmatched,
                    member_digests,
                },
            );
        }
    }

    fn take_member_digests(
        &mut self,
        now: Micros,
        from: PeerId,
        member_digests: &[MemberDigest],
        unmatched: &[u32],
    ) {
        let plan = repair::compare(&self.directory, member_digests);
        let mut newer = plan.newer;
        newer.extend(repair::member_digests_of(
            &self.directory,
            unmatched,
            member_digests,
        ));
        // Only what is newer than the other's, so that no answer calls for another without end.
        for member_digests in repair::in_datagrams(&newer) {
            self.send(
                from.addr,
                TrafficKind::Repair,
                Message::MemberDigests {
                    unmatched: Vec::new(),
                    member_digests,
                },
            );
        }
        if !plan.wanted.is_empty() {
            self.send(from.addr, TrafficKind::Repair, Message::Wanted(plan.wanted));
        }
        plan.add
            .into_iter()
            .for_each(|id| self.swim.learn(now, id, false, false));
        plan.left
            .into_iter()
            .for_each(|id| self.take_leave(now, id));
        self.sync_directory(now);
        plan.adopt_stamps
            .iter()
            .for_each(|member_digest| self.directory.adopt_stamp(member_digest));
        plan.check_liveness
            .into_iter()
            .for_each(|id| self.check_liveness(now, id));
        if let Some(past) = plan.refute_above {
            self.refute(now, past);
        }
        self.run_liveness_checks(now);
    }

    /// Another holds as gone who is alive here. Whom we suspect too is gone; others are asked first.
    fn check_liveness(&mut self, now: Micros, id: PeerId) {
        if self.swim.detector().suspects().any(|suspect| suspect == id) {
            self.swim.learn(now, id, true, true);
            self.sync_directory(now);
        } else {
            self.liveness_checks.open(now, id);
        }
    }

    /// Somebody holds of us what is not so: our next stamp is larger than that.
    fn refute(&mut self, now: Micros, past: Stamp) {
        self.counts.impostor += 1;
        let metadata = self.directory.own().metadata.clone();
        self.publish_own(now, metadata, past);
    }

    fn send_records(&mut self, to: SocketAddr, owners: impl Iterator<Item = SocketAddr>) {
        let records: Vec<Record> = owners
            .filter_map(|owner| self.directory.record(owner))
            .collect();
        for message in records_in_messages(false, records) {
            self.send(to, TrafficKind::Repair, message);
        }
    }

    fn take_record(&mut self, now: Micros, record: Record, news: bool) {
        let (owner, id, lifecycle) = (record.owner, record.id(), record.metadata.lifecycle);
        let member_digest = MemberDigest {
            owner,
            stamp: record.stamp,
            liveness: Liveness::Alive,
            checksum: record.metadata.checksum(),
        };
        match self.directory.merge_action(&member_digest) {
            MergeAction::Refute => return self.refute(now, record.stamp),
            MergeAction::AddMember if lifecycle != Lifecycle::Leaving => {
                self.swim.learn(now, id, false, false);
                self.sync_directory(now);
            }
            MergeAction::FetchRecord | MergeAction::AdoptStamp => {}
            _ => return,
        }
        if !self.directory.merge_record(record) {
            return;
        }
        self.counts.taken += 1;
        if news && !self.is_budget_low && self.rumors.add(owner) {
            self.rumor_at = self.rumor_at.min(now + self.probe / 4);
        }
        if lifecycle == Lifecycle::Leaving {
            self.take_leave(now, id);
        }
    }

    /// A member leaves by its own word. Front ends from before records hear of it as one that is down; to others that
    /// would look like a failure, should it come before the record.
    fn take_leave(&mut self, now: Micros, id: PeerId) {
        self.directory.left(id);
        let spread = self.directory.is_mixed();
        self.swim.learn(now, id, true, spread);
    }

    fn answer_alive_query(
        &mut self,
        now: Micros,
        from: PeerId,
        about: PeerId,
        gone: bool,
        origin: SocketAddr,
    ) {
        let own = self.directory.own().id();
        if about.addr != own.addr {
            // One relay only: what a relay passed on goes no further.
            if from.addr == origin && about.addr != origin {
                self.send(
                    about.addr,
                    TrafficKind::Probe,
                    Message::AliveQuery {
                        about,
                        gone,
                        origin,
                    },
                );
            }
            return;
        }
        if own.incarnation < about.incarnation || gone && own.incarnation == about.incarnation {
            let past = Stamp {
                incarnation: about.incarnation,
                version: u32::MAX,
            };
            let metadata = self.directory.own().metadata.clone();
            self.publish_own(now, metadata, past);
        }
        let record = Box::new(self.directory.own().clone());
        let present = Message::AliveReply { record, origin };
        if from.addr != origin {
            self.send(from.addr, TrafficKind::Probe, present.clone());
        }
        self.send(origin, TrafficKind::Probe, present);
    }

    fn take_alive_reply(&mut self, now: Micros, from: PeerId, record: Record, origin: SocketAddr) {
        if origin == self.directory.own().owner {
            self.swim.detector().heard(now, record.owner);
            self.take_record(now, record, true);
        } else if from.addr == record.owner {
            self.send(
                origin,
                TrafficKind::Probe,
                Message::AliveReply {
                    record: Box::new(record),
                    origin,
                },
            );
        }
    }
}
