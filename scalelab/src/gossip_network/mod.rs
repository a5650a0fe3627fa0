//! A simulated network of front ends that run the program's gossip protocol on simulated time, with network and process
//! faults. With the same seed, all counts and bytes are the same in every run.
mod accuracy;
mod event_queue;
mod gossip_node;

pub use accuracy::{FleetTruth, MeanError};
pub use gossip_node::GossipProtocol;

use crate::traffic_counts::TrafficCounts;
use crate::ExperimentError;
use event_queue::{Delivery, EventQueue};
use gossip_node::GossipNode;
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;
use wrenseam::fleet::node::EXTRA_TRANSMISSIONS;
use wrenseam::fleet::{
    FleetStatus, Lifecycle, Metadata, Node, NodeSettings, PeerEvent, Swim, SwimSettings,
    TimedPeerEvent,
};

/// One millisecond, in microseconds of simulated time.
pub const MS: u64 = 1000;
/// Cluster identifier in the header of each datagram of the simulated fleet.
pub const CLUSTER_ID: u32 = 7;
/// Number of zones. Front end `i` is in zone `i % ZONES`; the first four zones form one region, the others a second.
pub const ZONES: usize = 7;
/// Number of zones in the first region.
const FIRST_REGION_ZONES: usize = 4;
/// Bytes of the IPv4 and UDP headers of each datagram.
pub const IP_UDP_HEADER_BYTES: u64 = 28;
/// Base of the incarnations, which are microseconds of Unix time as in the program.
const FIRST_INCARNATION: u64 = 1_790_000_000_000_000;

/// One simulated front end.
pub struct SimulatedPeer {
    node: Option<GossipNode>,
    /// Load of this front end, in thousandths of its capacity.
    pub pressure: u32,
    /// The side of the network partition that it is on; front ends on different sides do not reach each other. All
    /// are on side 0 while there is no partition.
    pub side: u8,
    /// All datagrams to it are lost.
    pub inbound_blocked: bool,
    /// All datagrams from it are lost.
    pub outbound_blocked: bool,
    /// The process is stopped, as by SIGSTOP. Datagrams to it are buffered up to a limit.
    pub stopped: bool,
    /// The fleet status that its gossip state machine returned last.
    pub status: FleetStatus,
    /// Datagrams that arrived while it was stopped.
    buffered: Vec<Vec<u8>>,
    protocol: GossipProtocol,
    incarnation: u64,
    publish_at: u64,
    wakeup_at: u64,
}

/// Modifies a datagram before it is sent, to simulate a front end that sends false data.
pub type Tamper = Box<dyn Fn(&mut Vec<u8>)>;

/// One front end's report that another is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownReport {
    /// Simulated time, in microseconds.
    pub at: u64,
    /// Index of the front end that declared the other down.
    pub reporter: usize,
    /// Index of the front end that was declared down.
    pub peer: usize,
}

/// Maximum number of datagrams buffered for a stopped process, as in the receive buffer of its socket.
const MAX_BUFFERED_DATAGRAMS: usize = 200;

/// A fleet on a network with random delays and losses.
pub struct SimulatedNetwork {
    /// The front ends, by index.
    pub peers: Vec<SimulatedPeer>,
    /// Fraction of datagrams that are lost, 0 to 1.
    pub loss: f64,
    /// Fraction of datagrams that are duplicated, 0 to 1.
    pub duplication: f64,
    /// Half-width of the range around 500 from which a front end redraws its pressure, in thousandths of capacity, each
    /// time it publishes it. `None`: pressures stay as they are.
    pub redraw_range: Option<u32>,
    /// Simulated time, in microseconds.
    pub now: u64,
    /// Traffic of all front ends since the counts were last reset.
    pub traffic: TrafficCounts,
    /// Cut one-way links, as pairs of sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Reports of front ends declared down, since the list was last cleared.
    pub down_reports: Vec<DownReport>,
    /// Index of the front end whose datagrams are modified when sent, and the modification.
    pub tamper: Option<(usize, Tamper)>,
    seeds: Vec<SocketAddr>,
    queue: EventQueue,
    rng: SmallRng,
    settings: SwimSettings,
}

/// The address of front end `index`; its second octet is the front end's zone.
pub fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from((
        [10, (index % ZONES) as u8, (index >> 8) as u8, index as u8],
        7946,
    ))
}

