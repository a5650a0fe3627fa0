//! The sending side of a client connection: any thread queues responses, and a coroutine writes them.
use super::writer::{queued_size, ConnectionWriter, UnsentBytes, WriteCommand};
use super::{messages, sleep, spawn, would_block, DirectCalls, SystemCalls};
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::model::{ClientProbe, ClientState};
use may::net::TcpStream;
use may::sync::mpsc::{channel, Sender};
use std::fmt;
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Instant;

/// A lingering connection's reads time out after `Limits::linger_timeout` divided by this, so that the end of the
/// linger is noticed soon.
const LINGER_READ_DIVISOR: u32 = 32;
/// A lingering connection checks whether its writer has ended each time `Limits::linger_timeout` divided by this has
/// passed.
const LINGER_CHECK_DIVISOR: u32 = 64;

/// The stream of a client connection as its writer uses it.
struct ClientSocket(TcpStream);

impl fmt::Debug for ClientSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.inner().fmt(f)
    }
}

/// Checks the state of a client connection. Once the writer has dropped the stream the client counts as disconnected.
#[derive(Debug)]
struct SocketProbe(Weak<ClientSocket>);

impl ClientProbe for SocketProbe {
    fn state(&self) -> ClientState {
        let Some(socket) = self.0.upgrade() else {
            return ClientState::Disconnected;
        };
        match socket.0.inner().peek(&mut [0]) {
            Ok(unread) if unread > 0 => ClientState::UnreadInput,
            Err(error) if would_block(&error) => ClientState::Connected,
            _ => ClientState::Disconnected,
        }
    }
}

/// How far the closing of a connection's sending side has come.
#[derive(Default)]
struct CloseState {
    /// Whether the connection is half-closed once everything queued is written.
    is_closing: AtomicBool,
    /// Whether the connection is closed, without a linger, once everything queued is written.
    is_aborted: AtomicBool,
    /// Whether the writer has ended.
    has_writer_ended: AtomicBool,
}

/// The sending side of a client connection.
#[derive(Clone)]
pub struct Outbox {
    commands: Sender<WriteCommand>,
    unsent: UnsentBytes,
    close_state: Arc<CloseState>,
    budget: MemoryBudget,
    /// Maximum number of unsent response bytes on the connection.
    unsent_limit: usize,
    client_probe: Arc<SocketProbe>,
    socket: Weak<ClientSocket>,
}

impl Outbox {
    /// Starts the writer of a connection. `unsent_bytes` counts the unsent bytes of all client connections.
    ///
    /// # Errors
    /// The coroutine could not be started.
    pub fn start(
        stream: TcpStream,
        limits: &Arc<Limits>,
        budget: &MemoryBudget,
        unsent_bytes: &Arc<AtomicUsize>,
    ) -> io::Result<Outbox> {
        Outbox::start_with(stream, limits, budget, unsent_bytes, Arc::new(DirectCalls))
    }

    /// Like [`Outbox::start`], with `calls` in place of the operating system's.
    ///
    /// # Errors
    /// The coroutine could not be started.
    pub fn start_with(
        stream: TcpStream,
        limits: &Arc<Limits>,
        budget: &MemoryBudget,
        unsent_bytes: &Arc<AtomicUsize>,
        calls: Arc<dyn SystemCalls>,
    ) -> io::Result<Outbox> {
        let (commands, queue) = channel();
        let socket = Arc::new(ClientSocket(stream));
        let outbox = Outbox {
            commands,
            unsent: UnsentBytes::new(unsent_bytes),
            close_state: Arc::default(),
            budget: budget.clone(),
            unsent_limit: limits.max_unsent_bytes,
            client_probe: Arc::new(SocketProbe(Arc::downgrade(&socket))),
            socket: Arc::downgrade(&socket),
        };
        let limits = limits.clone();
        let unsent = outbox.unsent.clone();
        let close_state = outbox.close_state.clone();
        spawn(limits.coroutine_stack_bytes, move || {
            ConnectionWriter::new(&socket.0, &*calls, &limits, &unsent).run(&queue);
            drop(socket);
            close_state.has_writer_ended.store(true, Ordering::Release);
        })?;
        Ok(outbox)
    }

