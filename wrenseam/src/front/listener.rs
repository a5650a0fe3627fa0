//! The listeners of all fronts: the state that their connections share, how connections are accepted, and how a
//! listener is closed.
use super::admin::ExclusionCommands;
use super::messages;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::net::{has_peer_closed, sleep, spawn, ConnectionSlots, Outbox, SlotGuard};
use crate::process_state::ProcessState;
use crate::queue::CoreHandle;
use may::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of evictions for one new connection, after each of which the slots are checked again.
const MAX_EVICTIONS: usize = 20;
/// Time that evicted connections have to close and free their slots before the slots are checked again.
const EVICTION_WAIT: Duration = Duration::from_millis(1);
/// Pause after a failed accept, which usually means that the process has no free file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// State that the connections of all listeners share.
#[derive(Clone)]
pub struct ListenerContext {
    /// The sending half of the core's queue.
    pub core: CoreHandle,
    /// The limits of the process.
    pub limits: Arc<Limits>,
    /// The memory budget of all requests and unsent responses.
    pub budget: MemoryBudget,
    /// The part of the budget for requests that are not completely received.
    pub partial_request_budget: MemoryBudget,
    /// The part of the budget for completely received requests; the rest is left to responses.
    pub request_budget: MemoryBudget,
    /// The slots for the client connections of all fronts.
    pub slots: ConnectionSlots,
    /// Bytes of responses that are not written yet, over all client connections.
    pub unsent_bytes: Arc<AtomicUsize>,
    /// Flags and counts that the parts of the process share.
    pub process_state: Arc<ProcessState>,
    /// The admin endpoint's `exclude` and `include` commands that are running.
    pub exclusion_commands: ExclusionCommands,
    /// Set when the listeners close, so that their accept loops end.
    pub listeners_closing: Arc<AtomicBool>,
    /// Set during a shutdown once the listeners are closed: each connection then closes as soon as no input is unread,
    /// no request is partly read and none is pending.
    pub shutting_down: Arc<AtomicBool>,
    /// The number of accept loops that are running.
    pub accept_loops: Arc<AtomicUsize>,
}

impl ListenerContext {
    /// Creates the context of a starting process, without any connections.
    pub fn new(core: CoreHandle, limits: Arc<Limits>, process_state: Arc<ProcessState>) -> Self {
        let budget = MemoryBudget::with_gauge(
            limits.memory_budget_bytes,
            process_state.reserved_bytes.clone(),
        );
        ListenerContext {
            core,
            partial_request_budget: budget.part_leaving(
                limits.max_partial_request_bytes,
                limits.direct_response_bytes(),
            ),
            request_budget: budget
                .part_leaving(limits.max_request_bytes, limits.direct_response_bytes()),
            budget,
            slots: ConnectionSlots::new(
                limits.max_client_connections,
                process_state.draining.clone(),
                process_state.client_connections.clone(),
            ),
            limits,
            unsent_bytes: Arc::default(),
            process_state,
            exclusion_commands: ExclusionCommands::default(),
            listeners_closing: Arc::default(),
            shutting_down: Arc::default(),
            accept_loops: Arc::default(),
        }
    }

    /// The sending side of a client connection.
    pub fn outbox(&self, stream: TcpStream) -> Outbox {
        Outbox::new(stream, &self.limits, &self.budget, &self.unsent_bytes)
    }
}

/// A function that serves one client connection until it ends.
pub type Serve = fn(TcpStream, &ListenerContext, SlotGuard);

/// The listener of one front.
pub struct Listener {
    /// The listening socket.
    pub socket: Arc<TcpListener>,
    /// The front's name in log lines.
    pub front: &'static str,
    /// The function that serves its connections.
    pub serve: Serve,
}

/// A loop that accepts connections without waiting lets sockets be polled after this time: the scheduler polls them only
/// when no coroutine is ready.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2);
/// How long the loop then waits.
const ACCEPT_PAUSE: Duration = Duration::from_micros(100);