/// The index of the front end at this address; `usize::MAX` for an IPv6 address, which no front end has.
fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3])
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl SimulatedPeer {
    /// Front end `index`, which has not started yet.
    fn new(index: usize, protocol: GossipProtocol, pressure: u32) -> SimulatedPeer {
        SimulatedPeer {
            node: None,
            pressure,
            side: 0,
            inbound_blocked: false,
            outbound_blocked: false,
            stopped: false,
            buffered: Vec::new(),
            status: FleetStatus::default(),
            protocol,
            incarnation: FIRST_INCARNATION + index as u64,
            publish_at: 0,
            wakeup_at: u64::MAX,
        }
    }

    /// Handles a delivery to a stopped process: buffers a datagram if there is room, and ignores a wakeup.
    fn buffer_while_stopped(&mut self, delivery: Delivery) {
        if let Delivery::Datagram(bytes) = delivery {
            if self.buffered.len() < MAX_BUFFERED_DATAGRAMS {
                self.buffered.push(bytes);
            }
        }
    }
}

/// Whether a front end is in the first region.
fn in_first_region(peer: usize) -> bool {
    peer % ZONES < FIRST_REGION_ZONES
}

/// Range of one-way delays, in microseconds: 0.5 to 2 ms within a region, 20 to 30 ms between regions.
fn delay_range(from: usize, to: usize) -> std::ops::Range<u64> {
    if in_first_region(from) == in_first_region(to) {
        MS / 2..2 * MS
    } else {
        20 * MS..30 * MS
    }
}

impl SimulatedNetwork {
    /// Creates a network of `front_ends` front ends that start at random times within one second and join through the
    /// first two. Probe period (500 ms) and suspicion timeout (1.5 s) are the program's defaults; initial pressures
    /// are between 200 and 800 thousandths of capacity.
    pub fn new(front_ends: usize, protocol: GossipProtocol, seed: u64) -> SimulatedNetwork {
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = SwimSettings {
            cluster: CLUSTER_ID,
            probe_period: 500 * MS,
            suspicion_timeout: 1500 * MS,
            expected_members: front_ends,
            extra_transmissions: 0,
            summary_ttl: 1500 * MS,
            max_summaries: 1024,
        };
        let peers = (0..front_ends)
            .map(|index| SimulatedPeer::new(index, protocol, rng.random_range(200..=800)))
            .collect();
        let seeds = (0..front_ends.min(2)).map(address_of).collect();
        let mut network = SimulatedNetwork {
            peers,
            loss: 0.0,
            duplication: 0.0,
            redraw_range: None,
            now: 0,
            traffic: TrafficCounts::default(),
            cut_links: BTreeSet::new(),
            down_reports: Vec::new(),
            tamper: None,
            seeds,
            queue: EventQueue::default(),
            rng,
            settings,
        };
        for index in 0..front_ends {
            let delay = network.rng.random_range(0..1000 * MS);
            network.start(index, delay);
        }
        network
    }

    /// Ends front end `index` without notice, as a crash does.
    pub fn kill(&mut self, index: usize) {
        self.peers[index].node = None;
        self.peers[index].stopped = false;
        self.peers[index].buffered.clear();
    }

    /// Ends front end `index` after an announcement to the fleet that it leaves. Ends it without notice if it is
    /// stopped or runs [`GossipProtocol::Summaries`].
    pub fn leave(&mut self, index: usize) {
        let now = self.now;
        if let Some(node) = self.running_node(index) {
            node.leave(now);
        }
        self.send_outbox(index);
        self.kill(index);
    }

    /// Stops front end `index`, as SIGSTOP does, or continues it. On continuing, it receives the buffered datagrams.
    pub fn set_stopped(&mut self, index: usize, stopped: bool) {
        let was_stopped = std::mem::replace(&mut self.peers[index].stopped, stopped);
        if was_stopped && !stopped {
            self.schedule_wakeup(index, self.now);
            for bytes in std::mem::take(&mut self.peers[index].buffered) {
                self.queue.push(self.now, index, Delivery::Datagram(bytes));
            }
        }
    }

    /// Changes the metadata that front end `index` publishes. The metadata stays as it is if the front end
    /// is stopped, does not run, or runs [`GossipProtocol::Summaries`].
    pub fn update(&mut self, index: usize, change: impl FnOnce(&mut Metadata)) {
        let now = self.now;
        if let Some(node) = self.running_node(index) {
            let _ = node.update(now, change);
        }
        self.send_outbox(index);
        self.schedule_wakeup(index, self.now);
    }

