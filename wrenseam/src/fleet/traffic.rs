//! The byte budget: a token bucket that limits all the datagrams that a front end sends to the fleet, and the bytes
//! sent per kind. No I/O; the caller passes the time.
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// The sustained rate of the token bucket, in bytes per second. A front end that sends and receives at this rate, with
/// one burst of [`BURST_BYTES`] each way, stays under 22 KB of traffic in any second.
pub const BYTES_PER_SECOND: i64 = 9_200;
/// The capacity of the token bucket: the bytes that may be sent at once after idle time.
pub const BURST_BYTES: i64 = 1_700;

/// Microseconds in a second.
const MICROS_PER_SECOND: i64 = 1_000_000;
/// The longest time, in microseconds, that one refill credits. The bucket is full long before, and the bound keeps the
/// multiplication from overflowing.
const MAX_REFILL_TIME: Micros = 10_000_000;

/// What a datagram is for. Datagrams of one batch are sent in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// SWIM's direct and indirect probes and their acknowledgements, liveness queries and replies, and leave notices.
    /// Always sent.
    Probe,
    /// Exchanges of the averaging. Always sent, as their number is bounded.
    Average,
    /// Join requests, the member lists that answer them, and notices to senders whose incarnation is outdated.
    Join,
    /// The later steps of a repair between two members. They rank above rumors and gossip because a repair sends only
    /// what the receiver lacks.
    Repair,
    /// The first two steps of a repair. Their reserve prevents the start of a repair that the budget could not finish.
    RepairBegin,
    /// Records that have just changed, passed on to random members.
    Rumor,
    /// SWIM's periodic gossip of membership updates.
    MembershipGossip,
}

impl TrafficKind {
    /// All kinds in the order in which they are sent. Counts per kind have the same order.
    pub const ALL: [TrafficKind; 7] = [
        TrafficKind::Probe,
        TrafficKind::Average,
        TrafficKind::Join,
        TrafficKind::Repair,
        TrafficKind::RepairBegin,
        TrafficKind::Rumor,
        TrafficKind::MembershipGossip,
    ];

    /// The kind's index in [`TrafficKind::ALL`] and in arrays of counts per kind.
    pub fn index(self) -> usize {
        self as usize
    }

    /// The kind's name in telemetry.
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

    /// The tokens that must be left after sending a datagram of this kind. `None` if it is always sent; a negative
    /// number lets the kind overdraw the bucket.
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

/// A datagram to send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The receiver's gossip address.
    pub to: SocketAddr,
    /// What the datagram is for, which decides when the byte budget admits it.
    pub kind: TrafficKind,
    /// The complete datagram, header included.
    pub bytes: Vec<u8>,
}

/// A token bucket shared by datagrams of all kinds. A kind is sent only if its reserve is left for the others.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Bytes that may be sent now; negative when overdrawn.
    tokens: i64,
    refilled_at: Micros,
    /// Bytes sent, in the order of [`TrafficKind::ALL`].
    pub sent: [u64; TrafficKind::ALL.len()],
    /// Bytes not sent because they exceeded the budget, in the order of [`TrafficKind::ALL`].
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
    /// Whether a datagram of `bytes` bytes may be sent at `now`. Counts it as sent or as over budget.
    pub fn admit(&mut self, now: Micros, kind: TrafficKind, bytes: usize) -> bool {
        self.refill(now);
        let size = bytes as i64;
        let admitted = kind
            .reserve()
            .is_none_or(|reserve| self.tokens - size >= reserve);
        if admitted {
            // Kinds that are always sent may overdraw the bucket by up to one second of the rate, which then delays
            // the other kinds by as much.
            self.tokens = (self.tokens - size).max(-BYTES_PER_SECOND);
            self.sent[kind.index()] += bytes as u64;
        } else {
            self.over_budget[kind.index()] += bytes as u64;
        }
        admitted
    }

    /// Whether less than half of the burst is left at `now`, which is too little to complete a repair.
    pub fn is_low(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.tokens < BURST_BYTES / 2
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at).min(MAX_REFILL_TIME) as i64;
        let earned = elapsed * BYTES_PER_SECOND / MICROS_PER_SECOND;
        // Time that earned less than a byte is left for the next refill, or frequent calls would never earn a byte.
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(BURST_BYTES);
            self.refilled_at = now;
        }
    }
}
