//! Load summaries as custom broadcasts of foca, for front ends that do not support the averaging.
use super::Swim;
use crate::fleet::identity::PeerId;
use crate::fleet::summary::{InsertOutcome, Summaries, Summary, SummaryError};
use foca::{BroadcastHandler, Invalidates};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use wrenseam_policy::Micros;

/// The summaries received, and the present time, which foca does not pass to its broadcast handler.
struct SummaryTable {
    summaries: Summaries,
    now: Micros,
}

/// The table of summaries, shared between [`Swim`] and the handler that foca owns.
#[derive(Clone)]
pub(super) struct SharedSummaries(Arc<Mutex<SummaryTable>>);

impl SharedSummaries {
    /// An empty table for at most `capacity` peers; a summary is fresh for `ttl` microseconds.
    pub(super) fn new(capacity: usize, ttl: Micros) -> SharedSummaries {
        let table = SummaryTable {
            summaries: Summaries::new(capacity, ttl),
            now: 0,
        };
        SharedSummaries(Arc::new(Mutex::new(table)))
    }

    fn table(&self) -> MutexGuard<'_, SummaryTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the arrival time of the summaries that follow.
    pub(super) fn set_now(&self, now: Micros) {
        self.table().now = now;
    }

    /// Removes the summary of a peer that is gone.
    pub(super) fn forget(&self, origin: SocketAddr) {
        self.table().summaries.forget(origin);
    }

    fn insert(&self, own: SocketAddr, summary: Summary) -> InsertOutcome {
        let mut table = self.table();
        let now = table.now;
        table.summaries.insert(now, own, summary)
    }
}

/// Identifies a summary among foca's broadcasts; it replaces an older one, or a copy, of the same origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SummaryKey {
    origin: SocketAddr,
    seq: u64,
}

impl Invalidates for SummaryKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.origin == other.origin && self.seq >= other.seq
    }
}

/// The handler of foca's custom broadcasts, which stores summaries in the shared table.
pub(super) struct SummaryHandler {
    own: SocketAddr,
    summaries: SharedSummaries,
}

impl SummaryHandler {
    /// The handler of the front end at gossip address `own`.
    pub(super) fn new(own: SocketAddr, summaries: SharedSummaries) -> SummaryHandler {
        SummaryHandler { own, summaries }
    }
}

impl BroadcastHandler<PeerId> for SummaryHandler {
    type Key = SummaryKey;
    type Error = SummaryError;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&PeerId>,
    ) -> Result<Option<SummaryKey>, SummaryError> {
        let summary = Summary::decode(data)?;
        let Some(origin) = summary.origin else {
            return Ok(None);
        };
        let key = SummaryKey {
            origin,
            seq: summary.seq,
        };
        if origin == self.own {
            return Ok(Some(key)); // our own, which `Swim::publish` adds
        }
        match self.summaries.insert(self.own, summary) {
            InsertOutcome::Updated => Ok(Some(key)),
            InsertOutcome::Stale | InsertOutcome::Foreign => Ok(None),
        }
    }
}

impl Swim {
    /// Gossips this front end's summary under the next sequence number.
    pub fn publish(&mut self, now: Micros, mut summary: Summary) {
        self.set_now(now);
        self.runtime.carries_summaries = true;
        self.last_summary_seq += 1;
        summary.origin = Some(self.own.addr);
        summary.seq = self.last_summary_seq;
        let _ = self.foca.add_broadcast(&summary.encode()); // fails only for invalid bytes, and these were encoded here
    }

    /// Ends the gossip of summaries: probe messages then carry member updates only, and fewer of them.
    pub fn stop_publishing(&mut self) {
        self.runtime.carries_summaries = false;
    }

    /// Whether a fresh summary is of a front end that does not support the averaging (see
    /// [`Summary::supports_averaging`]).
    pub fn is_mixed(&self, now: Micros) -> bool {
        let table = self.summaries.table();
        let mut fresh = table.summaries.fresh(now);
        fresh.any(|summary| !summary.supports_averaging)
    }

    /// The fleet's pressure in thousandths of capacity (see [`Summaries::pressure`]); `own` is that of this front end.
    pub fn pressure(&self, now: Micros, own: u32) -> u32 {
        self.summaries.table().summaries.pressure(now, own)
    }

    /// The fresh summaries of peers.
    pub fn summaries(&self, now: Micros) -> Vec<Summary> {
        let table = self.summaries.table();
        table.summaries.fresh(now).copied().collect()
    }
}
