//! The coroutine that writes the responses of one client connection.
use super::fairness::WritePacer;
use super::{messages, sleep, ErrorAction, SystemCalls};
use crate::latency::LATENCIES;
use crate::limits::Limits;
use crate::memory_budget::MemoryReservation;
use crate::model::{Milestone, RequestTrace};
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::mpsc::Receiver;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First pause after a write that would block. It doubles with each further one, up to `Limits::write_check_interval`.
const FIRST_BACKOFF: Duration = Duration::from_millis(1);

/// Memory that a queued response takes besides its bytes: its allocation, its entry in the queue and its reservation.
const QUEUED_RESPONSE_OVERHEAD: usize = 128;

/// The memory that a response takes while it is queued, in bytes.
pub(super) fn queued_size(response: &[u8]) -> usize {
    response.len() + QUEUED_RESPONSE_OVERHEAD
}

/// A response with the memory that it takes until it is written.
#[derive(Debug)]
pub struct Response {
    /// The bytes to write.
    pub(super) bytes: Vec<u8>,
    /// Their reservation in the memory budget, released when this is dropped.
    pub(super) _reserved: Option<MemoryReservation>,
}

/// A command to the writer of a connection.
pub(super) enum WriteCommand {
    /// Write this response.
    Write {
        /// The response.
        response: Response,
        /// The request that it answers, if the core answered it.
        trace: Option<RequestTrace>,
    },
    /// Half-close the connection; its input is still read for a while.
    HalfClose,
    /// Close the connection in both directions.
    Close,
}

/// The memory of the responses that are queued and not yet written, of one connection and of all, in bytes; see
/// [`queued_size`].
#[derive(Clone)]
pub(super) struct UnsentBytes {
    connection: Arc<AtomicUsize>,
    process: Arc<AtomicUsize>,
}

impl UnsentBytes {
    pub(super) fn new(process: &Arc<AtomicUsize>) -> Self {
        UnsentBytes {
            connection: Arc::default(),
            process: process.clone(),
        }
    }

    /// Unsent bytes of this connection.
    pub(super) fn on_connection(&self) -> usize {
        self.connection.load(Ordering::Relaxed)
    }

    /// Whether this connection has unsent bytes. `Acquire`, as the caller acts on what the writer has done.
    pub(super) fn any_on_connection(&self) -> bool {
        self.connection.load(Ordering::Acquire) > 0
    }

    pub(super) fn add(&self, bytes: usize) {
        self.connection.fetch_add(bytes, Ordering::Relaxed);
        self.process.fetch_add(bytes, Ordering::AcqRel);
    }

    fn subtract(&self, bytes: usize) {
        self.connection.fetch_sub(bytes, Ordering::Relaxed);
        self.process.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Removes bytes from the count of all connections that are never written, as the connection's writer has ended.
    pub(super) fn discard(&self, bytes: usize) {
        self.process.fetch_sub(bytes, Ordering::AcqRel);
    }
}

/// The next command; `None` if no more can come. Waits if there is none yet.
fn next_command(queue: &Receiver<WriteCommand>, pacer: &mut WritePacer) -> Option<WriteCommand> {
    if let Ok(command) = queue.try_recv() {
        return Some(command);
    }
    pacer.record_wait();
    queue.recv().ok()
}

/// Writes what is queued for one connection until it is closed.
pub(super) struct ConnectionWriter<'a> {
    stream: &'a TcpStream,
    calls: &'a dyn SystemCalls,
    limits: &'a Limits,
    unsent: &'a UnsentBytes,
    ring: Ring,
    /// Whether a write has failed; nothing more is written then.
    is_broken: bool,
}

impl<'a> ConnectionWriter<'a> {
    pub(super) fn new(
        stream: &'a TcpStream,
        calls: &'a dyn SystemCalls,
        limits: &'a Limits,
        unsent: &'a UnsentBytes,
    ) -> Self {
        ConnectionWriter {
            stream,
            calls,
            limits,
            unsent,
            ring: Ring::new(limits.client_ring_bytes),
            is_broken: false,
        }
    }

    /// Writes until a command closes the connection, and closes it.
    pub(super) fn run(mut self, queue: &Receiver<WriteCommand>) {
        // After a half-close the client sees the end of the stream behind its responses. A full close also ends the
        // connection's reader.
        let direction = self.write_queued(queue);
        let _ = self.stream.shutdown(direction); // fails if the connection has ended by itself
        while let Ok(command) = queue.try_recv() {
            if let WriteCommand::Write { response, .. } = command {
                self.unsent.discard(queued_size(&response.bytes));
            }
        }
    }

    /// Writes what is queued until a command closes the connection. Returns which directions to shut down.
    fn write_queued(&mut self, queue: &Receiver<WriteCommand>) -> Shutdown {
        let mut pacer = WritePacer::default();
        while let Some(command) = next_command(queue, &mut pacer) {
            match command {
                WriteCommand::Write { response, trace } => {
                    self.write_response(&response.bytes, trace.as_ref());
                    self.unsent.subtract(queued_size(&response.bytes));
                    drop(response);
                    pacer.record_write();
                }
                WriteCommand::HalfClose => return Shutdown::Write,
                WriteCommand::Close => return Shutdown::Both,
            }
        }
        Shutdown::Both
    }

    fn write_response(&mut self, bytes: &[u8], trace: Option<&RequestTrace>) {
        let Some(trace) = trace else {
            return self.write_all(bytes);
        };
        trace
            .timeline
            .reach(Milestone::ResponseTaken, Instant::now());
        self.write_all(bytes);
        if let Some(late) = trace.finish(&LATENCIES, Instant::now()) {
            log_limited!("{late}");
        }
    }

    fn write_all(&mut self, bytes: &[u8]) {
        let mut remaining = bytes;
        let mut stalled_for = Duration::ZERO;
        let mut backoff = FIRST_BACKOFF;
        while !self.is_broken && (!remaining.is_empty() || !self.ring.is_empty()) {
            let queued = self.ring.push(remaining);
            remaining = &remaining[queued..];
            match self.calls.write(self.stream, self.ring.front()) {
                Ok(0) => self.fail(&"write returned 0 bytes"),
                Ok(written) => {
                    self.ring.consume(written);
                    stalled_for = Duration::ZERO;
                    backoff = FIRST_BACKOFF;
                }
                Err(error)
                    if ErrorAction::for_error(&error) != ErrorAction::Close
                        && stalled_for < self.limits.write_stall_timeout =>
                {
                    sleep(backoff);
                    stalled_for += backoff;
                    backoff = (2 * backoff).min(self.limits.write_check_interval);
                }
                Err(error) => self.fail(&error),
            }
        }
    }

    fn fail(&mut self, reason: &dyn std::fmt::Display) {
        log_limited!("{}", messages::response_write_failed(reason));
        self.is_broken = true;
        let _ = self.stream.shutdown(Shutdown::Both); // fails if the connection has ended by itself
    }
}
