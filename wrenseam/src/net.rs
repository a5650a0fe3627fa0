//! What all connections share: a writer coroutine with its ring, and the count of client connections.
use crate::core::{Presence, Sight};
use crate::limits::{Budget, Held, Limits};
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use may::sync::{Mutex, MutexGuard};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::{Duration, Instant};

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

/// Has a coroutine wait, and go on with the scheduler's other coroutines.
pub fn pause(span: Duration) {
    may::coroutine::sleep(span);
    back();
}

/// Takes a coroutine back to the scheduler's thread from where a wait's time was up: `may` has it go on in its thread
/// of timers. A socket that is waited for there can be ready, used and gone in the scheduler's thread before the wait
/// has been written down: the thread of timers then panicked, and no wait of the process ever ended again.
pub fn back() {
    may::coroutine::yield_now();
}

/// Whether an error of a blocking call only means that its time was up.
pub fn timed_out(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// The system calls on connections to workers, behind which tests put short and failing ones.
pub trait SystemCalls: Send + Sync {
    /// Connects within a span of time.
    ///
    /// # Errors
    /// No connection stands: nothing was written.
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<TcpStream>;

    /// Writes what goes out at once, and never waits.
    ///
    /// # Errors
    /// Nothing was written.
    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize>;
}

/// The machine's own calls.
pub struct DirectCalls;

impl SystemCalls for DirectCalls {
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<TcpStream> {
        TcpStream::connect_timeout(address, within)
    }

    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        write_now(stream, bytes)
    }
}

/// Writes what goes out at once, and never waits: `WouldBlock` if nothing does.
pub fn write_now(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    let mut inner = stream.inner();
    inner.write(bytes)
}

/// Full reads in a row after which others have their turn: more than the largest request takes.
const FULL_READS: u32 = 16;
/// How long that is. A mere yield would run the same coroutine again before any other connection is looked at.
const TURN: Duration = Duration::from_micros(100);
/// Held by the one reader whose client may send at full speed now. Where each of several only waited for its time, the
/// next was ready before the one had read, and the scheduler never came to look at a socket.
static AT_FULL_SPEED: OnceLock<Mutex<()>> = OnceLock::new();

/// Counts reads of a client that sends at full speed.
#[derive(Default)]
pub struct Reads {
    full: u32,
    turn: Option<MutexGuard<'static, ()>>,
}

impl Reads {
    /// One read was made; `full` if it filled the ring, so that more may lie behind it.
    pub fn made(&mut self, full: bool) {
        if !full {
            (self.full, self.turn) = (0, None);
            return;
        }
        self.full += 1;
        if self.full < FULL_READS {
            return;
        }
        self.full = 0;
        if self.turn.is_some() {
            pause(TURN); // nobody else at full speed runs meanwhile, so all other connections are looked at
        }
        self.turn = None;
        self.turn = AT_FULL_SPEED.get_or_init(Mutex::default).lock().ok();
    }
}

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

impl Sight for Eye {
    fn presence(&self) -> Presence {
        let Some(socket) = self.0.upgrade() else { return Presence::Left };
        match socket.0.inner().peek(&mut [0]) {
            Ok(n) if n > 0 => Presence::Unread,
            Err(e) if timed_out(&e) => Presence::Here,
            _ => Presence::Left,
        }
    }
}

enum Chunk {
    Bytes(Vec<u8>, Option<Held>),
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
    budget: Budget,
    most: usize,
    sight: Arc<dyn Sight>,
    socket: Weak<Socket>,
}

impl Outbox {
    /// Starts the writer of a connection. `unsent` counts bytes over all connections.
    pub fn start(
        stream: TcpStream, limits: &Arc<Limits>, budget: &Budget, unsent: &Arc<AtomicUsize>,
    ) -> io::Result<Outbox> {
        let (chunks, queue) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (most, stack) = (limits.unsent_per_connection, limits.stack);
        let (unsent, budget, ending) = (unsent.clone(), budget.clone(), Arc::default());
        let socket = Arc::new(Socket(stream));
        let weak = Arc::downgrade(&socket);
        let sight = Arc::new(Eye(weak.clone()));
        let out = Outbox { chunks, waiting, unsent, ending, budget, most, sight, socket: weak };
        let (limits, waiting, unsent) = (limits.clone(), out.waiting.clone(), out.unsent.clone());
        let ending = out.ending.clone();
        spawn(stack, move || {
            write_out(&socket.0, &queue, &limits, &waiting, &unsent);
            drop(socket);
            ending.written.store(true, Ordering::Release);
        })?;
        Ok(out)
    }

