//! The transport over the platform's binary frames: attempts, load orders and cancellations share connections to one
//! worker.
mod codec;
mod connection;
mod exchange;
mod handle;
pub mod keepalive;
mod outgoing;
pub mod progress;
mod reader;
pub mod send_queue;
mod writer;

pub use codec::{encode, Decoder, Frame, FrameError};
pub use reader::ReadError;
pub use writer::WriteError;

use super::dispatch::Dispatch;
use super::pool::ConnectionGauge;
use super::{log_lines, order_start_deadline};
use super::{AttemptLimits, CancelOutcome, ConnectionUsage, Transport};
use crate::limits::Limits;
use crate::model::{AttemptKey, AttemptReport, Request};
use crate::net::{spawn, DirectCalls, SystemCalls};
use crate::queue::CoreHandle;
use connection::ConnectionState;
use exchange::{ExchangeKind, NewExchange, Outbound, PendingFrame};
use handle::ConnectionHandle;
use may::sync::mpsc::channel;
use outgoing::Outgoing;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::{FunctionId, Outcome};
use writer::Writer;

/// The function of exchanges that concern no function.
const NO_FUNCTION: FunctionId = 0;

/// Ids of load orders and health checks count down from here, apart from the ids of calls, which clients draw at
/// random.
const FIRST_ORDER_ID: u64 = u64::MAX;

/// A call is not sent if this many open connections to its worker have its id reserved: a client that sends one id again
/// and again would otherwise open a connection each time.
const MAX_CONNECTIONS_PER_ID: usize = 2;

/// At most this many check intervals of the time between two keepalive checks count as silence of the worker. A longer
/// gap means that the core itself was delayed.
const MAX_COUNTED_INTERVALS: u64 = 2;

/// The transport to one worker address.
pub struct Frames {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: CoreHandle,
    calls: Arc<dyn SystemCalls>,
    gauge: ConnectionGauge,
    connections: Vec<ConnectionHandle>,
    last_keepalive_check: Option<Instant>,
}

impl Frames {
    /// Creates a transport without connections; they are opened when they are needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: CoreHandle) -> Self {
        Frames {
            address,
            limits,
            reports,
            calls: Arc::new(DirectCalls),
            gauge: ConnectionGauge::default(),
            connections: Vec::new(),
            last_keepalive_check: None,
        }
    }

    /// Replaces the operating system's calls with these.
    #[must_use]
    pub fn with_calls(self, calls: Arc<dyn SystemCalls>) -> Self {
        Frames { calls, ..self }
    }

    /// Counts the connections in `gauge`, which other transports may share.
    #[must_use]
    pub fn with_gauge(self, gauge: ConnectionGauge) -> Self {
        Frames { gauge, ..self }
    }

    /// Whether so many connections have this id reserved that a call with it is not sent.
    fn is_id_exhausted(&self, id: u64) -> bool {
        let has_reserved =
            |connection: &&ConnectionHandle| !connection.is_closed() && connection.has_reserved(id);
        let has_usable = self
            .connections
            .iter()
            .any(|connection| connection.is_usable(&self.limits) && !connection.has_reserved(id));
        let reserving = self.connections.iter().filter(has_reserved).count();
        !has_usable && reserving >= MAX_CONNECTIONS_PER_ID
    }

    /// Returns a connection with capacity for another exchange, a new one if there is none. A connection on which `id`
    /// is still reserved is not chosen: a late or duplicate response to the earlier exchange with this id would be
    /// matched to the new one.
    fn connection_for(&mut self, id: Option<u64>) -> &mut ConnectionHandle {
        let limits = &self.limits;
        let found = self.connections.iter().position(|connection| {
            connection.is_usable(limits) && id.is_none_or(|id| !connection.has_reserved(id))
        });
        let index = match found {
            Some(index) => index,
            None => {
                self.connections
                    .retain(|connection| !connection.is_closed());
                self.connections.push(self.open_connection());
                self.connections.len() - 1
            }
        };
        let connection = &mut self.connections[index];
        connection.touch();
        connection
    }

    fn open_connection(&self) -> ConnectionHandle {
        let (sender, commands) = channel();
        let state = Arc::new(ConnectionState::default());
        let reports = self.reports.clone();
        let writer = Writer {
            address: self.address,
            state: state.clone(),
            reports: reports.clone(),
            limits: self.limits.clone(),
            calls: self.calls.clone(),
            outgoing: Outgoing::new(state.clone(), reports, self.limits.worker_ring_bytes),
            close_requests: Vec::new(),
            counted: Arc::new(self.gauge.count()),
        };
        if let Err(error) = spawn(self.limits.coroutine_stack_bytes, move || {
            writer.run(&commands)
        }) {
            state.close(&self.reports);
            log_limited!("{}", log_lines::coroutine_not_started(self.address, &error));
        }
        ConnectionHandle::new(sender, state, self.reports.clone())
    }

    fn cancel_exchange(&mut self, kind: ExchangeKind) -> CancelOutcome {
        for connection in &mut self.connections {
            let outcome = connection.cancel(kind);
            if outcome != CancelOutcome::Unknown {
                return outcome;
            }
        }
        CancelOutcome::Unknown
    }

    /// How much of the time since the last keepalive check counts as silence of the worker.
    fn observed_since_last_check(&mut self, now: Instant) -> Duration {
        let counted =
            Duration::from_micros(MAX_COUNTED_INTERVALS * self.limits.keepalive_check_interval);
        match self.last_keepalive_check.replace(now) {
            Some(last) => (now - last).min(counted),
            None => Duration::ZERO,
        }
    }
}

