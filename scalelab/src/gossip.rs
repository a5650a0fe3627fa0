//! What front ends send each other, against the fleet's size and its troubles: hollow ones (membership and view
//! alone, as the program runs them) on a simulated net in simulated time. Counts and bytes are the same every run.
use crate::{Column, Experiment, Fault, Sweep};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wrenseam::fleet::identity::{AVERAGE_VERSION, MAX_PRESSURE};
use wrenseam::fleet::node::EXTRA_TRANSMISSIONS;
use wrenseam::fleet::{FleetNews, Node, NodeSettings, Summary, Swim, SwimSettings};

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

/// Which program a front end runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The one with the view.
    Average,
    /// The one before it: a summary of each front end to all.
    Summaries,
}

enum Program {
    Average(Box<Node>),
    Summaries(Box<Swim>),
}

impl Program {
    fn datagram(&mut self, now: u64, bytes: &[u8]) {
        match self {
            Program::Average(n) => n.datagram(now, bytes),
            Program::Summaries(s) => s.datagram(now, bytes),
        }
    }

    fn next(&self) -> u64 {
        match self {
            Program::Average(n) => n.next(),
            Program::Summaries(s) => s.next().unwrap_or(u64::MAX),
        }
    }

    fn tick(&mut self, now: u64) {
        match self {
            Program::Average(n) => n.tick(now),
            Program::Summaries(s) => s.tick(now),
        }
    }

    fn publish(&mut self, now: u64, own: u32, seeds: &[SocketAddr]) -> FleetNews {
        let summary = Summary { pressure: own, ..Summary::default() };
        match self {
            Program::Average(n) => n.publish(now, summary),
            Program::Summaries(s) => {
                s.publish(now, summary);
                if s.alive() == 0 {
                    seeds.iter().for_each(|&a| s.join(now, a));
                }
                FleetNews {
                    alive: s.alive(),
                    pressure: s.pressure(now, own),
                    edges: (s.summaries(now).len(), s.alive()),
                    dropped: s.dropped,
                    ..FleetNews::default()
                }
            }
        }
    }

    fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        match self {
            Program::Average(n) => {
                n.events();
                n.outbox()
            }
            Program::Summaries(s) => {
                s.events();
                s.outbox()
            }
        }
    }
}

/// One hollow front end.
pub struct Front {
    program: Option<Program>,
    /// Its own load, in thousandths of capacity.
    pub pressure: u32,
    /// Front ends of different sides do not reach each other.
    pub side: u8,
    /// What it last made of the fleet.
    pub news: FleetNews,
    kind: Kind,
    incarnation: u64,
    publish_at: u64,
    wake_at: u64,
}

/// What was sent and received since the tally was taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent, without those of IP and UDP.
    pub sent: u64,
    /// Bytes that came.
    pub received: u64,
    /// Of the bytes sent: SWIM's own (probes, their answers, joins).
    pub swim: u64,
    /// Of the bytes sent: news and lists of members on SWIM's datagrams.
    pub members: u64,
    /// Of the bytes sent: summaries.
    pub summaries: u64,
    /// Of the bytes sent: exchanges of the view.
    pub view: u64,
    /// Time in the state machines.
    pub busy: Duration,
}

/// A way to change what a front end sends: as a liar would.
pub type Tamper = Box<dyn Fn(&mut Vec<u8>)>;

/// When, in which order among those of one time, at whom, and the bytes: none is a timer.
type Event = (u64, u64, usize, Vec<u8>);

