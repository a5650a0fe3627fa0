//! What the core's side, the writer and the reader of one connection share, and how everything open on it ends.
use super::exchange::{ExchangeKind, ExchangeTable};
use super::progress::Progress;
use crate::model::AttemptReport;
use crate::queue::CoreHandle;
use may::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::Outcome;

/// The shared state of one connection.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Exchanges handed to this connection and not ended.
    open_exchanges: AtomicUsize,
    closed: AtomicBool,
    draining: AtomicBool,
    refused: AtomicBool,
    /// Whether the writer has taken over the last keepalive probe.
    probe_taken: AtomicBool,
    /// The bytes written.
    pub(super) progress: Progress,
    pub(super) table: Mutex<ExchangeTable>,
}

impl ConnectionState {
    /// Exchanges handed to this connection and not ended.
    pub(super) fn open_exchanges(&self) -> usize {
        self.open_exchanges.load(Ordering::Acquire)
    }

    /// Counts an exchange that is handed to this connection.
    pub(super) fn count_opened(&self) {
        self.open_exchanges.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts an exchange that has ended.
    pub(super) fn count_ended(&self) {
        self.open_exchanges.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Whether the worker drains or is gone.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The worker drains or is gone.
    pub(super) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the worker's address refused the connection.
    fn is_refused(&self) -> bool {
        self.refused.load(Ordering::Acquire)
    }

    /// The worker's address refused the connection.
    pub(super) fn set_refused(&self) {
        self.refused.store(true, Ordering::Release);
    }

    /// Whether the writer has taken over the last keepalive probe.
    pub(super) fn is_probe_taken(&self) -> bool {
        self.probe_taken.load(Ordering::Acquire)
    }

    /// Marks whether the writer has taken over the last keepalive probe.
    pub(super) fn set_probe_taken(&self, taken: bool) {
        self.probe_taken.store(taken, Ordering::Release);
    }

    /// When an answer was last read.
    pub(super) fn last_answer_at(&self) -> Option<Instant> {
        self.table.lock().ok()?.last_answer_at
    }

    /// Reports the end without an answer of an exchange that was counted here.
    pub(super) fn report_end(&self, reports: &CoreHandle, kind: ExchangeKind, outcome: Outcome) {
        self.count_ended();
        match kind {
            ExchangeKind::Attempt(key) => {
                reports.attempt_ended(key, AttemptReport::without_payload(outcome));
            }
            ExchangeKind::Order(order) => reports.load_order_ended(order, outcome, 0),
            ExchangeKind::HealthCheck(check) => {
                let result = if self.is_refused() {
                    HealthCheckResult::Refused
                } else {
                    HealthCheckResult::Unreachable
                };
                reports.health_check_ended(check, result);
            }
            ExchangeKind::Probe => {}
        }
    }

    /// Ends everything open on the connection. A frame that is not completely written never runs: nothing is written
    /// any more.
    pub(super) fn close(&self, reports: &CoreHandle) {
        self.closed.store(true, Ordering::Release);
        let open = {
            let Ok(mut table) = self.table.lock() else {
                return;
            };
            table.closed = true;
            std::mem::take(&mut table.open)
        };
        let written = self.progress.end();
        for exchange in open.into_values() {
            let outcome = if exchange.frame_end <= written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            if exchange.dispatch.end() {
                self.report_end(reports, exchange.kind, outcome);
            }
        }
    }
}
