//! What the client connections of all protocols have in common: how they start, read, time out, close and log.
use super::fastcgi::FastCgiError;
use super::kserve::HttpError;
use super::{messages, ListenerContext};
use crate::log::RateLimitedLine;
use crate::model::{Client, ClientState, RequestTimeline};
use crate::net::{
    last_arrival_age, receive, sleep, units_of_bytes, unread_bytes, ConnectionSlot, Outbox,
    ReadOutcome, ReadTurns, SlotGuard,
};
use crate::ring::Ring;
use may::net::TcpStream;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a reader waits for its connection's writer before it ends its turn.
const WRITER_WAIT_IN_TURN: Duration = Duration::from_millis(2);
/// How long it waits after its turn before it reads on.
const WRITER_WAIT: Duration = Duration::from_millis(20);

/// How often a reader that discards no more input checks whether the connection has closed.
const DISCARD_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Why the front end closes a client connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// A system call on the connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was evicted to make room for another one before its request was passed to the core.
    #[error("evicted to make room for another connection before its request was accepted")]
    Evicted,
    /// A request was not complete within `Limits::request_read_timeout`.
    #[error("request timed out before it was complete")]
    RequestTimeout,
    /// The client exceeded this number of requests, which is `Limits::max_requests_per_connection`.
    #[error("more than {0} open requests on one connection")]
    TooManyRequests(usize),
    /// A panic occurred while the lock of the connection's state was held.
    #[error("connection state poisoned by a panic")]
    Poisoned,
    /// The client violated the FastCGI protocol.
    #[error(transparent)]
    FastCgi(#[from] FastCgiError),
    /// The client sent an HTTP request that is malformed, too long or not supported.
    #[error(transparent)]
    Http(#[from] HttpError),
}

/// Whether the reader of a connection continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// The connection stays open and is read further.
    Open,
    /// The connection ends, and no further request is read from it.
    Ended,
}

/// Writes the log lines about the connections of one protocol. Each kind of line has its own rate limit.
pub(super) struct ConnectionLog {
    not_started: RateLimitedLine,
    closed: RateLimitedLine,
}

impl ConnectionLog {
    pub(super) const fn new() -> Self {
        ConnectionLog {
            not_started: RateLimitedLine::new(),
            closed: RateLimitedLine::new(),
        }
    }

    /// Logs that a connection is closed because its writer could not be started.
    fn not_started(&self, front: &str, peer: &str, error: &io::Error) {
        let message = messages::writer_not_started(front, peer, error);
        self.not_started.write(format_args!("{message}"));
    }

    /// Logs that the front end closed a connection.
    fn closed(&self, front: &str, peer: &str, error: &ConnectionError) {
        let message = messages::connection_closed(front, peer, error);
        self.closed.write(format_args!("{message}"));
    }
}

/// The slot and the sending side of a connection.
pub(super) struct ResponseChannel {
    /// The connection's slot, which tracks its open requests and idle time.
    pub(super) slot: Arc<ConnectionSlot>,
    /// The queue of responses.
    pub(super) out: Outbox,
}

impl ResponseChannel {
    /// Sends a response to a request that is not passed to the core. With `close`, the connection closes after it.
    pub(super) fn respond_directly(&self, response: Vec<u8>, close: bool) {
        self.out.send(response);
        self.slot.touch();
        self.close_if(close);
    }

    /// Whether the client leaves so many responses unread that its requests are to be rejected. Waits a little for a
    /// client that is catching up.
    pub(super) fn has_response_backlog(&self) -> bool {
        self.out.has_backlog(WRITER_WAIT)
    }

    /// With `close`, half-closes the connection once all queued responses are written.
    pub(super) fn close_if(&self, close: bool) {
        if close {
            self.out.close();
        }
    }
}

/// The client of one connection, with its pending requests.
pub(super) trait ConnectionClient: Client {
    /// The connection's slot and sending side.
    fn channel(&self) -> &ResponseChannel;

    /// Sets the `client_gone` flag of each pending request, so that no attempt is started for it any more.
    fn mark_disconnected(&self);
}

/// When data was read from a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastRead {
    at: Instant,
    /// How long the data had been in the socket's receive buffer by then.
    unread: Duration,
}

impl Default for LastRead {
    fn default() -> Self {
        LastRead {
            at: Instant::now(),
            unread: Duration::ZERO,
        }
    }
}

impl LastRead {
    /// The timeline of a request whose last byte was read then.
    pub(super) fn timeline(&self) -> Arc<RequestTimeline> {
        Arc::new(RequestTimeline::new(self.at, self.unread))
    }
}

