//! The fleet's mean pressure, computed by Flow Updating (Jesus, Baquero and Almeida's fault-tolerant averaging). No
//! I/O: the caller passes received datagrams and the time, and collects the datagrams to send.
//!
//! Each front end has edges to a bounded number of peers, independent of the size of the fleet. These are its
//! neighbours on [`RINGS`] rings, each of which holds all members in a different order, by hash. Each edge has a flow:
//! the pressure that was transferred over it. A front end's estimate of the mean is its own pressure minus the sum of
//! its flows. An exchange over an edge sets the estimates at both ends to their mean. Datagrams carry the total flow
//! and not its change, so lost and duplicated datagrams only delay convergence and do not change the mean. When an edge
//! ends, both sides discard its flow.
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

/// Number of turns per probe period. A front end starts at most one exchange in each.
pub const EXCHANGES_PER_PROBE: Micros = 5;
/// Maximum flow over an edge, in thousandths of capacity. A fleet of two front ends with pressures 0 and
/// [`MAX_PRESSURE`] needs as much: half of the difference.
pub const MAX_FLOW: u32 = MAX_PRESSURE / 2;

/// Units per thousandth of capacity. Estimates and flows are integers in millionths of capacity, called units here.
const UNITS_PER_THOUSANDTH: i32 = 1000;
/// Maximum estimate, in units. Larger estimates from neighbours are clamped.
const MAX_ESTIMATE_UNITS: i32 = MAX_PRESSURE as i32 * UNITS_PER_THOUSANDTH;
/// Maximum flow over an edge, in units.
const MAX_FLOW_UNITS: i32 = MAX_FLOW as i32 * UNITS_PER_THOUSANDTH;
/// Number of rounds without a datagram after which an edge counts as silent and its flow is reset. With 1% datagram
/// loss in each direction, this happens by chance to 8e-6 of the edges per round, and lasts one round.
const SILENT_ROUNDS: Micros = 3;
/// Smoothing of this front end's own pressure: each turn applies a quarter of the difference to the measured value. The
/// load varies between samples, and each jump distorts the local estimate until exchanges have spread it. The smoothing
/// delays a step of the load by about 0.5 s.
const SMOOTHING_DIVISOR: i32 = 4;
/// Number of turns over which the reported pressure is averaged: one probe period.
const REPORTED_TURNS: usize = EXCHANGES_PER_PROBE as usize;
/// Minimum time between turns, in microseconds, however short the probe period is.
const MIN_TURN_INTERVAL: Micros = 1000;
/// XORed with the seed, so that the averaging draws different random numbers from the rest of the node.
const SEED_SALT: u64 = 0x666c_6f77;

/// Counts of dropped averaging datagrams, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedExchanges {
    /// Truncated, of an unknown kind, or with a wrong checksum.
    pub garbled: u64,
    /// From an earlier incarnation of the peer, duplicated, or older than a datagram processed before.
    pub stale: u64,
    /// From a peer that is not a neighbour, or of a kind that the neighbour's role does not allow.
    pub unexpected: u64,
}

/// Number of edges of a front end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EdgeCounts {
    /// Edges on which a datagram arrived recently.
    pub heard: usize,
    /// All edges, silent ones included.
    pub total: usize,
}

/// The averaging state of one front end.
pub struct Average {
    own: PeerId,
    header: [u8; HEADER_BYTES],
    turn_interval: Micros,
    /// This front end's pressure as last measured, in units.
    measured: i32,
    /// The smoothed pressure of this front end, in units, which the averaging uses.
    smoothed: i32,
    /// The median of the known estimates at each of the last turns, in units.
    recent_medians: VecDeque<i32>,
    edges: BTreeMap<SocketAddr, Edge>,
    /// The neighbours to which this front end sends requests, one per turn.
    responders: Vec<SocketAddr>,
    /// The index of the current turn in the round.
    turn: usize,
    next_turn_at: Micros,
    rng: SmallRng,
    outbox: Vec<Outgoing>,
    /// Counts of dropped datagrams, by cause.
    pub dropped: DroppedExchanges,
}

