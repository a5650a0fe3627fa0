//! Who is in the fleet and what each member publishes about itself: membership ([`Swim`]), the records
//! ([`Directory`]), and the datagrams that keep both the same everywhere. No I/O; docs/fleet-view.md has the design.
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
use super::swim::{PeerEvent, Swim, SwimSettings, TimedPeerEvent, SHORTEST_PROBE};
use super::traffic::{Outgoing, TrafficKind};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Members that are notified at once that this front end leaves.
const NOTIFIED_OF_LEAVE: usize = 16;
/// A process that did not run for so long, in microseconds, knows nothing that is still worth telling: it begins anew.
const STALE_AFTER: Micros = 60_000_000;
/// Rounds of rumors in a probe period.
const RUMOR_ROUNDS_A_PROBE: Micros = 4;
/// Rounds of queries in a probe period.
const QUERY_ROUNDS_A_PROBE: Micros = 2;
/// Mixed into the seed, so that the records draw other numbers than membership.
const SEED_SALT: u64 = 0x7265_636f;

/// What became of the datagrams of records, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Dropped: cut short, a checksum or a bound not kept, or of an unknown form.
    pub garbled: u64,
    /// Dropped: from a sender that is no member, or whose incarnation is past.
    pub stranger: u64,
    /// Records and member digests of what this front end never published.
    pub impostor: u64,
    /// Repairs in which the views differed.
    pub repairs: u64,
    /// Records taken because they were newer.
    pub taken: u64,
    /// Own records that were beyond their bounds and not published.
    pub refused: u64,
}

/// The digest of the whole view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewDigest {
    /// The digest.
    pub value: u64,
    /// Since when it has stood.
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
    probe: Micros,
    /// After how long without any datagram this front end takes itself for cut off.
    isolated_after: Micros,
    /// When there was last nobody to hear, or the process had not run: silence counts from then on.
    silence_excused_at: Micros,
    rumor_at: Micros,
    query_at: Micros,
    leaving: bool,
    outbox: Vec<Outgoing>,
    events: Vec<TimedPeerEvent>,
    changed: bool,
    /// Whether the byte budget leaves no room for a complete repair: none is begun, and no rumor passed on.
    is_budget_low: bool,
    view_digest: ViewDigest,
    /// What became of the datagrams of records.
    pub counts: RecordCounts,
}

