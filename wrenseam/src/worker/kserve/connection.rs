//! One connection to a v2 worker: carries one exchange at a time, and determines its outcome when the connection ends.
use super::super::dispatch::{StartResult, CLIENT_INPUT_WAIT};
use super::super::log_lines;
use super::super::socket::{has_no_unread_input, stalled_write_pause};
use super::exchange::{Call, Exchange, ExchangeKind, Order, WorkerConnections};
use super::messages::{
    attempt_report, load_report, response_owner, LoadReport, Response, ResponseOwner,
};
use super::response::{ReceivedResponse, ResponseReader};
use crate::limits::Limits;
use crate::model::AttemptReport;
use crate::net::{resume_on_scheduler, sleep, ErrorAction, SystemCalls};
use crate::queue::CoreHandle;
use may::net::TcpStream;
use may::sync::mpmc::Receiver;
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::Outcome;

/// An idle connection.
pub(super) struct IdleStream {
    stream: TcpStream,
    since: Instant,
}

impl IdleStream {
    /// Whether an exchange may be sent on it: the worker is not about to close it as idle, and it has no unread input.
    fn is_usable(&self, limits: &Limits) -> bool {
        self.since.elapsed() < limits.worker_idle_timeout && has_no_unread_input(&self.stream)
    }
}

/// A coroutine that carries out exchanges one after the other, on one connection at a time.
pub(super) struct Connection {
    pub(super) address: SocketAddr,
    pub(super) limits: Arc<Limits>,
    pub(super) reports: CoreHandle,
    pub(super) calls: Arc<dyn SystemCalls>,
    pub(super) worker_connections: Arc<WorkerConnections>,
    pub(super) idle: Option<IdleStream>,
}