impl Average {
    /// Starts the averaging of the front end `own` in the fleet with the id `cluster`. `probe` is the probe period in
    /// microseconds, which has [`EXCHANGES_PER_PROBE`] turns.
    pub fn new(own: PeerId, cluster: u32, probe: Micros, seed: u64) -> Average {
        let turn_interval = (probe / EXCHANGES_PER_PROBE).max(MIN_TURN_INTERVAL);
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_SALT);
        Average {
            own,
            header: header(AVERAGE_VERSION, cluster),
            turn_interval,
            measured: 0,
            smoothed: 0,
            recent_medians: VecDeque::new(),
            edges: BTreeMap::new(),
            responders: Vec::new(),
            turn: 0,
            next_turn_at: rng.random_range(0..turn_interval),
            rng,
            outbox: Vec::new(),
            dropped: DroppedExchanges::default(),
        }
    }

    /// The time in which each neighbour gets one request, in microseconds.
    fn round_time(&self) -> Micros {
        RINGS as Micros * self.turn_interval
    }

    /// The time without a datagram after which an edge counts as silent, in microseconds.
    pub fn silence_timeout(&self) -> Micros {
        SILENT_ROUNDS * self.round_time()
    }

    /// Sets this front end's measured pressure, in thousandths. Until the first turn it applies without smoothing.
    pub fn set_pressure(&mut self, pressure: u32) {
        self.measured = pressure.min(MAX_PRESSURE) as i32 * UNITS_PER_THOUSANDTH;
        if self.recent_medians.is_empty() {
            self.smoothed = self.measured;
        }
    }

    /// Updates the edges for the current members. Keeps those whose neighbour and role did not change.
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

    /// This front end's estimate of the mean, in units.
    fn estimate(&self) -> i32 {
        let flows = self.edges.values().map(|edge| edge.flow);
        flows
            .fold(self.smoothed, |value, flow| value - flow)
            .clamp(-2 * MAX_ESTIMATE_UNITS, 2 * MAX_ESTIMATE_UNITS)
    }

    /// When [`Average::tick`] must be called next.
    pub fn next_wakeup(&self) -> Micros {
        self.next_turn_at
    }

    /// If the next turn is due: smooths this front end's pressure, resets silent edges and sends a request.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_turn_at {
            return;
        }
        // Missed turns are skipped: after a stall, one exchange starts instead of all that were missed.
        self.next_turn_at = (self.next_turn_at + self.turn_interval).max(now + 1);
        self.smoothed += (self.measured - self.smoothed) / SMOOTHING_DIVISOR;
        self.record_median();
        let silence_timeout = self.silence_timeout();
        for edge in self.edges.values_mut() {
            edge.expire(now, silence_timeout);
        }
        self.send_request(now);
    }

    /// Records the current median, in place of that of the oldest turn.
    fn record_median(&mut self) {
        if self.recent_medians.len() >= REPORTED_TURNS {
            self.recent_medians.pop_front();
        }
        self.recent_medians.push_back(self.median());
    }

    /// Moves to the next turn and sends a request to its neighbour, unless requests to it are backed off.
    fn send_request(&mut self, now: Micros) {
        if self.responders.is_empty() {
            return;
        }
        // A round has at least as many turns as there are rings, so that peers in a small fleet do not get requests
        // more often.
        self.turn = (self.turn + 1) % self.responders.len().max(RINGS);
        let estimate = self.estimate();
        let round_time = self.round_time();
        let Some(&to) = self.responders.get(self.turn) else {
            return;
        };
        let Some(edge) = self.edges.get_mut(&to) else {
            return;
        };
        if !edge.is_request_due(now) {
            return;
        }
        edge.begin_request(now, round_time);
        let request = Exchange {
            kind: ExchangeKind::Request,
            from: self.own,
            seq: edge.seq,
            flow: edge.flow,
            estimate,
        };
        self.send(to, &request);
    }

    /// Processes a datagram received at `now`, whose header the caller has checked. Returns the sender, or `None` if
    /// the datagram was dropped and counted in [`Average::dropped`].
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

    /// Transfers half of the difference between the two estimates, which sets both to their mean, and replies with the
    /// new flow.
    fn reply(&mut self, to: SocketAddr, seq: u32, remote_estimate: i32) {
        let half_difference = (self.estimate() - remote_estimate) / 2;
        let Some(edge) = self.edges.get_mut(&to) else {
            return;
        };
        edge.transfer(half_difference);
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

    /// Removes and returns the datagrams to send.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// The number of edges, and of those on which the neighbour was heard recently.
    pub fn edge_counts(&self) -> EdgeCounts {
        let heard = self.edges.values().filter(|edge| edge.estimate.is_some());
        EdgeCounts {
            heard: heard.count(),
            total: self.edges.len(),
        }
    }

    /// The fleet's mean pressure in thousandths: the median of this front end's estimate and those of its neighbours,
    /// averaged over the last probe period.
    pub fn pressure(&self) -> u32 {
        let turns = self.recent_medians.len() as i64;
        let mean = if turns == 0 {
            i64::from(self.median())
        } else {
            let sum: i64 = self
                .recent_medians
                .iter()
                .map(|&median| i64::from(median))
                .sum();
            sum / turns
        };
        ((mean + i64::from(UNITS_PER_THOUSANDTH) / 2) / i64::from(UNITS_PER_THOUSANDTH)) as u32
    }

    /// The median of this front end's estimate and those of its neighbours, in units. A neighbour that reports a wrong
    /// estimate, or a local change that has not spread yet, thus does not determine the result.
    fn median(&self) -> i32 {
        let remote = self.edges.values().filter_map(|edge| edge.estimate);
        let mut estimates: Vec<i32> = remote.collect();
        estimates.push(self.estimate());
        estimates.sort_unstable();
        let low = i64::from(estimates[(estimates.len() - 1) / 2]);
        let high = i64::from(estimates[estimates.len() / 2]);
        ((low + high) / 2).clamp(0, i64::from(MAX_ESTIMATE_UNITS)) as i32
    }
}
