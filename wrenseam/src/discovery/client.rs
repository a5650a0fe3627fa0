//! The connection to the discovery service: connects, reads events and passes their changes to the core.
use crate::discovery::address::DiscoveryAddress;
use crate::discovery::backoff::ReconnectBackoff;
use crate::discovery::event_stream::{EventStreamError, EventStreamResponse, StreamItem};
use crate::discovery::log_lines;
use crate::discovery::watch::{WatchError, WatchState};
use crate::limits::DiscoveryLimits;
use crate::model::{DiscoveryContact, TransportProtocol};
use crate::net::would_block;
use crate::queue::CoreHandle;
use crate::ring::Ring;
use may::net::TcpStream;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;
use wrenseam_policy::readiness_lease::Interruption;

/// Why a request to the discovery service ended. There is no end without an error, as the event stream is endless.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The configuration names no service.
    #[error("the configuration names no discovery service")]
    NoAddress,
    /// The service has another address now.
    #[error("the discovery service has another address")]
    AddressChanged,
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The service closed the connection.
    #[error("the service closed the connection")]
    Closed,
    /// Nothing was received within [`DiscoveryLimits::silence_timeout`], not even a comment.
    #[error("no event and no comment was received in time")]
    Silent,
    /// The request is older than its event timeout, or has brought no event for that long: a new one shows whether
    /// events are missing.
    #[error("the request is replaced by a new one")]
    RequestExpired,
    /// The response is not a valid event stream.
    #[error(transparent)]
    Stream(#[from] EventStreamError),
    /// Events must be requested again.
    #[error(transparent)]
    Watch(#[from] WatchError),
}

/// Receives the discovery service's events and never returns. Whenever a request ends, a new one asks for the events
/// after the last one received.
pub fn run(
    service: &DiscoveryAddress,
    state: WatchState,
    seed: u64,
    limits: &DiscoveryLimits,
    core: &CoreHandle,
) {
    let mut client = Client {
        service,
        state,
        backoff: ReconnectBackoff::new(seed, limits),
        limits,
        core,
        is_out_of_contact: false,
    };
    loop {
        let pause = client.request();
        if !pause.is_zero() {
            crate::net::sleep(pause);
        }
    }
}

struct Client<'a> {
    service: &'a DiscoveryAddress,
    state: WatchState,
    backoff: ReconnectBackoff,
    limits: &'a DiscoveryLimits,
    core: &'a CoreHandle,
    /// Whether an interruption has been reported, and no confirmation since.
    is_out_of_contact: bool,
}

/// A connection and the state of the request on it.
struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    buffer: Ring,
    bytes: Vec<u8>,
    response: EventStreamResponse,
    requested_at: Instant,
    last_received_at: Instant,
    last_event_at: Instant,
    has_received: bool,
    /// Whether a comment has arrived at least [`DiscoveryLimits::settle_time`] after the request, and therefore after
    /// all pending events.
    has_settled: bool,
    /// Whether `DiscoveryContact::Confirmed` has been reported for this request.
    is_confirmed: bool,
}

