//! The sending side of a client connection: any thread queues responses, and a coroutine writes them.
use super::client_probe::{ClientSocket, SocketProbe};
use super::delivery::{unacknowledged_bytes, DeliveryProgress};
use super::response_memory::ResponseMemory;
use super::writer::{queued_size, ConnectionWriter, Response, UnsentBytes, WriteCommand};
use super::{messages, sleep, spawn, would_block, DirectCalls, InputProgress, SystemCalls};
use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::model::{ClientProbe, Milestone, RequestTrace};
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::io::Read;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// A lingering connection's reads time out after `Limits::linger_timeout` divided by this, so that the end of the
/// linger is noticed soon.
const LINGER_READ_DIVISOR: u32 = 32;
/// A lingering connection checks whether its writer has ended each time `Limits::linger_timeout` divided by this has
/// passed.
const LINGER_CHECK_DIVISOR: u32 = 64;

/// How long a reader waits for its connection's writer before it looks again.
const WRITER_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// How far the closing of a connection's sending side has come.
#[derive(Default)]
struct CloseState {
    /// Whether the connection is half-closed once everything queued is written.
    is_closing: AtomicBool,
    /// Whether the connection is closed, without a linger, once everything queued is written.
    is_aborted: AtomicBool,
    /// Whether the writer has ended.
    has_writer_ended: AtomicBool,
    /// Whether the connection lingers and everything has been delivered on it.
    is_delivered: AtomicBool,
}

/// What the writer of a connection needs once it starts.
struct WaitingWriter {
    socket: Arc<ClientSocket>,
    queue: Receiver<WriteCommand>,
    calls: Arc<dyn SystemCalls>,
}

/// The sending side of a client connection.
#[derive(Clone)]
pub struct Outbox {
    commands: Sender<WriteCommand>,
    /// The writer until the first response is sent.
    waiting_writer: Arc<Mutex<Option<WaitingWriter>>>,
    unsent: UnsentBytes,
    close_state: Arc<CloseState>,
    memory: Arc<ResponseMemory>,
    limits: Arc<Limits>,
    delivery: Arc<Mutex<DeliveryProgress>>,
    client_probe: Arc<SocketProbe>,
    input: Arc<InputProgress>,
    socket: Weak<ClientSocket>,
}

impl Outbox {
    /// The sending side of a connection. `unsent_bytes` counts the unsent bytes of all client connections. The writer's
    /// coroutine starts with the first response: many connections never get one.
    pub fn new(
        stream: TcpStream,
        limits: &Arc<Limits>,
        budget: &MemoryBudget,
        unsent_bytes: &Arc<AtomicUsize>,
    ) -> Outbox {
        Outbox::with_calls(stream, limits, budget, unsent_bytes, Arc::new(DirectCalls))
    }

    /// Like [`Outbox::new`], with `calls` in place of the operating system's.
    pub fn with_calls(
        stream: TcpStream,
        limits: &Arc<Limits>,
        budget: &MemoryBudget,
        unsent_bytes: &Arc<AtomicUsize>,
        calls: Arc<dyn SystemCalls>,
    ) -> Outbox {
        let (commands, queue) = channel();
        let socket = Arc::new(ClientSocket(stream));
        let input = Arc::<InputProgress>::default();
        let client_probe = Arc::new(SocketProbe::new(&socket, &input));
        let weak_socket = Arc::downgrade(&socket);
        let waiting_writer = WaitingWriter {
            socket,
            queue,
            calls,
        };
        Outbox {
            commands,
            waiting_writer: Arc::new(Mutex::new(Some(waiting_writer))),
            unsent: UnsentBytes::new(unsent_bytes),
            close_state: Arc::default(),
            memory: Arc::new(ResponseMemory::new(budget, limits)),
            limits: limits.clone(),
            delivery: Arc::new(Mutex::new(DeliveryProgress::new(Instant::now()))),
            client_probe,
            input,
            socket: weak_socket,
        }
    }

    /// Gives a command to the writer, which starts with the first response. Returns false if the writer has ended.
    fn post(&self, command: WriteCommand) -> bool {
        let Ok(mut waiting_writer) = self.waiting_writer.lock() else {
            return false;
        };
        if let Some(writer) = waiting_writer.take() {
            match command {
                WriteCommand::Write { .. } => self.start_writer(writer),
                WriteCommand::HalfClose => self.end_without_writer(&writer.socket, Shutdown::Write),
                WriteCommand::Close => self.end_without_writer(&writer.socket, Shutdown::Both),
            }
        }
        self.commands.send(command).is_ok()
    }

    fn start_writer(&self, writer: WaitingWriter) {
        let WaitingWriter {
            socket,
            queue,
            calls,
        } = writer;
        let unstarted = socket.clone();
        let limits = self.limits.clone();
        let unsent = self.unsent.clone();
        let close_state = self.close_state.clone();
        let started = spawn(self.limits.coroutine_stack_bytes, move || {
            ConnectionWriter::new(&socket.0, &*calls, &limits, &unsent).run(&queue);
            drop(socket);
            close_state.has_writer_ended.store(true, Ordering::Release);
        });
        if let Err(error) = started {
            log_limited!("{}", messages::writer_not_started(&error));
            self.close_state.is_aborted.store(true, Ordering::Release);
            self.end_without_writer(&unstarted, Shutdown::Both);
        }
    }

