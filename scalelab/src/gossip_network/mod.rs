//! A simulated network: front ends (their gossip alone, as the program runs it) on simulated time, with faults of the
//! network and of the processes. Counts and bytes are the same every run.
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

/// A millisecond, in simulated microseconds.
pub const MS: u64 = 1000;
/// The name of the simulated fleet.
pub const CLUSTER: u32 = 7;
/// Zones that the front ends are spread over; the first four are one region, the others the second.
pub const ZONES: usize = 7;
/// Zones of the first region.
const FIRST_REGION_ZONES: usize = 4;
/// Bytes of IPv4 and UDP before each datagram.
pub const IP_UDP: u64 = 28;
/// Incarnations as the program's: microseconds of the Unix time.
const FIRST_INCARNATION: u64 = 1_790_000_000_000_000;

/// One simulated front end.
pub struct SimulatedPeer {
    node: Option<GossipNode>,
    /// Its own load, in thousandths of capacity.
    pub pressure: u32,
    /// Front ends of different sides do not reach each other.
    pub side: u8,
    /// Nothing reaches it.
    pub deaf: bool,
    /// Nothing that it sends arrives.
    pub mute: bool,
    /// It stands still, as after SIGSTOP; what comes for it waits, as far as there is room.
    pub stopped: bool,
    /// What it last made of the fleet.
    pub news: FleetStatus,
    /// What waits for it while it is stopped.
    waiting: Vec<Vec<u8>>,
    protocol: GossipProtocol,
    incarnation: u64,
    publish_at: u64,
    wake_at: u64,
}

/// A way to change what a front end sends: as a liar would.
pub type Tamper = Box<dyn Fn(&mut Vec<u8>)>;

/// A front end was declared down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownReport {
    /// When, in simulated microseconds.
    pub at: u64,
    /// Who holds so.
    pub by: usize,
    /// Who is held for down.
    pub of: usize,
}

/// Datagrams that wait for a stopped process at the most: a socket's buffer holds some.
const MAX_WAITING: usize = 200;

/// A fleet on a net of chance.
pub struct SimulatedNetwork {
    /// The front ends, by number.
    pub peers: Vec<SimulatedPeer>,
    /// Part of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Part of datagrams that come twice, 0 to 1.
    pub duplication: f64,
    /// Each front end's own pressure is drawn anew each time it tells it: 500 and up to so much more or less.
    pub redraw: Option<u32>,
    /// Simulated time, in microseconds.
    pub now: u64,
    /// What was sent and received.
    pub traffic: TrafficCounts,
    /// One-way links that are cut: from, to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Who declared whom down, and when.
    pub downs: Vec<DownReport>,
    /// A front end whose datagrams are changed on their way out.
    pub tamper: Option<(usize, Tamper)>,
    seeds: Vec<SocketAddr>,
    queue: EventQueue,
    rng: SmallRng,
    settings: SwimSettings,
}

/// The address of front end `i`: its zone is in it.
pub fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, (i % ZONES) as u8, (i >> 8) as u8, i as u8], 7946))
}

