//! The connection to the discovery service: connects, reads events, and hands their changes to the core.
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

/// Why a request to the discovery service ended. It ends with an error always, as the service sends events for ever.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The configuration names no service.
    #[error("no discovery service is named")]
    NoAddress,
    /// The service is at another address now.
    #[error("the discovery service has moved")]
    AddressChanged,
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The service closed the connection.
    #[error("closed")]
    Closed,
    /// Nothing came for too long, not even a comment.
    #[error("silent")]
    Silent,
    /// The request is so old, or brought no event for so long, that only a new one shows what is missing.
    #[error("made anew")]
    MadeAnew,
    /// The response cannot be read.
    #[error(transparent)]
    Stream(#[from] EventStreamError),
    /// Events are to be requested again.
    #[error(transparent)]
    Watch(#[from] WatchError),
}

/// Follows the discovery service for ever. Whenever a request ends a new one is made, which names the last event
/// received.
pub fn follow(
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
    /// Whether an interruption was reported and no contact since.
    is_out_of_contact: bool,
}

/// A connection and what has been read on it.
struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    buffer: Ring,
    bytes: Vec<u8>,
    response: EventStreamResponse,
    requested_at: Instant,
    last_read_at: Instant,
    last_event_at: Instant,
    has_read: bool,
    /// Whether it commented so late that it had sent all events before.
    has_settled: bool,
    is_confirmed: bool,
}

impl Client<'_> {
    /// Makes a request, reads its events to the end, and returns the pause before the next one.
    fn request(&mut self) -> Duration {
        let address = self.service.get();
        let last_event = self.state.last_event();
        let error = self.read_events(address);
        if matches!(error, ConnectionError::MadeAnew) {
            return Duration::ZERO;
        }
        if let Some(address) = address {
            let last_event = self.state.last_event();
            note!(
                "{}",
                log_lines::connection_ended(address, last_event, &error)
            );
        }
        // A service that is down is not called at once again and again.
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
                self.report_silent_end(Instant::now(), Interruption::Unreachable);
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

    /// Reports the end of a connection. Those that this side ends are followed by another request, whose answer or
    /// failure is reported.
    fn report_end(&mut self, connection: &Connection, error: &ConnectionError) {
        let now = Instant::now();
        match error {
            ConnectionError::Silent if connection.has_read => {
                self.report_interruption(connection.last_read_at, Interruption::Silent);
            }
            ConnectionError::Silent => {
                self.report_silent_end(connection.requested_at, Interruption::Silent);
            }
            ConnectionError::Io(_) | ConnectionError::Closed | ConnectionError::Stream(_) => {
                if connection.has_read {
                    self.report_interruption(now, Interruption::Broken);
                } else {
                    self.report_silent_end(now, Interruption::Unreachable);
                }
            }
            _ => {}
        }
    }

    /// Reports the end of a request to which nothing came: that is news only after contact.
    fn report_silent_end(&mut self, at: Instant, cause: Interruption) {
        if !self.is_out_of_contact {
            self.report_interruption(at, cause);
        }
    }

    fn report_interruption(&mut self, at: Instant, cause: Interruption) {
        self.is_out_of_contact = true;
        self.core
            .discovery_contact(DiscoveryContact::Interrupted { at, cause });
    }

    /// Reports, once for each request, that all that had happened when it was made has been received, if no event lacks a
    /// part.
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
            buffer: Ring::new(self.limits.read_buffer),
            bytes: Vec::new(),
            response: EventStreamResponse::new(self.limits),
            requested_at,
            last_read_at: now,
            last_event_at: now,
            has_read: false,
            has_settled: false,
            is_confirmed: false,
        })
    }

    /// One read, and what came by it.
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
        // A service that sends comments only may have an event that never comes on this connection. Checked last, so
        // that what has come is not requested again.
        if connection.is_to_be_made_anew(event_timeout) {
            return Err(ConnectionError::MadeAnew);
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
                    self.state.comment()?
                }
                StreamItem::Event(event) => {
                    connection.last_event_at = Instant::now();
                    self.state.event(event.id.as_deref(), &event.data)?
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
    /// Whether a new request is due, as only its answer confirms anew what has been received.
    fn is_to_be_made_anew(&self, event_timeout: Duration) -> bool {
        let is_old = self.is_confirmed && self.requested_at.elapsed() >= event_timeout;
        is_old || self.last_event_at.elapsed() >= event_timeout
    }

    /// Replaces `bytes` by what has come, which may be nothing.
    fn read(&mut self, silence_timeout: Duration) -> Result<(), ConnectionError> {
        match self.buffer.fill(&mut self.stream) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(_) => {
                self.last_read_at = Instant::now();
                self.has_read = true;
            }
            Err(error) if would_block(&error) => {
                if self.last_read_at.elapsed() >= silence_timeout {
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
