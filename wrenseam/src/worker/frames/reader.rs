//! The reading side of one connection to a worker: reads responses and matches them to exchanges.
use super::super::pool::CountedConnection;
use super::super::socket::has_no_unread_input;
use super::super::{log_lines, replica_loaded};
use super::codec::{Decoder, Frame, FrameError, ResponseCode};
use super::connection::ConnectionState;
use super::exchange::{Exchange, ExchangeKind};
use crate::limits::Limits;
use crate::model::{AttemptReport, Payload};
use crate::net::{receive, ReadOutcome};
use crate::queue::CoreHandle;
use crate::ring::Ring;
use may::net::TcpStream;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::Outcome;

/// Why reading from a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A frame has begun, and no more of it arrived within `Limits::response_stall_timeout`.
    #[error("incomplete frame")]
    IncompleteFrame,
    /// A frame was invalid; nothing after it can be trusted.
    #[error("invalid frame: {0}")]
    InvalidFrame(#[from] FrameError),
    /// The socket could not be set up.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// A read failed.
    #[error("{0}")]
    Receive(#[source] io::Error),
}

/// The reading coroutine of one connection.
pub(super) struct ResponseReader {
    stream: TcpStream,
    ring: Ring,
    decoder: Decoder,
    state: Arc<ConnectionState>,
    reports: CoreHandle,
    limits: Arc<Limits>,
    /// Counts the connection until both directions are closed.
    _counted: Arc<CountedConnection>,
}

impl ResponseReader {
    pub(super) fn new(
        stream: TcpStream,
        state: Arc<ConnectionState>,
        reports: CoreHandle,
        limits: Arc<Limits>,
        counted: Arc<CountedConnection>,
    ) -> Self {
        ResponseReader {
            stream,
            ring: Ring::new(limits.worker_ring_bytes),
            decoder: Decoder::default(),
            state,
            reports,
            limits,
            _counted: counted,
        }
    }

    /// Reads responses until the connection ends, then ends everything that is open on it.
    pub(super) fn run(mut self, address: SocketAddr) {
        if let Err(reason) = self.read_and_shut_down() {
            log_limited!("{}", log_lines::connection_closed(address, &reason));
        }
        self.state.close(&self.reports);
        self.reports.worker_connection_ended(address);
    }

    fn read_and_shut_down(&mut self) -> Result<(), ReadError> {
        self.stream
            .set_read_timeout(Some(self.limits.response_stall_timeout))?;
        let end = self.read_responses();
        let _ = self.stream.shutdown(Shutdown::Both); // makes the writer's next write fail
        end
    }

    fn read_responses(&mut self) -> Result<(), ReadError> {
        loop {
            let read_started_at = Instant::now();
            let received = receive(&mut self.ring, &mut self.stream);
            match received.map_err(ReadError::Receive)? {
                ReadOutcome::Closed => return Ok(()),
                ReadOutcome::Data => self.handle_responses()?,
                ReadOutcome::NotReady => self.check_incomplete_frame(read_started_at)?,
            }
        }
    }

    /// Guards against a response whose rest never arrives. Only a read that waited counts, and only if no input is
    /// unread now: input that arrived while the process was stopped is still unread.
    fn check_incomplete_frame(&self, read_started_at: Instant) -> Result<(), ReadError> {
        let has_waited = read_started_at.elapsed() >= self.limits.response_stall_timeout / 2;
        if has_waited && self.decoder.is_mid_frame() && has_no_unread_input(&self.stream) {
            return Err(ReadError::IncompleteFrame);
        }
        Ok(())
    }

    /// Handles the frames that are complete. After an invalid frame the reader cannot tell where the next one begins,
    /// so nothing more is read.
    fn handle_responses(&mut self) -> Result<(), FrameError> {
        while let Some(frame) = self
            .decoder
            .next(&mut self.ring, self.limits.max_response_bytes)?
        {
            let code = ResponseCode::parse(frame.code)?;
            // Guards against a corrupted code, which the checksum does not cover: a response that proves that nothing
            // ran has no body.
            let never_ran = match code {
                ResponseCode::Outcome(outcome) => outcome.proves_not_executed(),
                ResponseCode::Health(_) => true,
            };
            if never_ran && !frame.body.is_empty() {
                return Err(FrameError::UnexpectedBody(frame.code));
            }
            // A late response to an exchange that has already ended is dropped.
            if let Some(exchange) = self.take_exchange(&frame, code)? {
                exchange.dispatch.end();
                self.state.count_ended();
                self.report_response(exchange.kind, code, frame);
            }
        }
        Ok(())
    }

    /// Removes the exchange to which this frame responds from the table; `None` if it has already ended.
    fn take_exchange(
        &self,
        frame: &Frame,
        code: ResponseCode,
    ) -> Result<Option<Exchange>, FrameError> {
        let mut table = self.state.table.lock().map_err(|_| FrameError::Poisoned)?;
        table.last_response_at = Some(Instant::now());
        // Guards against a response to a frame that is not completely written: the rest would still be sent, and the
        // call might run.
        if let Some(exchange) = table.open.get(&frame.id) {
            if exchange.frame_end > self.state.progress.bytes() {
                return Err(FrameError::IncompleteCall);
            }
            let is_health = matches!(code, ResponseCode::Health(_));
            if is_health && !exchange.kind.is_check() {
                return Err(FrameError::UnknownCode(frame.code));
            }
        }
        Ok(table.open.remove(&frame.id))
    }

    fn report_response(&self, kind: ExchangeKind, code: ResponseCode, frame: Frame) {
        match (kind, code) {
            (ExchangeKind::Probe, _) => {}
            (ExchangeKind::HealthCheck(check), ResponseCode::Health(result)) => {
                self.reports.health_check_ended(check, result);
            }
            (ExchangeKind::HealthCheck(check), ResponseCode::Outcome(_)) => {
                let result = HealthCheckResult::NotAccepting;
                self.reports.health_check_ended(check, result);
            }
            (ExchangeKind::Order(order), ResponseCode::Outcome(outcome)) => {
                let replicas = frame.number("slots_up").unwrap_or(0);
                self.reports.load_order_ended(order, outcome, replicas);
            }
            (ExchangeKind::Attempt(key), ResponseCode::Outcome(outcome)) => {
                self.reports
                    .attempt_ended(key, attempt_report(outcome, frame));
            }
            // Cannot occur: `take_exchange` rejects such a response.
            (ExchangeKind::Order(_) | ExchangeKind::Attempt(_), ResponseCode::Health(_)) => {}
        }
    }
}

/// The report on an attempt, from the worker's response.
fn attempt_report(outcome: Outcome, frame: Frame) -> AttemptReport {
    let replica_loaded = replica_loaded(frame.field("detail"));
    let queue_depth = match outcome {
        Outcome::Ok | Outcome::Rejected => frame.number("company"),
        _ => None,
    };
    let payload = match outcome {
        Outcome::Ok => Some(Payload::Bytes(frame.body)),
        _ => None,
    };
    AttemptReport {
        outcome,
        replica_loaded,
        queue_depth,
        payload,
    }
}
