//! What the client connections of all protocols do alike: start, read step by step, time out and close in order.
use super::fastcgi::FastCgiError;
use super::kserve::HttpError;
use super::{messages, ListenerContext};
use crate::log::RateLimitedLine;
use crate::model::Client;
use crate::net::{receive, ConnectionSlot, Outbox, ReadFairness, ReadOutcome, SlotGuard};
use crate::ring::Ring;
use may::net::TcpStream;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Why this side ends a client connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// Reading failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was evicted to make room for another before its request was read.
    #[error("evicted to make room before its request was read")]
    Evicted,
    /// A request was not complete within its time.
    #[error("request timed out before it was complete")]
    RequestTimeout,
    /// More requests are open on the connection than one may have.
    #[error("too many requests on one connection")]
    TooManyRequests,
    /// A thread panicked while it held the connection's state.
    #[error("connection state poisoned by a panic")]
    Poisoned,
    /// The client broke the rules of FastCGI.
    #[error(transparent)]
    FastCgi(#[from] FastCgiError),
    /// The client sent HTTP that is not read.
    #[error(transparent)]
    Http(#[from] HttpError),
}

/// Whether a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// It is read on.
    Open,
    /// It ends, and nothing more is read.
    Ended,
}

/// The log lines about the connections of one protocol, each limited in rate for that protocol.
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

    /// The connection's writer could not be started.
    fn not_started(&self, front: &str, peer: &str, error: &io::Error) {
        let message = messages::writer_not_started(front, peer, error);
        self.not_started.write(format_args!("{message}"));
    }

    /// This side ended the connection.
    fn closed(&self, front: &str, peer: &str, error: &ConnectionError) {
        let message = messages::connection_closed(front, peer, error);
        self.closed.write(format_args!("{message}"));
    }
}

/// A connection's slot and its sending side.
pub(super) struct ResponseChannel {
    /// The connection as the limit of connections knows it.
    pub(super) slot: Arc<ConnectionSlot>,
    /// Where responses are queued.
    pub(super) out: Outbox,
}

impl ResponseChannel {
    /// Sends the response to a request that the core does not see.
    pub(super) fn respond_directly(&self, response: Vec<u8>, close: bool) {
        self.out.send(response);
        self.slot.touch();
        self.close_if(close);
    }

    /// Closes the connection behind what is queued, where that is asked for.
    pub(super) fn close_if(&self, close: bool) {
        if close {
            self.out.close();
        }
    }
}

/// The client of one connection, which knows its pending requests.
pub(super) trait ConnectionClient: Client {
    /// Its slot and sending side.
    fn channel(&self) -> &ResponseChannel;

    /// Marks all pending requests as those of a client that has left.
    fn mark_disconnected(&self);
}

/// The reading side of a connection.
pub(super) struct ConnectionReader<'a> {
    context: &'a ListenerContext,
    channel: &'a ResponseChannel,
    stream: &'a mut TcpStream,
    /// What has been read and not yet parsed.
    pub(super) ring: Ring,
    fairness: ReadFairness,
    filled_ring: bool,
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
            fairness: ReadFairness::default(),
            filled_ring: false,
        })
    }

    /// Reads once. In a graceful shutdown the connection ends as soon as it is `between_requests`, nothing arrives and
    /// no request is pending on it.
    pub(super) fn receive(&mut self, between_requests: bool) -> Result<Flow, ConnectionError> {
        // Loaded before the read: what arrived before the shutdown began is still served.
        let shutting_down = self.context.shutting_down.load(Ordering::Acquire);
        let received = receive(&mut self.ring, self.stream)?;
        if received == ReadOutcome::Closed {
            return Ok(Flow::Ended);
        }
        self.filled_ring = self.ring.len() == self.ring.capacity();
        let is_quiet =
            received == ReadOutcome::NotReady && between_requests && self.ring.is_empty();
        if shutting_down && is_quiet && self.channel.slot.is_idle() {
            self.close_in_order();
            return Ok(Flow::Ended);
        }
        if self.channel.out.is_closing() {
            return Ok(Flow::Ended);
        }
        Ok(Flow::Open)
    }

    /// Ends the connection if it has been idle for too long.
    pub(super) fn check_idle_timeout(&self) -> Flow {
        if !self.channel.slot.has_idle_timed_out(&self.context.limits) {
            return Flow::Open;
        }
        self.close_in_order();
        Flow::Ended
    }

    /// Lets other connections run if this client sends at full speed: it would else keep the scheduler's one thread.
    pub(super) fn finish_turn(&mut self) {
        self.fairness.record(self.filled_ring);
    }

    /// Discards what arrives until the client disconnects or the connection is closed.
    pub(super) fn discard_until_closed(&mut self) {
        let mut fairness = ReadFairness::default();
        loop {
            fairness.record(self.ring.len() == self.ring.capacity());
            self.ring.truncate(0);
            if self.channel.out.is_closing() {
                return;
            }
            if matches!(
                receive(&mut self.ring, self.stream),
                Ok(ReadOutcome::Closed) | Err(_)
            ) {
                return;
            }
        }
    }

    /// Has the connection linger if a response may still be on its way.
    fn close_in_order(&self) {
        let linger = self.context.limits.linger_timeout;
        self.channel
            .close_if(self.channel.slot.finished_within(linger));
    }
}

/// The protocol of a connection, as the log names it.
pub(super) struct Protocol {
    /// Its name in the log.
    pub(super) front: &'static str,
    /// Its log lines.
    pub(super) log: &'static ConnectionLog,
}

/// Serves one connection until it ends: `read` parses its requests, `client` takes their responses.
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
    let out = match stream.try_clone().and_then(|stream| context.outbox(stream)) {
        Ok(out) => out,
        Err(error) => return protocol.log.not_started(protocol.front, &peer, &error),
    };
    guard.slot.attach_outbox(&out);
    let slot = guard.slot.clone();
    let client = Arc::new(client(ResponseChannel { slot, out }));
    let channel = client.channel();
    let ended = ConnectionReader::new(context, channel, &mut stream)
        .map_err(ConnectionError::from)
        .and_then(|mut reader| read(&mut reader, &client));
    if let Err(error) = ended {
        protocol.log.closed(protocol.front, &peer, &error);
    }
    client.mark_disconnected();
    context.core.client_disconnected(guard.slot.number);
    // A response may be on its way to the client; else nothing is lost by a close without a linger.
    if channel.out.is_closing() {
        channel.out.linger(stream, &context.limits);
    } else {
        channel.out.abort();
    }
}
