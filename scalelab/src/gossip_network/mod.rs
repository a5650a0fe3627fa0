//! A simulated net: hollow front ends (their gossip alone, as the program runs it) in simulated time, with faults of
//! the net and of the processes. Counts and bytes are the same every run.
mod accuracy;
mod gossip_node;

pub use gossip_node::GossipProtocol;

use crate::traffic_counts::TrafficCounts;
use crate::ExperimentError;
use gossip_node::GossipNode;
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Instant;
use wrenseam::fleet::node::EXTRA_TRANSMISSIONS;
use wrenseam::fleet::{
    Facts, FleetNews, Lifecycle, Node, NodeSettings, PeerEvent, Swim, SwimSettings,
};

/// A millisecond, in simulated microseconds.
pub const MS: u64 = 1000;
/// The name of the simulated fleet.
pub const CLUSTER: u32 = 7;
/// Zones that the front ends are spread over; the first four are one region, the others the second.
pub const ZONES: usize = 7;
/// Bytes of IPv4 and UDP before each datagram.
pub const IP_UDP: u64 = 28;
/// Incarnations as the program's: microseconds of the Unix time.
const FIRST_INCARNATION: u64 = 1_790_000_000_000_000;

/// One hollow front end.
pub struct SimulatedPeer {
    program: Option<GossipNode>,
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
    pub news: FleetNews,
    /// What waits for it while it is stopped.
    waiting: Vec<Vec<u8>>,
    kind: GossipProtocol,
    incarnation: u64,
    publish_at: u64,
    wake_at: u64,
}

/// A way to change what a front end sends: as a liar would.
pub type Tamper = Box<dyn Fn(&mut Vec<u8>)>;

/// When, in which order among those of one time, at whom, and the bytes: none is a timer.
type Event = (u64, u64, usize, Vec<u8>);

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
const WAITING: usize = 200;

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
    queue: BinaryHeap<Reverse<Event>>,
    order: u64,
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