/// The reading side of a connection.
pub(super) struct ConnectionReader<'a> {
    context: &'a ListenerContext,
    channel: &'a ResponseChannel,
    stream: &'a mut TcpStream,
    /// Received bytes that are not parsed yet.
    pub(super) ring: Ring,
    turns: ReadTurns,
    /// When the last data was read, and how long it had been in the socket's receive buffer by then.
    last_read: LastRead,
}

impl<'a> ConnectionReader<'a> {
    fn new(
        context: &'a ListenerContext,
        channel: &'a ResponseChannel,
        stream: &'a mut TcpStream,
    ) -> io::Result<Self> {
        stream.set_read_timeout(Some(context.limits.client_check_interval))?;
        Ok(ConnectionReader {
            context,
            channel,
            stream,
            ring: Ring::new(context.limits.client_ring_bytes),
            turns: ReadTurns::default(),
            last_read: LastRead::default(),
        })
    }

    /// Makes one read. During a graceful shutdown the connection ends as soon as nothing arrives, no request is partly
    /// read (`between_requests`) and none is pending.
    pub(super) fn receive(&mut self, between_requests: bool) -> Result<Flow, ConnectionError> {
        // Loaded before the read, so that a request that arrived before the shutdown began is still served.
        let shutting_down = self.context.shutting_down.load(Ordering::Acquire);
        let held = self.ring.len();
        let unread = || unread_bytes(self.stream);
        self.channel.out.input().finish(Instant::now(), unread);
        self.charge(0); // for what was read before
        let received = self.read()?;
        self.resume_work();
        let read = self.ring.len() - held;
        if read > 0 {
            self.channel.out.input().begin(read, Instant::now());
        }
        self.charge(units_of_bytes(read));
        if self.turns.has_used_turn() {
            self.end_turn();
            self.turns.begin();
        }
        if received == ReadOutcome::Closed {
            return Ok(Flow::Ended);
        }
        if received == ReadOutcome::Data {
            self.last_read = LastRead {
                at: Instant::now(),
                unread: last_arrival_age(self.stream),
            };
        }
        let is_quiet =
            received == ReadOutcome::NotReady && between_requests && self.ring.is_empty();
        if shutting_down && is_quiet && self.is_idle() && self.close_idle() == Flow::Ended {
            return Ok(Flow::Ended);
        }
        if self.is_closing() {
            return Ok(Flow::Ended);
        }
        Ok(Flow::Open)
    }

    /// Ends the connection if its idle timeout has passed.
    pub(super) fn check_idle_timeout(&self) -> Flow {
        if !self.channel.slot.has_idle_timed_out(&self.context.limits) {
            return Flow::Open;
        }
        self.close_idle()
    }

    /// When the last data was read.
    pub(super) fn last_read(&self) -> LastRead {
        self.last_read
    }

    /// Counts the work that handling something received takes, and waits for the connection's turn if it causes more
    /// than others. To be called before each piece of input that may wait.
    pub(super) fn take_turn(&mut self, units: u32) {
        self.charge(units);
        if self.turns.is_turn_over() {
            self.end_turn();
        }
        self.turns.begin();
    }

    /// Like [`ConnectionReader::take_turn`], for input that ends something, such as a cancellation: it is handled in the
    /// turn of what it ends, as far as that is possible.
    pub(super) fn continue_turn(&mut self, units: u32) {
        self.charge(units);
        if self.turns.must_end_turn() {
            self.end_turn();
            self.turns.begin();
        }
    }

    /// Records that the connection has waited for something other than its turn, which counts as no work.
    pub(super) fn resume_work(&mut self) {
        self.turns.resume();
    }

    fn charge(&mut self, units: u32) {
        let connections = &self.context.process_state.client_connections;
        self.turns
            .charge(units, connections.load(Ordering::Relaxed));
    }

    /// Ends the turn. The responses to what was read in it are written in it too, unless the client does not take them.
    fn end_turn(&mut self) {
        self.channel.out.wait_for_writer(WRITER_WAIT_IN_TURN);
        self.turns.end();
        self.channel.out.wait_for_writer(WRITER_WAIT);
        self.resume_work();
    }

    /// Reads once. A reader that has its turn keeps it only while input is waiting.
    fn read(&mut self) -> io::Result<ReadOutcome> {
        if self.turns.has_turn() {
            let outcome = receive(&mut self.ring, &mut self.stream.inner())?;
            if outcome != ReadOutcome::NotReady {
                return Ok(outcome);
            }
            self.end_turn();
        }
        receive(&mut self.ring, self.stream)
    }

