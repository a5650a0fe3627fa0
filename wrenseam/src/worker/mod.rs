//! Transports, one for each worker address: a transport carries attempts, load orders and cancellations to its worker
//! and reports how they end.
pub mod dispatch;
pub mod frames;
pub mod kserve;
pub mod log_lines;
pub mod pool;
mod socket;

use crate::limits::Limits;
use crate::model::{AttemptKey, Request, TransportProtocol};
use crate::net::SystemCalls;
use crate::queue::CoreHandle;
use pool::ConnectionGauge;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{FunctionId, Micros};

/// Both worker protocols state times in milliseconds.
const MICROS_PER_MILLI: Micros = 1000;

/// What a transport knows about an attempt that it was told to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// No byte of the attempt was or will be written, so it never runs. The transport sends no report for it.
    NeverStarted,
    /// The attempt may run. The transport sends a report once the worker has been notified, or the connection has
    /// ended.
    PendingConfirmation,
    /// This transport has no such attempt open.
    Unknown,
}

/// The time limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// How long to wait for the response.
    pub response_timeout: Micros,
    /// Set for a retry of an attempt that may have run: it must be completely written by then, as the worker recognises
    /// duplicates only for a limited time. `None` for all others.
    pub write_deadline: Option<Instant>,
    /// The attempt is not started after this, as its worker may be draining by then. `None` if nothing but the timeout
    /// bounds the start.
    pub start_deadline: Option<Instant>,
}

impl AttemptLimits {
    /// Limits of an attempt that only its timeout bounds.
    pub fn with_timeout(response_timeout: Micros) -> Self {
        AttemptLimits {
            response_timeout,
            write_deadline: None,
            start_deadline: None,
        }
    }
}

/// The use of a transport's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Connections that are established or being established.
    pub open: usize,
    /// Whether an attempt sent now would open another connection.
    pub next_attempt_opens: bool,
}

/// The connections to one worker address. No call blocks: coroutines do the work.
pub trait Transport: Send {
    /// Sends an attempt. The transport sends exactly one report, unless the attempt is cancelled before it is started.
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, limits: AttemptLimits);
    /// Cancels an attempt. If it has not been started, nothing of it is written.
    fn cancel(&mut self, key: AttemptKey) -> CancelOutcome;
    /// Stops waiting for the response to a load order. The worker is not notified and carries out the order.
    fn abandon_order(&mut self, order: u64);
    /// Whether no connection is left; in a transport whose connections close by themselves, whether no exchange is
    /// open.
    fn is_idle(&self) -> bool;
    /// Sends a load order: the worker must hold this many replicas; 0 only asks how many it holds. The order is not
    /// started after `start_deadline`.
    fn order(
        &mut self,
        order: u64,
        function: FunctionId,
        replicas: u32,
        start_deadline: Option<Instant>,
    );
    /// Asks the worker whether it accepts new work. Sent to workers in any state.
    fn check_health(&mut self, check: u64);
    /// Stops waiting for the response to a health check.
    fn abandon_health_check(&mut self, check: u64);
    /// Tells the worker to unload idle replicas of a function.
    fn unload(&mut self, function: FunctionId);
    /// The worker is draining or gone: attempts and load orders of which no byte is written yet are not written.
    fn drain(&mut self);
    /// Probes connections on which responses are overdue, and closes those that do not answer a probe. Called every
    /// `Limits::keepalive_check_interval`.
    fn check_keepalive(&mut self);
    /// Closes connections whose idle timeout has passed.
    fn sweep(&mut self);
    /// The use of connections. Transports that bound the number of their connections and close idle ones by themselves
    /// report none.
    fn connections(&self) -> ConnectionUsage {
        ConnectionUsage::default()
    }
    /// Whether a call with this id, sent now, would open another connection.
    fn call_opens_connection(&self, _id: u64) -> bool {
        self.connections().next_attempt_opens
    }
    /// When the connection that has been idle longest became idle; `None` if no connection is idle.
    fn idle_since(&self) -> Option<Instant> {
        None
    }
    /// Closes the connection that has been idle longest.
    fn close_idle(&mut self) {}
}

/// Creates the transport for a worker's protocol. It counts its connections in `gauge`, unless it bounds their number by
/// itself.
pub fn transport(
    protocol: TransportProtocol,
    address: SocketAddr,
    limits: &Arc<Limits>,
    reports: &CoreHandle,
    calls: &Arc<dyn SystemCalls>,
    gauge: &ConnectionGauge,
) -> Box<dyn Transport> {
    let limits = limits.clone();
    let reports = reports.clone();
    let calls = calls.clone();
    match protocol {
        TransportProtocol::Frames => {
            let frames = frames::Frames::new(address, limits, reports).with_calls(calls);
            Box::new(frames.with_gauge(gauge.clone()))
        }
        TransportProtocol::Kserve => {
            Box::new(kserve::Kserve::new(address, limits, reports).with_calls(calls))
        }
    }
}

/// The latest time at which a load order may be started. The worker counts each order against its rate limit for loads
/// when the order arrives; several orders delayed by a slow connect would all arrive within one period.
fn order_start_deadline(limits: &Limits, latest: Option<Instant>) -> Instant {
    let deadline = Instant::now() + limits.connect_timeout + limits.write_check_interval;
    latest.map_or(deadline, |latest| latest.min(deadline))
}

/// Whether the replica was loaded before the attempt arrived, from the `detail` of the worker's response. `None` if the
/// response does not say.
fn replica_loaded(detail: Option<&str>) -> Option<bool> {
    match detail {
        Some("resident") => Some(true),
        Some("booted" | "rode") => Some(false),
        _ => None,
    }
}
