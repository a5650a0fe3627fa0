//! One front end's gossip as a whole, without I/O: membership and records ([`Members`]), the mean pressure
//! ([`Average`]), the byte budget ([`ByteBudget`]), the way back to peers that were cut off, and the summaries that
//! front ends without averaging want to hear.
use super::average::Average;
use super::identity::{PeerId, AVERAGE_VERSION};
use super::members::Members;
use super::record::{Lifecycle, Metadata, RecordError};
use super::status::FleetStatus;
use super::swim::{PeerEvent, SwimSettings, TimedPeerEvent};
use super::traffic::{ByteBudget, Outgoing};
use super::Summary;
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Least probe periods between two joins by way of a lost peer.
const LOST_JOIN_PROBES: Micros = 5;
/// Joins by way of lost peers of the whole fleet in a probe period, about: each front end's pause grows with the size.
const LOST_JOINS_A_PROBE: Micros = 10;
/// While more than one in so many members came in the last probe period, the member list is still filling: a front end
/// that starts asks more peers for theirs, since one answer holds some 60 members.
const FILLING_PART: usize = 20;
/// Peers asked for their member lists in a probe period while one's own is filling.
const LISTS_A_PROBE: usize = 2;

/// What waited in the socket while the process did not run for longer than a suspicion is out of date, and may declare
/// down a peer that has come back since: so long takes reading it, in microseconds, and it is dropped.
const BACKLOG_READ_TIME: Micros = 20_000;

/// Times that an update of a member is retransmitted besides foca's 4 log10 N. As a zone or a region goes, up to half
/// of those times are spent on peers that are gone too: of 11 at 660 some 5 are left, and one in 200 misses it.
pub const EXTRA_TRANSMISSIONS: u8 = 5;

/// Mixed into the seed, so that the node draws other numbers than its parts.
const SEED_SALT: u64 = 0x6c6f_7374;

/// The settings of a node: those of membership, its metadata, and whether to gossip summaries.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Membership's settings.
    pub swim: SwimSettings,
    /// What this front end publishes about itself at its start.
    pub metadata: Metadata,
    /// Peers asked to let us join; asked again when not counted alive.
    pub seeds: Vec<SocketAddr>,
    /// Whether to publish summaries while a front end without averaging is heard.
    pub summaries: bool,
}

/// One front end's gossip.
pub struct Node {
    members: Members,
    average: Average,
    byte_budget: ByteBudget,
    settings: NodeSettings,
    rng: SmallRng,
    /// When a join by way of a lost peer is due.
    lost_join_at: Micros,
    /// When [`Node::tick`] was last wanted or run, whichever is later: it shows whether the process ran.
    expected_at: Option<Micros>,
    /// Until when datagrams are dropped that waited while the process did not run.
    backlog_until: Micros,
    /// Members that came up since the last [`Node::publish`].
    joined: usize,
    /// Members that left since the last [`Node::publish`].
    left: usize,
    /// Peers that were draining or leaving at the last [`Node::publish`].
    draining: usize,
    pressure: u32,
    now: Micros,
}

impl Node {
    /// The front end at `own` in its `incarnation`, with a seeded generator.
    pub fn new(own: SocketAddr, incarnation: u64, settings: NodeSettings, seed: u64) -> Node {
        let id = PeerId {
            addr: own,
            incarnation,
        };
        Node {
            members: Members::new(id, settings.metadata.clone(), settings.swim, seed),
            average: Average::new(id, settings.swim.cluster, settings.swim.probe, seed),
            byte_budget: ByteBudget::default(),
            settings,
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            lost_join_at: 0,
            expected_at: None,
            backlog_until: 0,
            joined: 0,
            left: 0,
            draining: 0,
            pressure: 0,
            now: 0,
        }
    }

