//! The fronts: each parses its protocol, hands neutral requests to the core and writes the one final answer.
pub mod admin;
pub mod fastcgi;
pub mod kserve;

use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::net::{pause, spawn, Outbox, Seat, Seats};
use crate::process_state::ProcessState;
use crate::queue::CoreHandle;
use may::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const SEAT_TRIES: usize = 20;

/// Why a connection ends on which a request came after it had been ended to make room for another.
const EVICTED: &str = "ended to make room before its request was read";

/// What every front needs.
#[derive(Clone)]
pub struct Doors {
    /// The core's queue.
    pub core: CoreHandle,
    /// All limits.
    pub limits: Arc<Limits>,
    /// Bytes held over all requests.
    pub budget: MemoryBudget,
    /// Client connections over all fronts.
    pub seats: Seats,
    /// Bytes of answers not yet written.
    pub unsent: Arc<AtomicUsize>,
    /// What the core shows.
    pub shared: Arc<ProcessState>,
    /// Set once the listeners are to close.
    pub closing: Arc<AtomicBool>,
    /// Set once the process is to end: each connection closes when nothing lies unread, is half read or owed on it.
    pub ending: Arc<AtomicBool>,
    /// Loops that accept connections.
    pub accepting: Arc<AtomicUsize>,
}

impl Doors {
    /// Starts the writer of a client connection.
    pub fn outbox(&self, stream: TcpStream) -> std::io::Result<Outbox> {
        Outbox::start(stream, &self.limits, &self.budget, &self.unsent)
    }
}

/// Accepts connections until the listeners close, each served by a coroutine of its own.
pub fn accept(listener: &TcpListener, doors: &Doors, front: &'static str, serve: Serve) {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                admit(stream, peer, doors, front, serve);
                // Lets the connection be read before the next is taken: many that come at once would else
                // all stand here as if they had nothing to say.
                may::coroutine::yield_now();
            }
            Err(_) if doors.closing.load(Ordering::Acquire) => break,
            Err(e) => {
                note!("{front}: accept: {e}");
                pause(Duration::from_millis(10));
            }
        }
    }
    doors.accepting.fetch_sub(1, Ordering::AcqRel);
}

fn admit(stream: TcpStream, peer: SocketAddr, doors: &Doors, front: &'static str, serve: Serve) {
    // Guards the descriptors that workers and the board need.
    let Some(seat) = seat(doors) else {
        return note!("{front}: connection of {peer} closed, all client connections are taken");
    };
    let inside = doors.clone();
    let _ = stream.set_nodelay(true); // a connection without it is only slower
    if let Err(e) = spawn(doors.limits.stack, move || serve(stream, &inside, seat)) {
        note!("{front}: connection of {peer} closed: {e}");
    }
}

/// Closes a listener. What stands in its queue by then the machine has accepted: it is taken first, or a reset would
/// be its answer.
pub fn close(listener: &Listener, doors: &Doors) {
    while let Ok((stream, peer)) = listener.socket.inner().accept() {
        // SAFETY: the descriptor is open and ours alone, `into_raw_fd` has just let go of it; `may` has no other way to
        // take a connection over, and its own `accept` would wait where the queue is empty.
        #[allow(unsafe_code)]
        let stream = unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) };
        admit(stream, peer, doors, listener.front, listener.serve);
    }
    // Wakes the coroutine that waits in accept; it sees that the doors are closing.
    let _ = socket2::SockRef::from(listener.socket.inner()).shutdown(std::net::Shutdown::Both);
}

/// What serves a connection of some front.
pub type Serve = fn(TcpStream, &Doors, Seat);

/// A front's listener.
pub struct Listener {
    /// Where clients connect.
    pub socket: Arc<TcpListener>,
    /// The front's name in the log.
    pub front: &'static str,
    /// What serves its connections.
    pub serve: Serve,
}

/// A seat, if need be one that others give up.
fn seat(doors: &Doors) -> Option<Seat> {
    let mut seat = doors.seats.take();
    for _ in 0..SEAT_TRIES {
        if seat.is_some() || !doors.seats.clear() {
            break;
        }
        pause(Duration::from_millis(1)); // those that were told to close do so meanwhile
        seat = doors.seats.take();
    }
    seat
}

/// A request's figures as a client told them; 0 where it did not.
#[derive(Default)]
pub struct Figures {
    /// Its wait, in ms.
    pub wait_ms: f64,
    /// Memory of a copy, in MB.
    pub memory_mb: f64,
    /// Calls that a copy runs at a time.
    pub lanes: f64,
    /// Usual time of a load, in ms.
    pub load_ms: f64,
}

impl Figures {
    /// Whether they can be used. Guards clock and module against what is not a number, negative or huge.
    pub fn check(&self, limits: &Limits) -> Result<(), &'static str> {
        let longest = limits.longest_wait as f64 / 1000.0;
        let fits = |value: f64, most: f64| (0.0..=most).contains(&value);
        if !fits(self.wait_ms, longest) {
            return Err("the wait is out of range");
        }
        let fit = fits(self.memory_mb, limits.memory_mb) && fits(self.load_ms, longest);
        (fit && fits(self.lanes, limits.lanes))
            .then_some(())
            .ok_or("a figure is out of range")
    }
}

/// Whether an idempotency key can travel on every wire: no separator, no blank.
pub fn token_fits(token: &str) -> bool {
    !token.is_empty()
        && token.len() <= 128
        && token
            .bytes()
            .all(|b| b.is_ascii_graphic() && !b",=;\"\\".contains(&b))
}

/// The function that 16 hex digits name.
pub fn function(name: &str) -> Option<u64> {
    (name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(name, 16).ok())
        .flatten()
}
