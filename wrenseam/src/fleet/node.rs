//! One front end's gossip as a whole, without I/O: membership and records ([`Members`]), the mean pressure
//! ([`Average`]), the budget of bytes ([`Traffic`]), the way back to peers that were cut off, and the summaries that
//! front ends from before the averaging want to hear.
use super::average::Average;
use super::identity::{PeerId, AVERAGE_VERSION};
use super::members::Members;
use super::record::{Lifecycle, Metadata, RecordError};
use super::status::FleetStatus;
use super::swim::{PeerEvent, SwimSettings};
use super::traffic::{Outgoing, Traffic, TrafficKind};
use super::Summary;
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Least probe periods between two asks whether a lost peer is back.
const ASK_LOST_PROBES: Micros = 5;
/// Asks of the whole fleet to lost peers in a probe period, about: each front end's pause grows with the size.
const ASK_LOST_FLEET: Micros = 10;
/// While more than one in so many members came in the last probe period, the list is still filling: a front end
/// that starts asks more peers for theirs, since one answer holds some 60 members.
const FILLING: usize = 20;
/// Peers asked for their lists in a probe period while one's own is filling.
const ASK_FILLING: usize = 2;

/// What waited in the socket while the process did not run for longer than a suspicion is out of date, and may declare
/// down who has come back since: so long takes reading it, and it is dropped.
const BACKLOG_READ_IN: Micros = 20_000;

/// Times that an update of a member is retransmitted besides foca's 4 log10 N. As a zone or a region goes, up to half of
/// those times are spent on peers that are gone too: of 11 at 660 some 5 are left, and one in 200 misses it.
pub const EXTRA_TRANSMISSIONS: u8 = 5;

/// The settings of a node: those of membership, what it says of itself, and whether to bear with summaries.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Membership's settings.
    pub swim: SwimSettings,
    /// What this front end says of itself at its start.
    pub metadata: Metadata,
    /// Peers asked to let us join; asked again when not counted alive.
    pub seeds: Vec<SocketAddr>,
    /// Whether to publish summaries while a front end from before the averaging is heard.
    pub summaries: bool,
}

/// One front end's gossip.
pub struct Node {
    members: Members,
    average: Average,
    traffic: Traffic,
    settings: NodeSettings,
    rng: SmallRng,
    ask_lost_at: Micros,
    /// When [`Node::tick`] was last wanted or run, whichever is later: it shows whether the process ran.
    expected_at: Option<Micros>,
    /// Until when datagrams are dropped that waited while the process did not run.
    stale_until: Micros,
    /// Members that came since the last [`Node::publish`].
    came: usize,
    /// Peers that drained or were leaving at the last [`Node::publish`], and those that left since.
    draining: usize,
    left: usize,
    pressure: u32,
    now: Micros,
}

impl Node {
    /// The front end at `own` in its `incarnation`, with a seeded generator.
    pub fn new(own: SocketAddr, incarnation: u64, settings: NodeSettings, seed: u64) -> Node {
        let (cluster, probe) = (settings.swim.cluster, settings.swim.probe);
        let id = PeerId {
            addr: own,
            incarnation,
        };
        Node {
            members: Members::new(id, settings.metadata.clone(), settings.swim, seed),
            average: Average::new(id, cluster, probe, seed),
            traffic: Traffic::default(),
            settings,
            rng: SmallRng::seed_from_u64(seed ^ 0x6c6f_7374),
            ask_lost_at: 0,
            expected_at: None,
            stale_until: 0,
            came: 0,
            draining: 0,
            left: 0,
            pressure: 0,
            now: 0,
        }
    }