impl Transport for Frames {
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, limits: AttemptLimits) {
        let id = request.wire_id;
        if self.is_id_exhausted(id) {
            log_limited!("{}", log_lines::id_exhausted(self.address, id));
            let report = AttemptReport::without_payload(Outcome::NotSent);
            return self.reports.attempt_ended(key, report);
        }
        let frame = codec::call(request, limits);
        let dispatch = Dispatch::for_attempt(request, limits, Instant::now());
        // The client may reuse the id while it waits, and responses to the id may come a little later still.
        let reserved_until = request.received_at
            + Duration::from_micros(request.timeout)
            + self.limits.late_response_grace;
        let connection = self.connection_for(Some(id));
        connection.reserve_id(id, reserved_until);
        connection.open(NewExchange {
            kind: ExchangeKind::Attempt(key),
            id,
            function: request.function,
            frame: PendingFrame::new(frame),
            withheld_on_drain: true,
            dispatch,
        });
    }

    fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        self.cancel_exchange(ExchangeKind::Attempt(key))
    }

    fn abandon_order(&mut self, order: u64) {
        self.cancel_exchange(ExchangeKind::Order(order));
    }

    fn is_idle(&self) -> bool {
        self.connections.is_empty()
    }

    fn order(
        &mut self,
        order: u64,
        function: FunctionId,
        replicas: u32,
        start_deadline: Option<Instant>,
    ) {
        let id = FIRST_ORDER_ID - order;
        let frame = codec::load_order(id, function, replicas);
        let start_deadline = order_start_deadline(&self.limits, start_deadline);
        self.connection_for(None).open(NewExchange {
            kind: ExchangeKind::Order(order),
            id,
            function,
            frame: PendingFrame::new(frame),
            withheld_on_drain: replicas > 0,
            dispatch: Dispatch::new(Arc::default(), start_deadline),
        });
    }

    fn check_health(&mut self, check: u64) {
        let id = FIRST_ORDER_ID - check;
        let start_deadline = order_start_deadline(&self.limits, None);
        self.connection_for(None).open(NewExchange {
            kind: ExchangeKind::HealthCheck(check),
            id,
            function: NO_FUNCTION,
            frame: PendingFrame::new(codec::health_check(id)),
            withheld_on_drain: false,
            dispatch: Dispatch::new(Arc::default(), start_deadline),
        });
    }

    fn abandon_health_check(&mut self, check: u64) {
        self.cancel_exchange(ExchangeKind::HealthCheck(check));
    }

    fn unload(&mut self, function: FunctionId) {
        let frame = codec::unload(function);
        self.connection_for(None).write(Outbound::OneWay(frame));
    }

    fn drain(&mut self) {
        for connection in &self.connections {
            connection.start_draining();
        }
    }

    /// Guards attempts against a connection that stays open but no longer carries any data: the exchanges open on it
    /// would wait for their full timeout, and further attempts would be sent on it.
    fn check_keepalive(&mut self) {
        if self.connections.is_empty() {
            self.last_keepalive_check = None; // saves reading the clock for most of up to 10,000 workers
            return;
        }
        let now = Instant::now();
        let observed = self.observed_since_last_check(now);
        for connection in &mut self.connections {
            if !connection.is_closed() {
                connection.check_keepalive(now, observed, &self.limits);
            }
        }
    }

    /// Guards against an exchange that is sent while the worker closes the connection as idle.
    fn sweep(&mut self) {
        let now = Instant::now();
        let limits = &self.limits;
        self.connections
            .retain_mut(|connection| connection.sweep(now, limits));
    }

    fn connections(&self) -> ConnectionUsage {
        let is_open = |connection: &&ConnectionHandle| !connection.is_closed();
        let is_usable = |connection: &ConnectionHandle| connection.is_usable(&self.limits);
        ConnectionUsage {
            open: self.connections.iter().filter(is_open).count(),
            next_attempt_opens: !self.connections.iter().any(is_usable),
        }
    }

    fn call_opens_connection(&self, id: u64) -> bool {
        let takes_call = |connection: &ConnectionHandle| {
            connection.is_usable(&self.limits) && !connection.has_reserved(id)
        };
        !self.connections.iter().any(takes_call) && !self.is_id_exhausted(id)
    }

    fn idle_since(&self) -> Option<Instant> {
        self.connections
            .iter()
            .filter(|connection| connection.is_idle())
            .map(ConnectionHandle::quiet_since)
            .min()
    }

    fn close_idle(&mut self) {
        let idle_longest = self
            .connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.is_idle())
            .min_by_key(|(_, connection)| connection.quiet_since());
        if let Some((index, _)) = idle_longest {
            self.connections.swap_remove(index);
        }
    }
}