fn number(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(a) => usize::from(a.ip().octets()[2]) << 8 | usize::from(a.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl SimulatedPeer {
    /// Front end `i`, which has not started yet.
    fn new(i: usize, protocol: GossipProtocol, pressure: u32) -> SimulatedPeer {
        SimulatedPeer {
            node: None,
            pressure,
            side: 0,
            deaf: false,
            mute: false,
            stopped: false,
            waiting: Vec::new(),
            news: FleetStatus::default(),
            protocol,
            incarnation: FIRST_INCARNATION + i as u64,
            publish_at: 0,
            wake_at: u64::MAX,
        }
    }

    /// What comes for a process that stands still: datagrams wait, as far as there is room.
    fn hold(&mut self, delivery: Delivery) {
        if let Delivery::Datagram(bytes) = delivery {
            if self.waiting.len() < MAX_WAITING {
                self.waiting.push(bytes);
            }
        }
    }
}

/// Whether a front end is in the first region.
fn in_first_region(peer: usize) -> bool {
    peer % ZONES < FIRST_REGION_ZONES
}

/// Time of a datagram on its way: half a millisecond to two within a region, 20 to 30 between them.
fn delay_range(from: usize, to: usize) -> std::ops::Range<u64> {
    if in_first_region(from) == in_first_region(to) {
        MS / 2..2 * MS
    } else {
        20 * MS..30 * MS
    }
}

impl SimulatedNetwork {
    /// `n` front ends that start within a second and join by the first and the second; probe 500 ms, suspicion
    /// 1.5 s as the program's defaults, own pressures between 200 and 800.
    pub fn new(n: usize, protocol: GossipProtocol, seed: u64) -> SimulatedNetwork {
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = SwimSettings {
            cluster: CLUSTER,
            probe_period: 500 * MS,
            suspicion_timeout: 1500 * MS,
            expected_members: n,
            extra_transmissions: 0,
            summary_ttl: 1500 * MS,
            max_summaries: 1024,
        };
        let peers = (0..n)
            .map(|i| SimulatedPeer::new(i, protocol, rng.random_range(200..=800)))
            .collect();
        let seeds = (0..n.min(2)).map(addr).collect();
        let mut net = SimulatedNetwork {
            peers,
            loss: 0.0,
            duplication: 0.0,
            redraw: None,
            now: 0,
            traffic: TrafficCounts::default(),
            cut: BTreeSet::new(),
            downs: Vec::new(),
            tamper: None,
            seeds,
            queue: EventQueue::default(),
            rng,
            settings,
        };
        for i in 0..n {
            let after = net.rng.random_range(0..1000 * MS);
            net.start(i, after);
        }
        net
    }

    /// Ends front end `i` at once, as a crash would.
    pub fn kill(&mut self, i: usize) {
        self.peers[i].node = None;
        self.peers[i].stopped = false;
        self.peers[i].waiting.clear();
    }

    /// Ends front end `i` in order: it tells the fleet that it leaves.
    pub fn leave(&mut self, i: usize) {
        let now = self.now;
        if let Some(node) = self.running_node(i) {
            node.leave(now);
        }
        self.flush(i);
        self.kill(i);
    }

    /// Stops front end `i`, as SIGSTOP does, or has it go on.
    pub fn stop(&mut self, i: usize, stopped: bool) {
        let was = std::mem::replace(&mut self.peers[i].stopped, stopped);
        if was && !stopped {
            self.wake(i, self.now);
            for bytes in std::mem::take(&mut self.peers[i].waiting) {
                self.queue.push(self.now, i, Delivery::Datagram(bytes));
            }
        }
    }

    /// Changes what front end `i` says of itself.
    pub fn update(&mut self, i: usize, change: impl FnOnce(&mut Metadata)) {
        let now = self.now;
        if let Some(node) = self.running_node(i) {
            let _ = node.update(now, change);
        }
        self.flush(i);
        self.wake(i, self.now);
    }

    /// Starts front end `i` again `after` microseconds from now, in a process whose clock is set back: its
    /// incarnation is smaller than the one before.
    pub fn start_set_back(&mut self, i: usize, after: u64) {
        let before = self.peers[i].incarnation;
        self.peers[i].incarnation =
            before.saturating_sub(3_600_000_000 + self.now + after + 1_000_000);
        self.start(i, after);
    }

    fn running_node(&mut self, i: usize) -> Option<&mut Node> {
        let peer = &mut self.peers[i];
        if peer.stopped {
            return None;
        }
        match peer.node.as_mut()? {
            GossipNode::BoundedView(node) => Some(node),
            GossipNode::Summaries(_) => None,
        }
    }

    /// The node of front end `i`, while it runs.
    pub fn node(&self, i: usize) -> Option<&Node> {
        match &self.peers[i].node {
            Some(GossipNode::BoundedView(node)) => Some(node),
            _ => None,
        }
    }

    fn flush(&mut self, i: usize) {
        let Some(node) = self.peers[i].node.as_mut() else {
            return;
        };
        for out in node.outbox() {
            self.send(i, out.to, out.bytes);
        }
    }

    /// Starts front end `i` in a new incarnation `after` microseconds from now.
    pub fn start(&mut self, i: usize, after: u64) {
        let protocol = self.peers[i].protocol;
        self.start_as(i, after, protocol);
    }

    /// As [`SimulatedNetwork::start`], with this gossip protocol.
    pub fn start_as(&mut self, i: usize, after: u64, protocol: GossipProtocol) {
        let seed = self.rng.random();
        let at = self.now + after;
        let incarnation = self.peers[i].incarnation + 1_000_000 + at;
        let node = match protocol {
            GossipProtocol::BoundedView => {
                let settings = self.node_settings(i);
                let node = Node::new(addr(i), incarnation, settings, seed);
                GossipNode::BoundedView(Box::new(node))
            }
            GossipProtocol::Summaries => {
                let swim = Swim::new(addr(i), incarnation, self.settings, seed);
                GossipNode::Summaries(Box::new(swim))
            }
        };
        let peer = &mut self.peers[i];
        peer.incarnation = incarnation;
        peer.protocol = protocol;
        peer.node = Some(node);
        peer.publish_at = at;
        peer.news = FleetStatus::default();
        self.wake(i, at);
    }

    /// The settings of front end `i` where it runs [`GossipProtocol::BoundedView`].
    fn node_settings(&self, i: usize) -> NodeSettings {
        let swim = SwimSettings {
            extra_transmissions: EXTRA_TRANSMISSIONS,
            ..self.settings
        };
        let metadata = Metadata {
            lifecycle: Lifecycle::Ready,
            zone: format!("zone-{}", i % ZONES),
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

    /// Whether front end `i` runs.
    pub fn up(&self, i: usize) -> bool {
        self.peers[i].node.is_some()
    }

    /// Hands front end `i` a datagram from outside.
    pub fn inject(&mut self, i: usize, bytes: &[u8]) {
        if let Some(node) = self.peers[i].node.as_mut() {
            node.datagram(self.now, bytes);
        }
    }

    fn wake(&mut self, i: usize, at: u64) {
        self.peers[i].wake_at = at;
        self.queue.push(at, i, Delivery::Wake);
    }

    /// Runs until the time is `until`, in simulated microseconds.
    pub fn run(&mut self, until: u64) {
        while let Some(event) = self.queue.pop_until(until) {
            self.now = event.at;
            self.deliver(event.peer, event.delivery);
        }
        self.now = until;
    }

    fn deliver(&mut self, i: usize, delivery: Delivery) {
        let now = self.now;
        let peer = &mut self.peers[i];
        let is_wake = matches!(delivery, Delivery::Wake);
        if is_wake && now != peer.wake_at {
            return; // another wake took its place
        }
        if peer.stopped {
            peer.hold(delivery);
            return;
        }
        let Some(node) = peer.node.as_mut() else {
            return;
        };
        let began = Instant::now();
        match delivery {
            Delivery::Wake => {
                node.tick(now);
                if now >= peer.publish_at {
                    peer.publish_at = now + self.settings.probe_period;
                    if let Some(range) = self.redraw {
                        peer.pressure = self.rng.random_range(500 - range..=500 + range);
                    }
                    peer.news = node.publish(now, peer.pressure, &self.seeds);
                }
            }
            Delivery::Datagram(bytes) => {
                self.traffic.received += bytes.len() as u64;
                node.datagram(now, &bytes);
            }
        }
        let downs =
            node.events()
                .into_iter()
                .filter_map(|TimedPeerEvent { at, event }| match event {
                    PeerEvent::Down(id) => Some(DownReport {
                        at,
                        by: i,
                        of: number(id.addr),
                    }),
                    _ => None,
                });
        self.downs.extend(downs);
        let datagrams = node.outbox();
        let next = node.next().min(peer.publish_at).max(now + 1);
        self.traffic.busy += began.elapsed();
        if next < peer.wake_at || is_wake {
            self.wake(i, next);
        }
        for out in datagrams {
            self.send(i, out.to, out.bytes);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        if let Some((peer, tamper)) = &self.tamper {
            if *peer == from {
                tamper(&mut bytes);
            }
        }
        self.traffic.add(&bytes);
        let to = number(to);
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

    /// Whether datagrams from one front end come to the other, but for random loss.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let sender = &self.peers[from];
        let Some(receiver) = self.peers.get(to) else {
            return false;
        };
        let heard = !sender.mute && !receiver.deaf;
        heard && receiver.side == sender.side && !self.cut.contains(&(from, to))
    }

    /// Runs on until `holds` at every step of 100 ms for a second, for at most `within` microseconds; how long
    /// it took until it held, in microseconds.
    pub fn until(&mut self, within: u64, holds: impl Fn(&SimulatedNetwork) -> bool) -> Option<u64> {
        let began = self.now;
        let mut since = None;
        while self.now - began < within + 1000 * MS {
            if !holds(self) {
                since = None;
            } else if self.now - *since.get_or_insert(self.now) >= 1000 * MS {
                break;
            }
            self.run(self.now + 100 * MS);
        }
        since.map(|at| at - began).filter(|&took| took <= within)
    }

    /// Joins all, and lets them settle: all count all, and the news of the joins has been passed on.
    ///
    /// # Errors
    /// They have not found each other within three simulated minutes.
    pub fn settled(
        n: usize,
        protocol: GossipProtocol,
        seed: u64,
    ) -> Result<SimulatedNetwork, ExperimentError> {
        let mut net = SimulatedNetwork::new(n, protocol, seed);
        net.until(180_000 * MS, |net| net.size_error() == 0.0)
            .ok_or(ExperimentError::Failed(format!(
                "{n} front ends had not found each other within 180 s"
            )))?;
        net.run(net.now + 10_000 * MS);
        Ok(net)
    }

    /// A step of the load: the front ends of one zone go to `to` thousandths.
    pub fn step(&mut self, to: u32) {
        self.peers
            .iter_mut()
            .step_by(ZONES)
            .for_each(|f| f.pressure = to);
    }
}
