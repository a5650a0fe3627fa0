//! All of one front end's gossip, without I/O: membership and records ([`Members`]), the mean pressure ([`Average`]),
//! the byte budget ([`ByteBudget`]), rejoining after a network partition, and load summaries for front ends of versions
//! without averaging.
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

/// Minimum mean time between two attempts to rejoin through an unreachable peer, in probe periods. A front end without
/// live peers tries once per probe period instead.
const MIN_REJOIN_PROBES: Micros = 5;
/// Approximate number of rejoin attempts per probe period in the whole fleet. To keep to it, each front end's pause
/// grows with the size of the fleet.
const FLEET_REJOINS_PER_PROBE: Micros = 10;
/// The member list counts as incomplete if more than one in this many members joined in the last probe period, as after
/// the start of this front end. It then requests the lists of further peers, as one answer holds only about 60 members.
const INCOMPLETE_LIST_DIVISOR: usize = 20;
/// Number of peers whose member lists are requested per probe period while the own list is incomplete.
const MEMBER_LISTS_PER_PROBE: usize = 2;

/// Time, in microseconds, for which received datagrams are dropped after the process did not run for longer than the
/// suspicion timeout. The datagrams that waited in the socket are outdated and could declare down a peer that has
/// returned since. Reading all of them takes this long.
const BACKLOG_DROP_TIME: Micros = 20_000;

/// Number of transmissions of each membership update in addition to foca's 4 log10 N. When a zone or a region fails, up
/// to half of foca's transmissions go to peers that have failed too. Of the 11 in a fleet of 660, about 5 remain, with
/// which one peer in 200 would miss the update.
pub const EXTRA_TRANSMISSIONS: u8 = 5;

/// XORed with the seed, so that the node draws different random numbers from its components.
const SEED_SALT: u64 = 0x6c6f_7374;

/// The settings of a [`Node`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The settings of membership and failure detection.
    pub swim: SwimSettings,
    /// The metadata that this front end publishes first.
    pub metadata: Metadata,
    /// The peers through which to join the fleet, also later whenever they are not counted alive.
    pub seeds: Vec<SocketAddr>,
    /// Whether to publish load summaries while the fleet contains front ends without averaging.
    pub summaries: bool,
}

/// The gossip state of one front end.
pub struct Node {
    members: Members,
    average: Average,
    byte_budget: ByteBudget,
    settings: NodeSettings,
    rng: SmallRng,
    /// When the next attempt to rejoin through an unreachable peer is due.
    next_rejoin_at: Micros,
    /// When the next [`Node::tick`] was due after the last one. A much later call shows that the process did not run.
    expected_at: Option<Micros>,
    /// The time until which datagrams are dropped because they waited while the process did not run.
    drop_backlog_until: Micros,
    /// Number of members that joined since the last [`Node::publish`].
    joined: usize,
    /// Number of members that left since the last [`Node::publish`].
    left: usize,
    /// Number of draining or leaving peers at the last [`Node::publish`].
    draining: usize,
    /// The fleet's mean pressure at the last [`Node::publish`], in thousandths.
    pressure: u32,
    /// The time that the last call passed.
    now: Micros,
}

impl Node {
    /// The front end with the gossip address `own` in this incarnation. `seed` seeds all its random numbers.
    pub fn new(own: SocketAddr, incarnation: u64, settings: NodeSettings, seed: u64) -> Node {
        let id = PeerId {
            addr: own,
            incarnation,
        };
        Node {
            members: Members::new(id, settings.metadata.clone(), settings.swim, seed),
            average: Average::new(id, settings.swim.cluster, settings.swim.probe_period, seed),
            byte_budget: ByteBudget::default(),
            settings,
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            next_rejoin_at: 0,
            expected_at: None,
            drop_backlog_until: 0,
            joined: 0,
            left: 0,
            draining: 0,
            pressure: 0,
            now: 0,
        }
    }

