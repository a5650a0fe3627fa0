//! The fleet's mean pressure by Flow Updating (Jesus, Baquero, Almeida: averaging that tolerates faults), without
//! I/O: datagrams come in as bytes with the time, what is to be sent is collected for the caller.
//!
//! Each front end keeps an edge to a bounded number of peers, whatever the fleet's size: its neighbours on
//! [`RINGS`] rings, each of all members in an order of its own by hash. An edge has a flow, the part of the
//! pressure passed over it; a front end's estimate is its own pressure less the sum of its flows. An exchange
//! over an edge brings both estimates to their middle. Flows are sent as they stand, not as changes: a lost or
//! repeated datagram costs time and no mass, and an edge that ends takes its flow with it on both sides.
mod edge;
mod exchange;
mod neighbours;

pub use exchange::{Exchange, ExchangeKind};
pub use neighbours::{neighbours, EdgeRole, RINGS};

use super::identity::{header, PeerId, AVERAGE_VERSION, HEADER_BYTES, MAX_PRESSURE};
use super::traffic::{Outgoing, TrafficKind};
use edge::Edge;
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Exchanges that a front end begins in a probe period.
pub const EXCHANGES_PER_PROBE: Micros = 5;
/// The largest flow over an edge, in thousandths: two front ends alone at 0 and [`MAX_PRESSURE`] need half of it.
pub const MAX_FLOW: u32 = MAX_PRESSURE / 2;

/// Units in a thousandth of capacity: estimates and flows are counted in millionths.
const UNIT: i32 = 1000;
/// The largest estimate that counts, in units.
const LARGEST_ESTIMATE: i32 = MAX_PRESSURE as i32 * UNIT;
/// The largest flow over an edge, in units.
const LARGEST_FLOW: i32 = MAX_FLOW as i32 * UNIT;
/// An edge not heard over for so many rounds has no flow: at 1% loss each way that is 8e-6 of edges a round by
/// chance, for one round.
const SILENT_ROUNDS: Micros = 3;
/// Of a change of our own pressure a quarter is taken up each turn: loads jump from sample to sample, and a jump
/// is in our own estimate until exchanges have spread it. It puts a step off by some 0.5 s.
const SMOOTHING_TURNS: i32 = 4;
/// What is reported is the mean over so many turns: a probe period.
const REPORTED_TURNS: usize = EXCHANGES_PER_PROBE as usize;
/// The shortest turn, in microseconds, however short the probe period.
const SHORTEST_TURN: Micros = 1000;
/// Mixed into the seed, so that the averaging draws other numbers than the rest of the node.
const SEED_SALT: u64 = 0x666c_6f77;

/// Datagrams of the averaging that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedExchanges {
    /// Cut short, of an unknown kind, or the checksum does not match.
    pub garbled: u64,
    /// Of an earlier incarnation of the peer, a repeat, or older than one taken before.
    pub stale: u64,
    /// From no neighbour, or of a kind that is not the neighbour's to send.
    pub unexpected: u64,
}

/// The edges of a front end, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EdgeCounts {
    /// Edges whose neighbour was heard lately.
    pub heard: usize,
    /// All edges.
    pub total: usize,
}

/// One front end's part in the averaging.
pub struct Average {
    own: PeerId,
    header: [u8; HEADER_BYTES],
    turn_for: Micros,
    /// Our own pressure as last measured, in units.
    measured: i32,
    /// Our own pressure as the averaging has it, in units: a little behind what was measured.
    value: i32,
    /// What each of the last turns made of the mean, in units.
    recent: VecDeque<i32>,
    edges: BTreeMap<SocketAddr, Edge>,
    /// The neighbours that get our requests, in turn.
    responders: Vec<SocketAddr>,
    turn: usize,
    next_at: Micros,
    rng: SmallRng,
    outbox: Vec<Outgoing>,
    /// Datagrams dropped, by cause.
    pub dropped: DroppedExchanges,
}