/// A fleet on a net of chance.
pub struct Net {
    /// The front ends, by number.
    pub fronts: Vec<Front>,
    /// Part of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Part of datagrams that come twice, 0 to 1.
    pub twice: f64,
    /// Each front end's own pressure is drawn anew each time it tells it: 500 and up to so much more or less.
    pub redraw: Option<u32>,
    /// Simulated time, in microseconds.
    pub now: u64,
    /// What was sent and received.
    pub tally: Tally,
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

impl Net {
    /// `n` front ends that start within a second and join by the first and the second; probe 500 ms, suspicion
    /// 1.5 s as the program's defaults, own pressures between 200 and 800.
    pub fn new(n: usize, kind: Kind, seed: u64) -> Net {
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
        let fronts = (0..n)
            .map(|i| Front {
                program: None,
                pressure: rng.random_range(200..=800),
                side: 0,
                news: FleetNews::default(),
                kind,
                incarnation: FIRST_INCARNATION + i as u64,
                publish_at: 0,
                wake_at: u64::MAX,
            })
            .collect();
        let seeds = (0..n.min(2)).map(addr).collect();
        let mut net = Net {
            fronts,
            loss: 0.0,
            twice: 0.0,
            redraw: None,
            now: 0,
            tally: Tally::default(),
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

    /// Stops front end `i` at once, as a crash would.
    pub fn kill(&mut self, i: usize) {
        self.fronts[i].program = None;
    }

    /// Starts front end `i` in a new incarnation `after` microseconds from now.
    pub fn start(&mut self, i: usize, after: u64) {
        let kind = self.fronts[i].kind;
        self.start_as(i, after, kind);
    }

    /// As [`Net::start`], with this program.
    pub fn start_as(&mut self, i: usize, after: u64, kind: Kind) {
        let seed = self.rng.random();
        let at = self.now + after;
        let f = &mut self.fronts[i];
        f.incarnation += 1_000_000 + at;
        f.kind = kind;
        f.program = Some(match kind {
            Kind::Average => {
                let swim = SwimSettings { extra_transmissions: EXTRA_TRANSMISSIONS, ..self.settings };
                let settings = NodeSettings { swim, seeds: self.seeds.clone(), summaries: true };
                Program::Average(Box::new(Node::new(addr(i), f.incarnation, settings, seed)))
            }
            Kind::Summaries => {
                Program::Summaries(Box::new(Swim::new(addr(i), f.incarnation, self.settings, seed)))
            }
        });
        f.publish_at = at;
        f.news = FleetNews::default();
        self.wake(i, at);
    }

    /// Whether front end `i` runs.
    pub fn up(&self, i: usize) -> bool {
        self.fronts[i].program.is_some()
    }

    /// Hands front end `i` a datagram from outside.
    pub fn inject(&mut self, i: usize, bytes: &[u8]) {
        if let Some(p) = self.fronts[i].program.as_mut() {
            p.datagram(self.now, bytes);
        }
    }

    fn push(&mut self, at: u64, i: usize, bytes: Vec<u8>) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, i, bytes)));
    }

    fn wake(&mut self, i: usize, at: u64) {
        self.fronts[i].wake_at = at;
        self.push(at, i, Vec::new()); // no bytes: a timer
    }

    /// Runs until the time is `until`, in simulated microseconds.
    pub fn run(&mut self, until: u64) {
        while self.queue.peek().is_some_and(|Reverse(e)| e.0 <= until) {
            let Some(Reverse((at, _, i, bytes))) = self.queue.pop() else { break };
            self.now = at;
            let f = &mut self.fronts[i];
            if bytes.is_empty() && at != f.wake_at {
                continue; // another wake took its place
            }
            let Some(program) = f.program.as_mut() else { continue };
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
                self.tally.received += bytes.len() as u64;
                program.datagram(at, &bytes);
            }
            let out = program.outbox();
            let next = program.next().min(f.publish_at).max(at + 1);
            self.tally.busy += began.elapsed();
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
        self.tally.add(&bytes);
        let to = number(to);
        if to >= self.fronts.len() || self.fronts[to].side != self.fronts[from].side {
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.twice);
        for _ in 0..copies {
            if self.rng.random::<f64>() < self.loss {
                continue;
            }
            // Half a millisecond to two within a region, 20 to 30 between them.
            let far = (from % ZONES < 4) != (to % ZONES < 4);
            let delay = if far { 20 * MS..30 * MS } else { MS / 2..2 * MS };
            let at = self.now + self.rng.random_range(delay);
            self.push(at, to, bytes.clone());
        }
    }

    /// The true mean pressure, in thousandths, of the front ends that run on `side`, and how many they are.
    pub fn truth(&self, side: u8) -> (f64, usize) {
        let up = self.fronts.iter().filter(|f| f.program.is_some() && f.side == side);
        let (sum, n) = up.fold((0.0, 0), |(s, n), f| (s + f64::from(f.pressure.min(MAX_PRESSURE)), n + 1));
        (sum / n.max(1) as f64, n)
    }

    /// The largest and the root mean square error of the mean, as a part of the truth, over all that run.
    pub fn error(&self) -> (f64, f64) {
        let truth: Vec<f64> = (0..=1).map(|side| self.truth(side).0).collect();
        let errors = self.fronts.iter().filter(|f| f.program.is_some()).map(|f| {
            let t = truth[usize::from(f.side)];
            (f64::from(f.news.pressure) - t).abs() / t.max(1.0)
        });
        let (most, sum, n) =
            errors.fold((0.0, 0.0, 0.0), |(m, s, n), e| (f64::max(m, e), s + e * e, n + 1.0));
        (most, f64::sqrt(sum / f64::max(n, 1.0)))
    }

    /// The largest error of the fleet's size, as a part of the truth, over all that run.
    pub fn size_error(&self) -> f64 {
        let truth: Vec<f64> = (0..=1).map(|side| self.truth(side).1 as f64).collect();
        let up = self.fronts.iter().filter(|f| f.program.is_some());
        up.map(|f| {
            let t = truth[usize::from(f.side)];
            (f.news.alive as f64 + 1.0 - t).abs() / t
        })
        .fold(0.0, f64::max)
    }

    /// Runs on until `holds` at every step of 100 ms for a second, for at most `within` microseconds; how long
    /// it took until it held, in microseconds.
    pub fn until(&mut self, within: u64, holds: impl Fn(&Net) -> bool) -> Option<u64> {
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
    pub fn settled(n: usize, kind: Kind, seed: u64) -> Result<Net, Fault> {
        let mut net = Net::new(n, kind, seed);
        net.until(180_000 * MS, |net| net.size_error() == 0.0)
            .ok_or(Fault::Failed(format!("{n} front ends had not found each other within 180 s")))?;
        net.run(net.now + 10_000 * MS);
        Ok(net)
    }

    /// A step of the load: the front ends of one zone go to `to` thousandths.
    pub fn step(&mut self, to: u32) {
        self.fronts.iter_mut().step_by(ZONES).for_each(|f| f.pressure = to);
    }
}