    /// Starts front end `index` again `delay` microseconds from now, on a host whose clock was set back: its new
    /// incarnation is smaller than its previous one.
    pub fn start_with_clock_set_back(&mut self, index: usize, delay: u64) {
        let previous = self.peers[index].incarnation;
        self.peers[index].incarnation =
            previous.saturating_sub(3_600_000_000 + self.now + delay + 1_000_000);
        self.start(index, delay);
    }

    /// The node of front end `index` if it runs [`GossipProtocol::BoundedView`] and is not stopped.
    fn running_node(&mut self, index: usize) -> Option<&mut Node> {
        let peer = &mut self.peers[index];
        if peer.stopped {
            return None;
        }
        match peer.node.as_mut()? {
            GossipNode::BoundedView(node) => Some(node),
            GossipNode::Summaries(_) => None,
        }
    }

    /// The node of front end `index`; `None` if it does not run or runs [`GossipProtocol::Summaries`].
    pub fn node(&self, index: usize) -> Option<&Node> {
        match &self.peers[index].node {
            Some(GossipNode::BoundedView(node)) => Some(node),
            _ => None,
        }
    }

    /// Sends the datagrams that front end `index` has queued.
    fn send_outbox(&mut self, index: usize) {
        let Some(node) = self.peers[index].node.as_mut() else {
            return;
        };
        for datagram in node.outbox() {
            self.send(index, datagram.to, datagram.bytes);
        }
    }

    /// Starts front end `index` with a new incarnation, `delay` microseconds from now.
    pub fn start(&mut self, index: usize, delay: u64) {
        let protocol = self.peers[index].protocol;
        self.start_with_protocol(index, delay, protocol);
    }

    /// Like [`SimulatedNetwork::start`], but with the given gossip protocol.
    pub fn start_with_protocol(&mut self, index: usize, delay: u64, protocol: GossipProtocol) {
        let seed = self.rng.random();
        let at = self.now + delay;
        let incarnation = self.peers[index].incarnation + 1_000_000 + at;
        let node = match protocol {
            GossipProtocol::BoundedView => {
                let settings = self.node_settings(index);
                let node = Node::new(address_of(index), incarnation, settings, seed);
                GossipNode::BoundedView(Box::new(node))
            }
            GossipProtocol::Summaries => {
                let swim = Swim::new(address_of(index), incarnation, self.settings, seed);
                GossipNode::Summaries(Box::new(swim))
            }
        };
        let peer = &mut self.peers[index];
        peer.incarnation = incarnation;
        peer.protocol = protocol;
        peer.node = Some(node);
        peer.publish_at = at;
        peer.status = FleetStatus::default();
        self.schedule_wakeup(index, at);
    }

    /// The settings of front end `index` for [`GossipProtocol::BoundedView`].
    fn node_settings(&self, index: usize) -> NodeSettings {
        let swim = SwimSettings {
            extra_transmissions: EXTRA_TRANSMISSIONS,
            ..self.settings
        };
        let metadata = Metadata {
            lifecycle: Lifecycle::Ready,
            zone: format!("zone-{}", index % ZONES),
            program: env!("CARGO_PKG_VERSION").to_owned(),
            config_digest: 7,
            ..Metadata::default()
        };
        NodeSettings {
            swim,
            metadata,
            seeds: self.seeds.clone(),
            summaries: true,
        }
    }

    /// Whether front end `index` runs. A stopped front end counts as running.
    pub fn is_running(&self, index: usize) -> bool {
        self.peers[index].node.is_some()
    }

    /// Delivers a datagram to front end `index` at once; its sender is not part of the network. It is not counted as
    /// received.
    pub fn inject(&mut self, index: usize, bytes: &[u8]) {
        if let Some(node) = self.peers[index].node.as_mut() {
            node.handle_datagram(self.now, bytes);
        }
    }

    /// Schedules the next wakeup of front end `index`, which replaces the one scheduled before.
    fn schedule_wakeup(&mut self, index: usize, at: u64) {
        self.peers[index].wakeup_at = at;
        self.queue.push(at, index, Delivery::Wakeup);
    }

