//! The transport over KServe v2 (HTTP/1.1): each connection carries one exchange at a time. Load orders, queries for
//! loaded models and orders to unload use the model repository extension.
mod connection;
mod exchange;
mod messages;
mod response;

pub use messages::{unwrap_response, wrap_response};
pub use response::ResponseError;

use super::dispatch::Dispatch;
use super::{log_lines, order_start_deadline, MICROS_PER_MILLI};
use super::{AttemptLimits, CancelOutcome, Transport};
use crate::limits::Limits;
use crate::model::{AttemptKey, Payload, Request};
use crate::net::{spawn, DirectCalls, SystemCalls};
use crate::queue::CoreHandle;
use connection::Connection;
use exchange::{Call, Exchange, ExchangeKind, Order, WorkerConnections};
use may::sync::mpmc::{channel, Receiver, Sender};
use messages::wrap_call;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::{FunctionId, Micros};

/// An attempt that was handed over, kept so that it can be cancelled.
struct OpenAttempt {
    key: AttemptKey,
    dispatch: Arc<Dispatch>,
    cancelled: Arc<AtomicBool>,
}

impl OpenAttempt {
    /// Whether the attempt has ended: the exchange, which holds the other reference, has been dropped.
    fn has_ended(&self) -> bool {
        Arc::strong_count(&self.cancelled) == 1
    }
}

/// An exchange to open.
struct NewExchange {
    kind: ExchangeKind,
    request: Vec<u8>,
    withheld_on_drain: bool,
    response_timeout: Micros,
    dispatch: Arc<Dispatch>,
}

/// The transport to one v2 worker.
pub struct Kserve {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: CoreHandle,
    calls: Arc<dyn SystemCalls>,
    worker_connections: Arc<WorkerConnections>,
    exchanges: Sender<Exchange>,
    queue: Receiver<Exchange>,
    open_attempts: Vec<OpenAttempt>,
}

