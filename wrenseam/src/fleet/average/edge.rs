//! An edge to a neighbour: its flow, and the state of the requests sent over it. No I/O.
use super::exchange::{Exchange, ExchangeKind};
use super::neighbours::EdgeRole;
use super::{MAX_ESTIMATE_UNITS, MAX_FLOW_UNITS};
use wrenseam_policy::Micros;

/// Maximum exponent of the backoff for a neighbour that never answers: the pauses between requests to it are 1, 2, 4, 8
/// and then always 16 rounds.
const MAX_BACKOFF_EXPONENT: u32 = 4;

/// The state of one edge at this front end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Edge {
    /// This front end's role.
    pub(super) role: EdgeRole,
    /// The neighbour's incarnation. 0 while the edge is silent.
    incarnation: u64,
    /// The pressure transferred to the neighbour, in units. The neighbour holds the negated value.
    pub(super) flow: i32,
    /// The neighbour's last estimate, in units. `None` while the edge is silent.
    pub(super) estimate: Option<i32>,
    /// When the last datagram arrived, or the edge was created.
    heard_at: Micros,
    /// The number of the last request that was sent, or answered at the other end.
    pub(super) seq: u32,
    /// Whether the request `seq` has no reply yet.
    awaits_reply: bool,
    /// Number of consecutive requests without a reply.
    unanswered: u32,
    /// The earliest time of the next request.
    next_request_at: Micros,
}

impl Edge {
    /// A silent edge. The first request gets the number after `seq`.
    pub(super) fn new(role: EdgeRole, seq: u32, now: Micros) -> Edge {
        Edge {
            role,
            incarnation: 0,
            flow: 0,
            estimate: None,
            heard_at: now,
            seq,
            awaits_reply: false,
            unanswered: 0,
            next_request_at: now,
        }
    }

    /// Resets the edge if no datagram arrived for longer than `silence_timeout`. The backoff starts over, as the
    /// neighbour may return soon.
    pub(super) fn expire(&mut self, now: Micros, silence_timeout: Micros) {
        let is_silent = now.saturating_sub(self.heard_at) > silence_timeout;
        if is_silent && self.estimate.is_some() {
            self.flow = 0;
            self.estimate = None;
            self.incarnation = 0;
            self.awaits_reply = false;
            self.unanswered = 0;
        }
    }

    /// Whether a request may be sent at `now`.
    pub(super) fn is_request_due(&self, now: Micros) -> bool {
        now >= self.next_request_at
    }

    /// Assigns the number of the next request, and backs off if the neighbour never answers. `round_time` is the time
    /// in which each neighbour gets one request.
    pub(super) fn begin_request(&mut self, now: Micros, round_time: Micros) {
        if self.awaits_reply {
            self.unanswered = self.unanswered.saturating_add(1);
        } else {
            self.unanswered = 0;
        }
        if self.estimate.is_none() && self.unanswered > 0 {
            let pause = round_time << self.unanswered.min(MAX_BACKOFF_EXPONENT);
            // Half a round early, so that small timing differences do not make it miss its turn.
            self.next_request_at = now + pause - round_time / 2;
        }
        self.seq = self.seq.wrapping_add(1);
        self.awaits_reply = true;
    }

    /// Whether the neighbour's role allows it to send this kind of datagram.
    pub(super) fn expects(&self, kind: ExchangeKind) -> bool {
        match kind {
            ExchangeKind::Request => self.role == EdgeRole::Responder,
            ExchangeKind::Reply => self.role == EdgeRole::Requester,
        }
    }

    /// Whether a datagram is from an earlier incarnation of the neighbour, is a duplicate, or is older than one
    /// processed before.
    pub(super) fn is_stale(&self, exchange: &Exchange) -> bool {
        let is_known = self.incarnation != 0;
        if is_known && exchange.from.incarnation < self.incarnation {
            return true;
        }
        match exchange.kind {
            ExchangeKind::Reply => !self.awaits_reply || exchange.seq != self.seq,
            ExchangeKind::Request => {
                let is_newer = exchange.seq.wrapping_sub(self.seq) as i32 > 0;
                !is_newer && exchange.from.incarnation == self.incarnation
            }
        }
    }

    /// Applies a datagram from the neighbour, with its flow and estimate clamped to their limits. Returns the clamped
    /// estimate. A new incarnation of the neighbour starts without a flow, and its 0 replaces the flow of the former
    /// one.
    pub(super) fn accept(&mut self, now: Micros, exchange: &Exchange) -> i32 {
        let estimate = exchange.estimate.clamp(0, MAX_ESTIMATE_UNITS);
        self.incarnation = exchange.from.incarnation;
        self.heard_at = now;
        self.flow = -exchange.flow.clamp(-MAX_FLOW_UNITS, MAX_FLOW_UNITS);
        self.estimate = Some(estimate);
        self.awaits_reply = false;
        self.unanswered = 0;
        self.next_request_at = now;
        estimate
    }

    /// Transfers `amount` more to the neighbour, up to the maximum flow.
    pub(super) fn transfer(&mut self, amount: i32) {
        let flow = self.flow.saturating_add(amount);
        self.flow = flow.clamp(-MAX_FLOW_UNITS, MAX_FLOW_UNITS);
    }
}