    /// Closes a connection whose writer is not started.
    fn end_without_writer(&self, socket: &ClientSocket, direction: Shutdown) {
        let _ = socket.0.shutdown(direction); // fails if the connection has ended by itself
        let has_writer_ended = &self.close_state.has_writer_ended;
        has_writer_ended.store(true, Ordering::Release);
    }

    /// A probe that tells whether the client is still connected.
    pub fn client_probe(&self) -> Arc<dyn ClientProbe> {
        self.client_probe.clone()
    }

    /// How far the connection's reader has handled what its client sent.
    pub fn input(&self) -> &InputProgress {
        &self.input
    }

    /// Queues a response that the front made itself, unless the connection is closing. If the client leaves too many
    /// of them unread, the connection's further input is refused: see [`Outbox::is_input_refused`].
    pub fn send(&self, bytes: Vec<u8>) {
        if self.is_closing() || self.is_aborted() {
            return;
        }
        let was_refused = self.memory.is_input_refused();
        let response = self.memory.fit_direct(bytes);
        if self.memory.is_input_refused() && !was_refused {
            let unsent = self.unsent.on_connection();
            log_limited!("{}", messages::responses_unread(unsent));
        }
        if let Some(response) = response {
            self.queue(response, None);
        }
    }

    /// Makes room for the response to a request that the core answered, `reserved` being what the request has reserved for a
    /// short one. If there is no room, as clients leave too much unread, `failure` gives a short response in its place.
    pub fn fit_answer(
        &self,
        bytes: Vec<u8>,
        reserved: MemoryReservation,
        failure: impl FnOnce() -> Vec<u8>,
    ) -> Response {
        self.memory.fit_answer(bytes, reserved, failure)
    }

    /// Queues the response to a request that the core answered, unless the connection is closing.
    pub fn send_answer(&self, response: Response, trace: RequestTrace) {
        trace.timeline.reach(Milestone::Answered, Instant::now());
        self.queue(response, Some(trace));
    }

    fn queue(&self, response: Response, trace: Option<RequestTrace>) {
        if self.is_closing() || self.is_aborted() {
            return;
        }
        let size = queued_size(&response.bytes);
        self.unsent.add(size);
        if !self.post(WriteCommand::Write { response, trace }) {
            self.unsent.discard(size);
        }
    }

    /// Whether no further input is to be handled, as the client does not read the responses. The connection's reader then
    /// closes it once the open requests are answered.
    pub fn is_input_refused(&self) -> bool {
        self.memory.is_input_refused()
    }

    /// Whether the client leaves so much unread that further requests are to be rejected. Waits, for `limit` at most,
    /// until it has caught up.
    pub fn has_backlog(&self, limit: Duration) -> bool {
        self.wait_for_unsent(self.limits.max_unsent_bytes, limit);
        self.unsent.on_connection() > self.limits.max_unsent_bytes
    }

    /// Waits, for `limit` at most, until the writer has caught up: a client that sends requests faster than their responses
    /// can be written is read more slowly.
    pub fn wait_for_writer(&self, limit: Duration) {
        self.wait_for_unsent(self.limits.client_ring_bytes, limit);
    }

    fn wait_for_unsent(&self, max_unsent: usize, limit: Duration) {
        let began_at = Instant::now();
        while self.unsent.on_connection() > max_unsent
            && !self.is_closing()
            && began_at.elapsed() < limit
        {
            sleep(WRITER_CHECK_INTERVAL);
        }
    }

    /// Half-closes the connection once everything queued is written. Its input is still read for a while, see
    /// [`Outbox::linger`].
    pub fn close(&self) {
        self.close_state.is_closing.store(true, Ordering::Release);
        self.post(WriteCommand::HalfClose);
    }

    /// Closes the connection once everything queued is written, without reading further. For connections whose client
    /// has left, or on which everything has been delivered.
    pub fn abort(&self) {
        if !self.close_state.is_aborted.swap(true, Ordering::AcqRel) {
            self.post(WriteCommand::Close);
        }
    }

    /// Closes the connection for another one, unless it has unread input or responses that the client is still taking.
    /// Returns whether it is closed; nothing that the client sends after that is read.
    pub(super) fn evict(&self) -> bool {
        if self.is_closing() {
            return self.end_linger();
        }
        let Some(socket) = self.socket.upgrade() else {
            return true;
        };
        if self.is_delivering() || self.input.is_handling() || self.has_unread_input() {
            return false;
        }
        let _ = socket.0.shutdown(Shutdown::Both); // fails if the connection has ended by itself
        self.abort();
        true
    }