impl Kserve {
    /// Creates a transport without connections; they are opened when they are needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: CoreHandle) -> Self {
        let (exchanges, queue) = channel();
        Kserve {
            address,
            limits,
            reports,
            calls: Arc::new(DirectCalls),
            worker_connections: Arc::default(),
            exchanges,
            queue,
            open_attempts: Vec::new(),
        }
    }

    /// Replaces the operating system's calls with these.
    #[must_use]
    pub fn with_calls(self, calls: Arc<dyn SystemCalls>) -> Self {
        Kserve { calls, ..self }
    }

    /// Hands over an exchange that is not an attempt: a load order, a query for loaded models or an order to unload.
    fn open_order(
        &mut self,
        kind: ExchangeKind,
        request: Vec<u8>,
        start_deadline: Instant,
        withheld_on_drain: bool,
    ) {
        self.open(NewExchange {
            kind,
            request,
            withheld_on_drain,
            response_timeout: self.limits.load_order_timeout,
            dispatch: Dispatch::new(Arc::default(), start_deadline),
        });
    }

    /// Hands over an exchange. Adds a connection if all are in use and the limit allows one.
    fn open(&mut self, exchange: NewExchange) {
        let cancelled = Arc::new(AtomicBool::new(false));
        if let ExchangeKind::Call(call) = &exchange.kind {
            self.forget_ended_attempts();
            self.open_attempts.push(OpenAttempt {
                key: call.key,
                dispatch: exchange.dispatch.clone(),
                cancelled: cancelled.clone(),
            });
        }
        let drain_epoch = self.worker_connections.drain_epoch();
        let response_deadline = Instant::now() + Duration::from_micros(exchange.response_timeout);
        let open_exchanges = self.worker_connections.count_opened();
        // If no connection takes it, the core's timer ends it.
        let _ = self.exchanges.send(Exchange {
            kind: exchange.kind,
            request: exchange.request,
            dispatch: exchange.dispatch,
            cancelled,
            drain_epoch,
            withheld_on_drain: exchange.withheld_on_drain,
            response_deadline,
        });
        let connections = self.worker_connections.count();
        if open_exchanges > connections && connections < self.limits.max_v2_connections_per_worker {
            self.add_connection();
        }
    }

    fn add_connection(&self) {
        self.worker_connections.count_connected();
        let connection = Connection {
            address: self.address,
            limits: self.limits.clone(),
            reports: self.reports.clone(),
            calls: self.calls.clone(),
            worker_connections: self.worker_connections.clone(),
            idle: None,
        };
        let queue = self.queue.clone();
        if let Err(error) = spawn(self.limits.coroutine_stack_bytes, move || {
            connection.run(&queue)
        }) {
            self.worker_connections.count_disconnected();
            log_limited!("{}", log_lines::coroutine_not_started(self.address, &error));
        }
    }

    fn forget_ended_attempts(&mut self) {
        self.open_attempts.retain(|attempt| !attempt.has_ended());
    }

    /// The bytes of a POST request.
    fn post(&self, path: &str, budget: Micros, body: &[u8]) -> Vec<u8> {
        let host = self.address;
        let length = body.len();
        let budget_ms = budget / MICROS_PER_MILLI;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\nX-Budget-Ms: {budget_ms}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

impl Transport for Kserve {
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, limits: AttemptLimits) {
        let budget = limits.response_timeout;
        let path = format!("/v2/models/{:016x}/infer", request.function);
        let is_wrapped = matches!(request.payload, Payload::Bytes(_));
        let bytes = match &request.payload {
            Payload::Json(body) => self.post(&path, budget, body),
            Payload::Bytes(body) => self.post(&path, budget, &wrap_call(request, body, budget)),
        };
        self.open(NewExchange {
            kind: ExchangeKind::Call(Call {
                key,
                wire_id: request.wire_id,
                is_wrapped,
            }),
            request: bytes,
            withheld_on_drain: true,
            response_timeout: budget,
            dispatch: Dispatch::for_attempt(request, limits, Instant::now()),
        });
    }

    fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        let found = self
            .open_attempts
            .iter()
            .position(|attempt| attempt.key == key);
        let Some(index) = found else {
            return CancelOutcome::Unknown;
        };
        let attempt = self.open_attempts.swap_remove(index);
        attempt.cancelled.store(true, Ordering::Release);
        if attempt.dispatch.reclaim() {
            CancelOutcome::NeverStarted
        } else {
            CancelOutcome::PendingConfirmation
        }
    }

    /// Does nothing: each exchange closes its connection at its own deadline, see `Exchange::response_deadline`.
    fn abandon_order(&mut self, _order: u64) {}

    fn is_idle(&self) -> bool {
        self.worker_connections.open_exchanges() == 0
    }

    fn order(
        &mut self,
        order: u64,
        function: FunctionId,
        replicas: u32,
        start_deadline: Option<Instant>,
    ) {
        let request = if replicas > 0 {
            let path = format!("/v2/repository/models/{function:016x}/load");
            let body = messages::load_order(replicas);
            self.post(&path, self.limits.load_order_timeout, body.as_bytes())
        } else {
            let body = b"{\"ready\":true}";
            self.post("/v2/repository/index", self.limits.load_order_timeout, body)
        };
        let start_deadline = order_start_deadline(&self.limits, start_deadline);
        let kind = ExchangeKind::Order(Order {
            number: order,
            function,
            replicas,
        });
        self.open_order(kind, request, start_deadline, replicas > 0);
    }

    /// Does nothing: v2 workers are listed in a file, so no discovery service can be out of reach.
    fn check_health(&mut self, _check: u64) {}

    fn abandon_health_check(&mut self, _check: u64) {}

    fn unload(&mut self, function: FunctionId) {
        let path = format!("/v2/repository/models/{function:016x}/unload");
        let request = self.post(&path, self.limits.load_order_timeout, b"{}");
        let start_deadline = Instant::now() + Duration::from_micros(self.limits.load_order_timeout);
        self.open_order(ExchangeKind::Unload, request, start_deadline, false);
    }

    fn drain(&mut self) {
        self.worker_connections.start_draining();
    }

    /// Does nothing: a connection carries one exchange, whose deadline bounds the silence of the worker.
    fn check_keepalive(&mut self) {}

    /// Forgets attempts that have ended. Idle connections close by themselves.
    fn sweep(&mut self) {
        self.forget_ended_attempts();
    }
}
