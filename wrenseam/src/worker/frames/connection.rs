//! The state that the core's side, the writer and the reader of one connection share, and how its open exchanges end.
use super::exchange::{ExchangeKind, ExchangeTable};
use super::progress::WriteProgress;
use crate::model::AttemptReport;
use crate::queue::CoreHandle;
use may::sync::Mutex;
use std::sync::atomic::{fence, AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::Outcome;

/// The shared state of one connection.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// Exchanges that were handed to this connection and have not ended.
    open_exchanges: AtomicUsize,
    closed: AtomicBool,
    draining: AtomicBool,
    refused: AtomicBool,
    /// Whether the writer has received the last keepalive probe.
    writer_has_probe: AtomicBool,
    /// Counts the bytes written.
    pub(super) progress: WriteProgress,
    pub(super) table: Mutex<ExchangeTable>,
}

impl ConnectionState {
    /// Exchanges that were handed to this connection and have not ended.
    pub(super) fn open_exchanges(&self) -> usize {
        self.open_exchanges.load(Ordering::Acquire)
    }

    /// Counts an exchange as handed to this connection.
    pub(super) fn count_opened(&self) {
        self.open_exchanges.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts an exchange as ended.
    pub(super) fn count_ended(&self) {
        self.open_exchanges.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Whether the connection has ended, asked after something was handed to its writer. If it had not, the writer still
    /// finds in its queue what was handed over.
    pub(super) fn is_closed_after_handover(&self) -> bool {
        fence(Ordering::SeqCst);
        self.is_closed()
    }

    /// Whether the worker is draining or gone.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Records that the worker is draining or gone.
    pub(super) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the worker's address refused the connection.
    fn is_refused(&self) -> bool {
        self.refused.load(Ordering::Acquire)
    }

    /// Records that the worker's address refused the connection.
    pub(super) fn set_refused(&self) {
        self.refused.store(true, Ordering::Release);
    }

    /// Whether the writer has received the last keepalive probe.
    pub(super) fn writer_has_probe(&self) -> bool {
        self.writer_has_probe.load(Ordering::Acquire)
    }

    /// Sets whether the writer has received the last keepalive probe.
    pub(super) fn set_writer_has_probe(&self, has_probe: bool) {
        self.writer_has_probe.store(has_probe, Ordering::Release);
    }

    /// When a response was last read; `None` if none was.
    pub(super) fn last_response_at(&self) -> Option<Instant> {
        self.table.lock().ok()?.last_response_at
    }

    /// Reports that an exchange of this connection ended without a response.
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

    /// Ends everything open on the connection. Nothing more is written to it, so a frame that is not completely written
    /// by now never runs.
    pub(super) fn close(&self, reports: &CoreHandle) {
        self.closed.store(true, Ordering::Release);
        // Pairs with the fence of `is_closed_after_handover`: whoever reads second sees what the other has written.
        fence(Ordering::SeqCst);
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
