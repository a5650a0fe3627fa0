//! The load summary that a front end gossips, its encoding, and a table of the newest summary of each peer.
//! No I/O; the caller passes the time, in microseconds.
use super::identity::MAX_PRESSURE;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use wrenseam_policy::Micros;

/// Bytes of an encoded summary.
pub const SUMMARY_BYTES: usize = 64;
/// The first bytes of every summary.
const MAGIC: [u8; 2] = *b"wS";
// Offsets of the fields in an encoded summary.
const FAMILY_AT: usize = 2;
const PORT_AT: usize = 3;
const ADDRESS_AT: usize = 5;
const SEQ_AT: usize = 21;
const COUNTS_AT: usize = 29;
const HEALTHY_AT: usize = 53;
const AVERAGING_AT: usize = 55;
const CRC_AT: usize = SUMMARY_BYTES - 4;
// Wire values of the address family.
const FAMILY_NONE: u8 = 0;
const FAMILY_V4: u8 = 4;
const FAMILY_V6: u8 = 6;

/// The load of one front end at one time, as it is gossiped to the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The gossip address of the front end that the summary describes. `None` until it is published.
    pub origin: Option<SocketAddr>,
    /// The sequence number: a summary replaces one of the same origin with a smaller number.
    pub seq: u64,
    /// The number of open requests.
    pub in_flight: u32,
    /// Requests in flight divided by capacity, in thousandths: 1000 at capacity.
    pub pressure: u32,
    /// First attempts in the window of the retry budget.
    pub first_attempts: u32,
    /// Extra attempts (hedged requests and retries) in the window of the retry budget.
    pub extra_attempts: u32,
    /// Extra attempts that the retry budget denied in its window.
    pub denied: u32,
    /// Requests shed since the start of the process.
    pub shed: u32,
    /// The number of healthy workers. Front ends of this version write 0.
    pub healthy: u16,
    /// Whether the front end takes part in the averaging ([`super::average`]). Versions without averaging write 0 here.
    pub supports_averaging: bool,
}

/// Why bytes cannot be decoded as a summary.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// The number of bytes, which differs from [`SUMMARY_BYTES`].
    #[error("load summary of {0} bytes, {SUMMARY_BYTES} expected")]
    Length(usize),
    /// The first bytes are not those of a summary.
    #[error("not a load summary")]
    Magic,
    /// The checksum at the end does not match the bytes before it.
    #[error("checksum of the load summary does not match")]
    Checksum,
    /// An unknown address family; 0 (none), 4 and 6 are valid.
    #[error("unknown address family {0} in a load summary")]
    Family(u8),
}

impl Summary {
    /// Encodes the summary in 64 bytes, big-endian: magic (2), family (1: 0 none, 4 or 6), port (2), address (16), seq
    /// (8), in-flight requests, pressure, first attempts, extra attempts, denied, shed (4 each), healthy (2), averaging
    /// (1), zeros, and a CRC-32 of all before it (4).
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

    /// Decodes the output of [`Summary::encode`].
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

/// Writes the family, port and address of a summary's origin. Leaves them 0 if there is none.
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

/// Reads the origin that [`put_origin`] wrote.
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

/// The `N` bytes at an offset, all of which must be inside the summary.
fn array_at<const N: usize>(bytes: &[u8; SUMMARY_BYTES], at: usize) -> [u8; N] {
    std::array::from_fn(|offset| bytes[at + offset])
}

/// A summary and when it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedSummary {
    summary: Summary,
    received_at: Micros,
}

/// The newest summary of each peer. At most `capacity` are kept; a further peer replaces the one whose summary is the
/// oldest.
#[derive(Clone, Debug)]
pub struct Summaries {
    capacity: usize,
    ttl: Micros,
    by_origin: BTreeMap<SocketAddr, ReceivedSummary>,
}

/// The result of [`Summaries::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The summary is newer than the known one. It was stored and must be gossiped further.
    Updated,
    /// The summary is not newer than the known one (a duplicate, or reordered) and was dropped.
    Stale,
    /// The summary has no origin, or is this front end's own, and was dropped.
    Foreign,
}

impl Summaries {
    /// An empty table for up to `capacity` peers, at least 1. A summary is fresh for `ttl` microseconds after it was
    /// received.
    pub fn new(capacity: usize, ttl: Micros) -> Self {
        Summaries {
            capacity: capacity.max(1),
            ttl,
            by_origin: BTreeMap::new(),
        }
    }

    /// Stores a summary received at `now`, unless its origin is this front end (`own`) or it is not newer than the
    /// known one.
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

    /// Removes the summary that was received the longest time ago.
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

    /// Removes the summary of a peer, once it has left or was declared down.
    pub fn forget(&mut self, origin: SocketAddr) {
        self.by_origin.remove(&origin);
    }

    /// The summaries that are still fresh at `now`, ordered by origin.
    pub fn fresh(&self, now: Micros) -> impl Iterator<Item = &Summary> {
        self.by_origin
            .values()
            .filter(move |received| now.saturating_sub(received.received_at) <= self.ttl)
            .map(|received| &received.summary)
    }

    /// The fleet's mean pressure in thousandths, from this front end's pressure `own` and the fresh summaries of its
    /// peers. Each is limited to [`MAX_PRESSURE`], so that a peer that reports a wrong value can shift the mean of N
    /// front ends by at most `MAX_PRESSURE / N`.
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
