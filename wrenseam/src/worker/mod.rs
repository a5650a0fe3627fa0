//! Transports: each carries attempts, orders and cancellations to one worker and reports how they end.
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
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{FunctionId, Micros};

/// Both protocols state times in milliseconds.
const MICROS_PER_MILLI: Micros = 1000;

/// What is known of an attempt that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// No byte of it was or will be written: it never ran, and no report follows.
    NeverStarted,
    /// It may run. A report follows once its worker has been notified, or its connection has ended.
    PendingConfirmation,
    /// This transport has no such attempt open.
    Unknown,
}

/// How long an attempt may wait for its answer, and may take to be written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// How long its answer is waited for.
    pub answer_timeout: Micros,
    /// For a retry of an attempt that may have run: it must have been written completely by then, as its worker does
    /// not recognise a duplicate that comes later.
    pub write_deadline: Option<Instant>,
    /// It is not started later than this, as its worker may drain by then.
    pub start_deadline: Option<Instant>,
}

impl AttemptLimits {
    /// Limits of a first attempt, or of one that nothing but its timeout bounds.
    pub fn with_timeout(answer_timeout: Micros) -> Self {
        AttemptLimits {
            answer_timeout,
            write_deadline: None,
            start_deadline: None,
        }
    }
}

/// The connections that a transport has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Connections that are established or being established.
    pub open: usize,
    /// Whether an attempt sent now would open one more.
    pub next_attempt_opens: bool,
}

/// The connections to one worker. No call blocks; everything is carried out by coroutines.
pub trait Transport: Send {
    /// Sends an attempt; exactly one report follows, unless it is cancelled before it was started.
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, limits: AttemptLimits);
    /// Cancels an attempt; what is not started is not written.
    fn cancel(&mut self, key: AttemptKey) -> CancelOutcome;
    /// Stops waiting for the answer to an order. The order itself stands.
    fn abandon_order(&mut self, order: u64);
    /// Whether no connection is left.
    fn is_idle(&self) -> bool;
    /// Orders the worker to hold this many replicas; 0 only asks how many it holds. It is not started later than
    /// `start_deadline`.
    fn order(
        &mut self,
        order: u64,
        function: FunctionId,
        replicas: u32,
        start_deadline: Option<Instant>,
    );
    /// Asks the worker whether it takes new work; its state is no matter.
    fn check_health(&mut self, check: u64);
    /// Stops waiting for the answer to a health check.
    fn abandon_health_check(&mut self, check: u64);
    /// Has idle replicas unloaded.
    fn unload(&mut self, function: FunctionId);
    /// The worker drains or is gone: attempts and orders of which no byte is written yet are not written.
    fn drain(&mut self);
    /// Sends a keepalive probe where answers are overdue, and closes connections that do not answer theirs. Called
    /// often.
    fn check_keepalive(&mut self);
    /// Closes connections that have been idle for long.
    fn sweep(&mut self);
    /// How many connections there are. Transports whose connections are bounded for each worker and close by
    /// themselves count none.
    fn connections(&self) -> ConnectionUsage {
        ConnectionUsage::default()
    }
    /// Since when the connection that has been idle longest is so.
    fn idle_since(&self) -> Option<Instant> {
        None
    }
    /// Closes the connection that has been idle longest.
    fn close_idle(&mut self) {}
}

/// The transport for a worker's protocol.
pub fn transport(
    protocol: TransportProtocol,
    address: SocketAddr,
    limits: &Arc<Limits>,
    reports: &CoreHandle,
    calls: &Arc<dyn SystemCalls>,
) -> Box<dyn Transport> {
    let limits = limits.clone();
    let reports = reports.clone();
    let calls = calls.clone();
    match protocol {
        TransportProtocol::Frames => {
            Box::new(frames::Frames::new(address, limits, reports).with_calls(calls))
        }
        TransportProtocol::Kserve => {
            Box::new(kserve::Kserve::new(address, limits, reports).with_calls(calls))
        }
    }
}

/// Until when an order may be started. Guards the worker's ration of loads: it counts an order when it arrives, and
/// several that a late connection held back would arrive within one period.
fn order_start_deadline(limits: &Limits, latest: Option<Instant>) -> Instant {
    let deadline = Instant::now() + limits.connect_timeout + limits.write_check_interval;
    latest.map_or(deadline, |latest| latest.min(deadline))
}

/// Whether the replica was loaded before the attempt came, as a worker's answer says in its `detail`.
fn replica_loaded(detail: Option<&str>) -> Option<bool> {
    match detail {
        Some("resident") => Some(true),
        Some("booted" | "rode") => Some(false),
        _ => None,
    }
}
