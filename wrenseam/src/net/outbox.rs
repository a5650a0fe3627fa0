//! The sending side of a client connection: answers are queued from any thread, and a coroutine writes them.
use super::writer::{ConnectionWriter, UnsentBytes, WriteCommand};
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

/// Reads of a lingering connection time out so many times within the linger, so that its end is seen early.
const LINGER_READS: u32 = 32;
/// A lingering connection looks for the end of its writer so many times within the linger.
const LINGER_CHECKS: u32 = 64;

/// The writing half of a client connection.
struct ClientSocket(TcpStream);

impl fmt::Debug for ClientSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.inner().fmt(f)
    }
}

/// A client's connection as its writer holds it; once the writer drops it the client is disconnected.
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

/// How far the end of a connection's sending side has come.
#[derive(Default)]
struct CloseState {
    /// It is half-closed once all is written.
    is_closing: AtomicBool,
    /// It is closed without a linger once all is written.
    is_aborted: AtomicBool,
    /// Its writer has ended.
    is_written: AtomicBool,
}

/// The sending side of a client connection.
#[derive(Clone)]
pub struct Outbox {
    commands: Sender<WriteCommand>,
    unsent: UnsentBytes,
    close_state: Arc<CloseState>,
    budget: MemoryBudget,
    /// Bytes of answers that may wait on the connection.
    unsent_limit: usize,
    client_probe: Arc<SocketProbe>,
    socket: Weak<ClientSocket>,
}

impl Outbox {
    /// Starts the writer of a connection. `unsent_bytes` counts bytes over all connections.
    ///
    /// # Errors
    /// No coroutine could be started.
    pub fn start(
        stream: TcpStream,
        limits: &Arc<Limits>,
        budget: &MemoryBudget,
        unsent_bytes: &Arc<AtomicUsize>,
    ) -> io::Result<Outbox> {
        Outbox::start_with(stream, limits, budget, unsent_bytes, Arc::new(DirectCalls))
    }

    /// The same, with these system calls in place of the machine's.
    ///
    /// # Errors
    /// No coroutine could be started.
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
            unsent_limit: limits.unsent_per_connection,
            client_probe: Arc::new(SocketProbe(Arc::downgrade(&socket))),
            socket: Arc::downgrade(&socket),
        };
        let limits = limits.clone();
        let unsent = outbox.unsent.clone();
        let close_state = outbox.close_state.clone();
        spawn(limits.stack, move || {
            ConnectionWriter::new(&socket.0, &*calls, &limits, &unsent).run(&queue);
            drop(socket);
            close_state.is_written.store(true, Ordering::Release);
        })?;
        Ok(outbox)
    }

    /// The connection, for whoever wants to know whether its client is still there.
    pub fn client_probe(&self) -> Arc<dyn ClientProbe> {
        self.client_probe.clone()
    }

    /// Queues bytes. A client that does not read its responses loses its connection, not others theirs.
    pub fn send(&self, bytes: Vec<u8>) {
        let length = bytes.len();
        let reserved = self.budget.reserve(length);
        let unsent = self.unsent.on_connection();
        if reserved.is_none() || unsent + length > self.unsent_limit {
            note!("{}", messages::responses_unread(unsent));
            return self.abort();
        }
        self.unsent.add(length);
        let command = WriteCommand::Write { bytes, reserved };
        if self.commands.send(command).is_err() {
            self.unsent.discard(length);
        }
    }

    /// Half-closes the connection once what is queued has been written; its reader goes on for a while (`linger`).
    pub fn close(&self) {
        self.close_state.is_closing.store(true, Ordering::Release);
        let _ = self.commands.send(WriteCommand::HalfClose); // a writer that has ended has closed it already
    }

    /// Closes the connection, without reading on, once what is queued has been written: no request is pending on it,
    /// its client has left, or does not read its responses.
    pub fn abort(&self) {
        self.close_state.is_aborted.store(true, Ordering::Release);
        let _ = self.commands.send(WriteCommand::Close); // as above
    }

    /// Closes the connection at once, unless something of its client is unread or an answer waits to be written.
    /// Whether it has been closed: nothing that the client sends from then on is read.
    pub(super) fn close_if_quiet(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else {
            return true;
        };
        if self.unsent.any_on_connection() || self.client_probe.state() == ClientState::UnreadInput
        {
            return false;
        }
        let _ = socket.0.shutdown(Shutdown::Both); // it may have ended by itself
        self.abort();
        true
    }

    /// Whether the connection is to be half-closed, and then lingers.
    pub fn is_closing(&self) -> bool {
        self.close_state.is_closing.load(Ordering::Acquire)
    }

    fn is_written(&self) -> bool {
        self.close_state.is_written.load(Ordering::Acquire)
    }

    fn is_aborted(&self) -> bool {
        self.close_state.is_aborted.load(Ordering::Acquire)
    }

    /// Reads on after the half-close, until the client has closed too or for a bounded time and number of bytes, and
    /// until all that was queued is written. Guards answers on their way: a close while input is unread, or with
    /// input to come, sends a reset, which destroys them.
    pub fn linger(&self, stream: TcpStream, limits: &Limits) {
        self.close();
        self.discard_input(stream, limits);
        while !self.is_written() {
            sleep(limits.linger / LINGER_CHECKS); // the writer ends by itself: see `Limits::write_stall`
        }
    }

    fn discard_input(&self, mut stream: TcpStream, limits: &Limits) {
        let started_at = Instant::now();
        let mut discarded = 0;
        let mut bytes = vec![0; limits.client_ring];
        let read_timeout = limits.linger / LINGER_READS;
        if stream.set_read_timeout(Some(read_timeout)).is_err() {
            return;
        }
        while discarded <= limits.discard {
            match stream.read(&mut bytes) {
                Ok(read) if read > 0 => discarded += read,
                Err(error) if would_block(&error) => {}
                _ => return,
            }
            // An aborted connection's slot may be wanted for others before the linger is over.
            let is_over = started_at.elapsed() > limits.linger || self.is_aborted();
            if self.is_written() && is_over {
                return;
            }
        }
    }
}
