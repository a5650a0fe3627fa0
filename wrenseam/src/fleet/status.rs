//! What a front end makes of its fleet at one moment, for the core and for telemetry.
use super::average::{DroppedExchanges, EdgeCounts};
use super::members::RecordCounts;
use super::record::Lifecycle;
use super::swim::Dropped;
use super::traffic::TrafficKind;
use wrenseam_policy::Micros;

/// What a front end makes of its fleet at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetStatus {
    /// Peers counted alive, besides itself.
    pub alive: usize,
    /// Of these, by lifecycle in the order of [`Lifecycle::ALL`].
    pub by_lifecycle: [usize; Lifecycle::ALL.len()],
    /// Peers that said that they are draining or leaving since the status before.
    pub departed: usize,
    /// The digest of the whole view.
    pub view_digest: u64,
    /// For how long the digest has stood, in microseconds.
    pub view_unchanged_for: Micros,
    /// Mean in-flight over capacity of the fleet, in thousandths.
    pub pressure: u32,
    /// The edges of the averaging.
    pub edges: EdgeCounts,
    /// Whether a front end from before the averaging is in the fleet, and the mean is of summaries.
    pub mixed: bool,
    /// How many times longer this front end's probes and suspicions are: Lifeguard's local health multiplier.
    pub health_multiplier: u32,
    /// Bytes sent, in the order of [`TrafficKind::ALL`].
    pub bytes_sent: [u64; TrafficKind::ALL.len()],
    /// Bytes deferred by the byte budget, in the order of [`TrafficKind::ALL`].
    pub bytes_over_budget: [u64; TrafficKind::ALL.len()],
    /// What became of the datagrams of records.
    pub records: RecordCounts,
    /// Datagrams dropped, by cause.
    pub dropped: Dropped,
    /// Datagrams of the averaging dropped, by cause.
    pub average_dropped: DroppedExchanges,
}

impl FleetStatus {
    /// Peers that take clients.
    pub fn ready(&self) -> usize {
        self.by_lifecycle[Lifecycle::Ready.index()]
    }
}
