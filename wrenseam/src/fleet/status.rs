//! A front end's view of the fleet at one time, for the core and for telemetry.
use super::average::{DroppedExchanges, EdgeCounts};
use super::members::RecordCounts;
use super::record::Lifecycle;
use super::swim::DropCounts;
use super::traffic::TrafficKind;
use wrenseam_policy::Micros;

/// A front end's view of the fleet at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetStatus {
    /// Number of peers counted alive, without this front end.
    pub alive: usize,
    /// Number of peers counted alive per lifecycle, in the order of [`Lifecycle::ALL`].
    pub by_lifecycle: [usize; Lifecycle::ALL.len()],
    /// Number of peers that announced since the previous status that they drain or leave.
    pub departed: usize,
    /// A digest of the members, their incarnations and their records. Equal at two front ends that hold the same view.
    pub view_digest: u64,
    /// How long the digest has not changed, in microseconds.
    pub view_unchanged_for: Micros,
    /// The fleet's mean pressure: requests in flight divided by capacity, in thousandths.
    pub pressure: u32,
    /// The number of edges of the averaging at this front end.
    pub edges: EdgeCounts,
    /// Whether the fleet contains a front end of a version without averaging. The pressure is then the mean of load
    /// summaries.
    pub mixed: bool,
    /// Lifeguard's local health multiplier: the factor by which this front end's probe and suspicion timeouts are
    /// longer than configured.
    pub health_multiplier: u32,
    /// Bytes sent, in the order of [`TrafficKind::ALL`].
    pub bytes_sent: [u64; TrafficKind::ALL.len()],
    /// Bytes not sent because they exceeded the byte budget, in the order of [`TrafficKind::ALL`].
    pub bytes_over_budget: [u64; TrafficKind::ALL.len()],
    /// Counts of repairs, of records merged or rejected, and of dropped datagrams of the record protocol.
    pub records: RecordCounts,
    /// Datagrams dropped by SWIM, by cause.
    pub dropped: DropCounts,
    /// Datagrams dropped by the averaging, by cause.
    pub average_dropped: DroppedExchanges,
}

impl FleetStatus {
    /// Number of peers that accept clients.
    pub fn ready(&self) -> usize {
        self.by_lifecycle[Lifecycle::Ready.index()]
    }
}
