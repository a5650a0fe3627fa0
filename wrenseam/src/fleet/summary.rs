//! The load summary that each front end gossips, its bytes, and the table of the newest of each peer.
//! No I/O; time is handed in, in microseconds.
use super::identity::MAX_PRESSURE;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use wrenseam_policy::Micros;

/// Bytes of an encoded summary.
pub const SUMMARY_BYTES: usize = 64;
/// What every summary begins with.
const MAGIC: [u8; 2] = *b"wS";
/// Where each field begins.
const FAMILY_AT: usize = 2;
const PORT_AT: usize = 3;
const ADDRESS_AT: usize = 5;
const SEQ_AT: usize = 21;
const COUNTS_AT: usize = 29;
const HEALTHY_AT: usize = 53;
const AVERAGING_AT: usize = 55;
const CRC_AT: usize = SUMMARY_BYTES - 4;
/// Address families on the wire.
const FAMILY_NONE: u8 = 0;
const FAMILY_V4: u8 = 4;
const FAMILY_V6: u8 = 6;

/// What one front end tells the fleet of its load, at one moment.
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
    pub first_attempts: u32,
    /// Extra attempts (hedged requests, retries) sent in the window.
    pub extra_attempts: u32,
    /// Extra attempts that the budget refused in the window.
    pub denied: u32,
    /// Requests refused by shedding in the window.
    pub shed: u32,
    /// Workers that this front end counts healthy.
    pub healthy: u16,
    /// Whether it takes part in the averaging ([`super::average`]); front ends of earlier versions write a zero here.
    pub supports_averaging: bool,
}

/// Why bytes were not a summary.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// Not as long as a summary.
    #[error("{0} bytes, {SUMMARY_BYTES} expected")]
    Length(usize),
    /// Not one of ours.
    #[error("not a summary")]
    Magic,
    /// The checksum does not match.
    #[error("checksum does not match")]
    Checksum,
    /// An address family that is not IPv4 or IPv6.
    #[error("address family {0}")]
    Family(u8),
}

impl Summary {
    /// The 64 bytes, big-endian: magic (2), family (1: 0 none, 4, 6), port (2), address (16), seq (8),
    /// in-flight, pressure, first_attempts, extra_attempts, denied, shed (4 each), healthy (2), averaging (1), zeros, CRC-32 of all
    /// before it (4).
    pub fn encode(&self) -> [u8; SUMMARY_BYTES] {
        let mut bytes = [0u8; SUMMARY_BYTES];
        bytes[..MAGIC.len()].copy_from_slice(&MAGIC);
        put_origin(&mut bytes, self.origin);
        bytes[SEQ_AT..COUNTS_AT].copy_from_slice(&self.seq.to_be_bytes());
        let counts = [
            self.in_flight,
            self.pressure,
            self.first_attempts,
            self.extra_attempts,
            self.denied,
            self.shed,
        ];
        for (field, count) in bytes[COUNTS_AT..HEALTHY_AT].chunks_exact_mut(4).zip(counts) {
            field.copy_from_slice(&count.to_be_bytes());
        }
        bytes[HEALTHY_AT..AVERAGING_AT].copy_from_slice(&self.healthy.to_be_bytes());
        bytes[AVERAGING_AT] = u8::from(self.supports_averaging);
        let crc = crc32fast::hash(&bytes[..CRC_AT]);
        bytes[CRC_AT..].copy_from_slice(&crc.to_be_bytes());
        bytes
    }

    /// Reads what [`Summary::encode`] wrote.
    ///
    /// # Errors
    /// [`SummaryError`] for bytes of another length, magic or checksum, or an unknown family.
    pub fn decode(bytes: &[u8]) -> Result<Summary, SummaryError> {
        let bytes: &[u8; SUMMARY_BYTES] = bytes
            .try_into()
            .map_err(|_| SummaryError::Length(bytes.len()))?;
        if bytes[..MAGIC.len()] != MAGIC {
            return Err(SummaryError::Magic);
        }
        if crc32fast::hash(&bytes[..CRC_AT]).to_be_bytes() != bytes[CRC_AT..] {
            return Err(SummaryError::Checksum);
        }
        let count = |number: usize| u32::from_be_bytes(array_at(bytes, COUNTS_AT + 4 * number));
        Ok(Summary {
            origin: origin_of(bytes)?,
            seq: u64::from_be_bytes(array_at(bytes, SEQ_AT)),
            in_flight: count(0),
            pressure: count(1),
            first_attempts: count(2),
            extra_attempts: count(3),
            denied: count(4),
            shed: count(5),
            healthy: u16::from_be_bytes(array_at(bytes, HEALTHY_AT)),
            supports_averaging: bytes[AVERAGING_AT] != 0,
        })
    }
}