    /// Runs until simulated time `end`, in microseconds.
    pub fn run(&mut self, end: u64) {
        while let Some(event) = self.queue.pop_until(end) {
            self.now = event.at;
            self.deliver(event.peer, event.delivery);
        }
        self.now = end;
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let now = self.now;
        let peer = &mut self.peers[index];
        let is_wakeup = matches!(delivery, Delivery::Wakeup);
        if is_wakeup && now != peer.wakeup_at {
            return; // superseded by a later call of schedule_wakeup
        }
        if peer.stopped {
            peer.buffer_while_stopped(delivery);
            return;
        }
        let Some(node) = peer.node.as_mut() else {
            return;
        };
        let started = Instant::now();
        match delivery {
            Delivery::Wakeup => {
                node.tick(now);
                if now >= peer.publish_at {
                    peer.publish_at = now + self.settings.probe_period;
                    if let Some(range) = self.redraw_range {
                        peer.pressure = self.rng.random_range(500 - range..=500 + range);
                    }
                    peer.status = node.publish(now, peer.pressure, &self.seeds);
                }
            }
            Delivery::Datagram(bytes) => {
                self.traffic.received += bytes.len() as u64;
                node.handle_datagram(now, &bytes);
            }
        }
        let down_reports = node
            .events()
            .into_iter()
            .filter_map(|TimedPeerEvent { at, event }| match event {
                PeerEvent::Down(id) => Some(DownReport {
                    at,
                    reporter: index,
                    peer: index_of(id.addr),
                }),
                _ => None,
            });
        self.down_reports.extend(down_reports);
        let datagrams = node.outbox();
        let next = node.next_wakeup().min(peer.publish_at).max(now + 1);
        self.traffic.busy += started.elapsed();
        if next < peer.wakeup_at || is_wakeup {
            self.schedule_wakeup(index, next);
        }
        for datagram in datagrams {
            self.send(index, datagram.to, datagram.bytes);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        if let Some((peer, tamper)) = &self.tamper {
            if *peer == from {
                tamper(&mut bytes);
            }
        }
        self.traffic.add(&bytes);
        let to = index_of(to);
        if !self.reaches(from, to) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.loss {
                continue;
            }
            let at = self.now + self.rng.random_range(delay_range(from, to));
            self.queue.push(at, to, Delivery::Datagram(bytes.clone()));
        }
    }

    /// Whether datagrams from one front end reach the other, random loss aside.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let sender = &self.peers[from];
        let Some(receiver) = self.peers.get(to) else {
            return false;
        };
        let unblocked = !sender.outbound_blocked && !receiver.inbound_blocked;
        unblocked && receiver.side == sender.side && !self.cut_links.contains(&(from, to))
    }

    /// Runs until `condition` has held for one second, checked every 100 ms of simulated time. Returns the time until
    /// it began to hold, in microseconds; `None` if that took longer than `timeout` microseconds.
    pub fn run_until_stable(
        &mut self,
        timeout: u64,
        condition: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<u64> {
        let start = self.now;
        let mut holds_since = None;
        while self.now - start < timeout + 1000 * MS {
            if !condition(self) {
                holds_since = None;
            } else if self.now - *holds_since.get_or_insert(self.now) >= 1000 * MS {
                break;
            }
            self.run(self.now + 100 * MS);
        }
        holds_since
            .map(|at| at - start)
            .filter(|&duration| duration <= timeout)
    }

    /// Creates a network and runs it until every front end counts all others alive, and for 10 s more, so that the
    /// membership updates of the joins have been disseminated.
    ///
    /// # Errors
    /// The front ends have not found each other within 180 s of simulated time.
    pub fn settled(
        front_ends: usize,
        protocol: GossipProtocol,
        seed: u64,
    ) -> Result<SimulatedNetwork, ExperimentError> {
        let mut network = SimulatedNetwork::new(front_ends, protocol, seed);
        network
            .run_until_stable(180_000 * MS, |network| network.size_error() == 0.0)
            .ok_or(ExperimentError::Failed(format!(
                "{front_ends} front ends did not find each other within 180 s of simulated time"
            )))?;
        network.run(network.now + 10_000 * MS);
        Ok(network)
    }

    /// Sets the pressure of the front ends in the first zone, in thousandths of capacity.
    pub fn set_first_zone_pressure(&mut self, pressure: u32) {
        self.peers
            .iter_mut()
            .step_by(ZONES)
            .for_each(|peer| peer.pressure = pressure);
    }
}
