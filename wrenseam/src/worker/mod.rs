//! Transports: what carries attempts, orders and cancels to one worker and reports how they end.
pub mod dispatch;
pub mod frames;
pub mod kserve;
pub mod pool;

use crate::limits::Limits;
use crate::model::{AttemptKey, Request, TransportProtocol};
use crate::net::SystemCalls;
use crate::queue::CoreHandle;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{FunctionId, Micros};

/// What is known of an attempt that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// No byte of it was or will be written: it never ran, and nothing is reported of it.
    NeverBegun,
    /// It may run. Its end is reported once its worker has been told, or its connection has ended.
    Pending,
    /// Nothing of it is open here.
    Unknown,
}

/// How long an attempt may wait, and may take to be written.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long its answer is waited for.
    pub budget: Micros,
    /// For an attempt that repeats one that may have run: it must have been written whole by then, as later no worker
    /// drops it.
    pub whole_by: Option<Instant>,
}

impl Terms {
    /// A first attempt, or one that nothing but its budget bounds.
    pub fn within(budget: Micros) -> Self {
        Terms {
            budget,
            whole_by: None,
        }
    }
}

/// The way to one worker. No call blocks; everything is carried out by coroutines.
pub trait Transport: Send {
    /// Sends an attempt; exactly one report follows, unless it is given up before it was begun.
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, terms: Terms);
    /// Gives an attempt up; what is not yet begun is not written.
    fn cancel(&mut self, key: AttemptKey) -> GiveUp;
    /// Gives an order's answer up: it is awaited no more.
    fn lapse(&mut self, order: u64);
    /// Whether no connection is left.
    fn is_idle(&self) -> bool;
    /// Orders the worker to hold copies; 0 only asks.
    fn order(&mut self, order: u64, function: FunctionId, copies: u32);
    /// Has idle copies unloaded.
    fn unload(&mut self, function: FunctionId);
    /// The worker drains or is gone: calls and orders of which no byte is written yet are not written.
    fn retire(&mut self);
    /// Looks whether connections on which answers are awaited still carry any. Called often.
    fn pulse(&mut self);
    /// Closes connections that have been idle for long.
    fn sweep(&mut self);
    /// Connections that stand or come up, and whether a call now would take one more.
    fn connections(&self) -> (usize, bool) {
        (0, false) // those of other speeches are bounded for each worker and close by themselves
    }
    /// Since when one of them has been idle, the longest.
    fn idle_since(&self) -> Option<Instant> {
        None
    }
    /// Closes the one idle longest.
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
    let (limits, reports, calls) = (limits.clone(), reports.clone(), calls.clone());
    match protocol {
        TransportProtocol::Frames => {
            Box::new(frames::Frames::new(address, limits, reports).with_calls(calls))
        }
        TransportProtocol::Kserve => {
            Box::new(kserve::Kserve::new(address, limits, reports).with_calls(calls))
        }
    }
}
