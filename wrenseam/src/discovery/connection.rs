//! A connection to the discovery service: one request, what has been received on it, and what that proves.
use super::event_stream::{EventStreamError, EventStreamResponse, StreamItem};
use super::watch::{EndpointListUpdate, WatchError, WatchRequest, WatchState};
use crate::limits::DiscoveryLimits;
use crate::net::would_block;
use crate::ring::Ring;
use may::net::TcpStream;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Most reads in a row from a connection that is not waited for.
const MAX_READS_IN_A_ROW: usize = 64;

/// Why a connection to the discovery service ended. There is no end without an error, as the event stream is endless.
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
    /// As many connections are open as may be, and none of them is up to date: a new one takes the place of the newest.
    #[error("the request is replaced by a new one")]
    RequestExpired,
    /// The response is not a valid event stream.
    #[error(transparent)]
    Stream(#[from] EventStreamError),
    /// Events must be requested again.
    #[error(transparent)]
    Watch(#[from] WatchError),
}

/// A connection and the state of the request on it.
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Ring,
    bytes: Vec<u8>,
    response: EventStreamResponse,
    request: WatchRequest,
    pub(super) is_probe: bool,
    pub(super) requested_at: Instant,
    pub(super) last_received_at: Instant,
    pub(super) has_received: bool,
    /// After this time another request is made.
    event_timeout: Duration,
    settle_time: Duration,
    /// Whether a comment has arrived at least [`DiscoveryLimits::settle_time`] after the request.
    pub(super) has_settled: bool,
    /// When the service was seen to have taken up the request.
    caught_up_at: Option<Instant>,
    /// Whether a comment has arrived at least [`DiscoveryLimits::settle_time`] after that.
    has_settled_since: bool,
    /// Whether `DiscoveryContact::Confirmed` has been reported for this request.
    pub(super) is_confirmed: bool,
}

impl Connection {
    /// Connects and sends a request. A connection on which less than `event_timeout` has passed since is not replaced.
    pub(super) fn open(
        address: SocketAddr,
        begin: impl FnOnce() -> WatchRequest,
        is_probe: bool,
        event_timeout: Duration,
        limits: &DiscoveryLimits,
    ) -> Result<Connection, ConnectionError> {
        let mut stream = TcpStream::connect_timeout(&address, limits.connect_timeout)?;
        let request = begin();
        let after = request.after();
        let requested_at = Instant::now();
        let caught_up_at = request.has_caught_up().then_some(requested_at);
        let head = format!(
            "GET /board/poll HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {after}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        Ok(Connection {
            stream,
            buffer: Ring::new(limits.read_buffer_bytes),
            bytes: Vec::new(),
            response: EventStreamResponse::new(limits),
            request,
            is_probe,
            requested_at,
            last_received_at: Instant::now(),
            has_received: false,
            event_timeout,
            settle_time: limits.settle_time,
            has_settled: false,
            caught_up_at,
            has_settled_since: false,
            is_confirmed: false,
        })
    }

    /// Whether another request is due.
    pub(super) fn is_old(&self) -> bool {
        self.requested_at.elapsed() >= self.event_timeout
    }

    /// Whether the service has sent comments, and nothing that shows that it has taken up the request.
    pub(super) fn is_only_alive(&self) -> bool {
        self.has_settled && !self.request.has_caught_up()
    }

    /// Whether all events from before the request have arrived: the service was seen to take up the request some time ago,
    /// and has commented since or is not slow.
    pub(super) fn is_up_to_date(&self) -> bool {
        self.has_settled_since || self.has_settled_promptly()
    }

    /// Whether the service took up a probe at once, and some time has passed since. If it falls silent just then, that is
    /// an interruption like any other.
    fn has_settled_promptly(&self) -> bool {
        let is_settled = |caught_up_at: Instant| {
            caught_up_at.duration_since(self.requested_at) < self.settle_time
                && caught_up_at.elapsed() >= self.settle_time
        };
        self.is_probe && self.has_received && self.caught_up_at.is_some_and(is_settled)
    }

    /// Waits for input, for `wait` at most, and handles what has come. Each change of the list goes to `apply`.
    pub(super) fn receive(
        &mut self,
        wait: Duration,
        silence_timeout: Duration,
        state: &mut WatchState,
        apply: &mut dyn FnMut(EndpointListUpdate),
    ) -> Result<(), ConnectionError> {
        self.stream.set_read_timeout(Some(wait))?;
        let received = self.buffer.fill(&mut self.stream);
        self.handle(received, silence_timeout, state, apply)?;
        Ok(())
    }

    /// Handles what has come, without waiting for input.
    pub(super) fn receive_ready(
        &mut self,
        silence_timeout: Duration,
        state: &mut WatchState,
        apply: &mut dyn FnMut(EndpointListUpdate),
    ) -> Result<(), ConnectionError> {
        for _ in 0..MAX_READS_IN_A_ROW {
            let received = self.buffer.fill(&mut self.stream.inner());
            if !self.handle(received, silence_timeout, state, apply)? {
                break;
            }
        }
        Ok(())
    }

    /// Handles the result of a read. Returns whether anything was received.
    fn handle(
        &mut self,
        received: std::io::Result<usize>,
        silence_timeout: Duration,
        state: &mut WatchState,
        apply: &mut dyn FnMut(EndpointListUpdate),
    ) -> Result<bool, ConnectionError> {
        match received {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(_) => {
                self.last_received_at = Instant::now();
                self.has_received = true;
            }
            Err(error) if would_block(&error) => {
                if self.last_received_at.elapsed() >= silence_timeout {
                    return Err(ConnectionError::Silent);
                }
                return Ok(false);
            }
            Err(error) => return Err(error.into()),
        }
        self.bytes.clear();
        self.buffer.take(usize::MAX, &mut self.bytes);
        self.handle_bytes(state, apply)?;
        Ok(true)
    }

    fn handle_bytes(
        &mut self,
        state: &mut WatchState,
        apply: &mut dyn FnMut(EndpointListUpdate),
    ) -> Result<(), ConnectionError> {
        let bytes = std::mem::take(&mut self.bytes);
        for &byte in &bytes {
            let update = match self.response.push(byte)? {
                StreamItem::Incomplete => continue,
                StreamItem::Comment => self.handle_comment(state)?,
                StreamItem::Event(event) => {
                    state.handle_event(&mut self.request, event.id.as_deref(), &event.data)?
                }
            };
            if self.request.has_caught_up() {
                self.caught_up_at.get_or_insert_with(Instant::now);
            }
            update.into_iter().for_each(&mut *apply);
        }
        self.bytes = bytes;
        Ok(())
    }

    fn handle_comment(
        &mut self,
        state: &mut WatchState,
    ) -> Result<Option<EndpointListUpdate>, WatchError> {
        let has_settled = |since: Instant| since.elapsed() >= self.settle_time;
        self.has_settled |= has_settled(self.requested_at);
        self.has_settled_since |= self.has_settled && self.caught_up_at.is_some_and(has_settled);
        state.handle_comment(&mut self.request)
    }
}
