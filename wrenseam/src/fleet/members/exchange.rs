//! What a front end makes of the datagrams of membership and records, and what it answers.
use super::Members;
use crate::fleet::directory::{Claim, Liveness, Verdict, PARTS};
use crate::fleet::identity::PeerId;
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
                self.correct(now, from);
            }
            self.settle(now);
            return;
        }
        let Ok(Envelope { from, message }) = Envelope::decode(bytes) else {
            self.counts.garbled += 1;
            return;
        };
        if !self.greet(now, from) {
            self.counts.stranger += 1;
            return;
        }
        match message {
            Message::Digest(theirs) => self.answer_digest(now, from, &theirs),
            Message::Hashes { parts, hashes } => self.answer_hashes(now, from, parts, &hashes),
            Message::Claims { unmatched, claims } => {
                self.take_claims(now, from, &claims, &unmatched)
            }
            Message::Records { news, records } => {
                records
                    .into_iter()
                    .for_each(|record| self.take_record(now, record, news));
            }
            Message::Wanted(addresses) => self.send_records(from.addr, addresses.into_iter()),
            Message::Inquiry {
                about,
                gone,
                origin,
            } => self.answer_inquiry(now, from, about, gone, origin),
            Message::Present { record, origin } => self.take_presence(now, from, *record, origin),
        }
        self.settle(now);
    }

    /// A datagram came from `from` itself: takes it up as a member if it is a new one. Whether its word counts; one
    /// whose incarnation is past is told which it needs.
    fn greet(&mut self, now: Micros, from: PeerId) -> bool {
        if from.addr == self.directory.own().owner {
            return false;
        }
        self.swim.detector().heard(now, from.addr);
        if self.correct(now, from) {
            return false;
        }
        if self
            .directory
            .claim(from.addr)
            .is_none_or(|held| held.stamp.incarnation < from.incarnation)
        {
            self.swim.learn(now, from, false, true);
            self.settle(now);
        }
        true
    }

    /// Tells a sender whose incarnation is past, or held as gone, so; whether it had to be told.
    fn correct(&mut self, _now: Micros, from: PeerId) -> bool {
        let Some(held) = self.directory.claim(from.addr) else {
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
            Message::Inquiry {
                about,
                gone,
                origin,
            },
        );
        true
    }

    fn answer_digest(&mut self, now: Micros, from: PeerId, theirs: &[u32; PARTS]) {
        let differing = repair::differing(&self.directory.part_digests(), theirs);
        if differing == 0 {
            return;
        }
        self.pace.differs(now);
        if self.is_tight {
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

    fn answer_hashes(&mut self, now: Micros, from: PeerId, parts: u16, theirs: &[u32]) {
        self.pace.differs(now);
        let (claims, unmatched) = repair::mismatches(&self.directory, parts, theirs, &mut self.rng);
        if !claims.is_empty() || !unmatched.is_empty() {
            self.send(
                from.addr,
                TrafficKind::Repair,
                Message::Claims { unmatched, claims },
            );
        }
    }

    fn take_claims(&mut self, now: Micros, from: PeerId, claims: &[Claim], unmatched: &[u32]) {
        let found = repair::compare(&self.directory, claims);
        let mut newer = found.newer;
        newer.extend(repair::claims_of(&self.directory, unmatched, claims));
        // Only what is newer than the other's, so that no answer calls for another without end.
        for claims in repair::in_datagrams(&newer) {
            self.send(
                from.addr,
                TrafficKind::Repair,
                Message::Claims {
                    unmatched: Vec::new(),
                    claims,
                },
            );
        }
        if !found.wanted.is_empty() {
            self.send(
                from.addr,
                TrafficKind::Repair,
                Message::Wanted(found.wanted),
            );
        }
        found
            .learn
            .into_iter()
            .for_each(|id| self.swim.learn(now, id, false, false));
        found
            .left
            .into_iter()
            .for_each(|id| self.take_leave(now, id));
        self.settle(now);
        found
            .restamps
            .iter()
            .for_each(|claim| self.directory.restamp(claim));
        found
            .disputes
            .into_iter()
            .for_each(|id| self.dispute(now, id));
        if let Some(past) = found.outbid {
            self.outbid(now, past);
        }
        self.ask_disputed(now);
    }

    /// Another holds as gone who is alive here. Whom we suspect too is gone; others are asked first.
    fn dispute(&mut self, now: Micros, id: PeerId) {
        if self.swim.detector().suspects().any(|suspect| suspect == id) {
            self.swim.learn(now, id, true, true);
            self.settle(now);
        } else {
            self.disputes.open(now, id);
        }
    }

    /// Somebody holds of us what is not so: our next stamp is larger than that.
    fn outbid(&mut self, now: Micros, past: Stamp) {
        self.counts.impostor += 1;
        let facts = self.directory.own().facts.clone();
        self.publish_own(now, facts, past);
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
        let (owner, id, lifecycle) = (record.owner, record.id(), record.facts.lifecycle);
        let claim = Claim {
            owner,
            stamp: record.stamp,
            liveness: Liveness::Alive,
            checksum: record.facts.checksum(),
        };
        match self.directory.weigh(&claim) {
            Verdict::Outbid => return self.outbid(now, record.stamp),
            Verdict::Learn if lifecycle != Lifecycle::Leaving => {
                self.swim.learn(now, id, false, false);
                self.settle(now);
            }
            Verdict::Fetch | Verdict::Restamp => {}
            _ => return,
        }
        if !self.directory.offer(record) {
            return;
        }
        self.counts.taken += 1;
        if news && !self.is_tight && self.rumors.add(owner) {
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

    fn answer_inquiry(
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
                    Message::Inquiry {
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
            let facts = self.directory.own().facts.clone();
            self.publish_own(now, facts, past);
        }
        let record = Box::new(self.directory.own().clone());
        let present = Message::Present { record, origin };
        if from.addr != origin {
            self.send(from.addr, TrafficKind::Probe, present.clone());
        }
        self.send(origin, TrafficKind::Probe, present);
    }

    fn take_presence(&mut self, now: Micros, from: PeerId, record: Record, origin: SocketAddr) {
        if origin == self.directory.own().owner {
            self.swim.detector().heard(now, record.owner);
            self.take_record(now, record, true);
        } else if from.addr == record.owner {
            self.send(
                origin,
                TrafficKind::Probe,
                Message::Present {
                    record: Box::new(record),
                    origin,
                },
            );
        }
    }
}