/// Accepts connections until the listeners close, and serves each in a coroutine of its own.
pub fn accept(
    listener: &TcpListener,
    context: &ListenerContext,
    front: &'static str,
    serve: Serve,
) {
    let mut pace = AcceptPace::default();
    loop {
        match pace.accept(listener) {
            // A client that only half-closes its connection may wait for an answer, so this is for a full accept queue.
            Ok((stream, _)) if pace.is_behind() && has_peer_closed(&stream) => {}
            Ok((stream, peer)) => {
                admit(stream, peer, context, front, serve);
                // Lets this connection be read before the next one is accepted. Otherwise many connections that
                // arrive at once would all look idle although their requests just have not been read yet.
                may::coroutine::yield_now();
            }
            Err(_) if context.listeners_closing.load(Ordering::Acquire) => break,
            Err(error) => {
                log_limited!("{}", messages::accept_failed(front, &error));
                sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
    context.accept_loops.fetch_sub(1, Ordering::AcqRel);
}

/// How long a loop has accepted connections without waiting for one.
struct AcceptPace {
    busy_since: Instant,
    paused_at: Instant,
}

impl Default for AcceptPace {
    fn default() -> Self {
        let now = Instant::now();
        AcceptPace {
            busy_since: now,
            paused_at: now,
        }
    }
}

impl AcceptPace {
    /// Accepts the next connection, and pauses before it if there was neither a pause nor a wait for too long.
    fn accept(&mut self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        if self.paused_at.elapsed() >= MAX_ACCEPT_TIME {
            sleep(ACCEPT_PAUSE);
            self.paused_at = Instant::now();
        }
        let called_at = Instant::now();
        let accepted = listener.accept();
        if called_at.elapsed() > ACCEPT_PAUSE {
            self.busy_since = Instant::now();
            self.paused_at = self.busy_since;
        }
        accepted
    }

    /// Whether connections have been waiting to be accepted for longer than usual.
    fn is_behind(&self) -> bool {
        self.busy_since.elapsed() >= MAX_ACCEPT_TIME
    }
}

fn admit(
    stream: TcpStream,
    peer: SocketAddr,
    context: &ListenerContext,
    front: &'static str,
    serve: Serve,
) {
    // The limit on slots keeps descriptors free for the connections to workers and to the discovery service.
    let Some(guard) = acquire_slot(context) else {
        return log_limited!("{}", messages::slots_exhausted(front, peer));
    };
    let connection_context = context.clone();
    let _ = stream.set_nodelay(true); // without it the connection is only slower
    let run = move || serve(stream, &connection_context, guard);
    if let Err(error) = spawn(context.limits.coroutine_stack_bytes, run) {
        log_limited!("{}", messages::connection_not_served(front, peer, &error));
    }
}

/// Closes a listener. Connections in its accept queue are already established, and closing the listener would reset
/// them, so they are accepted and served first.
pub fn close(listener: &Listener, context: &ListenerContext) {
    while let Ok((stream, peer)) = listener.socket.inner().accept() {
        // SAFETY: the descriptor is open and has no other owner, as `into_raw_fd` has just released it. `may` has no
        // other way to take over a connection, and its own `accept` would wait once the queue is empty.
        #[allow(unsafe_code)]
        let stream = unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) };
        admit(stream, peer, context, listener.front, listener.serve);
    }
    // Wakes the coroutine that waits in `accept`, which then finds `listeners_closing` set.
    let _ = socket2::SockRef::from(listener.socket.inner()).shutdown(std::net::Shutdown::Both);
}

/// Acquires a slot. If all are in use, idle connections are evicted; `None` if no slot becomes free even so.
fn acquire_slot(context: &ListenerContext) -> Option<SlotGuard> {
    let mut guard = context.slots.acquire();
    for _ in 0..MAX_EVICTIONS {
        if guard.is_some() || !context.slots.evict_idle() {
            break;
        }
        sleep(EVICTION_WAIT);
        guard = context.slots.acquire();
    }
    guard
}
