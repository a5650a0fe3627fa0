//! What a front end makes of the datagrams of membership and records, and what it answers.
use super::{Members, RUMOR_ROUNDS_A_PROBE};
use crate::fleet::directory::MergeAction;
use crate::fleet::identity::PeerId;
use crate::fleet::member_digest::{Liveness, MemberDigest, PARTS};
use crate::fleet::message::{batch_records, Envelope, Message, RECORDS_VERSION};
use crate::fleet::record::{Lifecycle, Record, Stamp};
use crate::fleet::repair::{self, MergePlan, Mismatches, PartHashes};
use crate::fleet::traffic::TrafficKind;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

impl Members {
    /// Takes a datagram of membership or of records that came at `now`.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        if self.leaving {
            return;
        }
        if !self.swim.is_ours(bytes, RECORDS_VERSION) {
            if let Some(from) = self.swim.handle_datagram(now, bytes) {
                self.notify_outdated_sender(from);
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
            Message::Records { is_update, records } => {
                for record in records {
                    self.take_record(now, record, is_update);
                }
            }
            Message::RecordRequest(owners) => self.send_records(from.addr, &owners),
            Message::AliveQuery {
                target,
                gone,
                origin,
            } => self.answer_alive_query(now, from, target, gone, origin),
            Message::AliveReply { record, origin } => {
                self.take_alive_reply(now, from, *record, origin)
            }
        }
        self.sync_directory(now);
    }

    /// A datagram came from `from` itself: takes it up as a member if it is a new one. Whether the datagram counts; one
    /// whose incarnation is past is notified which it needs.
    fn accept_sender(&mut self, now: Micros, from: PeerId) -> bool {
        if from.addr == self.directory.own().owner {
            return false;
        }
        self.swim.detector().heard(now, from.addr);
        if self.notify_outdated_sender(from) {
            return false;
        }
        let known = self.directory.member_digest(from.addr);
        if known.is_none_or(|known| known.stamp.incarnation < from.incarnation) {
            self.swim.mark_alive(now, from, true);
            self.sync_directory(now);
        }
        true
    }

    /// Notifies a sender whose incarnation is past, or counted as gone, so; whether it had to be notified.
    fn notify_outdated_sender(&mut self, from: PeerId) -> bool {
        let Some(known) = self.directory.member_digest(from.addr) else {
            return false;
        };
        let incarnation = known.stamp.incarnation;
        let gone = known.liveness.is_gone();
        let is_current = incarnation == from.incarnation && !gone;
        if incarnation < from.incarnation || is_current {
            return false;
        }
        let query = Message::AliveQuery {
            target: PeerId {
                addr: from.addr,
                incarnation,
            },
            gone,
            origin: self.directory.own().owner,
        };
        self.send(from.addr, TrafficKind::Join, query);
        true
    }

    /// Another member began a repair: answers with hashes of what is in some of the parts that differ.
    fn answer_digest(&mut self, now: Micros, from: PeerId, remote: &[u32; PARTS]) {
        let differing = repair::differing_parts(&self.directory.part_digests(), remote);
        if differing == 0 {
            return;
        }
        self.repair_schedule.speed_up(now);
        if self.is_budget_low {
            return;
        }
        self.counts.repairs += 1;
        let PartHashes { parts, hashes } =
            repair::part_hashes(&self.directory, differing, &mut self.rng);
        let message = Message::Hashes { parts, hashes };
        self.send(from.addr, TrafficKind::RepairBegin, message);
    }

    /// Answers another member's hashes with the member digests that do not match.
    fn answer_hashes(&mut self, now: Micros, from: PeerId, parts: u16, remote: &[u32]) {
        self.repair_schedule.speed_up(now);
        let Mismatches {
            member_digests,
            unmatched,
        } = repair::mismatches(&self.directory, parts, remote, &mut self.rng);
        if member_digests.is_empty() && unmatched.is_empty() {
            return;
        }
        let message = Message::MemberDigests {
            unmatched,
            member_digests,
        };
        self.send(from.addr, TrafficKind::Repair, message);
    }

    /// Sends what is newer here than another member's digests, asks for what is newer there, and merges the rest.
    fn take_member_digests(
        &mut self,
        now: Micros,
        from: PeerId,
        member_digests: &[MemberDigest],
        unmatched: &[u32],
    ) {
        let mut plan = repair::compare(&self.directory, member_digests);
        let also_newer = repair::member_digests_of(&self.directory, unmatched, member_digests);
        plan.newer.extend(also_newer);
        self.send_newer(from, &plan.newer);
        if !plan.wanted.is_empty() {
            let wanted = std::mem::take(&mut plan.wanted);
            self.send(
                from.addr,
                TrafficKind::Repair,
                Message::RecordRequest(wanted),
            );
        }
        self.apply(now, &plan);
    }

    /// Sends digests of what is newer here: only those, so that no answer calls for another without end.
    fn send_newer(&mut self, from: PeerId, newer: &[MemberDigest]) {
        for member_digests in repair::datagram_batches(newer) {
            let message = Message::MemberDigests {
                unmatched: Vec::new(),
                member_digests,
            };
            self.send(from.addr, TrafficKind::Repair, message);
        }
    }

    /// Merges what another member's digests call for.
    fn apply(&mut self, now: Micros, plan: &MergePlan) {
        for &id in &plan.add {
            self.swim.mark_alive(now, id, false);
        }
        for &id in &plan.left {
            self.take_leave(now, id);
        }
        self.sync_directory(now);
        for member_digest in &plan.adopt_stamps {
            self.directory.adopt_stamp(member_digest);
        }
        for &id in &plan.check_liveness {
            self.check_liveness(now, id);
        }
        if let Some(past) = plan.refute_above {
            self.refute(now, past);
        }
        self.run_liveness_checks(now);
    }

    /// Another member counts as gone one that is alive here. If we suspect it too, it is gone; else it is queried
    /// first.
    fn check_liveness(&mut self, now: Micros, id: PeerId) {
        if self.swim.detector().suspects().any(|suspect| suspect == id) {
            self.swim.mark_down(now, id, true);
            self.sync_directory(now);
        } else {
            self.liveness_checks.open(now, id);
        }
    }

    /// Another member has of us what we did not publish: our next stamp is larger than that.
    fn refute(&mut self, now: Micros, past: Stamp) {
        self.counts.impostor += 1;
        self.republish_own(now, past);
    }

    /// Sends the records of these members, as far as they are known.
    fn send_records(&mut self, to: SocketAddr, owners: &[SocketAddr]) {
        let records: Vec<Record> = owners
            .iter()
            .filter_map(|&owner| self.directory.record(owner))
            .collect();
        for message in batch_records(false, records) {
            self.send(to, TrafficKind::Repair, message);
        }
    }

    /// Merges a record; `is_update`: it has just changed and is passed on if it was new here.
    fn take_record(&mut self, now: Micros, record: Record, is_update: bool) {
        let owner = record.owner;
        let id = record.id();
        let lifecycle = record.metadata.lifecycle;
        match self.directory.merge_action(&digest_of(&record)) {
            MergeAction::Refute => return self.refute(now, record.stamp),
            MergeAction::AddMember if lifecycle != Lifecycle::Leaving => {
                self.swim.mark_alive(now, id, false);
                self.sync_directory(now);
            }
            MergeAction::FetchRecord | MergeAction::AdoptStamp => {}
            _ => return,
        }
        if !self.directory.merge_record(record) {
            return;
        }
        self.counts.taken += 1;
        if is_update && !self.is_budget_low && self.rumors.push(owner) {
            let next_round = now + self.probe / RUMOR_ROUNDS_A_PROBE;
            self.rumor_at = self.rumor_at.min(next_round);
        }
        if lifecycle == Lifecycle::Leaving {
            self.take_leave(now, id);
        }
    }

    /// A member said that it leaves. Front ends of an earlier version hear of it as one that is down; to others that
    /// would look like a failure, should it come before the record.
    fn take_leave(&mut self, now: Micros, id: PeerId) {
        self.directory.mark_leaving(id);
        let disseminate = self.directory.is_mixed();
        self.swim.mark_down(now, id, disseminate);
    }

    /// A query whether a member is alive: answers it if it is about us, else passes it on. One relay only: what a relay
    /// passed on goes no further.
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
            if from.addr == origin && about.addr != origin {
                let query = Message::AliveQuery {
                    target: about,
                    gone,
                    origin,
                };
                self.send(about.addr, TrafficKind::Probe, query);
            }
            return;
        }
        let is_declared_gone = gone && own.incarnation == about.incarnation;
        if own.incarnation < about.incarnation || is_declared_gone {
            let past = Stamp {
                incarnation: about.incarnation,
                version: u32::MAX,
            };
            self.republish_own(now, past);
        }
        let record = Box::new(self.directory.own().clone());
        let reply = Message::AliveReply { record, origin };
        if from.addr != origin {
            self.send(from.addr, TrafficKind::Probe, reply.clone());
        }
        self.send(origin, TrafficKind::Probe, reply);
    }

    /// A member's own reply that it is alive: merges it if we sent the query, else passes it on to who did.
    fn take_alive_reply(&mut self, now: Micros, from: PeerId, record: Record, origin: SocketAddr) {
        if origin == self.directory.own().owner {
            self.swim.detector().heard(now, record.owner);
            self.take_record(now, record, true);
        } else if from.addr == record.owner {
            let reply = Message::AliveReply {
                record: Box::new(record),
                origin,
            };
            self.send(origin, TrafficKind::Probe, reply);
        }
    }
}

/// The digest of a member that is alive with this record.
fn digest_of(record: &Record) -> MemberDigest {
    MemberDigest {
        owner: record.owner,
        stamp: record.stamp,
        liveness: Liveness::Alive,
        checksum: record.metadata.checksum(),
    }
}