impl Average {
    /// The averaging of the front end `own` in the fleet named `cluster`, which begins [`EXCHANGES_PER_PROBE`]
    /// exchanges in each `probe` microseconds.
    pub fn new(own: PeerId, cluster: u32, probe: Micros, seed: u64) -> Average {
        let turn_for = (probe / EXCHANGES_PER_PROBE).max(SHORTEST_TURN);
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_SALT);
        Average {
            own,
            header: header(AVERAGE_VERSION, cluster),
            turn_for,
            measured: 0,
            value: 0,
            recent: VecDeque::new(),
            edges: BTreeMap::new(),
            responders: Vec::new(),
            turn: 0,
            next_at: rng.random_range(0..turn_for),
            rng,
            outbox: Vec::new(),
            dropped: DroppedExchanges::default(),
        }
    }

    /// How long each neighbour has its turn once, in microseconds.
    fn round(&self) -> Micros {
        RINGS as Micros * self.turn_for
    }

    /// How long an edge lives unheard, in microseconds.
    pub fn silence_timeout(&self) -> Micros {
        SILENT_ROUNDS * self.round()
    }

    /// Our own pressure from now on, in thousandths.
    pub fn set_pressure(&mut self, pressure: u32) {
        self.measured = pressure.min(MAX_PRESSURE) as i32 * UNIT;
        if self.recent.is_empty() {
            self.value = self.measured; // the first
        }
    }

    /// The members besides us have changed to these: keeps the edges that stand, ends and begins the others.
    pub fn set_members(&mut self, now: Micros, members: impl Iterator<Item = SocketAddr>) {
        let roles = neighbours(self.own.addr, members);
        self.edges
            .retain(|addr, edge| roles.get(addr) == Some(&edge.role));
        for (&addr, &role) in &roles {
            let seq = self.rng.random::<u32>();
            self.edges
                .entry(addr)
                .or_insert_with(|| Edge::new(role, seq, now));
        }
        self.responders = roles
            .iter()
            .filter(|(_, role)| **role == EdgeRole::Requester)
            .map(|(addr, _)| *addr)
            .collect();
    }

    /// Our estimate of the mean, in units.
    fn estimate(&self) -> i32 {
        let passed = self.edges.values().map(|edge| edge.flow);
        passed
            .fold(self.value, |value, flow| value - flow)
            .clamp(-2 * LARGEST_ESTIMATE, 2 * LARGEST_ESTIMATE)
    }

    /// When [`Average::tick`] is wanted next.
    pub fn next_wakeup(&self) -> Micros {
        self.next_at
    }

    /// Takes up some of a change of our own pressure, ends silent edges and begins the exchange whose turn it is.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_at {
            return;
        }
        // The phase is kept, not made up for: after a pause one exchange begins and not all that were missed.
        self.next_at = (self.next_at + self.turn_for).max(now + 1);
        self.value += (self.measured - self.value) / SMOOTHING_TURNS;
        self.record_median();
        let silence = self.silence_timeout();
        for edge in self.edges.values_mut() {
            edge.expire(now, silence);
        }
        self.send_request(now);
    }

    /// Remembers what this turn makes of the mean, in place of the oldest turn.
    fn record_median(&mut self) {
        if self.recent.len() >= REPORTED_TURNS {
            self.recent.pop_front();
        }
        self.recent.push_back(self.median());
    }

    /// Sends a request to the neighbour whose turn it is, if one is due to it.
    fn send_request(&mut self, now: Micros) {
        if self.responders.is_empty() {
            return;
        }
        // As many turns as rings, however few the neighbours: a peer gets as many requests in a small fleet.
        self.turn = (self.turn + 1) % self.responders.len().max(RINGS);
        let estimate = self.estimate();
        let round = self.round();
        let Some(&to) = self.responders.get(self.turn) else {
            return;
        };
        let Some(edge) = self.edges.get_mut(&to) else {
            return;
        };
        if !edge.is_request_due(now) {
            return;
        }
        edge.begin_request(now, round);
        let request = Exchange {
            kind: ExchangeKind::Request,
            from: self.own,
            seq: edge.seq,
            flow: edge.flow,
            estimate,
        };
        self.send(to, &request);
    }

    /// Takes a datagram that came at `now`, whose header the caller has checked; what cannot be taken is
    /// counted in [`Average::dropped`]. Who sent it, if it is a neighbour's.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) -> Option<PeerId> {
        let Some(exchange) = Exchange::decode(bytes) else {
            self.dropped.garbled += 1;
            return None;
        };
        let edge = self.edges.get_mut(&exchange.from.addr);
        let Some(edge) = edge.filter(|edge| edge.expects(exchange.kind)) else {
            self.dropped.unexpected += 1;
            return None;
        };
        if edge.is_stale(&exchange) {
            self.dropped.stale += 1;
            return None;
        }
        let remote_estimate = edge.accept(now, &exchange);
        if exchange.kind == ExchangeKind::Request {
            edge.seq = exchange.seq;
            self.reply(exchange.from.addr, exchange.seq, remote_estimate);
        }
        Some(exchange.from)
    }

    /// Brings our estimate and the neighbour's to their middle, and replies with the flow that results.
    fn reply(&mut self, to: SocketAddr, seq: u32, remote_estimate: i32) {
        let half_difference = (self.estimate() - remote_estimate) / 2;
        let Some(edge) = self.edges.get_mut(&to) else {
            return;
        };
        edge.pass(half_difference);
        let flow = edge.flow;
        let reply = Exchange {
            kind: ExchangeKind::Reply,
            from: self.own,
            seq,
            flow,
            estimate: self.estimate(),
        };
        self.send(to, &reply);
    }

    fn send(&mut self, to: SocketAddr, exchange: &Exchange) {
        self.outbox.push(Outgoing {
            to,
            kind: TrafficKind::Average,
            bytes: exchange.encode(&self.header),
        });
    }

    /// Datagrams to send; they are the caller's from then on.
    pub fn outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// How many edges there are, and over how many the neighbour was heard lately.
    pub fn edge_counts(&self) -> EdgeCounts {
        let heard = self.edges.values().filter(|edge| edge.estimate.is_some());
        EdgeCounts {
            heard: heard.count(),
            total: self.edges.len(),
        }
    }

    /// The fleet's mean pressure in thousandths: the median of our estimate and our neighbours', as a mean over the
    /// last probe period.
    pub fn pressure(&self) -> u32 {
        let turns = self.recent.len() as i64;
        let mean = if turns == 0 {
            i64::from(self.median())
        } else {
            let sum: i64 = self.recent.iter().map(|&median| i64::from(median)).sum();
            sum / turns
        };
        ((mean + i64::from(UNIT) / 2) / i64::from(UNIT)) as u32
    }

    /// The median of our estimate and those of our neighbours, so that one neighbour that lies, or a change of our
    /// own that has not spread yet, does not stand for the fleet.
    fn median(&self) -> i32 {
        let remote = self.edges.values().filter_map(|edge| edge.estimate);
        let mut estimates: Vec<i32> = remote.collect();
        estimates.push(self.estimate());
        estimates.sort_unstable();
        let low = i64::from(estimates[(estimates.len() - 1) / 2]);
        let high = i64::from(estimates[estimates.len() / 2]);
        ((low + high) / 2).clamp(0, i64::from(LARGEST_ESTIMATE)) as i32
    }
}