    /// Processes a datagram received at `now`.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.now = now;
        if now < self.drop_backlog_until {
            return;
        }
        self.members.set_budget_low(self.byte_budget.is_low(now));
        if !self.members.swim().is_ours(bytes, AVERAGE_VERSION) {
            self.members.handle_datagram(now, bytes);
            return;
        }
        if let Some(from) = self.average.handle_datagram(now, bytes) {
            self.members
                .swim()
                .detector()
                .record_contact(now, from.addr);
        }
    }

    /// When [`Node::tick`] must be called next.
    pub fn next_wakeup(&self) -> Micros {
        self.members.next_wakeup().min(self.average.next_wakeup())
    }

    /// Runs everything that is due at `now`.
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

    /// Detects that the process was stopped or got no CPU time for more than half a probe period, in which the silence
    /// of its peers must not count against them.
    fn detect_stall(&mut self, now: Micros) {
        let late = self.expected_at.map_or(0, |at| now.saturating_sub(at));
        if late > self.settings.swim.probe_period / 2 {
            self.members.handle_stall(now, late);
        }
        if late > self.settings.swim.suspicion_timeout {
            self.drop_backlog_until = now + BACKLOG_DROP_TIME;
        }
    }

    /// Updates the neighbours of the averaging if members changed. Called once per turn of the averaging instead of for
    /// each datagram.
    fn update_neighbours(&mut self, now: Micros) {
        if self.members.take_changed() {
            let ready = self.members.ready();
            self.average.set_members(now, ready.into_iter());
        }
    }

    /// Applies `change` to the metadata of this front end, and publishes them if they changed.
    ///
    /// # Errors
    /// [`RecordError`] if the record would exceed its limits. The previous record stays published.
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

    /// Notifies the fleet that this front end leaves. After this it no longer takes part in membership.
    pub fn leave(&mut self, now: Micros) {
        self.now = now;
        self.members.leave(now);
    }

    /// Must be called once per probe period. Publishes this front end's load, tries to rejoin unreachable peers, and
    /// returns the fleet's status.
    pub fn publish(&mut self, now: Micros, own: Summary) -> FleetStatus {
        self.now = now;
        self.average.set_pressure(own.pressure);
        let mixed = self.publish_summary(now, own);
        let is_low = self.byte_budget.is_low(now);
        self.members.swim().set_reduced_gossip(is_low);
        self.complete_member_list(now);
        self.rejoin_unreachable(now);
        self.pressure = if mixed {
            self.members.swim().pressure(now, own.pressure)
        } else {
            self.average.pressure()
        };
        self.status(now, mixed)
    }

    /// Gossips this front end's load summary while the fleet contains a front end without averaging. Returns whether it
    /// does.
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

    /// Requests the member lists of some peers while many members are new.
    fn complete_member_list(&mut self, now: Micros) {
        let joined = std::mem::take(&mut self.joined);
        if joined * INCOMPLETE_LIST_DIVISOR <= self.members.alive() {
            return;
        }
        for _ in 0..MEMBER_LISTS_PER_PROBE {
            let chance = self.rng.random();
            self.members.swim().request_member_list(now, chance);
        }
    }

    /// The fleet's current status.
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

    /// Number of peers that announced since the last call that they drain or leave.
    fn departed(&mut self, by_lifecycle: &[usize; Lifecycle::ALL.len()]) -> usize {
        let draining =
            by_lifecycle[Lifecycle::Draining.index()] + by_lifecycle[Lifecycle::Leaving.index()];
        let left = std::mem::take(&mut self.left);
        let before = std::mem::replace(&mut self.draining, draining);
        (draining + left).saturating_sub(before)
    }

    /// Tries to join through all seeds while no peer is alive. From time to time also tries one seed or lost peer that
    /// is not counted alive, so that the parts of a partitioned fleet find each other again however long the partition
    /// lasted.
    fn rejoin_unreachable(&mut self, now: Micros) {
        let is_alone = self.members.alive() == 0;
        if is_alone {
            for &seed in &self.settings.seeds {
                self.members.swim().join(now, seed);
            }
        }
        if now < self.next_rejoin_at {
            return;
        }
        let pause = self.rejoin_pause(is_alone);
        // Between half the pause and one and a half, so that front ends that lost contact at the same time do not
        // rejoin at the same time.
        self.next_rejoin_at = now + pause / 2 + self.rng.random_range(0..=pause);
        if let Some(addr) = self.pick_unreachable() {
            self.members.swim().join(now, addr);
        }
    }

    /// The mean time between two attempts to rejoin through an unreachable peer.
    fn rejoin_pause(&self, is_alone: bool) -> Micros {
        let probe = self.settings.swim.probe_period;
        if is_alone {
            return probe;
        }
        let size = self.members.alive() as Micros + 1;
        probe * MIN_REJOIN_PROBES.max(size / FLEET_REJOINS_PER_PROBE)
    }

    /// A random one of the seeds and lost peers that are not counted alive.
    fn pick_unreachable(&mut self) -> Option<SocketAddr> {
        let directory = self.members.directory();
        let alive: BTreeSet<SocketAddr> = directory.alive().map(|id| id.addr).collect();
        let mut unreachable: BTreeSet<SocketAddr> = directory.lost().collect();
        let seeds = self.settings.seeds.iter();
        unreachable.extend(seeds.filter(|addr| !alive.contains(addr)));
        if unreachable.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..unreachable.len());
        unreachable.into_iter().nth(index)
    }

    /// Removes and returns the datagrams to send, in the order of [`TrafficKind`](super::traffic::TrafficKind). Drops
    /// those that the byte budget does not admit.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        let mut datagrams = self.members.take_outbox();
        datagrams.extend(self.average.take_outbox());
        datagrams.sort_by_key(|datagram| datagram.kind.index());
        let now = self.now;
        let byte_budget = &mut self.byte_budget;
        datagrams.retain(|datagram| byte_budget.admit(now, datagram.kind, datagram.bytes.len()));
        datagrams
    }

    /// Removes and returns the changes of membership since the last call.
    pub fn take_events(&mut self) -> Vec<TimedPeerEvent> {
        let events = self.members.take_events();
        for timed in &events {
            match timed.event {
                PeerEvent::Up(_) => self.joined += 1,
                PeerEvent::Left(_) => self.left += 1,
                _ => {}
            }
        }
        events
    }

    /// Number of peers counted alive.
    pub fn alive(&self) -> usize {
        self.members.alive()
    }

    /// The membership and records of the fleet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The fleet's mean pressure in thousandths, as computed by the last [`Node::publish`].
    pub fn pressure(&self) -> u32 {
        self.pressure
    }
}