impl Tally {
    fn add(&mut self, bytes: &[u8]) {
        let n = bytes.len() as u64;
        self.datagrams += 1;
        self.sent += n;
        if bytes.get(2) == Some(&AVERAGE_VERSION) {
            self.view += n;
            return;
        }
        let mut end = bytes.len();
        while end >= 66 && bytes[end - 66..end - 62] == [0, 64, b'w', b'S'] {
            end -= 66;
        }
        let head = swim_header(bytes).unwrap_or(end).min(end);
        self.swim += head as u64;
        self.members += (end - head) as u64;
        self.summaries += n - end as u64;
    }
}

/// Bytes of a SWIM datagram before its news of members: our header, both peers, incarnation and message.
fn swim_header(bytes: &[u8]) -> Option<usize> {
    let varint = |at: &mut usize| -> Option<u64> {
        let (mut value, mut shift) = (0u64, 0);
        loop {
            let b = *bytes.get(*at)?;
            *at += 1;
            value |= u64::from(b & 0x7f) << shift;
            shift += 7;
            if b < 0x80 || shift > 63 {
                return Some(value);
            }
        }
    };
    let peer = |at: &mut usize| -> Option<()> {
        *at += if varint(at)? == 0 { 4 } else { 16 };
        varint(at)?;
        varint(at).map(drop)
    };
    let at = &mut 7;
    peer(at)?;
    varint(at)?;
    peer(at)?;
    match varint(at)? {
        0 | 1 => *at += 1,
        2..=5 => {
            peer(at)?;
            *at += 1;
        }
        _ => {}
    }
    Some(*at)
}

const SIZES: &[u64] = &[3, 10, 30, 100, 330, 660];
const BOUND: u64 = 1000;

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "gossip",
        about:
            "Front ends' traffic, error of the mean and time to notice, with the view; no loss, probe 500 ms.",
        sizes: SIZES,
        bound: BOUND,
        run: |sizes, seed| Ok(vec![sweep("the view of bounded size", sizes, seed, Kind::Average)?]),
    },
    Experiment {
        name: "gossip-before",
        about: "The same with a summary of each front end to all, as before the view.",
        sizes: SIZES,
        bound: BOUND,
        run: |sizes, seed| Ok(vec![sweep("a summary of each to all", sizes, seed, Kind::Summaries)?]),
    },
    Experiment {
        name: "gossip-troubles",
        about: "With the view: a zone lost and back, regions cut and healed, 12% restarted, 1% lost.",
        sizes: &[10, 30, 100, 330, 660],
        bound: BOUND,
        run: troubles,
    },
];

