//! The sending side of a client connection.
use super::{pause, spawn, timed_out, DirectCalls, Failure, SystemCalls};
use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::model::{ClientProbe, ClientState};
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// A client's connection as its writer holds it; once that lets go of it nobody is there.
#[derive(Debug)]
struct Eye(Weak<Socket>);

/// The writing half of a client connection.
struct Socket(TcpStream);

impl std::fmt::Debug for Socket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.inner().fmt(f)
    }
}

impl ClientProbe for Eye {
    fn state(&self) -> ClientState {
        let Some(socket) = self.0.upgrade() else {
            return ClientState::Disconnected;
        };
        match socket.0.inner().peek(&mut [0]) {
            Ok(n) if n > 0 => ClientState::UnreadInput,
            Err(e) if timed_out(&e) => ClientState::Connected,
            _ => ClientState::Disconnected,
        }
    }
}

enum Chunk {
    Bytes(Vec<u8>, Option<MemoryReservation>),
    /// Nothing more will be written; what comes is still read for a while.
    Close,
    /// The end at once.
    Drop,
}

/// How far the end of a connection's sending side has come.
#[derive(Default)]
struct Ending {
    closing: AtomicBool,
    dropped: AtomicBool,
    written: AtomicBool,
}

/// The sending side of a client connection: answers go in from any thread, a coroutine writes them.
#[derive(Clone)]
pub struct Outbox {
    chunks: Sender<Chunk>,
    waiting: Arc<AtomicUsize>,
    unsent: Arc<AtomicUsize>,
    ending: Arc<Ending>,
    budget: MemoryBudget,
    most: usize,
    client_probe: Arc<dyn ClientProbe>,
    socket: Weak<Socket>,
}

impl Outbox {
    /// Starts the writer of a connection. `unsent` counts bytes over all connections.
    ///
    /// # Errors
    /// No coroutine could be started.
    pub fn start(
        stream: TcpStream,
        limits: &Arc<Limits>,
        budget: &MemoryBudget,
        unsent: &Arc<AtomicUsize>,
    ) -> io::Result<Outbox> {
        Outbox::start_with(stream, limits, budget, unsent, Arc::new(DirectCalls))
    }

    /// The same, with these system calls in place of the machine's.
    ///
    /// # Errors
    /// No coroutine could be started.
    pub fn start_with(
        stream: TcpStream,
        limits: &Arc<Limits>,
        budget: &MemoryBudget,
        unsent: &Arc<AtomicUsize>,
        calls: Arc<dyn SystemCalls>,
    ) -> io::Result<Outbox> {
        let (chunks, queue) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (most, stack) = (limits.unsent_per_connection, limits.stack);
        let (unsent, budget, ending) = (unsent.clone(), budget.clone(), Arc::default());
        let socket = Arc::new(Socket(stream));
        let weak = Arc::downgrade(&socket);
        let client_probe = Arc::new(Eye(weak.clone()));
        let out = Outbox {
            chunks,
            waiting,
            unsent,
            ending,
            budget,
            most,
            client_probe,
            socket: weak,
        };
        let (limits, waiting, unsent) = (limits.clone(), out.waiting.clone(), out.unsent.clone());
        let ending = out.ending.clone();
        spawn(stack, move || {
            let write = |bytes: &[u8]| calls.write(&socket.0, bytes);
            write_out(&socket.0, write, &queue, &limits, (&waiting, &unsent));
            drop(socket);
            ending.written.store(true, Ordering::Release);
        })?;
        Ok(out)
    }

    /// The connection, for whoever wants to know whether its client still stands.
    pub fn client_probe(&self) -> Arc<dyn ClientProbe> {
        self.client_probe.clone()
    }

    /// Queues bytes. A client that does not read what it is owed loses its connection, not others theirs.
    pub fn send(&self, bytes: Vec<u8>) {
        let len = bytes.len();
        let held = self.budget.reserve(len);
        if held.is_none() || self.waiting.load(Ordering::Relaxed) + len > self.most {
            note!(
                "client: closed, {} bytes of answers wait unread",
                self.waiting.load(Ordering::Relaxed)
            );
            return self.drop_now();
        }
        self.waiting.fetch_add(len, Ordering::Relaxed);
        self.unsent.fetch_add(len, Ordering::AcqRel);
        if self.chunks.send(Chunk::Bytes(bytes, held)).is_err() {
            self.unsent.fetch_sub(len, Ordering::AcqRel);
        }
    }