/// Writes the family, port and address of a summary's origin; zeros for none.
fn put_origin(bytes: &mut [u8; SUMMARY_BYTES], origin: Option<SocketAddr>) {
    let Some(origin) = origin else {
        return;
    };
    bytes[PORT_AT..ADDRESS_AT].copy_from_slice(&origin.port().to_be_bytes());
    match origin.ip() {
        IpAddr::V4(ip) => {
            bytes[FAMILY_AT] = FAMILY_V4;
            bytes[ADDRESS_AT..ADDRESS_AT + 4].copy_from_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            bytes[FAMILY_AT] = FAMILY_V6;
            bytes[ADDRESS_AT..ADDRESS_AT + 16].copy_from_slice(&ip.octets());
        }
    }
}

/// Reads what [`put_origin`] wrote.
fn origin_of(bytes: &[u8; SUMMARY_BYTES]) -> Result<Option<SocketAddr>, SummaryError> {
    let port = u16::from_be_bytes(array_at(bytes, PORT_AT));
    match bytes[FAMILY_AT] {
        FAMILY_NONE => Ok(None),
        FAMILY_V4 => {
            let ip: [u8; 4] = array_at(bytes, ADDRESS_AT);
            Ok(Some(SocketAddr::from((ip, port))))
        }
        FAMILY_V6 => {
            let ip: [u8; 16] = array_at(bytes, ADDRESS_AT);
            Ok(Some(SocketAddr::from((ip, port))))
        }
        other => Err(SummaryError::Family(other)),
    }
}

/// The `N` bytes from `at` on, which are inside a summary.
fn array_at<const N: usize>(bytes: &[u8; SUMMARY_BYTES], at: usize) -> [u8; N] {
    std::array::from_fn(|offset| bytes[at + offset])
}

/// A summary and when it came.
#[derive(Clone, Copy, Debug)]
struct ReceivedSummary {
    summary: Summary,
    received_at: Micros,
}

/// The newest summary of each peer, and when it came.
///
/// Holds at most `capacity` origins; a new origin beyond that replaces the one heard of longest ago.
#[derive(Clone, Debug)]
pub struct Summaries {
    capacity: usize,
    fresh_for: Micros,
    by_origin: BTreeMap<SocketAddr, ReceivedSummary>,
}

/// What came of a summary given to [`Summaries::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// Newer than the one before: taken, and to be passed on.
    Updated,
    /// Not newer than the one known (a repeat, or one that came out of order): dropped.
    Stale,
    /// No origin, or our own.
    Foreign,
}

impl Summaries {
    /// Capacity for so many peers; a summary counts for `fresh_for` microseconds after it came.
    pub fn new(capacity: usize, fresh_for: Micros) -> Self {
        Summaries {
            capacity: capacity.max(1),
            fresh_for,
            by_origin: BTreeMap::new(),
        }
    }

    /// Takes a summary that came at `now`, unless it is ours (`own`) or not newer.
    pub fn insert(&mut self, now: Micros, own: SocketAddr, summary: Summary) -> InsertOutcome {
        let Some(origin) = summary.origin.filter(|&origin| origin != own) else {
            return InsertOutcome::Foreign;
        };
        let known = self.by_origin.get(&origin);
        if known.is_some_and(|known| known.summary.seq >= summary.seq) {
            return InsertOutcome::Stale;
        }
        if known.is_none() && self.by_origin.len() >= self.capacity {
            self.evict_oldest();
        }
        let received = ReceivedSummary {
            summary,
            received_at: now,
        };
        self.by_origin.insert(origin, received);
        InsertOutcome::Updated
    }

    /// Makes room for one by forgetting the peer heard of longest ago.
    fn evict_oldest(&mut self) {
        let oldest = self
            .by_origin
            .iter()
            .min_by_key(|(_, received)| received.received_at)
            .map(|(&origin, _)| origin);
        if let Some(origin) = oldest {
            self.by_origin.remove(&origin);
        }
    }

    /// Forgets a peer that membership counts as gone.
    pub fn forget(&mut self, origin: SocketAddr) {
        self.by_origin.remove(&origin);
    }

    /// Summaries that came within their freshness, in the order of their origins.
    pub fn fresh(&self, now: Micros) -> impl Iterator<Item = &Summary> {
        self.by_origin
            .values()
            .filter(move |received| now.saturating_sub(received.received_at) <= self.fresh_for)
            .map(|received| &received.summary)
    }

    /// The fleet's pressure in thousandths: the mean of this front end's own and its peers' fresh ones, each
    /// at most [`MAX_PRESSURE`], so that one that lies moves the mean by at most that over N.
    pub fn pressure(&self, now: Micros, own: u32) -> u32 {
        let mut sum = u64::from(own.min(MAX_PRESSURE));
        let mut front_ends = 1;
        for summary in self.fresh(now) {
            sum += u64::from(summary.pressure.min(MAX_PRESSURE));
            front_ends += 1;
        }
        (sum / front_ends) as u32
    }
}
