//! The core's side of one connection: the exchanges that were handed to it, and whether it can take more.
use super::super::dispatch::Dispatch;
use super::super::CancelOutcome;
use super::codec;
use super::connection::ConnectionState;
use super::exchange::{Command, ExchangeKind, NewExchange, Outbound, PendingFrame};
use super::keepalive::{Keepalive, KeepaliveAction, Observation};
use crate::limits::Limits;
use crate::net::next_connection_number;
use crate::queue::CoreHandle;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::{FunctionId, Outcome};

/// Ids of keepalive probes count down from here. The ids of load orders and health checks count down from the end of
/// the range, and clients draw the ids of calls at random.
const FIRST_PROBE_ID: u64 = u64::MAX / 2;

/// A connection that keeps this many ids of calls takes no further exchange, and closes once it is idle: clients state
/// for how long their ids are kept.
const MAX_RESERVED_IDS: usize = 8_192;

/// An exchange that was handed to the writer.
struct HandedOver {
    dispatch: Arc<Dispatch>,
    frame: PendingFrame,
}

/// One connection as the core sees it. Once it is dropped the writer closes the connection.
pub(super) struct ConnectionHandle {
    commands: Sender<Command>,
    state: Arc<ConnectionState>,
    reports: CoreHandle,
    last_used_at: Instant,
    keepalive: Keepalive,
    /// The exchanges that were handed over, by which they can be reclaimed before they are started.
    handed_over: HashMap<ExchangeKind, HandedOver>,
    /// The ids of calls that the connection has carried, and until when their clients may reuse them.
    reserved_ids: HashMap<u64, Instant>,
}

impl ConnectionHandle {
    pub(super) fn new(
        commands: Sender<Command>,
        state: Arc<ConnectionState>,
        reports: CoreHandle,
    ) -> Self {
        ConnectionHandle {
            commands,
            state,
            reports,
            last_used_at: Instant::now(),
            keepalive: Keepalive::default(),
            handed_over: HashMap::new(),
            reserved_ids: HashMap::new(),
        }
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.state.is_closed()
    }

    /// Whether it is open, or being established, and has no open exchange.
    pub(super) fn is_idle(&self) -> bool {
        !self.state.is_closed() && self.state.open_exchanges() == 0
    }

    /// The time since which the connection has been quiet: when it was last used, or when a response was last read if
    /// that was later.
    pub(super) fn quiet_since(&self) -> Instant {
        match self.state.last_response_at() {
            Some(response_at) => response_at.max(self.last_used_at),
            None => self.last_used_at,
        }
    }

    /// Whether it can take another exchange. A connection that has been idle for too long cannot, even if no sweep has
    /// closed it yet: the worker may be closing it at this moment.
    pub(super) fn is_usable(&self, limits: &Limits) -> bool {
        let open_exchanges = self.state.open_exchanges();
        !self.state.is_closed()
            && !self.state.is_draining()
            && !self.has_reserved_all_ids()
            && open_exchanges < limits.max_streams_per_connection
            && (open_exchanges > 0 || self.quiet_since().elapsed() <= limits.worker_idle_timeout)
    }

    /// Whether it has carried a call with this id that the client may still reuse.
    pub(super) fn has_reserved(&self, id: u64) -> bool {
        self.reserved_ids.contains_key(&id)
    }

    fn has_reserved_all_ids(&self) -> bool {
        self.reserved_ids.len() >= MAX_RESERVED_IDS
    }

    /// Keeps further calls with this id off this connection until `until`.
    pub(super) fn reserve_id(&mut self, id: u64, until: Instant) {
        self.reserved_ids.insert(id, until);
    }

    /// Records that the connection is used now.
    pub(super) fn touch(&mut self) {
        self.last_used_at = Instant::now();
    }

    /// Hands an exchange to the writer. If the writer has ended, the exchange ends here.
    pub(super) fn open(&mut self, exchange: NewExchange) {
        let kind = exchange.kind;
        let dispatch = exchange.dispatch.clone();
        self.state.count_opened();
        let handed_over = HandedOver {
            dispatch: dispatch.clone(),
            frame: exchange.frame.clone(),
        };
        self.handed_over.insert(kind, handed_over);
        self.write(Outbound::Open(exchange));
        if self.state.is_closed_after_handover() && dispatch.end() {
            self.state
                .report_end(&self.reports, kind, Outcome::ConnectFailed);
        }
    }

    /// Hands something to the writer.
    pub(super) fn write(&self, outbound: Outbound) {
        // Fails if the writer has ended. The writer ends what was open by then, and `open` the rest.
        let _ = self.commands.send(Command::Write(outbound));
    }

    /// Cancels an exchange. If it has been started, the writer completes the cancellation.
    pub(super) fn cancel(&mut self, kind: ExchangeKind) -> CancelOutcome {
        let Some(HandedOver { dispatch, frame }) = self.handed_over.remove(&kind) else {
            return CancelOutcome::Unknown;
        };
        if dispatch.reclaim() {
            drop(frame.take());
            self.state.count_ended();
            return CancelOutcome::NeverStarted;
        }
        self.write(Outbound::Cancel(kind));
        CancelOutcome::PendingConfirmation
    }

    /// Records that the worker is draining or gone.
    pub(super) fn start_draining(&self) {
        self.state.start_draining();
    }

    /// Makes one keepalive check. `observed` is how much of the time since the last one counts as silence of the
    /// worker.
    pub(super) fn check_keepalive(&mut self, now: Instant, observed: Duration, limits: &Limits) {
        let Ok(table) = self.state.table.lock() else {
            return;
        };
        let observation = Observation {
            now,
            observed,
            last_response_at: table.last_response_at,
            oldest: table.oldest(),
            opened_since_response: table.opened_since_response(),
            writer_has_probe: self.state.writer_has_probe(),
        };
        drop(table);
        match self.keepalive.check(&observation, limits) {
            KeepaliveAction::None => {}
            KeepaliveAction::Probe(function) => {
                self.probe(function, now + limits.write_stall_timeout)
            }
            KeepaliveAction::CloseIfSilentSince(asked_at) => {
                let _ = self.commands.send(Command::CloseIfSilentSince(asked_at));
                // Fails if the writer has ended.
            }
        }
    }

    /// Sends a keepalive probe: it asks how many replicas of a function there are, which has no effect and is answered
    /// at once.
    fn probe(&self, function: FunctionId, start_deadline: Instant) {
        let id = FIRST_PROBE_ID - next_connection_number();
        self.state.count_opened();
        self.state.set_writer_has_probe(false);
        self.write(Outbound::Open(NewExchange {
            kind: ExchangeKind::Probe,
            id,
            function,
            frame: PendingFrame::new(codec::load_order(id, function, 0)),
            withheld_on_drain: false,
            dispatch: Dispatch::new(Arc::default(), start_deadline),
        }));
    }

    /// Drops exchanges that have ended and ids whose reservation has expired. Returns whether the connection is kept.
    pub(super) fn sweep(&mut self, now: Instant, limits: &Limits) -> bool {
        self.handed_over
            .retain(|_, exchange| Arc::strong_count(&exchange.dispatch) > 1);
        self.reserved_ids.retain(|_, until| *until > now);
        if self.state.is_closed() {
            return false;
        }
        if self.state.open_exchanges() > 0 {
            return true;
        }
        let is_expired = self.quiet_since().elapsed() > limits.worker_idle_timeout;
        !is_expired && !self.state.is_draining() && !self.has_reserved_all_ids()
    }
}
