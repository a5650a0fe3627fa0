//! The writing side of one connection to a worker: establishes it and writes what is to go out.
use super::super::dispatch::CLIENT_INPUT_WAIT;
use super::super::log_lines;
use super::super::socket::{has_no_unread_input, stalled_write_pause};
use super::connection::ConnectionState;
use super::exchange::Command;
use super::outgoing::Outgoing;
use super::reader::AnswerReader;
use super::send_queue::ClaimScope;
use crate::limits::Limits;
use crate::net::{sleep, spawn, Failure, SystemCalls};
use crate::queue::CoreHandle;
use may::net::TcpStream;
use may::sync::mpsc::Receiver;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Why nothing more is written to a connection.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A keepalive probe was not answered.
    #[error("keepalive timed out")]
    KeepaliveTimedOut,
    /// A write took nothing.
    #[error("write returned 0 bytes")]
    WriteZero,
    /// A retry was half written when its deadline passed.
    #[error("write deadline of a retry passed")]
    WriteDeadlinePassed,
    /// Writes made no progress for too long.
    #[error("write stalled")]
    WriteStalled,
    /// A frame does not fit into the empty ring.
    #[error("frame of {0} bytes exceeds the send buffer")]
    FrameTooLarge(usize),
    /// A panic left the table of open exchanges in doubt.
    #[error("exchange table poisoned")]
    Poisoned,
    /// The connection could not be established, or a write failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The writing coroutine of one connection.
pub(super) struct Writer {
    pub(super) address: SocketAddr,
    pub(super) state: Arc<ConnectionState>,
    pub(super) reports: CoreHandle,
    pub(super) limits: Arc<Limits>,
    pub(super) calls: Arc<dyn SystemCalls>,
    pub(super) outgoing: Outgoing,
    /// Requests of the keepalive check that have not been looked at.
    pub(super) close_requests: Vec<Instant>,
}

impl Writer {
    /// Writes until the connection ends, and ends everything that is or comes still in the queue.
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        if let Err(reason) = self.serve(commands) {
            log_limited!("{}", log_lines::connection_ended(self.address, &reason));
        }
        self.state.close(&self.reports);
        self.outgoing.end_all();
        // The core drops its end of the queue at its sweep.
        while let Ok(command) = commands.recv() {
            if let Command::Write(outbound) = command {
                self.outgoing.end_refused(outbound);
            }
        }
    }

    fn serve(&mut self, commands: &Receiver<Command>) -> Result<(), WriteError> {
        let stream = self.connect()?;
        self.start_reader(&stream)?;
        let mut end = Ok(());
        while end.is_ok() {
            // Nothing is left to write here: wait for more. The core drops idle connections.
            let Ok(command) = commands.recv() else { break };
            self.accept(command);
            end = self.write_pending(&stream, commands);
        }
        let _ = stream.shutdown(Shutdown::Both); // the reader sees the end and leaves
        end
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let connected = self
            .calls
            .connect(&self.address, self.limits.connect_timeout);
        let stream = connected.inspect_err(|error| {
            if error.kind() == io::ErrorKind::ConnectionRefused {
                self.state.set_refused();
                self.reports.worker_connection_refused(self.address);
            }
        })?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn start_reader(&self, stream: &TcpStream) -> io::Result<()> {
        let address = self.address;
        let reader = AnswerReader::new(
            stream.try_clone()?,
            self.state.clone(),
            self.reports.clone(),
            self.limits.clone(),
        );
        spawn(self.limits.coroutine_stack_bytes, move || {
            reader.run(address)
        })
    }

    fn accept(&mut self, command: Command) {
        match command {
            Command::Write(outbound) => self.outgoing.push(outbound),
            Command::CloseIfSilentSince(asked_at) => self.close_requests.push(asked_at),
        }
    }

    /// Writes until nothing waits. Nothing waits inside a write: what is claimed goes out now or is not claimed, so
    /// that a claim is never older than the look at its client.
    fn write_pending(
        &mut self,
        stream: &TcpStream,
        commands: &Receiver<Command>,
    ) -> Result<(), WriteError> {
        let mut stalled = Duration::ZERO;
        loop {
            while let Ok(command) = commands.try_recv() {
                self.accept(command);
            }
            self.check_close_requests(stream)?;
            if self.state.is_draining() {
                self.outgoing.withhold_for_drain();
            }
            self.outgoing.fill_ring()?;
            let written = self.state.progress.bytes();
            let writable = self.outgoing.claim(written, claim_scope(stalled));
            if self.outgoing.is_ring_empty() {
                if self.outgoing.is_nothing_waiting() {
                    return Ok(());
                }
                continue; // all that was in it has been cut: what did not fit comes next
            }
            if writable == 0 {
                sleep(CLIENT_INPUT_WAIT);
                continue;
            }
            stalled = self.write_once(stream, written, writable, stalled)?;
        }
    }

    /// Makes one write. Returns for how long writes have been stalled after it.
    fn write_once(
        &mut self,
        stream: &TcpStream,
        written: u64,
        writable: usize,
        stalled: Duration,
    ) -> Result<Duration, WriteError> {
        let bytes = self.outgoing.next_bytes(writable);
        let write = || self.calls.write(stream, bytes);
        match self.state.progress.write(write) {
            Ok(0) => Err(WriteError::WriteZero),
            Ok(count) => {
                self.outgoing.advance(count, written + count as u64);
                Ok(Duration::ZERO)
            }
            Err(error) if Failure::of(&error) == Failure::Over => Err(error.into()),
            Err(_) => self.wait_stalled(written, stalled),
        }
    }

    /// Waits before a write is tried again. Returns for how long writes have been stalled then.
    fn wait_stalled(&mut self, written: u64, stalled: Duration) -> Result<Duration, WriteError> {
        self.outgoing.revert_claims(written);
        let span = stalled_write_pause(&self.limits);
        sleep(span);
        let stalled = stalled + span;
        if self.outgoing.is_past_write_deadline(written) {
            return Err(WriteError::WriteDeadlinePassed);
        }
        if stalled >= self.limits.write_stall_timeout {
            return Err(WriteError::WriteStalled);
        }
        Ok(stalled)
    }

    /// Ends the connection if a keepalive probe has not been answered.
    fn check_close_requests(&mut self, stream: &TcpStream) -> Result<(), WriteError> {
        for asked_at in std::mem::take(&mut self.close_requests) {
            if self.is_silent_since(asked_at, stream) {
                log_limited!("{}", log_lines::keepalive_timed_out(self.address));
                return Err(WriteError::KeepaliveTimedOut);
            }
        }
        Ok(())
    }

    /// Whether nothing has come since then, read or unread: what came while the process stood still lies there.
    fn is_silent_since(&self, asked_at: Instant, stream: &TcpStream) -> bool {
        let last_answer_at = self.state.last_answer_at();
        last_answer_at.is_none_or(|at| at < asked_at) && has_no_unread_input(stream)
    }
}

/// While writes stall only the next frame is started: what is behind it can be reclaimed.
fn claim_scope(stalled: Duration) -> ClaimScope {
    if stalled.is_zero() {
        ClaimScope::AllFrames
    } else {
        ClaimScope::NextFrame
    }
}
