//! The listeners of all fronts: what their connections need, and how one is accepted or closed.
use super::admin::ExclusionCommands;
use super::messages;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::net::{sleep, spawn, ConnectionSlots, Outbox, SlotGuard};
use crate::process_state::ProcessState;
use crate::queue::CoreHandle;
use may::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often a slot is asked for again after an eviction: the evicted connections close meanwhile.
const SLOT_ATTEMPTS: usize = 20;
/// How long the evicted connections have for it each time.
const SLOT_WAIT: Duration = Duration::from_millis(1);
/// How long an accept waits after one that failed: usually the process is short of descriptors.
pub(super) const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// What the connections of all listeners share.
#[derive(Clone)]
pub struct ListenerContext {
    /// The core's queue.
    pub core: CoreHandle,
    /// All limits.
    pub limits: Arc<Limits>,
    /// Bytes held over all requests.
    pub budget: MemoryBudget,
    /// Client connections over all fronts.
    pub slots: ConnectionSlots,
    /// Bytes of answers not yet written.
    pub unsent_bytes: Arc<AtomicUsize>,
    /// What the core publishes.
    pub process_state: Arc<ProcessState>,
    /// The admin endpoint's commands that change the exclusions.
    pub exclusion_commands: ExclusionCommands,
    /// Set once the listeners close.
    pub listeners_closing: Arc<AtomicBool>,
    /// Set once the process ends: each connection closes when nothing is unread, half read or pending on it.
    pub shutting_down: Arc<AtomicBool>,
    /// Loops that accept connections.
    pub accept_loops: Arc<AtomicUsize>,
}

impl ListenerContext {
    /// The context of a process that starts.
    pub fn new(core: CoreHandle, limits: Arc<Limits>, process_state: Arc<ProcessState>) -> Self {
        ListenerContext {
            core,
            budget: MemoryBudget::new(limits.memory_budget_bytes),
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

    /// Starts the writer of a client connection.
    ///
    /// # Errors
    /// No coroutine could be started.
    pub fn outbox(&self, stream: TcpStream) -> io::Result<Outbox> {
        Outbox::start(stream, &self.limits, &self.budget, &self.unsent_bytes)
    }
}

/// What serves a connection of some front.
pub type Serve = fn(TcpStream, &ListenerContext, SlotGuard);

/// A front's listener.
pub struct Listener {
    /// Where clients connect.
    pub socket: Arc<TcpListener>,
    /// The front's name in the log.
    pub front: &'static str,
    /// What serves its connections.
    pub serve: Serve,
}

/// Accepts connections until the listeners close, each served by a coroutine of its own.
pub fn accept(
    listener: &TcpListener,
    context: &ListenerContext,
    front: &'static str,
    serve: Serve,
) {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                admit(stream, peer, context, front, serve);
                // Lets the connection be read before the next is taken: many that come at once would else all be
                // idle here, as if they had nothing to send.
                may::coroutine::yield_now();
            }
            Err(_) if context.listeners_closing.load(Ordering::Acquire) => break,
            Err(error) => {
                log_limited!("{}", messages::accept_failed(front, &error));
                sleep(ACCEPT_RETRY);
            }
        }
    }
    context.accept_loops.fetch_sub(1, Ordering::AcqRel);
}

fn admit(
    stream: TcpStream,
    peer: SocketAddr,
    context: &ListenerContext,
    front: &'static str,
    serve: Serve,
) {
    // Guards the descriptors that connections to workers and the discovery service need.
    let Some(guard) = acquire_slot(context) else {
        return log_limited!("{}", messages::slots_exhausted(front, peer));
    };
    let connection_context = context.clone();
    let _ = stream.set_nodelay(true); // a connection without it is only slower
    let run = move || serve(stream, &connection_context, guard);
    if let Err(error) = spawn(context.limits.coroutine_stack_bytes, run) {
        log_limited!("{}", messages::connection_not_served(front, peer, &error));
    }
}

/// Closes a listener. Connections in its queue have been accepted by the system: they are served first, as the close
/// would reset them.
pub fn close(listener: &Listener, context: &ListenerContext) {
    while let Ok((stream, peer)) = listener.socket.inner().accept() {
        // SAFETY: the descriptor is open and ours alone, `into_raw_fd` has just let go of it; `may` has no other way to
        // take a connection over, and its own `accept` would wait where the queue is empty.
        #[allow(unsafe_code)]
        let stream = unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) };
        admit(stream, peer, context, listener.front, listener.serve);
    }
    // Wakes the coroutine that waits in accept; it sees that the listeners close.
    let _ = socket2::SockRef::from(listener.socket.inner()).shutdown(std::net::Shutdown::Both);
}

/// A slot, if need be that of an idle connection.
fn acquire_slot(context: &ListenerContext) -> Option<SlotGuard> {
    let mut guard = context.slots.acquire();
    for _ in 0..SLOT_ATTEMPTS {
        if guard.is_some() || !context.slots.evict_idle() {
            break;
        }
        sleep(SLOT_WAIT); // evicted connections close meanwhile
        guard = context.slots.acquire();
    }
    guard
}
