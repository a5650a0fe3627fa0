//! What the transport, the writer and the reader of one connection share, and how everything open on it ends.
use super::super::dispatch::Dispatch;
use super::progress::Progress;
use crate::model::{AttemptKey, AttemptReport};
use crate::queue::CoreHandle;
use may::sync::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{FunctionId, Outcome};

/// What an exchange is for.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum What {
    Attempt(AttemptKey),
    Order(u64),
    /// A question of the connection's own, whose answer shows that it still carries any.
    Probe,
}

/// What is to be written. Calls and orders to load wait for the connection, and may not go after a drain.
pub(super) enum Command {
    Open(Opening),
    Cancel(What),
    Plain(Vec<u8>),
    /// Ends the connection, unless something has come on it since then.
    Close(Instant),
}

/// A frame that opens an exchange.
pub(super) struct Opening {
    pub(super) what: What,
    pub(super) id: u64,
    pub(super) function: FunctionId,
    pub(super) frame: Vec<u8>,
    pub(super) bound: bool,
    pub(super) dispatch: Arc<Dispatch>,
}

/// An exchange in the ring or out: where in the stream its frame ends.
pub(super) struct Exchange {
    pub(super) what: What,
    pub(super) end: u64,
    pub(super) since: Instant,
    pub(super) function: FunctionId,
    pub(super) dispatch: Arc<Dispatch>,
}

/// The exchanges of a connection, by the id that the worker sees.
#[derive(Default)]
pub(super) struct Table {
    pub(super) open: BTreeMap<u64, Exchange>,
    pub(super) broken: bool,
    /// When an answer was last read here.
    pub(super) heard: Option<Instant>,
}

/// What the core's side, the writer and the reader of one connection share.
#[derive(Default)]
pub(super) struct State {
    /// Exchanges handed to this connection and not ended.
    pub(super) load: AtomicUsize,
    pub(super) broken: AtomicBool,
    pub(super) retired: AtomicBool,
    pub(super) progress: Progress,
    /// Whether the writer has taken the last probe over.
    pub(super) asking: AtomicBool,
    pub(super) table: Mutex<Table>,
}

/// Ends an exchange that was counted on the connection.
pub(super) fn report(reports: &CoreHandle, state: &State, what: What, outcome: Outcome) {
    state.load.fetch_sub(1, Ordering::AcqRel);
    match what {
        What::Attempt(key) => reports.attempt_ended(key, AttemptReport::without_payload(outcome)),
        What::Order(order) => reports.load_order_ended(order, outcome, 0),
        What::Probe => {}
    }
}

/// Ends everything open on a connection. What was not wholly written never runs: nothing is written any more.
pub(super) fn break_up(state: &State, reports: &CoreHandle) {
    state.broken.store(true, Ordering::Release);
    let open = {
        let Ok(mut table) = state.table.lock() else {
            return;
        };
        table.broken = true;
        std::mem::take(&mut table.open)
    };
    let written = state.progress.end();
    for exchange in open.into_values() {
        let outcome = if exchange.end <= written {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        if exchange.dispatch.end() {
            report(reports, state, exchange.what, outcome);
        }
    }
}
