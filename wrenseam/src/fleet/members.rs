//! Who is in the fleet and what each says of itself: membership ([`Swim`]), the records ([`Directory`]), and the
//! datagrams that keep both the same everywhere. No I/O; docs/fleet-view.md has the design.
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
use super::swim::{PeerEvent, Swim, SwimSettings};
use super::traffic::{Outgoing, TrafficKind};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Members that are told at once that this front end leaves.
const TOLD_OF_LEAVE: usize = 16;
/// Relays asked besides a suspect itself.
const RELAYS: usize = 2;
/// A process that did not run for so long knows nothing any more that it could tell: it begins anew.
const STALE_AFTER: Micros = 60_000_000;

/// What became of the datagrams of records, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Dropped: cut short, a checksum or a bound not kept, or of an unknown form.
    pub garbled: u64,
    /// Dropped: from a sender that is no member, or whose incarnation is past.
    pub stranger: u64,
    /// Records and member digests of what this front end never said of itself.
    pub impostor: u64,
    /// Repairs in which the views differed.
    pub repairs: u64,
    /// Records taken because they were newer.
    pub taken: u64,
    /// Own records that were beyond their bounds and not published.
    pub refused: u64,
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
    /// Since when there was anybody to hear.
    accompanied: Micros,
    rumor_at: Micros,
    query_at: Micros,
    leaving: bool,
    out: Vec<Outgoing>,
    events: Vec<(Micros, PeerEvent)>,
    changed: bool,
    /// Whether the budget of bytes leaves no room for a whole repair: none is begun, and no rumor passed on.
    is_budget_low: bool,
    digest: u64,
    digest_since: Micros,
    /// What became of the datagrams of records.
    pub counts: RecordCounts,
}

