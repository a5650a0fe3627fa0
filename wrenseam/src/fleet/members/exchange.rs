//! Handles the datagrams of membership and records, and queues the answers.
use super::{Members, RUMOR_ROUNDS_PER_PROBE};
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
    /// Handles a membership or record datagram that arrived at `now`; does nothing after this front end has left.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        if self.has_left {
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
            self.counts.rejected_sender += 1;
            return;
        }
        match message {
            Message::Digest(remote) => self.answer_digest(now, from, &remote),
            Message::Hashes { parts, hashes } => self.answer_hashes(now, from, parts, &hashes),
            Message::MemberDigests {
                unmatched,
                member_digests,
            } => self.handle_member_digests(now, from, &member_digests, &unmatched),
            Message::Records { is_update, records } => {
                for record in records {
                    self.handle_record(now, record, is_update);
                }
            }
            Message::RecordRequest(owners) => self.send_records(from.addr, &owners),
            Message::AliveQuery {
                target,
                gone,
                origin,
            } => self.answer_alive_query(now, from, target, gone, origin),
            Message::AliveReply { record, origin } => {
                self.handle_alive_reply(now, from, *record, origin)
            }
        }
        self.sync_directory(now);
    }

    /// Checks the sender of a record datagram and adds it as a live member if it, or its incarnation, is new. Returns
    /// false if the datagram must be dropped: the sender has our own address, or its incarnation is outdated or counted
    /// as gone, of which it is notified.
    fn accept_sender(&mut self, now: Micros, from: PeerId) -> bool {
        if from.addr == self.directory.own().owner {
            return false;
        }
        self.swim.detector().record_contact(now, from.addr);
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

    /// Notifies a sender whose incarnation is outdated or counted as gone, so that it adopts a larger one. Returns
    /// whether that was so.
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

    /// Answers the digests that begin a repair with the hashes of the members in some of the parts that differ.
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

    /// Answers another member's hashes with the digests of our members that match none of them, and with its hashes
    /// that match none of ours.
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

    /// Compares another member's digests with the directory: sends the digests that are newer here, requests the
    /// records that are newer there, and merges the rest.
    fn handle_member_digests(
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
        self.apply_plan(now, &plan);
    }

    /// Sends digests that are newer here, and no others, so that the exchange of digests ends.
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
    fn apply_plan(&mut self, now: Micros, plan: &MergePlan) {
        for &id in &plan.add {
            self.swim.mark_alive(now, id, false);
        }
        for &id in &plan.left {
            self.handle_leave(now, id);
        }
        self.sync_directory(now);
        for member_digest in &plan.adopt_stamps {
            self.directory.adopt_stamp(member_digest);
        }
        for &id in &plan.check_liveness {
            self.check_liveness(now, id);
        }
        if let Some(above) = plan.refute_above {
            self.refute(now, above);
        }
        self.run_liveness_checks(now);
    }

    /// Handles a member that is alive here but gone for another member. If we suspect it too, it is declared down; else
    /// it is queried first.
    fn check_liveness(&mut self, now: Micros, id: PeerId) {
        if self.swim.detector().suspects().any(|suspect| suspect == id) {
            self.swim.mark_down(now, id, true);
            self.sync_directory(now);
        } else {
            self.liveness_checks.open(now, id);
        }
    }

    /// Refutes information about this front end that it did not publish: republishes our record under a larger stamp.
    fn refute(&mut self, now: Micros, above: Stamp) {
        self.counts.refuted += 1;
        self.republish_own(now, above);
    }

    /// Sends the records of these members that are known here.
    fn send_records(&mut self, to: SocketAddr, owners: &[SocketAddr]) {
        let records: Vec<Record> = owners
            .iter()
            .filter_map(|&owner| self.directory.record(owner))
            .collect();
        for message in batch_records(false, records) {
            self.send(to, TrafficKind::Repair, message);
        }
    }

    /// Merges a record. With `is_update` it has just changed, and is forwarded as a rumor if it was new here and the
    /// byte budget allows.
    fn handle_record(&mut self, now: Micros, record: Record, is_update: bool) {
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
        self.counts.merged += 1;
        if is_update && !self.is_budget_low && self.rumors.push(owner) {
            let next_round = now + self.probe_period / RUMOR_ROUNDS_PER_PROBE;
            self.next_rumor_at = self.next_rumor_at.min(next_round);
        }
        if lifecycle == Lifecycle::Leaving {
            self.handle_leave(now, id);
        }
    }

    /// Handles a member's announcement that it leaves. Membership gossips that it is down only if the fleet has front
    /// ends of an earlier version, which know no records. To the others that update would look like a failure if it
    /// arrived before the record.
    fn handle_leave(&mut self, now: Micros, id: PeerId) {
        self.directory.mark_leaving(id);
        let disseminate = self.directory.is_mixed();
        self.swim.mark_down(now, id, disseminate);
    }

    /// Answers an alive query about ourselves, and forwards one about another member if it came from its origin: a
    /// query passes through one relay at most. If the query has a larger incarnation of ours, or counts ours as gone,
    /// our incarnation is raised first.
    fn answer_alive_query(
        &mut self,
        now: Micros,
        from: PeerId,
        target: PeerId,
        gone: bool,
        origin: SocketAddr,
    ) {
        let own = self.directory.own().id();
        if target.addr != own.addr {
            if from.addr == origin && target.addr != origin {
                let query = Message::AliveQuery {
                    target,
                    gone,
                    origin,
                };
                self.send(target.addr, TrafficKind::Probe, query);
            }
            return;
        }
        let is_declared_gone = gone && own.incarnation == target.incarnation;
        if own.incarnation < target.incarnation || is_declared_gone {
            let above = Stamp {
                incarnation: target.incarnation,
                version: u32::MAX,
            };
            self.republish_own(now, above);
        }
        let record = Box::new(self.directory.own().clone());
        let reply = Message::AliveReply { record, origin };
        if from.addr != origin {
            self.send(from.addr, TrafficKind::Probe, reply.clone());
        }
        self.send(origin, TrafficKind::Probe, reply);
    }

    /// Handles a member's reply that it is alive: merges its record if we sent the query, else forwards the reply to
    /// the origin of the query.
    fn handle_alive_reply(
        &mut self,
        now: Micros,
        from: PeerId,
        record: Record,
        origin: SocketAddr,
    ) {
        if origin == self.directory.own().owner {
            self.swim.detector().record_contact(now, record.owner);
            self.handle_record(now, record, true);
        } else if from.addr == record.owner {
            let reply = Message::AliveReply {
                record: Box::new(record),
                origin,
            };
            self.send(origin, TrafficKind::Probe, reply);
        }
    }
}

/// The digest of a live member with this record.
fn digest_of(record: &Record) -> MemberDigest {
    MemberDigest {
        owner: record.owner,
        stamp: record.stamp,
        liveness: Liveness::Alive,
        checksum: record.metadata.checksum(),
    }
}
