//! The coroutine that writes the answers of one client connection.
use super::{messages, sleep, Failure, SystemCalls};
use crate::limits::Limits;
use crate::memory_budget::MemoryReservation;
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::mpsc::Receiver;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// First backoff of a write that would block; doubled each time, up to `Limits::write_check_interval`.
const FIRST_BACKOFF: Duration = Duration::from_millis(1);

/// What a writer is to do.
pub(super) enum WriteCommand {
    /// Write these bytes.
    Write {
        /// The bytes.
        bytes: Vec<u8>,
        /// Their share of the memory budget.
        reserved: Option<MemoryReservation>,
    },
    /// Half-close the connection; its input is still read for a while.
    HalfClose,
    /// Close the connection.
    Close,
}

/// Bytes that are queued and not yet written.
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

    /// Those of this connection.
    pub(super) fn on_connection(&self) -> usize {
        self.connection.load(Ordering::Relaxed)
    }

    /// Whether this connection has any; what its writer has done is seen too.
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

    /// Counts bytes that will not be written, as the connection's writer has ended.
    pub(super) fn discard(&self, bytes: usize) {
        self.process.fetch_sub(bytes, Ordering::AcqRel);
    }
}

/// Writes what is queued for one connection, until it closes.
pub(super) struct ConnectionWriter<'a> {
    stream: &'a TcpStream,
    calls: &'a dyn SystemCalls,
    limits: &'a Limits,
    unsent: &'a UnsentBytes,
    ring: Ring,
    /// Whether a write failed: nothing more is written.
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

    /// Writes until the connection is to be closed, and closes it.
    pub(super) fn run(mut self, queue: &Receiver<WriteCommand>) {
        // At a half-close the client sees the end behind its answers; else the reader sees it too and leaves.
        let direction = self.write_queued(queue);
        let _ = self.stream.shutdown(direction); // it may have ended by itself
        while let Ok(command) = queue.try_recv() {
            if let WriteCommand::Write { bytes, .. } = command {
                self.unsent.discard(bytes.len());
            }
        }
    }

    /// Writes what is queued; which directions are to be closed then.
    fn write_queued(&mut self, queue: &Receiver<WriteCommand>) -> Shutdown {
        while let Ok(command) = queue.recv() {
            match command {
                WriteCommand::Write { bytes, reserved } => {
                    self.write_all(&bytes);
                    self.unsent.subtract(bytes.len());
                    drop(reserved);
                }
                WriteCommand::HalfClose => return Shutdown::Write,
                WriteCommand::Close => return Shutdown::Both,
            }
        }
        Shutdown::Both
    }

    fn write_all(&mut self, bytes: &[u8]) {
        let mut remaining = bytes;
        let mut stalled_for = Duration::ZERO;
        let mut backoff = FIRST_BACKOFF;
        while !self.is_broken && (!remaining.is_empty() || !self.ring.is_empty()) {
            let queued = self.ring.push(remaining);
            remaining = &remaining[queued..];
            match self.calls.write(self.stream, self.ring.front()) {
                Ok(0) => self.give_up(&"closed"),
                Ok(written) => {
                    self.ring.consume(written);
                    stalled_for = Duration::ZERO;
                    backoff = FIRST_BACKOFF;
                }
                Err(error)
                    if Failure::of(&error) != Failure::Over
                        && stalled_for < self.limits.write_stall_timeout =>
                {
                    sleep(backoff);
                    stalled_for += backoff;
                    backoff = (2 * backoff).min(self.limits.write_check_interval);
                }
                Err(error) => self.give_up(&error),
            }
        }
    }

    fn give_up(&mut self, reason: &dyn std::fmt::Display) {
        log_limited!("{}", messages::response_write_failed(reason));
        self.is_broken = true;
        let _ = self.stream.shutdown(Shutdown::Both); // it may have ended by itself
    }
}
