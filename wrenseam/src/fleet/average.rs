//! The fleet's mean pressure by Flow Updating (Jesus, Baquero, Almeida: averaging that tolerates faults), without
//! I/O: datagrams come in as bytes with the time, what is to be sent is collected for the caller.
//!
//! Each front end keeps an edge to a bounded number of peers, whatever the fleet's size: its neighbours on
//! [`RINGS`] rings, each of all members in an order of its own by hash. An edge holds a flow, the part of the
//! pressure passed over it; a front end's estimate is its own pressure less the sum of its flows. An exchange
//! over an edge brings both estimates to their middle. Flows are told as they stand, not as changes: a lost or
//! repeated datagram costs time and no mass, and an edge that ends takes its flow with it on both sides.
mod exchange;
mod neighbours;

pub use exchange::Exchange;
pub use neighbours::{neighbours, RINGS};

use super::identity::AVERAGE_VERSION;
use super::identity::{header, PeerId, HEADER_BYTES, MAX_PRESSURE};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Exchanges that a front end begins in a probe period.
pub const EXCHANGES_A_PROBE: Micros = 5;
/// The largest flow over an edge, in thousandths: two front ends alone at 0 and [`MAX_PRESSURE`] need half of it.
pub const MAX_FLOW: u32 = MAX_PRESSURE / 2;

/// Estimates and flows are counted in units of a thousandth of a thousandth.
const UNIT: i32 = 1000;
const MAX: i32 = MAX_PRESSURE as i32 * UNIT;
const FLOW: i32 = MAX_FLOW as i32 * UNIT;
/// An edge not heard over for so many rounds holds no flow: at 1% loss each way that is 8e-6 of edges a round by
/// chance, for one round.
const SILENT_ROUNDS: Micros = 3;
/// A peer that does not answer is asked every turn at first, then every 2, 4, 8 and 16.
const LONGEST_BACKOFF: u32 = 4;
/// Of a change of our own pressure a quarter is taken up each turn: loads jump from sample to sample, and a jump
/// is in our own estimate until exchanges have spread it. It puts a step off by some 0.5 s.
const TAKEN_UP: i32 = 4;
/// What is told is the mean of so many turns: a probe period.
const TOLD_TURNS: usize = EXCHANGES_A_PROBE as usize;

/// Datagrams of the averaging that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AverageDropped {
    /// Cut short, of an unknown kind, or the checksum does not match.
    pub garbled: u64,
    /// Of an earlier incarnation of the peer, a repeat, or older than one taken before.
    pub stale: u64,
    /// From no neighbour, or not its part to ask or answer.
    pub stranger: u64,
}

/// What this front end holds of one neighbour.
#[derive(Clone, Copy, Debug)]
struct Edge {
    /// Whether we ask over this edge; the other end answers.
    asks: bool,
    /// The neighbour's incarnation, once heard.
    incarnation: u64,
    /// What we passed to it, in units; it holds the opposite.
    flow: i32,
    /// Its estimate, when last heard.
    estimate: Option<i32>,
    heard: Micros,
    /// The last ask sent (or taken, at the other end).
    seq: u32,
    /// Whether an answer to `seq` is awaited.
    awaits: bool,
    /// Asks in a row without an answer.
    unanswered: u32,
    /// Not asked before this.
    ask_at: Micros,
}

/// One front end's part in the averaging.
pub struct Average {
    own: PeerId,
    header: [u8; HEADER_BYTES],
    turn_for: Micros,
    /// Our own pressure as last told, in units, and as the averaging has it: a little behind.
    told: i32,
    value: i32,
    /// What each of the last turns made of the mean, in units.
    recent: VecDeque<i32>,
    edges: BTreeMap<SocketAddr, Edge>,
    /// The neighbours we ask, in turn.
    asked: Vec<SocketAddr>,
    turn: usize,
    next_at: Micros,
    rng: SmallRng,
    out: Vec<(SocketAddr, Vec<u8>)>,
    /// Datagrams dropped, by cause.
    pub dropped: AverageDropped,
}