impl Client<'_> {
    /// Makes a request, reads its events until it ends, and returns the pause before the next request.
    fn request(&mut self) -> Duration {
        let address = self.service.get();
        let last_event = self.state.last_event();
        let error = self.read_events(address);
        if matches!(error, ConnectionError::RequestExpired) {
            return Duration::ZERO;
        }
        if let Some(address) = address {
            let last_event = self.state.last_event();
            log_limited!(
                "{}",
                log_lines::connection_ended(address, last_event, &error)
            );
        }
        // Without new events the service may be down: the pause grows with each such request.
        let unsuccessful = self.state.last_event() == last_event && self.service.get() == address;
        if unsuccessful {
            self.backoff.after_failure()
        } else {
            self.backoff.after_success()
        }
    }

    fn read_events(&mut self, address: Option<SocketAddr>) -> ConnectionError {
        let Some(address) = address else {
            return ConnectionError::NoAddress;
        };
        let event_timeout = self.backoff.event_timeout();
        let mut connection = match self.connect(address) {
            Ok(connection) => connection,
            Err(error) => {
                self.report_failed_request(Instant::now(), Interruption::Unreachable);
                return error;
            }
        };
        loop {
            if let Err(error) = self.receive(&mut connection, event_timeout) {
                self.report_end(&connection, &error);
                return error;
            }
            self.confirm_if_settled(&mut connection);
        }
    }

    /// Reports the end of a connection, unless the client itself ended it: then the next request's confirmation or
    /// failure is reported.
    fn report_end(&mut self, connection: &Connection, error: &ConnectionError) {
        let now = Instant::now();
        match error {
            ConnectionError::Silent if connection.has_received => {
                self.report_interruption(connection.last_received_at, Interruption::Silent);
            }
            ConnectionError::Silent => {
                self.report_failed_request(connection.requested_at, Interruption::Silent);
            }
            ConnectionError::Io(_) | ConnectionError::Closed | ConnectionError::Stream(_) => {
                if connection.has_received {
                    self.report_interruption(now, Interruption::Broken);
                } else {
                    self.report_failed_request(now, Interruption::Unreachable);
                }
            }
            _ => {}
        }
    }

    /// Reports a request that ended without a response, unless an interruption has been reported already.
    fn report_failed_request(&mut self, at: Instant, cause: Interruption) {
        if !self.is_out_of_contact {
            self.report_interruption(at, cause);
        }
    }

    fn report_interruption(&mut self, at: Instant, cause: Interruption) {
        self.is_out_of_contact = true;
        self.core
            .discovery_contact(DiscoveryContact::Interrupted { at, cause });
    }

    /// Reports, once for each request, that every change up to the time of the request has been received, provided that
    /// no event is incomplete.
    fn confirm_if_settled(&mut self, connection: &mut Connection) {
        let is_settled = connection.has_settled && self.state.is_complete();
        if is_settled && !std::mem::replace(&mut connection.is_confirmed, true) {
            let requested_at = connection.requested_at;
            self.is_out_of_contact = false;
            self.core
                .discovery_contact(DiscoveryContact::Confirmed { requested_at });
        }
    }

    fn connect(&mut self, address: SocketAddr) -> Result<Connection, ConnectionError> {
        let mut stream = TcpStream::connect_timeout(&address, self.limits.connect_timeout)?;
        stream.set_read_timeout(Some(self.limits.address_check_interval))?;
        let last_event = self.state.begin_request();
        let requested_at = Instant::now();
        let request = format!(
            "GET /board/poll HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_event}\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let now = Instant::now();
        Ok(Connection {
            address,
            stream,
            buffer: Ring::new(self.limits.read_buffer_bytes),
            bytes: Vec::new(),
            response: EventStreamResponse::new(self.limits),
            requested_at,
            last_received_at: now,
            last_event_at: now,
            has_received: false,
            has_settled: false,
            is_confirmed: false,
        })
    }

    /// Reads once and handles what has been received.
    fn receive(
        &mut self,
        connection: &mut Connection,
        event_timeout: Duration,
    ) -> Result<(), ConnectionError> {
        connection.read(self.limits.silence_timeout)?;
        if self.service.get() != Some(connection.address) {
            return Err(ConnectionError::AddressChanged);
        }
        self.handle_bytes(connection)?;
        // A service that sends only comments may have an event that never arrives on this connection. Checked last, so
        // that events already received are not requested again.
        if connection.needs_new_request(event_timeout) {
            return Err(ConnectionError::RequestExpired);
        }
        Ok(())
    }

    fn handle_bytes(&mut self, connection: &mut Connection) -> Result<(), ConnectionError> {
        for &byte in &connection.bytes {
            let update = match connection.response.push(byte)? {
                StreamItem::Incomplete => continue,
                StreamItem::Comment => {
                    let age = connection.requested_at.elapsed();
                    connection.has_settled |= age >= self.limits.settle_time;
                    self.state.handle_comment()?
                }
                StreamItem::Event(event) => {
                    connection.last_event_at = Instant::now();
                    self.state.handle_event(event.id.as_deref(), &event.data)?
                }
            };
            if let Some(update) = update {
                self.core.endpoint_update(
                    TransportProtocol::Frames,
                    update.complete,
                    update.endpoints,
                );
            }
        }
        Ok(())
    }
}

impl Connection {
    /// Whether the request is due to be replaced by a new one: it is confirmed and too old, or has brought no event for
    /// too long. Only the response to a new request confirms the list again.
    fn needs_new_request(&self, event_timeout: Duration) -> bool {
        let is_old = self.is_confirmed && self.requested_at.elapsed() >= event_timeout;
        is_old || self.last_event_at.elapsed() >= event_timeout
    }

    /// Reads once and replaces `bytes` by what has been received, which is nothing if the read timed out.
    fn read(&mut self, silence_timeout: Duration) -> Result<(), ConnectionError> {
        match self.buffer.fill(&mut self.stream) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(_) => {
                self.last_received_at = Instant::now();
                self.has_received = true;
            }
            Err(error) if would_block(&error) => {
                if self.last_received_at.elapsed() >= silence_timeout {
                    return Err(ConnectionError::Silent);
                }
            }
            Err(error) => return Err(error.into()),
        }
        self.bytes.clear();
        self.buffer.take(usize::MAX, &mut self.bytes);
        Ok(())
    }
}