impl Connection {
    /// Carries out exchanges from the queue until the transport is dropped.
    pub(super) fn run(mut self, queue: &Receiver<Exchange>) {
        loop {
            let next = queue.recv_timeout(self.limits.worker_idle_timeout);
            resume_on_scheduler();
            match next {
                Ok(exchange) => {
                    self.run_exchange(&exchange);
                    self.worker_connections.count_ended();
                }
                // Guards against an exchange that is sent while the worker closes the connection as idle.
                Err(RecvTimeoutError::Timeout) => self.idle = None,
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Carries out an exchange and reports its end.
    fn run_exchange(&mut self, exchange: &Exchange) {
        let end = match self.send_and_receive(exchange) {
            // The end of the connection notifies the worker of the cancellation.
            Err(Outcome::Reset) if exchange.is_cancelled() => Err(Outcome::Cancelled),
            end => end,
        };
        match &exchange.kind {
            ExchangeKind::Call(call) => self.report_call(call, end),
            ExchangeKind::Order(order) => self.report_order(order, end),
            ExchangeKind::Unload => {}
        }
    }

    fn report_call(&self, call: &Call, end: Result<Response, Outcome>) {
        let report = match end {
            Ok(response) => attempt_report(response, call.is_wrapped),
            Err(outcome) => AttemptReport::without_payload(outcome),
        };
        self.reports.attempt_ended(call.key, report);
    }

    fn report_order(&self, order: &Order, end: Result<Response, Outcome>) {
        let report = match end {
            Ok(response) => load_report(&response, order),
            Err(outcome) => LoadReport {
                outcome,
                replicas: 0,
            },
        };
        self.reports
            .load_order_ended(order.number, report.outcome, report.replicas);
    }

    /// Sends the request and reads the complete response. On failure, returns the outcome, which depends on how much of
    /// the exchange took place.
    fn send_and_receive(&mut self, exchange: &Exchange) -> Result<Response, Outcome> {
        if self.is_withheld(exchange) {
            return Err(Outcome::NotSent);
        }
        let mut stream = match &exchange.kind {
            ExchangeKind::Call(_) => self.started_stream(exchange)?,
            // Responses to these carry no id. After a duplicate response, each later one on the connection would be
            // matched to the wrong exchange.
            ExchangeKind::Order(_) | ExchangeKind::Unload => self.new_started_stream(exchange)?,
        };
        self.write(&stream, exchange)?;
        let received = ResponseReader::new(&self.limits)
            .read(&mut stream, exchange)
            .map_err(|reason| {
                if !exchange.is_cancelled() {
                    log_limited!("{}", log_lines::response_lost(self.address, &reason));
                }
                // The request was completely written and no complete response arrived: it may have run.
                Outcome::Reset
            })?;
        let owner = match &exchange.kind {
            ExchangeKind::Call(call) => response_owner(&received.response, call.wire_id),
            ExchangeKind::Order(_) | ExchangeKind::Unload => ResponseOwner::Unstated,
        };
        if owner == ResponseOwner::OtherCall {
            log_limited!("{}", log_lines::response_mismatched(self.address));
            return Err(Outcome::Reset); // whether this call has run is unknown
        }
        if owner == ResponseOwner::ThisCall {
            self.keep_reusable(stream, &received);
        }
        Ok(received.response)
    }

    /// Keeps the connection for the next call, if it can carry another. The caller has checked that the response names
    /// its call: otherwise a late duplicate would be matched to the next call, whose own response would be matched to
    /// the call after it, and a rejection among them would show of the wrong call that it never ran.
    fn keep_reusable(&mut self, stream: TcpStream, received: &ReceivedResponse) {
        if received.is_reusable && received.response.status == 200 {
            self.idle = Some(IdleStream {
                stream,
                since: Instant::now(),
            });
        }
    }

    /// Whether an exchange must not be started any more: it is cancelled, or its worker has begun to drain.
    fn is_withheld(&self, exchange: &Exchange) -> bool {
        let has_drained = exchange.drain_epoch != self.worker_connections.drain_epoch();
        exchange.is_cancelled() || has_drained && exchange.withheld_on_drain
    }

    /// Starts an exchange. Returns whether its first byte may be written now; waits for the reader of its client if
    /// needed.
    fn try_start(&self, exchange: &Exchange) -> bool {
        loop {
            let start = exchange.dispatch.try_start(Instant::now());
            if self.is_withheld(exchange) {
                return false;
            }
            match start {
                StartResult::Started => return true,
                StartResult::Discarded | StartResult::AlreadyFinal => return false,
                StartResult::ClientInputUnread => sleep(CLIENT_INPUT_WAIT),
            }
        }
    }

    /// Returns a connection on which the exchange has been started: the caller writes its first byte next.
    fn started_stream(&mut self, exchange: &Exchange) -> Result<TcpStream, Outcome> {
        if let Some(idle) = self.idle.take() {
            if idle.is_usable(&self.limits) {
                if !self.try_start(exchange) {
                    self.idle = Some(idle);
                    return Err(Outcome::NotSent);
                }
                // Input that arrived while the exchange waited to be started is not the response to it.
                if idle.is_usable(&self.limits) {
                    return Ok(idle.stream);
                }
                exchange.dispatch.revert_start();
            }
        }
        self.new_started_stream(exchange)
    }

    /// Returns a new connection on which the exchange has been started.
    fn new_started_stream(&self, exchange: &Exchange) -> Result<TcpStream, Outcome> {
        let stream = self.connect().map_err(|reason| {
            log_limited!("{}", log_lines::not_connected(self.address, &reason));
            Outcome::ConnectFailed
        })?;
        if self.try_start(exchange) {
            Ok(stream)
        } else {
            Err(Outcome::NotSent)
        }
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = self
            .calls
            .connect(&self.address, self.limits.connect_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.limits.write_check_interval))?;
        Ok(stream)
    }

    /// Writes the request. After an error it is not completely written, so it never runs.
    fn write(&self, stream: &TcpStream, exchange: &Exchange) -> Result<(), Outcome> {
        let mut remaining = &exchange.request[..];
        let mut stalled_for = Duration::ZERO;
        while !remaining.is_empty() {
            match self.calls.write(stream, remaining) {
                Ok(count) if count > 0 => {
                    stalled_for = Duration::ZERO;
                    remaining = &remaining[count..];
                }
                Err(error)
                    if ErrorAction::for_error(&error) != ErrorAction::Close
                        && stalled_for < self.limits.write_stall_timeout =>
                {
                    let is_unwritten = remaining.len() == exchange.request.len();
                    stalled_for += self.wait_stalled(exchange, is_unwritten)?;
                }
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        Ok(())
    }

    /// Waits before a stalled write is retried. Returns for how long. As with frames, no claim is held during the wait:
    /// an exchange of which no byte is written must be started again.
    fn wait_stalled(&self, exchange: &Exchange, is_unwritten: bool) -> Result<Duration, Outcome> {
        if is_unwritten {
            exchange.dispatch.revert_start();
        }
        let pause = stalled_write_pause(&self.limits);
        sleep(pause);
        if is_unwritten && !self.try_start(exchange) {
            return Err(Outcome::NotSent);
        }
        if exchange.dispatch.is_past_write_deadline(Instant::now()) {
            return Err(Outcome::ConnectFailed); // the connection closes, so the request is never completed
        }
        Ok(pause)
    }
}
