//! One edge to a neighbour: the flow over it, and how the requests over it fare. No I/O.
use super::exchange::{Exchange, ExchangeKind};
use super::neighbours::EdgeRole;
use super::{LARGEST_ESTIMATE, LARGEST_FLOW};
use wrenseam_policy::Micros;

/// A neighbour that does not answer gets a request every round at first, then every 2, 4, 8 and 16: the exponent's
/// limit.
const MAX_BACKOFF_EXPONENT: u32 = 4;

/// One edge, as the front end at this end of it sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Edge {
    pub(super) role: EdgeRole,
    /// The neighbour's incarnation; 0 until it is heard.
    incarnation: u64,
    /// What we passed to it, in units; it has the opposite.
    pub(super) flow: i32,
    /// Its estimate when last heard, in units; none while the edge is silent.
    pub(super) estimate: Option<i32>,
    heard_at: Micros,
    /// The last request sent (or answered, at the other end).
    pub(super) seq: u32,
    /// Whether a reply to `seq` is awaited.
    awaits_reply: bool,
    /// Requests in a row without a reply.
    unanswered: u32,
    /// No request goes before this.
    request_at: Micros,
}

impl Edge {
    /// An edge over which nothing has been heard; requests are numbered from `seq` on.
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
            request_at: now,
        }
    }

    /// Ends the flow if nothing was heard for longer than `silence`. The neighbour may be back at once: it gets a
    /// request each round again before the pauses grow.
    pub(super) fn expire(&mut self, now: Micros, silence: Micros) {
        let is_silent = now.saturating_sub(self.heard_at) > silence;
        if is_silent && self.estimate.is_some() {
            self.flow = 0;
            self.estimate = None;
            self.incarnation = 0;
            self.awaits_reply = false;
            self.unanswered = 0;
        }
    }

    /// Whether a request may go at `now`.
    pub(super) fn is_request_due(&self, now: Micros) -> bool {
        now >= self.request_at
    }

    /// Numbers the next request; the pauses of a neighbour that never answers grow. `round` is the time in which each
    /// neighbour has its turn once.
    pub(super) fn begin_request(&mut self, now: Micros, round: Micros) {
        if self.awaits_reply {
            self.unanswered = self.unanswered.saturating_add(1);
        } else {
            self.unanswered = 0;
        }
        if self.estimate.is_none() && self.unanswered > 0 {
            let pause = round << self.unanswered.min(MAX_BACKOFF_EXPONENT);
            // Half a round early, so that the turn itself is not missed by the order of two timers.
            self.request_at = now + pause - round / 2;
        }
        self.seq = self.seq.wrapping_add(1);
        self.awaits_reply = true;
    }

    /// Whether the neighbour may send this kind of datagram over this edge.
    pub(super) fn expects(&self, kind: ExchangeKind) -> bool {
        match kind {
            ExchangeKind::Request => self.role == EdgeRole::Responder,
            ExchangeKind::Reply => self.role == EdgeRole::Requester,
        }
    }

    /// Whether a datagram is of an earlier incarnation of the neighbour, a repeat, or older than one taken before.
    pub(super) fn is_stale(&self, exchange: &Exchange) -> bool {
        let is_known = self.incarnation != 0;
        if is_known && exchange.from.incarnation < self.incarnation {
            return true;
        }
        match exchange.kind {
            ExchangeKind::Reply => !self.awaits_reply || exchange.seq != self.seq,
            ExchangeKind::Request => {
                let is_later = exchange.seq.wrapping_sub(self.seq) as i32 > 0;
                !is_later && exchange.from.incarnation == self.incarnation
            }
        }
    }

    /// Takes up what the neighbour sent, within the bounds of a flow and an estimate; its estimate as it counts.
    /// Another incarnation has no flow of ours: its zero replaces what the former had.
    pub(super) fn accept(&mut self, now: Micros, exchange: &Exchange) -> i32 {
        let estimate = exchange.estimate.clamp(0, LARGEST_ESTIMATE);
        self.incarnation = exchange.from.incarnation;
        self.heard_at = now;
        self.flow = -exchange.flow.clamp(-LARGEST_FLOW, LARGEST_FLOW);
        self.estimate = Some(estimate);
        self.awaits_reply = false;
        self.unanswered = 0;
        self.request_at = now;
        estimate
    }

    /// Passes so much more over the edge, as far as a flow may be large.
    pub(super) fn pass(&mut self, amount: i32) {
        let flow = self.flow.saturating_add(amount);
        self.flow = flow.clamp(-LARGEST_FLOW, LARGEST_FLOW);
    }
}
