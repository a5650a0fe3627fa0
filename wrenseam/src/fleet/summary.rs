//! The load summary that each front end gossips, its bytes, and what a front end makes of the summaries it
//! holds. No I/O; time is handed in, in microseconds.
use super::identity::MAX_PRESSURE;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Bytes of an encoded summary.
pub const SUMMARY_BYTES: usize = 64;
const MAGIC: [u8; 2] = *b"wS";
const CRC_AT: usize = SUMMARY_BYTES - 4;

/// What one front end tells the fleet of itself, at one moment.
///
/// Counts are over the retry budget's window; `pressure` is in-flight over capacity, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Who: the front end's gossip address.
    pub origin: Option<SocketAddr>,
    /// Its sequence number: a larger one replaces a smaller one of the same origin.
    pub seq: u64,
    /// Requests taken and not answered.
    pub in_flight: u32,
    /// In-flight over capacity, in thousandths (1000: at capacity).
    pub pressure: u32,
    /// First attempts sent in the window.
    pub firsts: u32,
    /// Extra attempts (copies, retries) sent in the window.
    pub extras: u32,
    /// Extra attempts that the budget refused in the window.
    pub denied: u32,
    /// Requests refused by shedding in the window.
    pub shed: u32,
    /// Workers this front end holds for healthy.
    pub healthy: u16,
    /// Whether it takes part in the averaging ([`super::average`]); front ends from before it write a zero here.
    pub views: bool,
}

/// Why bytes were not a summary.
#[derive(Debug, PartialEq, Eq)]
pub enum SummaryError {
    /// Not as long as a summary.
    Length(usize),
    /// Not one of ours.
    Magic,
    /// The checksum does not match.
    Checksum,
    /// An address family that is not IPv4 or IPv6.
    Family(u8),
}

impl std::fmt::Display for SummaryError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            SummaryError::Length(n) => write!(f, "{n} bytes, {SUMMARY_BYTES} expected"),
            SummaryError::Magic => f.write_str("not a summary"),
            SummaryError::Checksum => f.write_str("checksum does not match"),
            SummaryError::Family(n) => write!(f, "address family {n}"),
        }
    }
}

impl std::error::Error for SummaryError {}

impl Summary {
    /// The 64 bytes, big-endian: magic (2), family (1: 0 none, 4, 6), port (2), address (16), seq (8),
    /// in-flight, pressure, firsts, extras, denied, shed (4 each), healthy (2), views (1), zeros, CRC-32 of all
    /// before it (4).
    pub fn encode(&self) -> [u8; SUMMARY_BYTES] {
        let mut b = [0u8; SUMMARY_BYTES];
        b[..2].copy_from_slice(&MAGIC);
        match self.origin {
            Some(SocketAddr::V4(a)) => {
                b[2] = 4;
                b[3..5].copy_from_slice(&a.port().to_be_bytes());
                b[5..9].copy_from_slice(&a.ip().octets());
            }
            Some(SocketAddr::V6(a)) => {
                b[2] = 6;
                b[3..5].copy_from_slice(&a.port().to_be_bytes());
                b[5..21].copy_from_slice(&a.ip().octets());
            }
            None => {}
        }
        b[21..29].copy_from_slice(&self.seq.to_be_bytes());
        let counts = [
            self.in_flight,
            self.pressure,
            self.firsts,
            self.extras,
            self.denied,
            self.shed,
        ];
        for (n, c) in counts.iter().enumerate() {
            b[29 + 4 * n..33 + 4 * n].copy_from_slice(&c.to_be_bytes());
        }
        b[53..55].copy_from_slice(&self.healthy.to_be_bytes());
        b[55] = u8::from(self.views);
        let crc = crc32fast::hash(&b[..CRC_AT]);
        b[CRC_AT..].copy_from_slice(&crc.to_be_bytes());
        b
    }

