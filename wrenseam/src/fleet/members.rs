//! Membership ([`Swim`]) combined with the record that each member publishes about itself ([`Directory`]), and the
//! datagrams by which all members' views of both converge. No I/O; docs/fleet-view.md has the design.
mod exchange;
mod periodic;

use super::directory::Directory;
use super::identity::{header, PeerId, HEADER_BYTES};
use super::liveness_check::LivenessChecks;
use super::member_digest::Liveness;
use super::message::{Envelope, Message, RECORDS_VERSION};
use super::record::{Lifecycle, Metadata, Record, RecordError, Stamp};
use super::repair::RepairSchedule;
use super::rumor::RumorQueue;
use super::swim::{PeerEvent, Swim, SwimSettings, TimedPeerEvent, MIN_PROBE_PERIOD};
use super::traffic::{Outgoing, TrafficKind};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Random members that this front end sends its last record to when it leaves.
const LEAVE_FANOUT: usize = 16;
/// The longest stall of the process, in microseconds, after which its view of the fleet is still used. After a longer
/// one it is out of date and dropped before it spreads.
const MAX_STALL: Micros = 60_000_000;
/// Rounds of rumor mongering in a probe period.
const RUMOR_ROUNDS_PER_PROBE: Micros = 4;
/// Rounds of alive queries in a probe period.
const QUERY_ROUNDS_PER_PROBE: Micros = 2;
/// XORed with the seed, so that the records' random numbers differ from those of [`Swim`].
const SEED_SALT: u64 = 0x7265_636f;

/// Counters of the record datagrams and of what they changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Datagrams dropped because they cannot be decoded: truncated, with a wrong checksum, with a value out of bounds,
    /// or of an unknown kind or format.
    pub garbled: u64,
    /// Datagrams dropped because the sender has our own address, or an incarnation that is outdated or counted as gone.
    pub rejected_sender: u64,
    /// Records and member digests about this front end that contradict what it published, which it refuted.
    pub refuted: u64,
    /// Repairs begun by other members in which the views differed, and which were answered.
    pub repairs: u64,
    /// Records of other members merged because they were newer than those known.
    pub merged: u64,
    /// Own records that were not published because they exceed a bound of [`Record::encode`].
    pub unpublished: u64,
}

/// The digest of this front end's view of the fleet; members with the same view have the same digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewDigest {
    /// The digest (see [`Directory::digest`]).
    pub value: u64,
    /// When it last changed, in microseconds.
    pub since: Micros,
}

/// One front end's membership and records.
pub struct Members {
    swim: Swim,
    directory: Directory,
    rumors: RumorQueue,
    liveness_checks: LivenessChecks,
    repair_schedule: RepairSchedule,
    rng: SmallRng,
    header: [u8; HEADER_BYTES],
    probe_period: Micros,
    /// How long no datagram may arrive before this front end considers itself cut off.
    isolation_timeout: Micros,
    /// The earliest time from which silence counts: when this front end last had no live peer, or the process stalled.
    silence_counts_from: Micros,
    /// When the next round of rumors is due.
    next_rumor_at: Micros,
    /// When the next round of alive queries is due.
    next_query_at: Micros,
    /// Whether this front end has left: it then sends and handles nothing more.
    has_left: bool,
    outbox: Vec<Outgoing>,
    events: Vec<TimedPeerEvent>,
    /// Whether members or records may have changed since [`Members::take_changed`] was last called.
    changed: bool,
    /// Whether the byte budget is too low for a complete repair: no repair is begun or answered, and no rumor
    /// forwarded.
    is_budget_low: bool,
    view_digest: ViewDigest,
    /// Counters of the record datagrams.
    pub counts: RecordCounts,
}