    /// Takes a datagram that came at `now`.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.now = now;
        if now < self.backlog_until {
            return;
        }
        self.members.set_budget_low(self.byte_budget.is_low(now));
        if !self.members.swim().is_ours(bytes, AVERAGE_VERSION) {
            self.members.handle_datagram(now, bytes);
            return;
        }
        if let Some(from) = self.average.handle_datagram(now, bytes) {
            self.members.swim().detector().heard(now, from.addr);
        }
    }

    /// When [`Node::tick`] is wanted next.
    pub fn next_wakeup(&self) -> Micros {
        self.members.next_wakeup().min(self.average.next_wakeup())
    }

    /// Runs what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        self.detect_stall(now);
        self.members.set_budget_low(self.byte_budget.is_low(now));
        self.members.tick(now);
        if now >= self.average.next_wakeup() {
            self.update_neighbours(now);
        }
        self.average.tick(now);
        self.expected_at = Some(self.next_wakeup().max(now));
    }

    /// A process that was stopped or starved for more than half a probe period must not take the others' silence in
    /// that time for theirs.
    fn detect_stall(&mut self, now: Micros) {
        let late = self.expected_at.map_or(0, |at| now.saturating_sub(at));
        if late > self.settings.swim.probe / 2 {
            self.members.stalled(now, late);
        }
        if late > self.settings.swim.suspect_for {
            self.backlog_until = now + BACKLOG_READ_TIME;
        }
    }

    /// The averaging's neighbours follow a change of the members: when its turn comes, and not with each datagram.
    fn update_neighbours(&mut self, now: Micros) {
        if self.members.changed() {
            let ready = self.members.ready();
            self.average.set_members(now, ready.into_iter());
        }
    }

    /// Changes what this front end publishes about itself, where `change` does.
    ///
    /// # Errors
    /// [`RecordError`] where the record would be beyond its bounds; the former one stays.
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

    /// Notifies the fleet that this front end leaves; it takes part in nothing from here on.
    pub fn leave(&mut self, now: Micros) {
        self.now = now;
        self.members.leave(now);
    }

    /// Each probe period: publishes our load, looks for peers that are missing, and reports how the fleet is.
    pub fn publish(&mut self, now: Micros, own: Summary) -> FleetStatus {
        self.now = now;
        self.average.set_pressure(own.pressure);
        let mixed = self.publish_summary(now, own);
        let is_low = self.byte_budget.is_low(now);
        self.members.swim().set_reduced_gossip(is_low);
        self.fill_member_list(now);
        self.rejoin_missing(now);
        self.pressure = if mixed {
            self.members.swim().pressure(now, own.pressure)
        } else {
            self.average.pressure()
        };
        self.status(now, mixed)
    }

    /// Gossips our load summary while a front end without averaging is in the fleet; whether there is one.
    fn publish_summary(&mut self, now: Micros, own: Summary) -> bool {
        let swim = self.members.swim();
        let mixed = self.settings.summaries && swim.is_mixed(now);
        if mixed {
            let summary = Summary {
                supports_averaging: true,
                ..own
            };
            swim.publish(now, summary);
        } else {
            swim.stop_publishing();
        }
        mixed
    }

    /// Asks some peers for their member lists while many members are new to us.
    fn fill_member_list(&mut self, now: Micros) {
        let joined = std::mem::take(&mut self.joined);
        if joined * FILLING_PART <= self.members.alive() {
            return;
        }
        for _ in 0..LISTS_A_PROBE {
            let chance = self.rng.random();
            self.members.swim().ask_for_members(now, chance);
        }
    }

    /// The fleet as it stands.
    fn status(&mut self, now: Micros, mixed: bool) -> FleetStatus {
        let by_lifecycle = self.members.directory().by_lifecycle();
        let view = self.members.view_digest();
        let swim = self.members.swim();
        let health_multiplier = swim.detector().health_multiplier();
        let dropped = swim.dropped;
        FleetStatus {
            alive: self.members.alive(),
            by_lifecycle,
            departed: self.departed(&by_lifecycle),
            view_digest: view.value,
            view_unchanged_for: now.saturating_sub(view.since),
            pressure: self.pressure,
            edges: self.average.edge_counts(),
            mixed,
            health_multiplier,
            bytes_sent: self.byte_budget.sent,
            bytes_over_budget: self.byte_budget.over_budget,
            records: self.members.counts,
            dropped,
            average_dropped: self.average.dropped,
        }
    }

    /// Peers that stopped counting because they said so, since the last call.
    fn departed(&mut self, by_lifecycle: &[usize; Lifecycle::ALL.len()]) -> usize {
        let draining =
            by_lifecycle[Lifecycle::Draining.index()] + by_lifecycle[Lifecycle::Leaving.index()];
        let left = std::mem::take(&mut self.left);
        let before = std::mem::replace(&mut self.draining, draining);
        (draining + left).saturating_sub(before)
    }

    /// Joins by way of all seeds while alone; else now and then by way of one seed or lost peer that is not counted
    /// alive, so that parts of a fleet find each other again however long they were cut.
    fn rejoin_missing(&mut self, now: Micros) {
        let is_alone = self.members.alive() == 0;
        if is_alone {
            for &seed in &self.settings.seeds {
                self.members.swim().join(now, seed);
            }
        }
        if now < self.lost_join_at {
            return;
        }
        let pause = self.lost_join_pause(is_alone);
        // From half to one and a half of the pause, so that front ends cut at once do not join at once.
        self.lost_join_at = now + pause / 2 + self.rng.random_range(0..=pause);
        if let Some(addr) = self.pick_missing() {
            self.members.swim().join(now, addr);
        }
    }

    /// The mean time between two joins by way of a lost peer.
    fn lost_join_pause(&self, is_alone: bool) -> Micros {
        let probe = self.settings.swim.probe;
        if is_alone {
            return probe;
        }
        let size = self.members.alive() as Micros + 1;
        probe * LOST_JOIN_PROBES.max(size / LOST_JOINS_A_PROBE)
    }

    /// One of the seeds and lost peers that are not counted alive, at random.
    fn pick_missing(&mut self) -> Option<SocketAddr> {
        let directory = self.members.directory();
        let alive: BTreeSet<SocketAddr> = directory.alive().map(|id| id.addr).collect();
        let mut missing: BTreeSet<SocketAddr> = directory.lost().collect();
        let seeds = self.settings.seeds.iter();
        missing.extend(seeds.filter(|addr| !alive.contains(addr)));
        if missing.is_empty() {
            return None;
        }
        let which = self.rng.random_range(0..missing.len());
        missing.into_iter().nth(which)
    }

    /// Datagrams to send, as far as the byte budget allows: the least dispensable first.
    pub fn outbox(&mut self) -> Vec<Outgoing> {
        let mut out = self.members.outbox();
        out.extend(self.average.outbox());
        out.sort_by_key(|outgoing| outgoing.kind.index());
        let now = self.now;
        let byte_budget = &mut self.byte_budget;
        out.retain(|outgoing| byte_budget.admit(now, outgoing.kind, outgoing.bytes.len()));
        out
    }

    /// Changes of membership since the last call.
    pub fn events(&mut self) -> Vec<TimedPeerEvent> {
        let events = self.members.events();
        for timed in &events {
            match timed.event {
                PeerEvent::Up(_) => self.joined += 1,
                PeerEvent::Left(_) => self.left += 1,
                _ => {}
            }
        }
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