    /// Closes the connection, on which no request is open, unless it has unread input. With `linger`, or if responses are
    /// not delivered yet, only the sending side is closed. Returns whether it is closed. Called by the connection's
    /// reader.
    ///
    /// The shutdown comes right after the check, unless responses are still unsent: the writer might run only after other
    /// coroutines, and a request that arrived meanwhile would be closed on.
    pub fn close_idle(&self, linger: bool) -> bool {
        if self.unsent.any_on_connection() {
            may::coroutine::yield_now(); // most writers write as soon as they run
        }
        let Some(socket) = self.socket.upgrade() else {
            return true;
        };
        let linger = linger || self.has_undelivered();
        if self.has_unread_input() {
            return false;
        }
        if self.unsent.any_on_connection() {
            self.close();
            return true;
        }
        let direction = if linger {
            Shutdown::Write
        } else {
            Shutdown::Both
        };
        let _ = socket.0.shutdown(direction); // fails if the connection has ended by itself
        if linger {
            self.close();
        } else {
            self.abort();
        }
        true
    }

    /// Whether the client has sent something that is not read yet: a read may time out although input has arrived, while
    /// other coroutines keep the scheduler's thread busy.
    fn has_unread_input(&self) -> bool {
        let socket = self.socket.upgrade();
        socket.is_some_and(|socket| matches!(socket.0.inner().peek(&mut [0]), Ok(1..)))
    }

    /// Ends the linger if everything has been delivered. Returns whether it ends.
    fn end_linger(&self) -> bool {
        let is_delivered = self.close_state.is_delivered.load(Ordering::Acquire);
        if is_delivered {
            self.abort();
        }
        is_delivered
    }

    /// Whether the client, whose last request ended at `idle_since`, is still taking its responses: the end of the
    /// stream would reach it late, and a reset would destroy them.
    pub(super) fn is_client_behind(&self, idle_since: Instant) -> bool {
        let Some(delivery) = self.observe_delivery() else {
            return false;
        };
        delivery.is_behind(Instant::now(), &self.limits)
            && idle_since.elapsed() < self.limits.delivery_timeout
    }

    /// When the client has caught up with reading its responses; `None` if it has not, or never was behind.
    pub(super) fn caught_up_at(&self) -> Option<Instant> {
        self.observe_delivery()?.caught_up_at(&self.limits)
    }

    /// Whether a response is on its way to the client.
    pub fn has_undelivered(&self) -> bool {
        self.observe_delivery()
            .is_some_and(|delivery| !delivery.is_complete())
    }

    /// Whether the client is still taking its responses.
    fn is_delivering(&self) -> bool {
        let is_delivering = |delivery: DeliveryProgress| {
            !delivery.is_complete() && !delivery.is_stalled(Instant::now(), &self.limits)
        };
        self.observe_delivery().is_some_and(is_delivering)
    }

    /// Samples the delivery. `None` once the writer has ended.
    fn observe_delivery(&self) -> Option<DeliveryProgress> {
        let socket = self.socket.upgrade()?;
        let undelivered = self.unsent.on_connection() + unacknowledged_bytes(&socket.0);
        let mut delivery = self.delivery.lock().ok()?;
        delivery.observe(undelivered, Instant::now(), &self.limits);
        Some(*delivery)
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

    /// Half-closes the connection, then reads and discards input until the client has closed too, or until everything
    /// has been delivered and the client had time to close, and waits until everything queued is written. Closing a
    /// connection while input is unread or still arriving would send a reset, which destroys responses in flight.
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
        let mut delivery = DeliveryProgress::new(started_at);
        let mut discarded = 0;
        let mut bytes = vec![0; limits.client_ring_bytes];
        let read_timeout = limits.linger_timeout / LINGER_READ_DIVISOR;
        if stream.set_read_timeout(Some(read_timeout)).is_err() {
            return;
        }
        loop {
            // A client that sends without end fills its own buffers while its responses are delivered.
            let is_full = discarded > limits.max_discarded_bytes;
            if is_full {
                sleep(read_timeout);
            } else {
                match stream.read(&mut bytes) {
                    Ok(read) if read > 0 => discarded += read,
                    Err(error) if would_block(&error) => {}
                    _ => return,
                }
            }
            let now = Instant::now();
            let undelivered = self.unsent.on_connection() + unacknowledged_bytes(&stream);
            delivery.observe(undelivered, now, limits);
            if !self.has_writer_ended() {
                continue; // ends in any case, as `Limits::write_stall_timeout` bounds how long it takes
            }
            // A connection that was evicted does not linger: its slot may be needed for another client.
            let is_over = is_full || self.is_aborted() || delivery.has_lingered(now, limits);
            let is_delivered = delivery.is_complete();
            self.close_state
                .is_delivered
                .store(is_delivered, Ordering::Release);
            let is_given_up = delivery.is_stalled(now, limits)
                || now.duration_since(started_at) > limits.delivery_timeout;
            if is_delivered && is_over || is_given_up {
                return;
            }
        }
    }
}
