//! The writing side of one connection to a worker: establishes it and writes frames to it.
use super::super::dispatch::CLIENT_INPUT_WAIT;
use super::super::log_lines;
use super::super::pool::CountedConnection;
use super::super::socket::{has_no_unread_input, stalled_write_pause};
use super::connection::ConnectionState;
use super::exchange::Command;
use super::outgoing::Outgoing;
use super::reader::ResponseReader;
use super::send_queue::ClaimScope;
use crate::limits::Limits;
use crate::net::{sleep, spawn, ErrorAction, SystemCalls};
use crate::queue::CoreHandle;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver};
use std::convert::Infallible;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Why writing to a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A keepalive probe was not answered.
    #[error("keepalive timed out")]
    KeepaliveTimedOut,
    /// A write accepted no bytes.
    #[error("write returned 0 bytes")]
    WriteZero,
    /// A retry was written in part when its write deadline passed.
    #[error("write deadline of a retry passed")]
    WriteDeadlinePassed,
    /// Writes made no progress for `Limits::write_stall_timeout`.
    #[error("write stalled")]
    WriteStalled,
    /// A frame of this many bytes does not fit into the empty ring.
    #[error("frame of {0} bytes exceeds the send buffer")]
    FrameTooLarge(usize),
    /// A panic poisoned the lock of the exchange table.
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
    /// Close requests of the keepalive check that the writer has not handled yet: the connection must have been silent
    /// since.
    pub(super) close_requests: Vec<Instant>,
    /// Counts the connection until both directions are closed.
    pub(super) counted: Arc<CountedConnection>,
}

impl Writer {
    /// Writes until the connection ends, then ends everything that is queued.
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        if let Err(reason) = self.connect_and_write(commands) {
            log_limited!("{}", log_lines::connection_ended(self.address, &reason));
        }
        self.state.close(&self.reports); // does nothing more if the reader has run
        self.outgoing.end_all();
        // What is handed over from now on is ended by `ConnectionHandle::open`.
        while let Ok(command) = commands.try_recv() {
            if let Command::Write(outbound) = command {
                self.outgoing.end_after_close(outbound);
            }
        }
    }

    fn connect_and_write(&mut self, commands: &Receiver<Command>) -> Result<(), WriteError> {
        let stream = self.connect()?;
        let reader_end = self.start_reader(&stream)?;
        let mut end = Ok(());
        while end.is_ok() {
            // Everything is written: wait for the next command. An error means that the core has dropped the idle
            // connection.
            let Ok(command) = commands.recv() else { break };
            self.handle_command(command);
            end = self.write_pending(&stream, commands);
        }
        let _ = stream.shutdown(Shutdown::Both); // ends the reader, behind the responses that have arrived
        self.outgoing.end_all();
        let _ = reader_end.recv(); // an error, as nothing is sent: the reader has ended
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

    /// Starts the reader. The returned channel is disconnected once the reader has ended: only then the exchanges without
    /// a response are known.
    fn start_reader(&self, stream: &TcpStream) -> io::Result<Receiver<Infallible>> {
        let address = self.address;
        let (reader_runs, reader_end) = channel();
        let reader = ResponseReader::new(
            stream.try_clone()?,
            self.state.clone(),
            self.reports.clone(),
            self.limits.clone(),
            self.counted.clone(),
        );
        spawn(self.limits.coroutine_stack_bytes, move || {
            reader.run(address);
            drop(reader_runs);
        })?;
        Ok(reader_end)
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Write(outbound) => self.outgoing.push(outbound),
            Command::CloseIfSilentSince(asked_at) => self.close_requests.push(asked_at),
        }
    }

    /// Writes until nothing waits. No write blocks: claimed frames are written at once or the claim is reverted, so
    /// that a claim is never older than the check of its client's connection.
    fn write_pending(
        &mut self,
        stream: &TcpStream,
        commands: &Receiver<Command>,
    ) -> Result<(), WriteError> {
        let mut stalled_for = Duration::ZERO;
        loop {
            while let Ok(command) = commands.try_recv() {
                self.handle_command(command);
            }
            self.check_close_requests(stream)?;
            if self.state.is_draining() {
                self.outgoing.withhold_for_drain();
            }
            self.outgoing.fill_ring()?;
            let written = self.state.progress.bytes();
            let writable = self.outgoing.claim(written, claim_scope(stalled_for));
            if self.outgoing.is_ring_empty() {
                if self.outgoing.has_nothing_waiting() {
                    return Ok(());
                }
                if self.outgoing.holds_all_waiting() {
                    sleep(CLIENT_INPUT_WAIT);
                }
                continue; // everything in the ring has been cut, so there is room for what waits
            }
            if writable == 0 {
                sleep(CLIENT_INPUT_WAIT);
                continue;
            }
            stalled_for = self.write_once(stream, written, writable, stalled_for)?;
        }
    }

    /// Makes one write. Returns for how long writes have been stalled.
    fn write_once(
        &mut self,
        stream: &TcpStream,
        written: u64,
        writable: usize,
        stalled_for: Duration,
    ) -> Result<Duration, WriteError> {
        let bytes = self.outgoing.next_bytes(writable);
        let write = || self.calls.write(stream, bytes);
        match self.state.progress.write(write) {
            Ok(0) => Err(WriteError::WriteZero),
            Ok(count) => {
                self.outgoing.advance(count, written + count as u64);
                Ok(Duration::ZERO)
            }
            Err(error) if ErrorAction::for_error(&error) == ErrorAction::Close => Err(error.into()),
            Err(_) => self.wait_stalled(written, stalled_for),
        }
    }

    /// Waits before a stalled write is retried. Returns for how long writes have been stalled.
    fn wait_stalled(
        &mut self,
        written: u64,
        stalled_for: Duration,
    ) -> Result<Duration, WriteError> {
        self.outgoing.revert_claims(written);
        let pause = stalled_write_pause(&self.limits);
        sleep(pause);
        let stalled_for = stalled_for + pause;
        if self.outgoing.is_past_write_deadline(written) {
            return Err(WriteError::WriteDeadlinePassed);
        }
        if stalled_for >= self.limits.write_stall_timeout {
            return Err(WriteError::WriteStalled);
        }
        Ok(stalled_for)
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

    /// Whether nothing has been received since `asked_at`. Unread input counts as received: it may have arrived while
    /// the process was stopped.
    fn is_silent_since(&self, asked_at: Instant, stream: &TcpStream) -> bool {
        let last_response_at = self.state.last_response_at();
        last_response_at.is_none_or(|at| at < asked_at) && has_no_unread_input(stream)
    }
}

/// Which frames to claim: only the next one while writes stall, so that the frames behind it can be reclaimed.
fn claim_scope(stalled_for: Duration) -> ClaimScope {
    if stalled_for.is_zero() {
        ClaimScope::AllFrames
    } else {
        ClaimScope::NextFrame
    }
}