    /// A probe that tells whether the client is still connected.
    pub fn client_probe(&self) -> Arc<dyn ClientProbe> {
        self.client_probe.clone()
    }

    /// Queues bytes for writing. If too many are unsent on this connection, or the memory budget is used up, the
    /// connection is aborted instead: a client that does not read its responses must not take memory from others.
    pub fn send(&self, bytes: Vec<u8>) {
        if self.is_aborted() {
            return;
        }
        let size = queued_size(&bytes);
        let reserved = self.budget.reserve(size);
        let unsent = self.unsent.on_connection();
        if reserved.is_none() || unsent + size > self.unsent_limit {
            log_limited!("{}", messages::responses_unread(unsent));
            return self.abort();
        }
        self.unsent.add(size);
        let command = WriteCommand::Write { bytes, reserved };
        if self.commands.send(command).is_err() {
            self.unsent.discard(size);
        }
    }

    /// Half-closes the connection once everything queued is written. Its input is still read for a while, see
    /// [`Outbox::linger`].
    pub fn close(&self) {
        self.close_state.is_closing.store(true, Ordering::Release);
        let _ = self.commands.send(WriteCommand::HalfClose); // fails if the writer has ended: closed already
    }

    /// Closes the connection once everything queued is written, without reading further. For connections without a
    /// pending request, or whose client has left or does not read its responses.
    pub fn abort(&self) {
        if !self.close_state.is_aborted.swap(true, Ordering::AcqRel) {
            let _ = self.commands.send(WriteCommand::Close); // fails if the writer has ended: closed already
        }
    }

    /// Closes the connection at once, unless it has unread input or unsent responses. Returns whether it is closed;
    /// nothing that the client sends after that is read.
    pub(super) fn close_if_idle(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else {
            return true;
        };
        if self.unsent.any_on_connection() || self.client_probe.state() == ClientState::UnreadInput
        {
            return false;
        }
        let _ = socket.0.shutdown(Shutdown::Both); // fails if the connection has ended by itself
        self.abort();
        true
    }

    /// Whether a half-close has been requested; the connection lingers after it.
    pub fn is_closing(&self) -> bool {
        self.close_state.is_closing.load(Ordering::Acquire)
    }

    fn has_writer_ended(&self) -> bool {
        self.close_state.has_writer_ended.load(Ordering::Acquire)
    }

    /// Whether the connection closes without a linger; nothing more is queued on it.
    pub fn is_aborted(&self) -> bool {
        self.close_state.is_aborted.load(Ordering::Acquire)
    }

    /// Half-closes the connection, then reads and discards input until the client has closed too or the limits on time
    /// and bytes are reached, and waits until everything queued is written. Closing a connection while input is unread
    /// or still arriving would send a reset, which destroys responses in flight.
    pub fn linger(&self, stream: TcpStream, limits: &Limits) {
        self.close();
        self.discard_input(stream, limits);
        self.wait_until_closed(limits);
    }

    /// Waits until the writer has ended, and with it the connection's last descriptor is closed. Called after
    /// [`Outbox::close`] or [`Outbox::abort`].
    pub fn wait_until_closed(&self, limits: &Limits) {
        may::coroutine::yield_now(); // most writers end as soon as they run
        while !self.has_writer_ended() {
            // Ends in any case, as `Limits::write_stall_timeout` bounds how long the writer takes.
            sleep(limits.linger_timeout / LINGER_CHECK_DIVISOR);
        }
    }

    fn discard_input(&self, mut stream: TcpStream, limits: &Limits) {
        let started_at = Instant::now();
        let mut discarded = 0;
        let mut bytes = vec![0; limits.client_ring_bytes];
        let read_timeout = limits.linger_timeout / LINGER_READ_DIVISOR;
        if stream.set_read_timeout(Some(read_timeout)).is_err() {
            return;
        }
        while discarded <= limits.max_discarded_bytes {
            match stream.read(&mut bytes) {
                Ok(read) if read > 0 => discarded += read,
                Err(error) if would_block(&error) => {}
                _ => return,
            }
            // An aborted connection does not linger: its slot may be needed for another client.
            let is_over = started_at.elapsed() > limits.linger_timeout || self.is_aborted();
            if self.has_writer_ended() && is_over {
                return;
            }
        }
    }
}