impl Members {
    /// The front end at `own` in its `incarnation`, which publishes this about itself.
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
        let probe = settings.probe.max(SHORTEST_PROBE);
        let view_digest = ViewDigest {
            value: directory.digest(),
            since: 0,
        };
        Members {
            swim,
            directory,
            rumors: RumorQueue::default(),
            liveness_checks: LivenessChecks::new(
                probe / QUERY_ROUNDS_A_PROBE,
                settings.suspect_for + probe,
            ),
            repair_schedule: RepairSchedule::new(probe, &mut rng),
            rumor_at: rng.random_range(0..probe / RUMOR_ROUNDS_A_PROBE),
            query_at: rng.random_range(0..probe / QUERY_ROUNDS_A_PROBE),
            rng,
            header: header(RECORDS_VERSION, settings.cluster),
            probe,
            isolated_after: 2 * (settings.suspect_for + 2 * probe),
            silence_excused_at: 0,
            leaving: false,
            outbox: Vec::new(),
            events: Vec::new(),
            changed: true,
            is_budget_low: false,
            view_digest,
            counts: RecordCounts::default(),
        }
    }

    /// Whether the byte budget leaves no room for a complete repair.
    pub fn set_budget_low(&mut self, is_budget_low: bool) {
        self.is_budget_low = is_budget_low;
    }

    /// Membership.
    pub fn swim(&mut self) -> &mut Swim {
        &mut self.swim
    }

    /// Members and their records.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Peers counted alive.
    pub fn alive(&self) -> usize {
        self.swim.alive()
    }

    /// The other members that accept clients, if this front end does so itself; else none.
    pub fn ready(&self) -> Vec<SocketAddr> {
        if self.directory.own().metadata.lifecycle != Lifecycle::Ready {
            return Vec::new();
        }
        self.directory.ready().collect()
    }

    /// Whether members, or their records, may have changed since the last call.
    pub fn changed(&mut self) -> bool {
        let own_change = std::mem::take(&mut self.changed);
        let swim_change = self.swim.changed();
        own_change || swim_change
    }

    /// The digest of the whole view, and since when it has stood.
    pub fn view_digest(&self) -> ViewDigest {
        self.view_digest
    }

    /// Datagrams to send; they are the caller's from then on.
    pub fn outbox(&mut self) -> Vec<Outgoing> {
        let mut out = self.swim.outbox();
        out.append(&mut self.outbox);
        out
    }

    /// Changes of membership since the last call.
    pub fn events(&mut self) -> Vec<TimedPeerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Changes what this front end publishes about itself.
    ///
    /// # Errors
    /// [`RecordError`] where the record would be beyond its bounds; the former one stays.
    pub fn set_metadata(&mut self, now: Micros, metadata: Metadata) -> Result<(), RecordError> {
        if metadata == self.directory.own().metadata {
            return Ok(());
        }
        let next = Record {
            metadata,
            ..self.directory.own().clone()
        };
        if let Err(error) = next.encode() {
            self.counts.refused += 1;
            return Err(error);
        }
        self.publish_own(now, next.metadata, self.directory.own().stamp);
        Ok(())
    }

    /// Publishes these metadata under a stamp larger than `past`.
    fn publish_own(&mut self, now: Micros, metadata: Metadata, past: Stamp) {
        let Some(stamp) = past.max(self.directory.own().stamp).next() else {
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
        self.rumor_at = self.rumor_at.min(now);
        self.repair_schedule.speed_up(now);
        self.sync_directory(now);
    }

    /// Publishes what we published before under a stamp larger than `past`.
    fn republish_own(&mut self, now: Micros, past: Stamp) {
        let metadata = self.directory.own().metadata.clone();
        self.publish_own(now, metadata, past);
    }

    /// Notifies the fleet that this front end leaves; it takes part in nothing from here on.
    pub fn leave(&mut self, now: Micros) {
        if self.leaving {
            return;
        }
        let metadata = Metadata {
            lifecycle: Lifecycle::Leaving,
            ..self.directory.own().metadata.clone()
        };
        let _ = self.set_metadata(now, metadata); // no larger than the one before
        let own = self.directory.own().clone();
        let peers: Vec<SocketAddr> = self.directory.alive().map(|id| id.addr).collect();
        for to in pick(&mut self.rng, peers, NOTIFIED_OF_LEAVE) {
            let message = Message::Records {
                is_update: true,
                records: vec![own.clone()],
            };
            self.send(to, TrafficKind::Probe, message);
        }
        self.leaving = true;
        self.swim.leave(now, self.directory.is_mixed());
        self.sync_directory(now);
    }

    /// When [`Members::tick`] is wanted next.
    pub fn next_wakeup(&self) -> Micros {
        if self.leaving {
            return Micros::MAX;
        }
        let mut next = self.repair_schedule.next_at().min(self.query_at);
        if !self.rumors.is_empty() {
            next = next.min(self.rumor_at);
        }
        self.swim.next_wakeup().unwrap_or(Micros::MAX).min(next)
    }

    /// The process did not run for so long, up to now.
    pub fn stalled(&mut self, now: Micros, span: Micros) {
        self.swim.stalled(span);
        self.silence_excused_at = now;
        self.sync_directory(now);
        if span > STALE_AFTER {
            self.restart(now);
        }
    }

    /// Begins anew as a front end that knows nobody, but where there were others: what it knew of them is out of date.
    fn restart(&mut self, now: Micros) {
        self.swim.restart(now);
        self.directory.forget_all();
        self.sync_directory(now);
    }

    /// Brings the directory in line with what membership noticed, and our own record with our incarnation.
    fn sync_directory(&mut self, now: Micros) {
        for timed in self.swim.events() {
            self.apply_event(now, timed);
        }
        let incarnation = self.swim.own().incarnation;
        if incarnation > self.directory.own().stamp.incarnation {
            let past = Stamp {
                incarnation,
                version: 0,
            };
            self.republish_own(now, past);
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

    /// Takes a change of membership over into the directory, and notes it; a member that goes after it said so is noted
    /// as one that left.
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

    /// Sends a message to another member; one that is beyond its bounds is not sent.
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

/// `most` of these at random, or all.
fn pick(rng: &mut SmallRng, mut from: Vec<SocketAddr>, most: usize) -> Vec<SocketAddr> {
    for index in 0..most.min(from.len()) {
        let other = rng.random_range(index..from.len());
        from.swap(index, other);
    }
    from.truncate(most);
    from
}