    /// Whether no further input is to be handled: see [`Outbox::is_input_refused`].
    pub(super) fn is_input_refused(&self) -> bool {
        self.channel.out.is_input_refused()
    }

    /// Half-closes the connection once its open requests are answered. Input is discarded until then.
    pub(super) fn close_after_answers(&mut self) {
        let slot = self.channel.slot.clone();
        self.discard_while(|| !slot.is_idle());
        self.channel.out.close();
    }

    /// Discards input until the client disconnects, a read fails or the connection is half-closed.
    pub(super) fn discard_until_closed(&mut self) {
        self.discard_while(|| true);
    }

    /// Like [`ConnectionReader::discard_until_closed`], as long as `is_waiting` is true. What is beyond
    /// `Limits::max_discarded_bytes` stays unread.
    fn discard_while(&mut self, is_waiting: impl Fn() -> bool) {
        let limits = &self.context.limits;
        // Nothing of it is handled any more, so no request is kept waiting for it.
        let input = self.channel.out.input();
        input.finish(Instant::now(), || 0);
        let mut discarded = 0;
        while !self.is_closing() && is_waiting() {
            discarded += self.ring.len();
            self.ring.truncate(0);
            if discarded > limits.max_discarded_bytes {
                if self.channel.out.client_probe().state() == ClientState::Disconnected {
                    return;
                }
                self.turns.end();
                sleep(DISCARD_CHECK_INTERVAL);
                continue;
            }
            if matches!(self.read(), Ok(ReadOutcome::Closed) | Err(_)) {
                return;
            }
        }
    }

    /// Whether the sending side closes the connection: what the client sends from now on could not be answered.
    fn is_closing(&self) -> bool {
        self.channel.out.is_closing() || self.channel.out.is_aborted()
    }

    /// Whether no request is open and the client has taken its responses.
    fn is_idle(&self) -> bool {
        let slot = &self.channel.slot;
        slot.is_idle() && !slot.is_client_behind()
    }

    /// Closes the connection unless it has unread input. It lingers if a response may still be in flight.
    fn close_idle(&self) -> Flow {
        let linger = self.context.limits.linger_timeout;
        let has_answered = self.channel.slot.finished_within(linger);
        if self.channel.out.close_idle(has_answered) {
            Flow::Ended
        } else {
            Flow::Open
        }
    }
}

/// How log lines name the protocol of a connection, and what writes them.
pub(super) struct Protocol {
    /// The name of the front in log lines.
    pub(super) front: &'static str,
    /// Whether a client can cancel a request by what it sends.
    pub(super) can_cancel: bool,
    /// Writes the log lines.
    pub(super) log: &'static ConnectionLog,
}

/// Serves one connection until it ends. `client` creates the client that receives the answers, and `read` reads and
/// handles its requests until the connection ends.
pub(super) fn serve<C: ConnectionClient>(
    mut stream: TcpStream,
    context: &ListenerContext,
    guard: &SlotGuard,
    protocol: &Protocol,
    client: impl FnOnce(ResponseChannel) -> C,
    read: impl FnOnce(&mut ConnectionReader, &Arc<C>) -> Result<(), ConnectionError>,
) {
    let peer = stream
        .peer_addr()
        .map_or("?".to_owned(), |peer| peer.to_string());
    let out = match stream.try_clone() {
        Ok(stream) => context.outbox(stream),
        Err(error) => return protocol.log.not_started(protocol.front, &peer, &error),
    };
    if protocol.can_cancel {
        out.input().expect_cancellations();
    }
    guard.slot.attach_outbox(&out);
    let slot = guard.slot.clone();
    let client = Arc::new(client(ResponseChannel { slot, out }));
    let channel = client.channel();
    let ended = ConnectionReader::new(context, channel, &mut stream)
        .map_err(ConnectionError::from)
        .and_then(|mut reader| read(&mut reader, &client));
    if let Err(error) = ended {
        protocol.log.closed(protocol.front, &peer, &error);
        // Whatever the client did, the responses that it was sent before are delivered.
        channel.close_if(channel.out.has_undelivered());
    }
    client.mark_disconnected();
    context.core.client_disconnected(guard.slot.number);
    // After a half-close a response may still be in flight, so the connection lingers. Otherwise no response is lost if
    // it closes at once.
    if channel.out.is_closing() {
        channel.out.linger(stream, &context.limits);
    } else {
        channel.out.abort();
        drop(stream);
        channel.out.wait_until_closed(&context.limits);
    }
}