    /// Reads what [`Summary::encode`] wrote.
    ///
    /// # Errors
    /// [`SummaryError`] for bytes of another length, magic or checksum, or an unknown family.
    pub fn decode(b: &[u8]) -> Result<Summary, SummaryError> {
        if b.len() != SUMMARY_BYTES {
            return Err(SummaryError::Length(b.len()));
        }
        if b[..2] != MAGIC {
            return Err(SummaryError::Magic);
        }
        if crc32fast::hash(&b[..CRC_AT]).to_be_bytes() != b[CRC_AT..] {
            return Err(SummaryError::Checksum);
        }
        let u32_at = |at: usize| u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
        let port = u16::from_be_bytes([b[3], b[4]]);
        let origin = match b[2] {
            0 => None,
            4 => Some(SocketAddr::from(([b[5], b[6], b[7], b[8]], port))),
            6 => {
                let mut ip = [0u8; 16];
                ip.copy_from_slice(&b[5..21]);
                Some(SocketAddr::from((ip, port)))
            }
            n => return Err(SummaryError::Family(n)),
        };
        let mut seq = [0u8; 8];
        seq.copy_from_slice(&b[21..29]);
        Ok(Summary {
            origin,
            seq: u64::from_be_bytes(seq),
            in_flight: u32_at(29),
            pressure: u32_at(33),
            firsts: u32_at(37),
            extras: u32_at(41),
            denied: u32_at(45),
            shed: u32_at(49),
            healthy: u16::from_be_bytes([b[53], b[54]]),
            views: b[55] != 0,
        })
    }
}

/// The newest summary of each peer, and when it came.
///
/// Holds at most `capacity` origins; a new origin beyond that replaces the one heard of longest ago.
#[derive(Clone, Debug)]
pub struct Summaries {
    capacity: usize,
    fresh_for: Micros,
    held: BTreeMap<SocketAddr, (Summary, Micros)>,
}

/// What came of a summary offered to [`Summaries::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// Newer than what was held: kept, and to be passed on.
    Updated,
    /// Not newer than what is held (a repeat, or one that came out of order): dropped.
    Stale,
    /// No origin, or our own.
    Foreign,
}

impl Summaries {
    /// Room for `capacity` peers; a summary counts for `fresh_for` microseconds after it came.
    pub fn new(capacity: usize, fresh_for: Micros) -> Self {
        Summaries {
            capacity: capacity.max(1),
            fresh_for,
            held: BTreeMap::new(),
        }
    }

    /// Takes a summary that came at `now`, unless it is ours (`own`) or not newer.
    pub fn insert(&mut self, now: Micros, own: SocketAddr, s: Summary) -> InsertOutcome {
        let Some(origin) = s.origin.filter(|&o| o != own) else {
            return InsertOutcome::Foreign;
        };
        if self.held.get(&origin).is_some_and(|(h, _)| h.seq >= s.seq) {
            return InsertOutcome::Stale;
        }
        if !self.held.contains_key(&origin) && self.held.len() >= self.capacity {
            let oldest = self
                .held
                .iter()
                .min_by_key(|(_, (_, at))| *at)
                .map(|(&a, _)| a);
            oldest.map(|a| self.held.remove(&a));
        }
        self.held.insert(origin, (s, now));
        InsertOutcome::Updated
    }

    /// Forgets a peer that membership holds for gone.
    pub fn forget(&mut self, origin: SocketAddr) {
        self.held.remove(&origin);
    }

    /// Summaries that came within their freshness, oldest origin address first.
    pub fn fresh(&self, now: Micros) -> impl Iterator<Item = &Summary> {
        self.held
            .values()
            .filter(move |(_, at)| now.saturating_sub(*at) <= self.fresh_for)
            .map(|(s, _)| s)
    }

    /// The fleet's pressure in thousandths: the mean of this front end's own and its peers' fresh ones, each
    /// at most [`MAX_PRESSURE`], so that one that lies moves the mean by at most that over N.
    pub fn pressure(&self, now: Micros, own: u32) -> u32 {
        let capped = |p: u32| u64::from(p.min(MAX_PRESSURE));
        let (sum, n) = self.fresh(now).fold((capped(own), 1u64), |(s, n), p| {
            (s + capped(p.pressure), n + 1)
        });
        (sum / n) as u32
    }
}
