//! What all connections share: a writer coroutine with its ring, and the count of client connections.
use crate::limits::{Budget, Held, Limits};
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::io::{self, ErrorKind, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// A number that no other connection of the program has.
pub fn connection_number() -> u64 {
    CONNECTIONS.fetch_add(1, Ordering::Relaxed)
}

/// Runs a coroutine of this stack size. May's own default would be smaller and unstated.
pub fn spawn(stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // No shared state is left half-done by a panic: each connection's state belongs to its coroutines.
    let builder = may::coroutine::Builder::new().stack_size(stack / size_of::<usize>());
    may::go!(builder, run).map(|_| ())
}

/// Whether an error of a blocking call only means that its time was up.
pub fn timed_out(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

enum Chunk {
    Bytes(Vec<u8>, Option<Held>),
    Close,
}

/// The sending side of a client connection: answers go in from any thread, a coroutine writes them.
#[derive(Clone)]
pub struct Outbox {
    chunks: Sender<Chunk>,
    waiting: Arc<AtomicUsize>,
    unsent: Arc<AtomicUsize>,
    budget: Budget,
    most: usize,
}

impl Outbox {
    /// Starts the writer of a connection. `unsent` counts bytes over all connections.
    pub fn start(
        stream: TcpStream, limits: &Arc<Limits>, budget: &Budget, unsent: &Arc<AtomicUsize>,
    ) -> io::Result<Outbox> {
        let (chunks, queue) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (most, stack) = (limits.unsent_per_connection, limits.stack);
        let out = Outbox { chunks, waiting, unsent: unsent.clone(), budget: budget.clone(), most };
        let (limits, waiting, unsent) = (limits.clone(), out.waiting.clone(), out.unsent.clone());
        spawn(stack, move || write_out(stream, &queue, &limits, &waiting, &unsent))?;
        Ok(out)
    }

    /// Queues bytes. A client that does not read what it is owed loses its connection, not others theirs.
    pub fn send(&self, bytes: Vec<u8>) {
        let len = bytes.len();
        let held = self.budget.take(len);
        if held.is_none() || self.waiting.load(Ordering::Relaxed) + len > self.most {
            eprintln!(
                "client: closed, {} bytes of answers wait unread",
                self.waiting.load(Ordering::Relaxed)
            );
            return self.close();
        }
        self.waiting.fetch_add(len, Ordering::Relaxed);
        self.unsent.fetch_add(len, Ordering::AcqRel);
        if self.chunks.send(Chunk::Bytes(bytes, held)).is_err() {
            self.unsent.fetch_sub(len, Ordering::AcqRel);
        }
    }

    /// Closes the connection once what is queued has been written.
    pub fn close(&self) {
        let _ = self.chunks.send(Chunk::Close); // a writer that has ended has closed it already
    }
}

fn write_out(
    mut stream: TcpStream, queue: &Receiver<Chunk>, limits: &Limits, waiting: &AtomicUsize,
    unsent: &AtomicUsize,
) {
    let mut ring = Ring::new(limits.client_ring);
    let _ = stream.set_write_timeout(Some(limits.write_stall));
    let mut broken = false;
    while let Ok(Chunk::Bytes(bytes, _held)) = queue.recv() {
        let (mut rest, all) = (&bytes[..], bytes.len());
        while !broken && (!rest.is_empty() || !ring.is_empty()) {
            rest = &rest[ring.push(rest)..];
            match stream.write(ring.front()) {
                Ok(n) if n > 0 => ring.consume(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                ended => {
                    let why = ended.err().map_or("closed".to_owned(), |e| e.to_string());
                    eprintln!("client: connection given up while writing an answer: {why}");
                    broken = true;
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
        waiting.fetch_sub(all, Ordering::Relaxed);
        unsent.fetch_sub(all, Ordering::AcqRel);
    }
    let _ = stream.shutdown(Shutdown::Both); // the reader sees the end and leaves
                                             // What is still queued will not be written.
    while let Ok(chunk) = queue.try_recv() {
        if let Chunk::Bytes(bytes, _) = chunk {
            unsent.fetch_sub(bytes.len(), Ordering::AcqRel);
        }
    }
}

/// Counts client connections over all fronts against their limit.
#[derive(Clone)]
pub struct Seats {
    taken: Arc<AtomicUsize>,
    most: usize,
}

impl Seats {
    /// So many connections.
    pub fn new(most: usize) -> Self {
        Seats { taken: Arc::default(), most }
    }

    /// A seat, or nothing if all are taken.
    pub fn take(&self) -> Option<Seat> {
        let before = self.taken.fetch_add(1, Ordering::AcqRel);
        let seat = Seat(self.taken.clone());
        (before < self.most).then_some(seat)
    }
}

/// One client connection's place; given back when dropped.
pub struct Seat(Arc<AtomicUsize>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
