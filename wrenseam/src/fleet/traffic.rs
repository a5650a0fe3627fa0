//! The byte budget: one token bucket for all that a front end gossips, and the bytes sent by kind. No I/O; time is handed in.
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// The largest mean rate of a front end, in bytes a second: with as many received, and [`BURST_BYTES`] besides,
/// the worst second stays under 22 KB.
pub const BYTES_PER_SECOND: i64 = 9_200;
/// Bytes that may be sent at once after a quiet time.
pub const BURST_BYTES: i64 = 1_700;

/// Microseconds in a second.
const MICROS_PER_SECOND: i64 = 1_000_000;
/// A longer time than this, in microseconds, earns no more: the bucket is full long before, and the product stays
/// small.
const LONGEST_REFILL: Micros = 10_000_000;

/// What a datagram is for, the least dispensable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Probes, their acknowledgements and inquiries: always sent.
    Probe,
    /// Exchanges of the averaging: of bounded number, always sent.
    Average,
    /// Joins, and the lists of members that answer them.
    Join,
    /// What a repair between two members calls for, once begun: it sends nobody what it has, and so goes before what
    /// does.
    Repair,
    /// The first two steps of a repair: none is begun that could not be ended.
    RepairBegin,
    /// Records that have just changed.
    Rumor,
    /// SWIM's periodic gossip of membership updates.
    MembershipGossip,
}

impl TrafficKind {
    /// All kinds, in the order of [`ByteBudget::sent`].
    pub const ALL: [TrafficKind; 7] = [
        TrafficKind::Probe,
        TrafficKind::Average,
        TrafficKind::Join,
        TrafficKind::Repair,
        TrafficKind::RepairBegin,
        TrafficKind::Rumor,
        TrafficKind::MembershipGossip,
    ];

    /// Its place in [`TrafficKind::ALL`] and in arrays by kind.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Its name in telemetry.
    pub fn name(self) -> &'static str {
        match self {
            TrafficKind::Probe => "probe",
            TrafficKind::Average => "average",
            TrafficKind::Join => "join",
            TrafficKind::Repair => "repair",
            TrafficKind::RepairBegin => "repair_begin",
            TrafficKind::Rumor => "rumor",
            TrafficKind::MembershipGossip => "news",
        }
    }

    /// Tokens that have to be left once it is sent; `None`: it is sent whatever is left.
    fn reserve(self) -> Option<i64> {
        match self {
            TrafficKind::Probe | TrafficKind::Average => None,
            TrafficKind::Repair => Some(-BYTES_PER_SECOND / 2),
            TrafficKind::Join => Some(0),
            TrafficKind::RepairBegin => Some(BURST_BYTES / 8),
            TrafficKind::Rumor => Some(BURST_BYTES / 4),
            TrafficKind::MembershipGossip => Some(BURST_BYTES / 4),
        }
    }
}

/// A datagram to send: where to, what it is for, and its bytes.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// What for.
    pub kind: TrafficKind,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A token bucket over all kinds, each of which leaves a reserve to those before it.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    tokens: i64,
    refilled_at: Micros,
    /// Bytes sent, by kind.
    pub sent: [u64; TrafficKind::ALL.len()],
    /// Bytes deferred, by kind.
    pub over_budget: [u64; TrafficKind::ALL.len()],
}

impl Default for ByteBudget {
    fn default() -> Self {
        let none = [0; TrafficKind::ALL.len()];
        ByteBudget {
            tokens: BURST_BYTES,
            refilled_at: 0,
            sent: none,
            over_budget: none,
        }
    }
}

impl ByteBudget {
    /// Whether a datagram of so many bytes may go at `now`; counts it either way.
    pub fn admit(&mut self, now: Micros, kind: TrafficKind, bytes: usize) -> bool {
        self.refill(now);
        let size = bytes as i64;
        let admitted = kind
            .reserve()
            .is_none_or(|reserve| self.tokens - size >= reserve);
        if admitted {
            // What always goes may overdraw, up to a second's worth: the others then wait for that long.
            self.tokens = (self.tokens - size).max(-BYTES_PER_SECOND);
            self.sent[kind.index()] += bytes as u64;
        } else {
            self.over_budget[kind.index()] += bytes as u64;
        }
        admitted
    }

    /// Whether less than half of the burst is left, so that a repair could not be ended.
    pub fn is_low(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.tokens < BURST_BYTES / 2
    }

    fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.refilled_at).min(LONGEST_REFILL) as i64;
        let earned = passed * BYTES_PER_SECOND / MICROS_PER_SECOND;
        // Time that earned less than a byte is not taken, or frequent calls would earn nothing.
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(BURST_BYTES);
            self.refilled_at = now;
        }
    }
}
