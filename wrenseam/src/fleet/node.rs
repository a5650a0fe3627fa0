//! One front end's gossip as a whole, without I/O: membership ([`Swim`]), the mean pressure ([`Average`]), the
//! way back to peers that were cut off, and the summaries that front ends from before the averaging want to hear.
use super::average::{Average, AverageDropped};
use super::identity::{PeerId, AVERAGE_VERSION};
use super::swim::{Dropped, PeerEvent, Swim, SwimSettings};
use super::Summary;
use bramblepath::Micros;
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Peers lost that are remembered, to be asked whether they are back: a region of any fleet we run.
const LOST_HELD: usize = 1024;
/// How long a lost peer is remembered, in microseconds: a day. SWIM itself forgets it after a minute.
const LOST_FOR: Micros = 86_400_000_000;
/// Least probe periods between two asks whether a lost peer is back.
const ASK_LOST_PROBES: Micros = 5;
/// Asks of the whole fleet to lost peers in a probe period, about: each front end's pause grows with the size.
const ASK_LOST_FLEET: Micros = 10;

/// Bytes a second above which a front end spares gossip: half of the 22 KB/s that it may send and receive.
const SENT_A_SECOND: u64 = 5_500;
/// While more than one in so many members came in the last probe period, the list is still filling: a front end
/// that starts asks more peers for theirs, since one answer holds some 60 members.
const FILLING: usize = 20;
/// Peers asked for their lists in a probe period while one's own is filling.
const ASK_FILLING: usize = 2;

/// Times that news of a member are passed on besides foca's 4 log10 N. As a zone or a region goes, up to half of
/// those times are spent on peers that are gone too: of 11 at 660 some 5 are left, and one in 200 misses the news.
pub const EXTRA_TRANSMISSIONS: u8 = 5;

/// The settings of a node: those of membership, and whether to bear with summaries.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Membership's settings.
    pub swim: SwimSettings,
    /// Peers asked to let us join; asked again when not counted alive.
    pub seeds: Vec<SocketAddr>,
    /// Whether to publish summaries while a front end from before the averaging is heard.
    pub summaries: bool,
}

/// What a front end makes of its fleet at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetNews {
    /// Peers counted alive, besides itself.
    pub alive: usize,
    /// Mean in-flight over capacity of the fleet, in thousandths.
    pub pressure: u32,
    /// Neighbours of the averaging heard from lately, and all that are held.
    pub edges: (usize, usize),
    /// Whether a front end from before the averaging is in the fleet, and the mean is of summaries.
    pub mixed: bool,
    /// Datagrams dropped, by cause.
    pub dropped: Dropped,
    /// Datagrams of the averaging dropped, by cause.
    pub average_dropped: AverageDropped,
}

/// One front end's gossip.
pub struct Node {
    swim: Swim,
    average: Average,
    settings: NodeSettings,
    rng: SmallRng,
    /// Peers declared down and not seen since, and when they were lost.
    lost: BTreeMap<SocketAddr, Micros>,
    ask_lost_at: Micros,
    /// Members that came, and bytes sent, since the last [`Node::publish`], and when that was.
    came: usize,
    sent: u64,
    published_at: Micros,
    pressure: u32,
}

impl Node {
    /// The front end at `own` in its `incarnation`, with a seeded generator.
    pub fn new(own: SocketAddr, incarnation: u64, settings: NodeSettings, seed: u64) -> Node {
        let (cluster, probe) = (settings.swim.cluster, settings.swim.probe);
        Node {
            swim: Swim::new(own, incarnation, settings.swim, seed),
            average: Average::new(PeerId { addr: own, incarnation }, cluster, probe, seed),
            settings,
            rng: SmallRng::seed_from_u64(seed ^ 0x6c6f_7374),
            lost: BTreeMap::new(),
            ask_lost_at: 0,
            came: 0,
            sent: 0,
            published_at: 0,
            pressure: 0,
        }
    }