impl Members {
    /// The state of a front end that knows no peers and publishes `metadata`; `seed` is for random numbers.
    pub fn new(own: PeerId, metadata: Metadata, settings: SwimSettings, seed: u64) -> Members {
        let swim = Swim::new(own.addr, own.incarnation, settings, seed);
        let directory = Directory::new(Record {
            owner: own.addr,
            stamp: Stamp {
                incarnation: swim.own().incarnation,
                version: 1,
            },
            metadata,
        });
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_SALT);
        let probe_period = settings.probe_period.max(MIN_PROBE_PERIOD);
        let view_digest = ViewDigest {
            value: directory.digest(),
            since: 0,
        };
        Members {
            swim,
            directory,
            rumors: RumorQueue::default(),
            liveness_checks: LivenessChecks::new(
                probe_period / QUERY_ROUNDS_PER_PROBE,
                settings.suspicion_timeout + probe_period,
            ),
            repair_schedule: RepairSchedule::new(probe_period, &mut rng),
            next_rumor_at: rng.random_range(0..probe_period / RUMOR_ROUNDS_PER_PROBE),
            next_query_at: rng.random_range(0..probe_period / QUERY_ROUNDS_PER_PROBE),
            rng,
            header: header(RECORDS_VERSION, settings.cluster),
            probe_period,
            isolation_timeout: 2 * (settings.suspicion_timeout + 2 * probe_period),
            silence_counts_from: 0,
            has_left: false,
            outbox: Vec::new(),
            events: Vec::new(),
            changed: true,
            is_budget_low: false,
            view_digest,
            counts: RecordCounts::default(),
        }
    }

    /// Sets whether the byte budget is too low for a complete repair: no repair is begun or answered then, and no rumor
    /// forwarded.
    pub fn set_budget_low(&mut self, is_budget_low: bool) {
        self.is_budget_low = is_budget_low;
    }

    /// The SWIM membership.
    pub fn swim(&mut self) -> &mut Swim {
        &mut self.swim
    }

    /// The members and their records, as this front end knows them.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The number of live peers.
    pub fn alive(&self) -> usize {
        self.swim.alive()
    }

    /// The other members that accept clients; empty unless this front end accepts clients itself.
    pub fn ready(&self) -> Vec<SocketAddr> {
        if self.directory.own().metadata.lifecycle != Lifecycle::Ready {
            return Vec::new();
        }
        self.directory.ready().collect()
    }

    /// Whether members, or their records, may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        let own_change = std::mem::take(&mut self.changed);
        let swim_change = self.swim.take_changed();
        own_change || swim_change
    }

    /// The digest of this front end's view of the fleet.
    pub fn view_digest(&self) -> ViewDigest {
        self.view_digest
    }

    /// Removes and returns the datagrams to send.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        let mut out = self.swim.take_outbox();
        out.append(&mut self.outbox);
        out
    }

    /// Removes and returns the changes of membership since the last call.
    pub fn take_events(&mut self) -> Vec<TimedPeerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces what this front end publishes about itself; no new version is published if nothing changed.
    ///
    /// # Errors
    /// [`RecordError`] if the record would exceed a bound; the former one stays published.
    pub fn set_metadata(&mut self, now: Micros, metadata: Metadata) -> Result<(), RecordError> {
        if metadata == self.directory.own().metadata {
            return Ok(());
        }
        let next = Record {
            metadata,
            ..self.directory.own().clone()
        };
        if let Err(error) = next.encode() {
            self.counts.unpublished += 1;
            return Err(error);
        }
        self.publish_own(now, next.metadata, self.directory.own().stamp);
        Ok(())
    }

    /// Publishes our record with this metadata under a stamp larger than `above` and than our present one; membership
    /// also adopts a larger incarnation.
    fn publish_own(&mut self, now: Micros, metadata: Metadata, above: Stamp) {
        let Some(stamp) = above.max(self.directory.own().stamp).next() else {
            return;
        };
        let owner = self.directory.own().owner;
        self.directory.set_own(Record {
            owner,
            stamp,
            metadata,
        });
        if stamp.incarnation > self.swim.own().incarnation {
            self.swim.renew(now, stamp.incarnation);
        }
        self.rumors.push_own(owner);
        self.next_rumor_at = self.next_rumor_at.min(now);
        self.repair_schedule.speed_up(now);
        self.sync_directory(now);
    }

    /// Publishes our record unchanged under a stamp larger than `above`.
    fn republish_own(&mut self, now: Micros, above: Stamp) {
        let metadata = self.directory.own().metadata.clone();
        self.publish_own(now, metadata, above);
    }

    /// Publishes that this front end leaves, then ends all its gossip. Later calls do nothing.
    pub fn leave(&mut self, now: Micros) {
        if self.has_left {
            return;
        }
        let metadata = Metadata {
            lifecycle: Lifecycle::Leaving,
            ..self.directory.own().metadata.clone()
        };
        let _ = self.set_metadata(now, metadata); // the record's size does not change
        let own = self.directory.own().clone();
        let peers: Vec<SocketAddr> = self.directory.alive().map(|id| id.addr).collect();
        for to in choose_random(&mut self.rng, peers, LEAVE_FANOUT) {
            let message = Message::Records {
                is_update: true,
                records: vec![own.clone()],
            };
            self.send(to, TrafficKind::Probe, message);
        }
        self.has_left = true;
        self.swim.leave(now, self.directory.is_mixed());
        self.sync_directory(now);
    }

    /// When [`Members::tick`] is due next; `Micros::MAX` after this front end has left.
    pub fn next_wakeup(&self) -> Micros {
        if self.has_left {
            return Micros::MAX;
        }
        let mut next = self.repair_schedule.next_at().min(self.next_query_at);
        if !self.rumors.is_empty() {
            next = next.min(self.next_rumor_at);
        }
        self.swim.next_wakeup().unwrap_or(Micros::MAX).min(next)
    }

    /// Accounts for a `span` up to `now` in which the process did not run; after more than `MAX_STALL` the view of the
    /// fleet is dropped.
    pub fn handle_stall(&mut self, now: Micros, span: Micros) {
        self.swim.handle_stall(span);
        self.silence_counts_from = now;
        self.sync_directory(now);
        if span > MAX_STALL {
            self.restart(now);
        }
    }

    /// Drops all members and records, as they are out of date, and continues under the next incarnation. Only the
    /// addresses of former members are kept, to rejoin through them.
    fn restart(&mut self, now: Micros) {
        self.swim.restart(now);
        self.directory.forget_all();
        self.sync_directory(now);
    }

    /// Applies the changes of membership to the directory, republishes our record if our incarnation was raised, and
    /// updates the view's digest.
    fn sync_directory(&mut self, now: Micros) {
        for timed in self.swim.take_events() {
            self.apply_event(now, timed);
        }
        let incarnation = self.swim.own().incarnation;
        if incarnation > self.directory.own().stamp.incarnation {
            let above = Stamp {
                incarnation,
                version: 0,
            };
            self.republish_own(now, above);
        }
        let digest = self.directory.digest();
        if digest != self.view_digest.value {
            self.view_digest = ViewDigest {
                value: digest,
                since: now,
            };
            self.changed = true;
        }
    }

    /// Applies a change of membership to the directory and queues it as an event; a member that goes down after it
    /// announced its leave is reported as [`PeerEvent::Left`].
    fn apply_event(&mut self, now: Micros, timed: TimedPeerEvent) {
        let TimedPeerEvent { at, mut event } = timed;
        match event {
            PeerEvent::Up(id) => {
                self.directory.mark_alive(at, id);
                self.liveness_checks.member_alive(id);
                self.repair_schedule.speed_up(now);
            }
            PeerEvent::Down(id) => {
                self.liveness_checks.member_gone(id);
                if self.directory.mark_gone(at, id) == Liveness::Left {
                    event = PeerEvent::Left(id);
                }
            }
            PeerEvent::NewIncarnation(id) => {
                self.directory.update_incarnation(id);
                self.liveness_checks.member_alive(id);
            }
            PeerEvent::Left(_) | PeerEvent::Isolated | PeerEvent::Rejoined => {}
        }
        self.changed = true;
        self.events.push(TimedPeerEvent { at, event });
    }

    /// Queues a message to another member. A message that is too large or addressed to this front end is dropped.
    fn send(&mut self, to: SocketAddr, kind: TrafficKind, message: Message) {
        let from = self.swim.own();
        if to == from.addr {
            return;
        }
        let envelope = Envelope { from, message };
        if let Some(bytes) = envelope.encode(&self.header) {
            self.outbox.push(Outgoing { to, kind, bytes });
        }
    }
}

/// At most `count` random ones of these addresses.
fn choose_random(rng: &mut SmallRng, mut from: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
    for index in 0..count.min(from.len()) {
        let other = rng.random_range(index..from.len());
        from.swap(index, other);
    }
    from.truncate(count);
    from
}