const COLUMNS: [(&str, bool); 17] = [
    ("datagrams/s sent", true),
    ("bytes/s sent", true),
    ("bytes/s sent and received", true),
    ("with IP and UDP", true),
    ("SWIM's own bytes/s sent", true),
    ("members' bytes/s sent", true),
    ("summaries' bytes/s sent", true),
    ("view's bytes/s sent", true),
    ("processor us/s", false),
    ("error of the mean, worst, %", true),
    ("error of the mean, rms, %", true),
    ("worst, loads redrawn by 15% each probe period", true),
    ("worst, loads redrawn by 60%", true),
    ("rms, loads redrawn by 60%", true),
    ("heard share, %", true),
    ("mean within 5% after a step, s", true),
    ("all count a dead peer out, s", true),
];

fn columns(names: &[(&'static str, bool)]) -> Vec<Column> {
    names.iter().map(|&(name, exact)| Column { name, exact }).collect()
}

fn seconds(took: Option<u64>) -> f64 {
    took.map_or(f64::NAN, |us| us as f64 / 1e6)
}

fn sweep(title: &str, sizes: &[u64], seed: u64, kind: Kind) -> Result<Sweep, Fault> {
    let mut rows = Vec::new();
    for &size in sizes {
        let n = size as usize;
        let mut net = Net::settled(n, kind, seed)?;
        net.tally = Tally::default();
        let (worst, rms) = watch_error(&mut net, MEASURED);
        let t = net.tally;
        let mut redrawn = [(0.0, 0.0); 2];
        for (errors, more) in redrawn.iter_mut().zip([75, 300]) {
            net.redraw = Some(more);
            net.run(net.now + 3000 * MS);
            *errors = watch_error(&mut net, MEASURED);
        }
        net.redraw = None;
        net.run(net.now + 3000 * MS);
        let heard = net.fronts.iter().map(|f| f.news.edges.0 as f64 / f.news.edges.1.max(1) as f64);
        let heard = heard.fold(1.0, f64::min);
        net.step(4000);
        let step = net.until(60_000 * MS, |net| net.error().0 <= 0.05);
        net.kill(n / 2);
        let dead = net.until(60_000 * MS, |net| net.size_error() == 0.0);
        let each = |x: u64| x as f64 / MEASURED as f64 / n as f64;
        let both = each(t.sent + t.received);
        rows.push((
            size,
            vec![
                each(t.datagrams),
                each(t.sent),
                both,
                both + 2.0 * IP_UDP as f64 * each(t.datagrams),
                each(t.swim),
                each(t.members),
                each(t.summaries),
                each(t.view),
                each(t.busy.as_micros() as u64),
                worst * 100.0,
                rms * 100.0,
                redrawn[0].0 * 100.0,
                redrawn[1].0 * 100.0,
                redrawn[1].1 * 100.0,
                heard * 100.0,
                seconds(step),
                seconds(dead),
            ],
        ));
    }
    let title = format!("Gossip for each front end, {title} (probe 500 ms, no loss, seed {seed})");
    Ok(Sweep { title, varied: "front ends", columns: columns(&COLUMNS), rows })
}

/// Simulated seconds over which a steady state is measured.
const MEASURED: u64 = 10;

/// The largest error of the mean over so many seconds, and its root mean square.
fn watch_error(net: &mut Net, seconds: u64) -> (f64, f64) {
    let (mut worst, mut square) = (0.0f64, 0.0);
    for _ in 0..seconds {
        net.run(net.now + 1000 * MS);
        let (most, rms) = net.error();
        worst = worst.max(most);
        square += rms * rms;
    }
    (worst, f64::sqrt(square / seconds as f64))
}

/// One trouble: what is done to the settled fleet, and after how long it is undone.
struct Trouble {
    name: &'static str,
    begin: fn(&mut Net),
    lasts: u64,
    end: fn(&mut Net),
}

/// Loads these front ends with three times their capacity and lets the fleet see it: losing them is a step.
fn load(net: &mut Net, which: fn(usize) -> bool) {
    net.fronts.iter_mut().enumerate().filter(|(i, _)| which(*i)).for_each(|(_, f)| f.pressure = 3000);
    net.run(net.now + 5000 * MS);
}

fn zone(net: &Net) -> Vec<usize> {
    (0..net.fronts.len()).filter(|i| i % ZONES == ZONES - 1).collect()
}

/// Twelve in a hundred, as 79 of 660, at least one; not the seeds.
fn some(net: &Net) -> Vec<usize> {
    let n = net.fronts.len();
    (2..2 + (n * 79).div_ceil(660)).collect()
}

const TROUBLES: &[Trouble] = &[
    Trouble {
        name: "a zone lost for 30 s",
        begin: |net| {
            load(net, |i| i % ZONES == ZONES - 1);
            zone(net).into_iter().for_each(|i| net.kill(i));
        },
        lasts: 30_000 * MS,
        end: |net| zone(net).into_iter().for_each(|i| net.start(i, 0)),
    },
    Trouble {
        name: "regions cut for an hour",
        begin: |net| {
            load(net, |i| i % ZONES >= 4);
            for (i, f) in net.fronts.iter_mut().enumerate() {
                f.side = u8::from(i % ZONES >= 4);
            }
        },
        lasts: 3_600_000 * MS,
        end: |net| net.fronts.iter_mut().for_each(|f| f.side = 0),
    },
    Trouble {
        name: "12% restarted at once, 5 s down",
        begin: |net| some(net).into_iter().for_each(|i| net.kill(i)),
        lasts: 5_000 * MS,
        end: |net| some(net).into_iter().for_each(|i| net.start(i, 0)),
    },
    Trouble { name: "1% lost", begin: |net| net.loss = 0.01, lasts: 30_000 * MS, end: |net| net.loss = 0.0 },
];

const TROUBLE_COLUMNS: [(&str, bool); 9] = [
    ("mean within 5%, s", true),
    ("size within 5%, s", true),
    ("size right, s", true),
    ("undone: mean within 5%, s", true),
    ("undone: size within 5%, s", true),
    ("undone: size right, s", true),
    ("bytes/s sent and received, most in a second", true),
    ("seconds above 22 KB/s", true),
    ("bytes/s sent and received, while it lasts", true),
];

fn troubles(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, Fault> {
    let mut sweeps = Vec::new();
    for trouble in TROUBLES {
        let mut rows = Vec::new();
        for &size in sizes {
            let mut net = Net::settled(size as usize, Kind::Average, seed)?;
            rows.push((size, trouble.run(&mut net)));
        }
        let title = format!("Gossip with the view: {} (probe 500 ms, seed {seed})", trouble.name);
        sweeps.push(Sweep { title, varied: "front ends", columns: columns(&TROUBLE_COLUMNS), rows });
    }
    Ok(sweeps)
}

impl Trouble {
    fn run(&self, net: &mut Net) -> Vec<f64> {
        let mut watched = Watched::default();
        net.tally = Tally::default();
        let began = net.now;
        (self.begin)(net);
        let during = watched.watch(net, self.lasts.min(60_000 * MS));
        // What comes after the first minute is quiet: it is run, and counted, in longer steps.
        while net.now < began + self.lasts {
            net.run((net.now + 10_000 * MS).min(began + self.lasts));
        }
        let each = 1e6 / (net.now - began).max(1) as f64 / net.fronts.len() as f64;
        let bytes = (net.tally.sent + net.tally.received) as f64 * each;
        (self.end)(net);
        let after = watched.watch(net, 60_000 * MS);
        [&during[..], &after, &[watched.most, watched.above, bytes]].concat()
    }
}

/// The most bytes a front end sent and received in a second, on average over all, and seconds above the limit.
#[derive(Default)]
struct Watched {
    most: f64,
    above: f64,
}

impl Watched {
    /// Runs for `within` microseconds; since when the mean was within 5%, the size within 5%, and the size right,
    /// in seconds (not a number: not at the end).
    fn watch(&mut self, net: &mut Net, within: u64) -> [f64; 3] {
        let began = net.now;
        let mut since = [Some(0); 3];
        while net.now < began + within {
            let before = net.tally.sent + net.tally.received;
            for _ in 0..10 {
                net.run(net.now + 100 * MS);
                let holds = [net.error().0 <= 0.05, net.size_error() <= 0.05, net.size_error() == 0.0];
                for (since, holds) in since.iter_mut().zip(holds) {
                    *since = if holds { since.or(Some(net.now - began)) } else { None };
                }
            }
            let bytes = (net.tally.sent + net.tally.received - before) as f64 / net.fronts.len() as f64;
            self.most = self.most.max(bytes);
            self.above += f64::from(u8::from(bytes > 22_000.0));
        }
        since.map(seconds)
    }
}