    /// Takes a datagram that came at `now`.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) {
        if self.swim.is_ours(bytes, AVERAGE_VERSION) {
            self.average.datagram(now, bytes);
        } else {
            self.swim.datagram(now, bytes);
            self.regroup(now);
        }
    }

    /// When [`Node::tick`] is wanted next.
    pub fn next(&self) -> Micros {
        self.swim.next().unwrap_or(Micros::MAX).min(self.average.next())
    }

    /// Runs what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.swim.tick(now);
        self.regroup(now);
        self.average.tick(now);
    }

    /// The view's neighbours follow a change of the members.
    fn regroup(&mut self, now: Micros) {
        if self.swim.changed() {
            self.average.members(now, self.swim.members());
        }
    }

    /// Each probe period: tells the fleet our load, asks for peers that are missing, and says how the fleet is.
    pub fn publish(&mut self, now: Micros, own: Summary) -> FleetNews {
        self.average.set(own.pressure);
        let mixed = self.settings.summaries && self.swim.mixed(now);
        if mixed {
            self.swim.publish(now, Summary { views: true, ..own });
        }
        let passed = now.saturating_sub(self.published_at).max(1);
        let over = std::mem::take(&mut self.sent) * 1_000_000 / passed > SENT_A_SECOND;
        self.published_at = now;
        self.swim.spare(over);
        if std::mem::take(&mut self.came) * FILLING > self.swim.alive() {
            (0..ASK_FILLING).for_each(|_| self.swim.ask_for_members(now, self.rng.random()));
        }
        self.ask_missing(now);
        self.regroup(now);
        self.pressure = if mixed { self.swim.pressure(now, own.pressure) } else { self.average.pressure() };
        FleetNews {
            alive: self.swim.alive(),
            pressure: self.pressure,
            edges: self.average.edges(),
            mixed,
            dropped: self.swim.dropped,
            average_dropped: self.average.dropped,
        }
    }

    /// Asks the seeds while alone; else now and then one seed or lost peer that is not counted alive, so that
    /// parts of a fleet find each other again however long they were cut.
    fn ask_missing(&mut self, now: Micros) {
        if self.swim.alive() == 0 {
            let seeds = self.settings.seeds.clone();
            seeds.iter().for_each(|&s| self.swim.join(now, s));
        }
        if now < self.ask_lost_at {
            return;
        }
        let size = self.swim.alive() as Micros + 1;
        let pause = self.settings.swim.probe * ASK_LOST_PROBES.max(size / ASK_LOST_FLEET);
        // From half to one and a half of the pause, so that front ends cut at once do not ask at once.
        self.ask_lost_at = now + pause / 2 + self.rng.random_range(0..=pause);
        self.lost.retain(|_, at| now.saturating_sub(*at) < LOST_FOR);
        let alive: std::collections::BTreeSet<SocketAddr> = self.swim.members().collect();
        let mut missing: Vec<SocketAddr> = self.lost.keys().copied().filter(|a| !alive.contains(a)).collect();
        missing
            .extend(self.settings.seeds.iter().filter(|a| !alive.contains(a) && !self.lost.contains_key(a)));
        if !missing.is_empty() {
            let one = missing[self.rng.random_range(0..missing.len())];
            self.swim.join(now, one);
        }
    }

    /// Datagrams to send, with their addresses.
    pub fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut out = self.swim.outbox();
        out.append(&mut self.average.outbox());
        self.sent += out.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
        out
    }

    /// Changes of membership since the last call, with when they were noticed.
    pub fn events(&mut self) -> Vec<(Micros, PeerEvent)> {
        let events = self.swim.events();
        for &(at, e) in &events {
            match e {
                PeerEvent::Up(p) => {
                    self.came += 1;
                    self.lost.remove(&p.addr);
                }
                PeerEvent::Down(p) => {
                    if self.lost.len() >= LOST_HELD && !self.lost.contains_key(&p.addr) {
                        let oldest = self.lost.iter().min_by_key(|(_, at)| **at).map(|(a, _)| *a);
                        oldest.map(|a| self.lost.remove(&a));
                    }
                    self.lost.insert(p.addr, at);
                }
                PeerEvent::Alone | PeerEvent::Rejoined => {}
            }
        }
        events
    }

    /// Peers counted alive.
    pub fn alive(&self) -> usize {
        self.swim.alive()
    }

    /// The fleet's mean pressure in thousandths as it stands between two calls of [`Node::publish`].
    pub fn pressure(&self) -> u32 {
        self.pressure
    }
}