impl Average {
    /// The averaging of the front end `own` in the fleet named `cluster`, which begins [`EXCHANGES_A_PROBE`] exchanges
    /// in each `probe` microseconds.
    pub fn new(own: PeerId, cluster: u32, probe: Micros, seed: u64) -> Average {
        let turn_for = (probe / EXCHANGES_A_PROBE).max(1000);
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x666c_6f77);
        Average {
            own,
            header: header(AVERAGE_VERSION, cluster),
            turn_for,
            told: 0,
            value: 0,
            recent: VecDeque::new(),
            edges: BTreeMap::new(),
            asked: Vec::new(),
            turn: 0,
            next_at: rng.random_range(0..turn_for),
            rng,
            out: Vec::new(),
            dropped: AverageDropped::default(),
        }
    }

    /// How long an edge lives unheard, in microseconds.
    pub fn silent_for(&self) -> Micros {
        SILENT_ROUNDS * RINGS as Micros * self.turn_for
    }

    /// Our own pressure from now on, in thousandths.
    pub fn set(&mut self, pressure: u32) {
        self.told = pressure.min(MAX_PRESSURE) as i32 * UNIT;
        if self.recent.is_empty() {
            self.value = self.told; // the first
        }
    }

    /// The members besides us have changed to these: keeps the edges that stand, ends and begins the others.
    pub fn members(&mut self, now: Micros, members: impl Iterator<Item = SocketAddr>) {
        let neighbours = neighbours(self.own.addr, members);
        self.edges.retain(|a, e| neighbours.get(a) == Some(&e.asks));
        for (&addr, &asks) in &neighbours {
            let seq = self.rng.random::<u32>();
            self.edges.entry(addr).or_insert_with(|| Edge {
                asks,
                incarnation: 0,
                flow: 0,
                estimate: None,
                heard: now,
                seq,
                awaits: false,
                unanswered: 0,
                ask_at: now,
            });
        }
        self.asked = neighbours
            .iter()
            .filter(|(_, asks)| **asks)
            .map(|(a, _)| *a)
            .collect();
    }

    /// Our estimate of the mean, in units.
    fn estimate(&self) -> i32 {
        self.edges
            .values()
            .fold(self.value, |v, e| v - e.flow)
            .clamp(-2 * MAX, 2 * MAX)
    }

    /// When [`Average::tick`] is wanted next.
    pub fn next(&self) -> Micros {
        self.next_at
    }

    /// Takes up some of a change of our own pressure, ends silent edges and begins the exchange whose turn it is.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_at {
            return;
        }
        // The phase is kept, not made up for: after a pause one exchange begins and not all that were missed.
        self.next_at = (self.next_at + self.turn_for).max(now + 1);
        self.value += (self.told - self.value) / TAKEN_UP;
        if self.recent.len() >= TOLD_TURNS {
            self.recent.pop_front();
        }
        self.recent.push_back(self.median());
        let silent = self.silent_for();
        for e in self
            .edges
            .values_mut()
            .filter(|e| now.saturating_sub(e.heard) > silent)
        {
            if e.estimate.is_some() {
                // It may be back at once: asked each turn again before the pauses grow.
                (e.flow, e.estimate, e.incarnation, e.awaits, e.unanswered) =
                    (0, None, 0, false, 0);
            }
        }
        if self.asked.is_empty() {
            return;
        }
        // As many turns as rings, however few the neighbours: a peer is asked as often in a small fleet.
        self.turn = (self.turn + 1) % self.asked.len().max(RINGS);
        let estimate = self.estimate();
        let round = RINGS as Micros * self.turn_for;
        let Some(&to) = self.asked.get(self.turn) else {
            return;
        };
        let Some(e) = self.edges.get_mut(&to).filter(|e| now >= e.ask_at) else {
            return;
        };
        e.unanswered = if e.awaits {
            e.unanswered.saturating_add(1)
        } else {
            0
        };
        if e.estimate.is_none() && e.unanswered > 0 {
            // Half a turn early, so that the turn itself is not missed by the order of two timers.
            e.ask_at = now + (round << e.unanswered.min(LONGEST_BACKOFF)) - round / 2;
        }
        (e.seq, e.awaits) = (e.seq.wrapping_add(1), true);
        let ask = Exchange {
            answer: false,
            from: self.own,
            seq: e.seq,
            flow: e.flow,
            estimate,
        };
        self.out.push((to, ask.encode(&self.header)));
    }

    /// Takes a datagram that came at `now`, whose header the caller has checked; what cannot be taken is
    /// counted in [`Average::dropped`]. Who sent it, if it is a neighbour's.
    pub fn datagram(&mut self, now: Micros, bytes: &[u8]) -> Option<PeerId> {
        let Some(x) = Exchange::decode(bytes) else {
            self.dropped.garbled += 1;
            return None;
        };
        let Some(e) = self
            .edges
            .get_mut(&x.from.addr)
            .filter(|e| e.asks == x.answer)
        else {
            self.dropped.stranger += 1;
            return None;
        };
        let known = e.incarnation != 0;
        let old = if x.answer {
            !e.awaits || x.seq != e.seq
        } else {
            x.seq.wrapping_sub(e.seq) as i32 <= 0
        };
        if known && x.from.incarnation < e.incarnation
            || old && (x.answer || x.from.incarnation == e.incarnation)
        {
            self.dropped.stale += 1;
            return None;
        }
        // Another incarnation holds no flow of ours: its zero replaces what the former held.
        e.incarnation = x.from.incarnation;
        e.heard = now;
        e.flow = -x.flow.clamp(-FLOW, FLOW);
        let remote = x.estimate.clamp(0, MAX);
        e.estimate = Some(remote);
        (e.awaits, e.unanswered, e.ask_at) = (false, 0, now);
        if x.answer {
            return Some(x.from);
        }
        e.seq = x.seq;
        let middle = (self.estimate() - remote) / 2;
        let e = self.edges.get_mut(&x.from.addr)?;
        e.flow = e.flow.saturating_add(middle).clamp(-FLOW, FLOW);
        let flow = e.flow;
        let reply = Exchange {
            answer: true,
            from: self.own,
            seq: x.seq,
            flow,
            estimate: self.estimate(),
        };
        self.out.push((x.from.addr, reply.encode(&self.header)));
        Some(x.from)
    }

    /// Datagrams to send, with their addresses.
    pub fn outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Neighbours heard from lately, and all that are held.
    pub fn edges(&self) -> (usize, usize) {
        (
            self.edges.values().filter(|e| e.estimate.is_some()).count(),
            self.edges.len(),
        )
    }

    /// The fleet's mean pressure in thousandths: the median of our estimate and our neighbours', as a mean over the last
    /// probe period.
    pub fn pressure(&self) -> u32 {
        let sum: i64 = self.recent.iter().map(|&m| i64::from(m)).sum();
        let n = self.recent.len() as i64;
        let mean = if n == 0 {
            i64::from(self.median())
        } else {
            sum / n
        };
        ((mean + i64::from(UNIT) / 2) / i64::from(UNIT)) as u32
    }

    /// The median of our estimate and those of our neighbours, so that one neighbour that lies, or a change of our
    /// own that has not spread yet, does not stand for the fleet.
    fn median(&self) -> i32 {
        let mut all: Vec<i32> = self.edges.values().filter_map(|e| e.estimate).collect();
        all.push(self.estimate());
        all.sort_unstable();
        let (low, high) = (all[(all.len() - 1) / 2], all[all.len() / 2]);
        ((i64::from(low) + i64::from(high)) / 2).clamp(0, i64::from(MAX)) as i32
    }
}