    /// The connection, for whoever wants to know whether its client still stands.
    pub fn sight(&self) -> Arc<dyn Sight> {
        self.sight.clone()
    }

    /// Queues bytes. A client that does not read what it is owed loses its connection, not others theirs.
    pub fn send(&self, bytes: Vec<u8>) {
        let len = bytes.len();
        let held = self.budget.take(len);
        if held.is_none() || self.waiting.load(Ordering::Relaxed) + len > self.most {
            note!("client: closed, {} bytes of answers wait unread", self.waiting.load(Ordering::Relaxed));
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
    fn end_if_quiet(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return true };
        if self.waiting.load(Ordering::Acquire) > 0 || self.sight.presence() == Presence::Unread {
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
            ended |=
                written && (since.elapsed() > limits.linger || self.ending.dropped.load(Ordering::Acquire));
        }
        while !self.ending.written.load(Ordering::Acquire) {
            pause(limits.linger / 64); // the writer ends by itself: see `Limits::write_stall`
        }
    }
}

/// First wait of a write that would block; twice as long each time, up to `Limits::write_check`.
const NAP: Duration = Duration::from_millis(1);

fn write_out(
    stream: &TcpStream, queue: &Receiver<Chunk>, limits: &Limits, waiting: &AtomicUsize, unsent: &AtomicUsize,
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
            match write_now(stream, ring.front()) {
                Ok(n) if n > 0 => {
                    ring.consume(n);
                    (stalled, nap) = (Duration::ZERO, NAP);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if timed_out(&e) && stalled < limits.write_stall => {
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
    let _ = stream.shutdown(if half { Shutdown::Write } else { Shutdown::Both });
    // What is still queued will not be written.
    while let Ok(chunk) = queue.try_recv() {
        if let Chunk::Bytes(bytes, _) = chunk {
            unsent.fetch_sub(bytes.len(), Ordering::AcqRel);
        }
    }
}

/// The client connections over all fronts, against their limit.
#[derive(Clone)]
pub struct Seats {
    taken: Arc<Mutex<BTreeMap<u64, Arc<Occupant>>>>,
    most: usize,
    draining: Arc<AtomicBool>,
    /// How many are taken, for whoever shares the descriptors.
    count: Arc<AtomicUsize>,
}

/// What a client connection is at.
#[derive(Clone, Copy)]
struct Use {
    /// Requests that are owed an answer.
    open: usize,
    /// When the last of them ended; else when it connected.
    since: Instant,
    /// Whether a request of it has been served or refused: others may never say anything of use.
    proven: bool,
    /// Whether it was ended to make room for another: no request is taken on it any more.
    evicted: bool,
}

/// One client connection, as the seats know it.
pub struct Occupant {
    /// The connection's number, unique in the program.
    pub number: u64,
    state: Mutex<(Use, Option<Outbox>)>,
    draining: Arc<AtomicBool>,
}

impl Occupant {
    fn change(&self, change: impl FnOnce(&mut Use)) {
        if let Ok(mut state) = self.state.lock() {
            change(&mut state.0);
        }
    }

    /// Names the sending side, by which the connection can be closed.
    pub fn writes_to(&self, out: &Outbox) {
        if let Ok(mut state) = self.state.lock() {
            state.1 = Some(out.clone());
        }
    }

    /// A request has been read and goes to the core. False if the connection was evicted: a request that is sent on
    /// from it could not be answered, and its client would send it once more.
    #[must_use]
    pub fn opened(&self) -> bool {
        let Ok(mut state) = self.state.lock() else { return false };
        let taken = !state.0.evicted;
        state.0.open += usize::from(taken);
        taken
    }

    /// Answers a request: `write` queues the answer, and only then the request is owed nothing any more. In the other
    /// order a reader that closes connections on which nothing is owed closes this one ahead of the answer. `proven`
    /// if the request was one that workers could take.
    pub fn answered(&self, proven: bool, write: impl FnOnce()) {
        write();
        self.ended(proven);
    }

    /// A request is owed nothing any more: its client gave it up, or it has been answered.
    pub fn ended(&self, proven: bool) {
        self.change(|u| {
            (u.open, u.since) = (u.open.saturating_sub(1), Instant::now());
            u.proven |= proven;
        });
    }

    /// Ends the connection to make room for another, unless something is owed, unread or unwritten on it. That is
    /// decided under the lock that `opened` takes: no request is taken on a connection that ends here.
    fn evict(&self) -> bool {
        let Ok(mut state) = self.state.lock() else { return false };
        let (usage, out) = &mut *state;
        let quiet = || out.as_ref().is_some_and(Outbox::end_if_quiet);
        usage.evicted = usage.evicted || usage.open == 0 && quiet();
        usage.evicted
    }

    /// Something was answered at once.
    pub fn heard(&self) {
        self.change(|u| u.since = Instant::now());
    }

    /// Whether nothing is owed here.
    pub fn is_idle(&self) -> bool {
        self.state.lock().is_ok_and(|s| s.0.open == 0)
    }

    /// Whether an answer may still be on its way: one was given so recently.
    pub fn answered_within(&self, span: Duration) -> bool {
        self.state.lock().is_ok_and(|s| s.0.since.elapsed() <= span)
    }

    /// Whether nothing has been owed here for so long that the connection should end. Guards descriptors and
    /// memory against connections that say nothing, or ask once and stay. Usual clients close sooner.
    pub fn outstayed(&self, limits: &Limits) -> bool {
        let Ok(state) = self.state.lock() else { return true };
        let Use { open, since, proven, .. } = state.0;
        let most = match () {
            // A drain lets the front end go once its clients have: it holds no connection idle for long.
            () if self.draining.load(Ordering::Acquire) => limits.drain_idle,
            () if proven => limits.client_idle,
            () => limits.first_request,
        };
        open == 0 && since.elapsed() > most
    }
}

impl Seats {
    /// So many connections; while `draining` is set, connections on which nothing is owed close soon.
    pub fn new(most: usize, draining: Arc<AtomicBool>, count: Arc<AtomicUsize>) -> Self {
        Seats { taken: Arc::default(), most, draining, count }
    }

    /// A seat, or nothing if all are taken.
    pub fn take(&self) -> Option<Seat> {
        let mut taken = self.taken.lock().ok()?;
        if taken.len() >= self.most {
            return None;
        }
        let usage = Use { open: 0, since: Instant::now(), proven: false, evicted: false };
        let state = Mutex::new((usage, None));
        let draining = self.draining.clone();
        let occupant = Arc::new(Occupant { number: connection_number(), state, draining });
        taken.insert(occupant.number, occupant.clone());
        self.count.store(taken.len(), Ordering::Release);
        Some(Seat { seats: self.clone(), occupant })
    }

    /// Closes a part of the connections on which nothing is owed: first those that never asked for anything of
    /// use, then those idle longest. Guards usual clients against hundreds that connect and say nothing.
    /// Whether any is or may soon be free.
    pub fn clear(&self) -> bool {
        let Ok(taken) = self.taken.lock() else { return false };
        // Those that have only just been accepted are not known to have anything to say yet.
        let new = |o: &Arc<Occupant>| o.state.lock().is_ok_and(|s| s.1.is_none());
        let new = taken.values().any(new);
        let idle = |o: &Arc<Occupant>| {
            let state = o.state.lock().ok()?;
            let idle = state.1.is_some() && state.0.open == 0;
            idle.then(|| ((state.0.proven, state.0.since), o.clone()))
        };
        let mut idle: Vec<_> = taken.values().filter_map(idle).collect();
        drop(taken);
        idle.sort_by_key(|i| i.0);
        let evicted = idle.iter().filter(|(_, occupant)| occupant.evict());
        let _ = evicted.take(self.most.div_ceil(16)).count();
        new || !idle.is_empty()
    }
}

/// One client connection's place; given back when dropped.
pub struct Seat {
    seats: Seats,
    /// Who has it.
    pub occupant: Arc<Occupant>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Ok(mut taken) = self.seats.taken.lock() {
            taken.remove(&self.occupant.number);
            self.seats.count.store(taken.len(), Ordering::Release);
        }
    }
}