    /// Takes a datagram that came at `now`.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.now = now;
        if now < self.stale_until {
            return;
        }
        self.members.set_budget_low(self.traffic.is_budget_low(now));
        if self.members.swim().is_ours(bytes, AVERAGE_VERSION) {
            if let Some(from) = self.average.datagram(now, bytes) {
                self.members.swim().detector().heard(now, from.addr);
            }
        } else {
            self.members.datagram(now, bytes);
        }
    }

    /// When [`Node::tick`] is wanted next.
    pub fn next(&self) -> Micros {
        self.members.next().min(self.average.next())
    }

    /// Runs what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        self.detect_stall(now);
        self.members.set_budget_low(self.traffic.is_budget_low(now));
        self.members.tick(now);
        if now >= self.average.next() {
            self.update_neighbours(now);
        }
        self.average.tick(now);
        self.expected_at = Some(self.next().max(now));
    }

    /// Whoever was stopped or starved for more than half a probe period must not take the others' silence in that time
    /// for theirs.
    fn detect_stall(&mut self, now: Micros) {
        let late = self.expected_at.map_or(0, |at| now.saturating_sub(at));
        if late > self.settings.swim.probe / 2 {
            self.members.stalled(now, late);
        }
        if late > self.settings.swim.suspect_for {
            self.stale_until = now + BACKLOG_READ_IN;
        }
    }

    /// The averaging's neighbours follow a change of the members: when its turn comes, and not with each datagram.
    fn update_neighbours(&mut self, now: Micros) {
        if self.members.changed() {
            let ready = self.members.ready();
            self.average.members(now, ready.into_iter());
        }
    }

    /// Changes what this front end says of itself, where `change` does.
    ///
    /// # Errors
    /// [`RecordError`] where the record would be beyond its bounds; the former one holds on.
    pub fn update(
        &mut self,
        now: Micros,
        change: impl FnOnce(&mut Metadata),
    ) -> Result<(), RecordError> {
        self.now = now;
        let mut metadata = self.members.directory().own().metadata.clone();
        change(&mut metadata);
        self.members.set_metadata(now, metadata)
    }

    /// Tells the fleet that this front end leaves; it takes part in nothing from here on.
    pub fn leave(&mut self, now: Micros) {
        self.now = now;
        self.members.leave(now);
    }

    /// Each probe period: tells the fleet our load, asks for peers that are missing, and says how the fleet is.
    pub fn publish(&mut self, now: Micros, own: Summary) -> FleetStatus {
        self.now = now;
        self.average.set(own.pressure);
        let swim = self.members.swim();
        let mixed = self.settings.summaries && swim.mixed(now);
        if mixed {
            swim.publish(now, Summary { views: true, ..own });
        } else {
            swim.stop_publishing();
        }
        swim.set_reduced_gossip(self.traffic.is_budget_low(now));
        if std::mem::take(&mut self.came) * FILLING > swim.alive() {
            (0..ASK_FILLING).for_each(|_| swim.ask_for_members(now, self.rng.random()));
        }
        self.ask_missing(now);
        let swim = self.members.swim();
        self.pressure = if mixed {
            swim.pressure(now, own.pressure)
        } else {
            self.average.pressure()
        };
        let (alive, dropped) = (swim.alive(), swim.dropped);
        let health_multiplier = swim.detector().factor();
        let by_lifecycle = self.members.directory().by_lifecycle();
        let (digest, since) = self.members.digest();
        FleetStatus {
            alive,
            by_lifecycle,
            departed: self.departed(&by_lifecycle),
            digest,
            digest_stood: now.saturating_sub(since),
            pressure: self.pressure,
            edges: self.average.edges(),
            mixed,
            health_multiplier,
            bytes_sent: self.traffic.sent,
            bytes_held_back: self.traffic.held_back,
            records: self.members.counts,
            dropped,
            average_dropped: self.average.dropped,
        }
    }

    /// Peers that stopped counting by their own word since the last call.
    fn departed(&mut self, by_lifecycle: &[usize; Lifecycle::ALL.len()]) -> usize {
        let draining =
            by_lifecycle[Lifecycle::Draining as usize] + by_lifecycle[Lifecycle::Leaving as usize];
        let left = std::mem::take(&mut self.left);
        let before = std::mem::replace(&mut self.draining, draining);
        (draining + left).saturating_sub(before)
    }

    /// Asks the seeds while alone; else now and then one seed or lost peer that is not counted alive, so that
    /// parts of a fleet find each other again however long they were cut.
    fn ask_missing(&mut self, now: Micros) {
        let alone = self.members.alive() == 0;
        if alone {
            let seeds = self.settings.seeds.clone();
            seeds.iter().for_each(|&s| self.members.swim().join(now, s));
        }
        if now < self.ask_lost_at {
            return;
        }
        let size = self.members.alive() as Micros + 1;
        let pause = self.settings.swim.probe * ASK_LOST_PROBES.max(size / ASK_LOST_FLEET);
        // From half to one and a half of the pause, so that front ends cut at once do not ask at once.
        let pause = if alone {
            self.settings.swim.probe
        } else {
            pause
        };
        self.ask_lost_at = now + pause / 2 + self.rng.random_range(0..=pause);
        let directory = self.members.directory();
        let alive: BTreeSet<SocketAddr> = directory.alive().map(|id| id.addr).collect();
        let mut missing: BTreeSet<SocketAddr> = directory.lost().collect();
        missing.extend(
            self.settings
                .seeds
                .iter()
                .filter(|addr| !alive.contains(addr)),
        );
        if !missing.is_empty() {
            let which = self.rng.random_range(0..missing.len());
            let one = missing.into_iter().nth(which);
            one.into_iter()
                .for_each(|addr| self.members.swim().join(now, addr));
        }
    }

    /// Datagrams to send, with their addresses: as far as the budget of bytes allows.
    pub fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let average = self.average.outbox().into_iter();
        let average = average.map(|(to, bytes)| Outgoing {
            to,
            kind: TrafficKind::Average,
            bytes,
        });
        let mut out = self.members.outbox();
        out.extend(average);
        out.sort_by_key(|outgoing| outgoing.kind as usize); // what is least dispensable takes its part first
        let (now, traffic) = (self.now, &mut self.traffic);
        out.retain(|outgoing| traffic.admit(now, outgoing.kind, outgoing.bytes.len()));
        out.into_iter()
            .map(|outgoing| (outgoing.to, outgoing.bytes))
            .collect()
    }

    /// Changes of membership since the last call, with when they were noticed.
    pub fn events(&mut self) -> Vec<(Micros, PeerEvent)> {
        let events = self.members.events();
        self.came += events
            .iter()
            .filter(|(_, event)| matches!(event, PeerEvent::Up(_)))
            .count();
        self.left += events
            .iter()
            .filter(|(_, event)| matches!(event, PeerEvent::Left(_)))
            .count();
        events
    }

    /// Peers counted alive.
    pub fn alive(&self) -> usize {
        self.members.alive()
    }

    /// Membership and records.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The fleet's mean pressure in thousandths as it stands between two calls of [`Node::publish`].
    pub fn pressure(&self) -> u32 {
        self.pressure
    }
}