impl SimulatedNetwork {
    /// `n` front ends that start within a second and join by the first and the second; probe 500 ms, suspicion
    /// 1.5 s as the program's defaults, own pressures between 200 and 800.
    pub fn new(n: usize, kind: GossipProtocol, seed: u64) -> SimulatedNetwork {
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = SwimSettings {
            cluster: CLUSTER,
            probe: 500 * MS,
            suspect_for: 1500 * MS,
            expected: n,
            extra_transmissions: 0,
            fresh_for: 1500 * MS,
            capacity: 1024,
        };
        let peers = (0..n)
            .map(|i| SimulatedPeer {
                program: None,
                pressure: rng.random_range(200..=800),
                side: 0,
                deaf: false,
                mute: false,
                stopped: false,
                waiting: Vec::new(),
                news: FleetNews::default(),
                kind,
                incarnation: FIRST_INCARNATION + i as u64,
                publish_at: 0,
                wake_at: u64::MAX,
            })
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
            queue: BinaryHeap::new(),
            order: 0,
            rng,
            settings,
        };
        (0..n).for_each(|i| {
            let at = net.rng.random_range(0..1000 * MS);
            net.start(i, at);
        });
        net
    }

    /// Ends front end `i` at once, as a crash would.
    pub fn kill(&mut self, i: usize) {
        self.peers[i].program = None;
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
                self.push(self.now, i, bytes);
            }
        }
    }

    /// Changes what front end `i` says of itself.
    pub fn update(&mut self, i: usize, change: impl FnOnce(&mut Facts)) {
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
        let front = &mut self.peers[i];
        match front.program.as_mut().filter(|_| !front.stopped)? {
            GossipNode::BoundedView(node) => Some(node),
            GossipNode::Summaries(_) => None,
        }
    }

    /// The node of front end `i`, while it runs.
    pub fn node(&self, i: usize) -> Option<&Node> {
        match &self.peers[i].program {
            Some(GossipNode::BoundedView(node)) => Some(node),
            _ => None,
        }
    }

    fn flush(&mut self, i: usize) {
        let Some(program) = self.peers[i].program.as_mut() else {
            return;
        };
        let out = program.outbox();
        out.into_iter()
            .for_each(|(to, bytes)| self.send(i, to, bytes));
    }

    /// Starts front end `i` in a new incarnation `after` microseconds from now.
    pub fn start(&mut self, i: usize, after: u64) {
        let kind = self.peers[i].kind;
        self.start_as(i, after, kind);
    }

    /// As [`SimulatedNetwork::start`], with this program.
    pub fn start_as(&mut self, i: usize, after: u64, kind: GossipProtocol) {
        let seed = self.rng.random();
        let at = self.now + after;
        let f = &mut self.peers[i];
        f.incarnation += 1_000_000 + at;
        f.kind = kind;
        f.program = Some(match kind {
            GossipProtocol::BoundedView => {
                let swim = SwimSettings {
                    extra_transmissions: EXTRA_TRANSMISSIONS,
                    ..self.settings
                };
                let facts = Facts {
                    lifecycle: Lifecycle::Ready,
                    zone: format!("zone-{}", i % ZONES),
                    program: env!("CARGO_PKG_VERSION").to_owned(),
                    config_digest: 7,
                    ..Facts::default()
                };
                let settings = NodeSettings {
                    swim,
                    facts,
                    seeds: self.seeds.clone(),
                    summaries: true,
                };
                GossipNode::BoundedView(Box::new(Node::new(addr(i), f.incarnation, settings, seed)))
            }
            GossipProtocol::Summaries => GossipNode::Summaries(Box::new(Swim::new(
                addr(i),
                f.incarnation,
                self.settings,
                seed,
            ))),
        });
        f.publish_at = at;
        f.news = FleetNews::default();
        self.wake(i, at);
    }

    /// Whether front end `i` runs.
    pub fn up(&self, i: usize) -> bool {
        self.peers[i].program.is_some()
    }

    /// Hands front end `i` a datagram from outside.
    pub fn inject(&mut self, i: usize, bytes: &[u8]) {
        if let Some(p) = self.peers[i].program.as_mut() {
            p.datagram(self.now, bytes);
        }
    }

    fn push(&mut self, at: u64, i: usize, bytes: Vec<u8>) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, i, bytes)));
    }

    fn wake(&mut self, i: usize, at: u64) {
        self.peers[i].wake_at = at;
        self.push(at, i, Vec::new()); // no bytes: a timer
    }

    /// Runs until the time is `until`, in simulated microseconds.
    pub fn run(&mut self, until: u64) {
        while self.queue.peek().is_some_and(|Reverse(e)| e.0 <= until) {
            let Some(Reverse((at, _, i, bytes))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            let f = &mut self.peers[i];
            if bytes.is_empty() && at != f.wake_at {
                continue; // another wake took its place
            }
            if f.stopped {
                if !bytes.is_empty() && f.waiting.len() < WAITING {
                    f.waiting.push(bytes);
                }
                continue;
            }
            let Some(program) = f.program.as_mut() else {
                continue;
            };
            let began = Instant::now();
            if bytes.is_empty() {
                program.tick(at);
                if at >= f.publish_at {
                    f.publish_at = at + self.settings.probe;
                    if let Some(more) = self.redraw {
                        f.pressure = self.rng.random_range(500 - more..=500 + more);
                    }
                    f.news = program.publish(at, f.pressure, &self.seeds);
                }
            } else {
                self.traffic.received += bytes.len() as u64;
                program.datagram(at, &bytes);
            }
            for (at, event) in program.events() {
                if let PeerEvent::Down(id) = event {
                    self.downs.push(DownReport {
                        at,
                        by: i,
                        of: number(id.addr),
                    });
                }
            }
            let out = program.outbox();
            let next = program.next().min(f.publish_at).max(at + 1);
            self.traffic.busy += began.elapsed();
            if next < f.wake_at || bytes.is_empty() {
                self.wake(i, next);
            }
            for (to, bytes) in out {
                self.send(i, to, bytes);
            }
        }
        self.now = until;
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        if let Some((_, tamper)) = self.tamper.as_ref().filter(|t| t.0 == from) {
            tamper(&mut bytes);
        }
        self.traffic.add(&bytes);
        let to = number(to);
        if to >= self.peers.len() || self.peers[to].side != self.peers[from].side {
            return;
        }
        if self.peers[from].mute || self.peers[to].deaf || self.cut.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.loss {
                continue;
            }
            // Half a millisecond to two within a region, 20 to 30 between them.
            let far = (from % ZONES < 4) != (to % ZONES < 4);
            let delay = if far {
                20 * MS..30 * MS
            } else {
                MS / 2..2 * MS
            };
            let at = self.now + self.rng.random_range(delay);
            self.push(at, to, bytes.clone());
        }
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
    pub fn settled(
        n: usize,
        kind: GossipProtocol,
        seed: u64,
    ) -> Result<SimulatedNetwork, ExperimentError> {
        let mut net = SimulatedNetwork::new(n, kind, seed);
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