impl Members {
    /// The front end at `own` in its `incarnation`, which says this of itself.
    pub fn new(own: PeerId, metadata: Metadata, settings: SwimSettings, seed: u64) -> Members {
        let swim = Swim::new(own.addr, own.incarnation, settings, seed);
        let stamp = Stamp {
            incarnation: swim.own().incarnation,
            version: 1,
        };
        let directory = Directory::new(Record {
            owner: own.addr,
            stamp,
            metadata,
        });
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x7265_636f);
        let probe = settings.probe.max(10_000);
        let digest = directory.digest();
        Members {
            swim,
            directory,
            rumors: RumorQueue::default(),
            liveness_checks: LivenessChecks::new(probe / 2, settings.suspect_for + probe),
            repair_schedule: RepairSchedule::new(probe, &mut rng),
            rumor_at: rng.random_range(0..probe / 4),
            query_at: rng.random_range(0..probe / 2),
            rng,
            header: header(RECORDS_VERSION, settings.cluster),
            probe,
            isolated_after: 2 * (settings.suspect_for + 2 * probe),
            accompanied: 0,
            leaving: false,
            out: Vec::new(),
            events: Vec::new(),
            changed: true,
            is_budget_low: false,
            digest,
            digest_since: 0,
            counts: RecordCounts::default(),
        }
    }

    /// Whether the budget of bytes leaves no room for a whole repair.
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

    /// The other members that take clients, if this front end does so itself; else none.
    pub fn ready(&self) -> Vec<SocketAddr> {
        if self.directory.own().metadata.lifecycle != Lifecycle::Ready {
            return Vec::new();
        }
        self.directory.ready().collect()
    }

    /// Whether members, or what they say, may have changed since the last call.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed) | self.swim.changed()
    }

    /// The digest of the whole view, and since when it has stood.
    pub fn digest(&self) -> (u64, Micros) {
        (self.digest, self.digest_since)
    }

    /// Datagrams to send.
    pub fn outbox(&mut self) -> Vec<Outgoing> {
        let mut out = self.swim.outbox();
        out.append(&mut self.out);
        out
    }

    /// Changes of membership since the last call, with when they were noticed.
    pub fn events(&mut self) -> Vec<(Micros, PeerEvent)> {
        std::mem::take(&mut self.events)
    }

    /// Changes what this front end says of itself.
    ///
    /// # Errors
    /// [`RecordError`] where the record would be beyond its bounds; the former one holds on.
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
        self.rumors.add_own(owner);
        self.rumor_at = self.rumor_at.min(now);
        self.repair_schedule.views_differ(now);
        self.sync_directory(now);
    }

    /// Tells the fleet that this front end leaves; it takes part in nothing from here on.
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
        for to in pick(&mut self.rng, peers, TOLD_OF_LEAVE) {
            let news = Message::Records {
                news: true,
                records: vec![own.clone()],
            };
            self.send(to, TrafficKind::Probe, news);
        }
        self.leaving = true;
        self.swim.leave(now, self.directory.is_mixed());
        self.sync_directory(now);
    }

    /// When [`Members::tick`] is wanted next.
    pub fn next(&self) -> Micros {
        if self.leaving {
            return Micros::MAX;
        }
        let rumor = if self.rumors.is_empty() {
            Micros::MAX
        } else {
            self.rumor_at
        };
        let own = self.repair_schedule.next().min(rumor).min(self.query_at);
        self.swim.next().unwrap_or(Micros::MAX).min(own)
    }

    /// The process did not run for so long, up to now.
    pub fn stalled(&mut self, now: Micros, span: Micros) {
        self.swim.stalled(span);
        self.accompanied = now;
        self.sync_directory(now);
        if span > STALE_AFTER {
            self.restart(now);
        }
    }

    /// Begins anew as a front end that knows nobody, but where there were others: what it knew of them is too old to
    /// be told.
    fn restart(&mut self, now: Micros) {
        self.swim.restart(now);
        self.directory.forget_all();
        self.sync_directory(now);
    }

    /// Brings the directory in line with what membership noticed, and our own record with our incarnation.
    fn sync_directory(&mut self, now: Micros) {
        for (at, event) in self.swim.events() {
            let told = match event {
                PeerEvent::Up(id) => {
                    self.directory.up(at, id);
                    self.liveness_checks.sync_directory(id, false);
                    self.repair_schedule.views_differ(now);
                    event
                }
                PeerEvent::Down(id) => {
                    self.liveness_checks.sync_directory(id, true);
                    match self.directory.gone(at, id) {
                        Liveness::Left => PeerEvent::Left(id),
                        _ => event,
                    }
                }
                PeerEvent::NewIncarnation(id) => {
                    self.directory.update_incarnation(id);
                    self.liveness_checks.sync_directory(id, false);
                    event
                }
                PeerEvent::Left(_) | PeerEvent::Isolated | PeerEvent::Rejoined => event,
            };
            self.changed = true;
            self.events.push((at, told));
        }
        let incarnation = self.swim.own().incarnation;
        if incarnation > self.directory.own().stamp.incarnation {
            let metadata = self.directory.own().metadata.clone();
            self.publish_own(
                now,
                metadata,
                Stamp {
                    incarnation,
                    version: 0,
                },
            );
        }
        let digest = self.directory.digest();
        if digest != self.digest {
            (self.digest, self.digest_since, self.changed) = (digest, now, true);
        }
    }

    fn send(&mut self, to: SocketAddr, kind: TrafficKind, message: Message) {
        let envelope = Envelope {
            from: self.swim.own(),
            message,
        };
        if let Some(bytes) = envelope
            .encode(&self.header)
            .filter(|_| to != self.swim.own().addr)
        {
            self.out.push(Outgoing { to, kind, bytes });
        }
    }
}

/// So many of these at random, or all.
fn pick(rng: &mut SmallRng, mut from: Vec<SocketAddr>, most: usize) -> Vec<SocketAddr> {
    for i in 0..most.min(from.len()) {
        let other = rng.random_range(i..from.len());
        from.swap(i, other);
    }
    from.truncate(most);
    from
}