    /// Half-closes the connection once what is queued has been written; its reader goes on for a while (`linger`).
    pub fn close(&self) {
        self.ending.closing.store(true, Ordering::Release);
        let _ = self.chunks.send(Chunk::Close); // a writer that has ended has closed it already
    }

    /// Ends the connection, without reading on, once what is queued has been written: nothing is owed on it, its client
    /// has left, or does not read what it is owed.
    pub fn drop_now(&self) {
        self.ending.dropped.store(true, Ordering::Release);
        let _ = self.chunks.send(Chunk::Drop);
    }

    /// Ends the connection at once, unless something of its client lies unread or an answer waits to be written.
    /// Whether it has ended: nothing that the client sends from then on is read.
    pub(super) fn end_if_quiet(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else {
            return true;
        };
        if self.waiting.load(Ordering::Acquire) > 0
            || self.client_probe.state() == ClientState::UnreadInput
        {
            return false;
        }
        let _ = socket.0.shutdown(Shutdown::Both); // it may have ended by itself
        self.drop_now();
        true
    }

    /// Whether the connection is to be closed in order.
    pub fn closing(&self) -> bool {
        self.ending.closing.load(Ordering::Acquire)
    }

    /// Reads on after the half-close, until the client has closed too or for a bounded time and number of bytes, and
    /// until all that was queued is written. Guards answers on their way: a close while input lies unread, or with
    /// input to come, sends a reset, which destroys them.
    pub fn linger(&self, mut stream: TcpStream, limits: &Limits) {
        self.close();
        let (since, mut passed, mut bytes) = (Instant::now(), 0, vec![0; limits.client_ring]);
        let mut ended = stream.set_read_timeout(Some(limits.linger / 32)).is_err();
        while !ended && passed <= limits.discard {
            match stream.read(&mut bytes) {
                Ok(n) if n > 0 => passed += n,
                Err(e) if timed_out(&e) => {}
                _ => ended = true,
            }
            let written = self.ending.written.load(Ordering::Acquire);
            // Its seat may be wanted for others before its time is up.
            ended |= written
                && (since.elapsed() > limits.linger || self.ending.dropped.load(Ordering::Acquire));
        }
        while !self.ending.written.load(Ordering::Acquire) {
            pause(limits.linger / 64); // the writer ends by itself: see `Limits::write_stall`
        }
    }
}

/// First wait of a write that would block; twice as long each time, up to `Limits::write_check`.
const NAP: Duration = Duration::from_millis(1);

fn write_out(
    stream: &TcpStream,
    write: impl Fn(&[u8]) -> io::Result<usize>,
    queue: &Receiver<Chunk>,
    limits: &Limits,
    (waiting, unsent): (&AtomicUsize, &AtomicUsize),
) {
    let mut ring = Ring::new(limits.client_ring);
    let (mut broken, mut half) = (false, false);
    while let Ok(chunk) = queue.recv() {
        let Chunk::Bytes(bytes, _held) = chunk else {
            half = matches!(chunk, Chunk::Close);
            break;
        };
        let (mut rest, all) = (&bytes[..], bytes.len());
        let (mut stalled, mut nap) = (Duration::ZERO, NAP);
        while !broken && (!rest.is_empty() || !ring.is_empty()) {
            rest = &rest[ring.push(rest)..];
            match write(ring.front()) {
                Ok(n) if n > 0 => {
                    ring.consume(n);
                    (stalled, nap) = (Duration::ZERO, NAP);
                }
                Err(e) if Failure::of(&e) != Failure::Over && stalled < limits.write_stall => {
                    pause(nap);
                    (stalled, nap) = (stalled + nap, (2 * nap).min(limits.write_check));
                }
                ended => {
                    let why = ended.err().map_or("closed".to_owned(), |e| e.to_string());
                    note!("client: connection given up while writing an answer: {why}");
                    broken = true;
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
        waiting.fetch_sub(all, Ordering::Relaxed);
        unsent.fetch_sub(all, Ordering::AcqRel);
    }
    // At a half-close the client sees the end behind its answers; else the reader sees it too and leaves.
    let _ = stream.shutdown(if half {
        Shutdown::Write
    } else {
        Shutdown::Both
    });
    // What is still queued will not be written.
    while let Ok(chunk) = queue.try_recv() {
        if let Chunk::Bytes(bytes, _) = chunk {
            unsent.fetch_sub(bytes.len(), Ordering::AcqRel);
        }
    }
}
