//! The platform's binary frames: attempts, orders and cancels over shared connections to one worker.
use super::ticket::{Cut, Line, Ticket, LOOK_AGAIN};
use super::{Reports, Terms, Transport};
use crate::core::{AttemptKey, Payload, Report, Request};
use crate::limits::Limits;
use crate::net::{connection_number, pause, spawn, timed_out, write_now};
use crate::ring::Ring;
use bramblepath::{FunctionId, Micros, Outcome};
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use may::sync::Mutex;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const FROM_US: u8 = 126;
const FROM_WORKER: u8 = 127;
const CALL: u8 = 2;
const GIVE_UP: u8 = 3;
const HOLD: u8 = 6;
const UNLOAD: u8 = 8;
const HEADER: usize = 16;
const CHECK: usize = 4;

/// One frame as bytes.
pub fn encode(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER + fields.len() + body.len() + CHECK);
    frame.extend([FROM_US, code]);
    frame.extend((fields.len() as u16).to_be_bytes());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(id.to_be_bytes());
    frame.extend(fields.as_bytes());
    frame.extend(body);
    let check = crc32fast::hash(&frame[HEADER..]);
    frame.extend(check.to_be_bytes());
    frame
}

/// An answer read whole.
#[derive(Debug, PartialEq)]
pub struct Frame {
    /// Its code.
    pub code: u8,
    /// The id it answers.
    pub id: u64,
    /// `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Frame {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.split(',').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name)).map(|p| p.1)
    }
}

/// Puts frames together from what a ring holds.
#[derive(Default)]
pub struct Decoder {
    got: Vec<u8>,
}

impl Decoder {
    /// Whether a frame has begun and is not whole.
    pub fn midway(&self) -> bool {
        !self.got.is_empty()
    }

    /// The next whole frame, or what is wrong with the stream.
    pub fn next(&mut self, ring: &mut Ring, most: usize) -> Result<Option<Frame>, String> {
        if self.got.len() < HEADER {
            ring.take(HEADER - self.got.len(), &mut self.got);
        }
        let [mark, code, f0, f1, b0, b1, b2, b3, id @ ..] = &self.got[..] else { return Ok(None) };
        let Some(id) = id.first_chunk::<8>() else { return Ok(None) };
        if *mark != FROM_WORKER {
            return Err(format!("mark {mark}"));
        }
        let (code, id) = (*code, u64::from_be_bytes(*id));
        let fields = usize::from(u16::from_be_bytes([*f0, *f1]));
        let body = u32::from_be_bytes([*b0, *b1, *b2, *b3]) as usize;
        if body > most {
            return Err(format!("length {body}"));
        }
        let all = HEADER + fields + body + CHECK;
        ring.take(all - self.got.len(), &mut self.got);
        if self.got.len() < all {
            return Ok(None);
        }
        let got = std::mem::take(&mut self.got);
        let (content, check) = got[HEADER..].split_at(fields + body);
        if crc32fast::hash(content).to_be_bytes() != *check {
            return Err("check sum".to_owned());
        }
        let fields_text = String::from_utf8_lossy(&content[..fields]).into_owned();
        Ok(Some(Frame { code, id, fields: fields_text, body: content[fields..].to_vec() }))
    }
}

/// The outcome that an answer's code stands for.
fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        200 => Outcome::Ok,
        202 => Outcome::Miss,
        203 => Outcome::Full,
        204 => Outcome::Error,
        205 => Outcome::Moot,
        _ => return None,
    })
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum What {
    Attempt(AttemptKey),
    Order(u64),
    /// A question of the connection's own, whose answer shows that it still carries any.
    Word,
}

/// What is to be written. Calls and orders to load wait for the connection, and may not go after a drain.
enum Command {
    Open(Opening),
    Cancel(What),
    Plain(Vec<u8>),
    /// Ends the connection, unless something has come on it since then.
    Close(Instant),
}

/// A frame that opens an exchange.
struct Opening {
    what: What,
    id: u64,
    function: FunctionId,
    frame: Vec<u8>,
    bound: bool,
    ticket: Arc<Ticket>,
}

/// An exchange in the ring or out: where in the stream its frame ends.
struct Exchange {
    what: What,
    end: u64,
    since: Instant,
    function: FunctionId,
    ticket: Arc<Ticket>,
}

#[derive(Default)]
struct Table {
    open: BTreeMap<u64, Exchange>,
    broken: bool,
    /// When an answer was last read here.
    heard: Option<Instant>,
}

/// What the core's side, the writer and the reader of one connection share.
#[derive(Default)]
struct State {
    /// Exchanges handed to this connection and not ended.
    load: AtomicUsize,
    broken: AtomicBool,
    retired: AtomicBool,
    written: AtomicU64,
    /// Whether the writer has taken the last question for a word over.
    asking: AtomicBool,
    table: Mutex<Table>,
}

struct Link {
    commands: Sender<Command>,
    state: Arc<State>,
    used: Instant,
    /// When it was asked for a word that has not come.
    asked: Option<Instant>,
    /// For how long it has been mute since.
    mute: Duration,
    /// What was handed to it and may still be taken back.
    tickets: HashMap<What, Arc<Ticket>>,
    /// The ids of calls that it carried, and until when one of them may come again.
    carried: HashMap<u64, Instant>,
}

impl Link {
    /// Since when no byte went or came here that we know of.
    fn quiet_since(&self) -> Instant {
        let heard = self.state.table.lock().ok().and_then(|t| t.heard);
        heard.map_or(self.used, |h| h.max(self.used))
    }
}

/// The transport to one worker.
pub struct Frames {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: Reports,
    links: Vec<Link>,
    /// When they were last looked at.
    pulsed: Option<Instant>,
}

impl Frames {
    /// No connection is opened before it is needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: Reports) -> Self {
        Frames { address, limits, reports, links: Vec::new(), pulsed: None }
    }

    /// Whether a connection takes one more exchange. One that has lain idle for long is not taken even where the
    /// sweep has not closed it yet: the worker may be closing it just now.
    fn usable(&self, l: &Link) -> bool {
        let state = &l.state;
        let load = state.load.load(Ordering::Acquire);
        !state.broken.load(Ordering::Acquire)
            && !state.retired.load(Ordering::Acquire)
            && load < self.limits.streams
            && (load > 0 || l.quiet_since().elapsed() <= self.limits.worker_idle)
    }

    fn idle(l: &Link) -> bool {
        !l.state.broken.load(Ordering::Acquire) && l.state.load.load(Ordering::Acquire) == 0
    }

    /// A connection with room, a new one if need be. None that carried this id before: an answer to the first
    /// exchange under it that comes late, or twice, would be taken for the second's.
    fn link(&mut self, id: Option<u64>) -> &mut Link {
        let fresh = |l: &Link| id.is_none_or(|id| !l.carried.contains_key(&id));
        let at = self.links.iter().position(|l| self.usable(l) && fresh(l)).unwrap_or_else(|| {
            let (commands, queue) = channel();
            let state = Arc::new(State::default());
            let (address, limits) = (self.address, self.limits.clone());
            let (reports, of) = (self.reports.clone(), state.clone());
            let started = spawn(self.limits.stack, move || Writer::run(address, queue, of, limits, reports));
            if let Err(e) = started {
                note!("worker {address}: no coroutine: {e}"); // the commands' timers end them
            }
            let (used, asked, mute) = (Instant::now(), None, Duration::ZERO);
            let (tickets, carried) = (HashMap::new(), HashMap::new());
            self.links.push(Link { commands, state, used, asked, mute, tickets, carried });
            self.links.len() - 1
        });
        self.links[at].used = Instant::now();
        &mut self.links[at]
    }

    /// Gives an exchange up. True proves that nothing of it was or will be written.
    fn give_up(&mut self, what: What) -> bool {
        let Some((link, ticket)) =
            self.links.iter_mut().find_map(|l| Some((l.tickets.remove(&what)?, l))).map(|(t, l)| (l, t))
        else {
            return false;
        };
        if ticket.take_back() {
            link.state.load.fetch_sub(1, Ordering::AcqRel);
            return true;
        }
        let _ = link.commands.send(Command::Cancel(what));
        false
    }

    fn open(&mut self, opening: Opening, until: Option<Instant>) {
        let (what, ticket) = (opening.what, opening.ticket.clone());
        let link = self.link(until.map(|_| opening.id));
        link.state.load.fetch_add(1, Ordering::AcqRel);
        link.tickets.insert(what, ticket);
        if let Some(until) = until {
            link.carried.insert(opening.id, until);
        }
        let _ = link.commands.send(Command::Open(opening)); // its timer ends it at last
    }
}

/// Whether a connection that has been quiet for so long is asked for a word; its oldest exchange is so old, and
/// `new` if one has begun since it was heard. Asked less and less often while only a load is waited for.
fn word_due(new: bool, quiet: Duration, age: Duration, limits: &Limits) -> bool {
    let waited = if new { Duration::ZERO } else { age * limits.link_again / 100 };
    quiet > limits.link_quiet.max(waited)
}

fn hold(id: u64, function: FunctionId, copies: u32) -> Vec<u8> {
    encode(HOLD, id, &format!("path={function:016x},slots_up={copies}"), &[])
}

/// The fields of a call.
fn call_fields(request: &Request, budget: Micros) -> String {
    let (class, function, budget) = (&request.class, request.function, (budget / 1000).max(1));
    let mut fields = format!("queue={class},path={function:016x},budget={budget}");
    if let Some(token) = &request.token {
        fields.push_str(",uniq=");
        fields.push_str(token);
    }
    fields
}

impl Transport for Frames {
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, terms: Terms) {
        let (id, function) = (request.wire_id, request.function);
        let frame = encode(CALL, id, &call_fields(request, terms.budget), request.payload.bytes());
        let ticket = Ticket::call(request, terms, Instant::now());
        let what = What::Attempt(key);
        // Its id may come again as long as its client waits, and answers to it a little longer.
        let until = request.read_at + Duration::from_micros(request.wait) + self.limits.late_answer;
        self.open(Opening { what, id, function, frame, bound: true, ticket }, Some(until));
    }

    fn cancel(&mut self, key: AttemptKey) -> bool {
        self.give_up(What::Attempt(key))
    }

    fn lapse(&mut self, order: u64) {
        self.give_up(What::Order(order));
    }

    fn is_idle(&self) -> bool {
        self.links.is_empty()
    }

    fn order(&mut self, order: u64, function: FunctionId, copies: u32) {
        // Orders' ids come from the far end of the range, away from chance: clients draw theirs at random.
        let id = u64::MAX - order;
        let frame = hold(id, function, copies);
        // Guards the ration: it counts an order when it arrives, and several that a late connection held back would
        // arrive in one span.
        let ticket =
            Ticket::new(Arc::default(), Instant::now() + self.limits.connect + self.limits.write_check);
        let what = What::Order(order);
        self.open(Opening { what, id, function, frame, bound: copies > 0, ticket }, None);
    }

    fn unload(&mut self, function: FunctionId) {
        let frame = encode(UNLOAD, function, "", &[]);
        let _ = self.link(None).commands.send(Command::Plain(frame)); // owed no answer
    }

    fn retire(&mut self) {
        self.links.iter().for_each(|l| l.state.retired.store(true, Ordering::Release));
    }

    /// Guards calls from a connection that stays open and carries nothing any more: what is open there would
    /// wait for its full time, and new calls would join it. A question of no effect shows whether it lives. Only the
    /// time counts as silence in which we looked, and the writer had the question: a busy machine may hold either up.
    fn pulse(&mut self) {
        if self.links.is_empty() {
            self.pulsed = None; // most of ten thousand workers: no look at a clock for each
            return;
        }
        let (limits, now) = (self.limits.clone(), Instant::now());
        let looked = Duration::from_micros(2 * limits.link_check);
        let looked = self.pulsed.replace(now).map_or(Duration::ZERO, |last| (now - last).min(looked));
        for link in self.links.iter_mut().filter(|l| !l.state.broken.load(Ordering::Acquire)) {
            let Ok(table) = link.state.table.lock() else { continue };
            let open = || table.open.values().filter(|e| e.what != What::Word);
            let oldest = open().min_by_key(|e| e.since).map(|e| (e.since, e.function));
            let heard = table.heard;
            let new = open().any(|e| heard.is_none_or(|h| e.since > h));
            drop(table);
            match (link.asked, oldest) {
                (Some(asked), _) if heard.is_some_and(|h| h >= asked) => link.asked = None,
                (Some(asked), _) => {
                    if link.state.asking.load(Ordering::Acquire) {
                        link.mute += looked;
                    }
                    if link.mute > limits.link_answer {
                        let _ = link.commands.send(Command::Close(asked));
                    }
                }
                (None, Some((since, function))) => {
                    let quiet = heard.map_or(since, |h| h.max(since)).elapsed();
                    if word_due(new, quiet, since.elapsed(), &limits) {
                        let (id, what) = (u64::MAX / 2 - connection_number(), What::Word);
                        link.state.load.fetch_add(1, Ordering::AcqRel);
                        let frame = hold(id, function, 0);
                        let ticket = Ticket::new(Arc::default(), now + limits.write_stall);
                        let opening = Opening { what, id, function, frame, bound: false, ticket };
                        link.state.asking.store(false, Ordering::Release);
                        (link.asked, link.mute) = (Some(now), Duration::ZERO);
                        let _ = link.commands.send(Command::Open(opening));
                    }
                }
                _ => {}
            }
        }
    }

    fn sweep(&mut self) {
        let (idle, now) = (self.limits.worker_idle, Instant::now());
        // Dropping the sender lets the writer close. Guards against a send that crosses the worker's own close.
        self.links.retain_mut(|l| {
            l.tickets.retain(|_, t| Arc::strong_count(t) > 1);
            l.carried.retain(|_, until| *until > now);
            let quiet = l.state.load.load(Ordering::Acquire) == 0;
            let old = quiet && l.quiet_since().elapsed() > idle || l.state.retired.load(Ordering::Acquire);
            !(l.state.broken.load(Ordering::Acquire) || quiet && old)
        });
    }

    fn connections(&self) -> (usize, bool) {
        let standing = self.links.iter().filter(|l| !l.state.broken.load(Ordering::Acquire)).count();
        (standing, !self.links.iter().any(|l| self.usable(l)))
    }

    fn idle_since(&self) -> Option<Instant> {
        self.links.iter().filter(|l| Frames::idle(l)).map(Link::quiet_since).min()
    }

    fn close_idle(&mut self) {
        let idle = self.links.iter().enumerate().filter(|(_, l)| Frames::idle(l));
        if let Some((at, _)) = idle.min_by_key(|(_, l)| l.quiet_since()) {
            self.links.swap_remove(at); // dropping the sender lets the writer close
        }
    }
}

/// The writing coroutine of one connection.
struct Writer {
    address: SocketAddr,
    state: Arc<State>,
    reports: Reports,
    limits: Arc<Limits>,
    waiting: VecDeque<Command>,
    /// The frames in the ring.
    line: Line,
    ring: Ring,
}

fn report(reports: &Reports, state: &State, what: What, outcome: Outcome) {
    state.load.fetch_sub(1, Ordering::AcqRel);
    match what {
        What::Attempt(key) => reports.ended(key, Report::bare(outcome)),
        What::Order(order) => reports.ordered(order, outcome, 0),
        What::Word => {}
    }
}

/// Ends everything open on a connection: what was not wholly written proves that nothing ran.
fn break_up(state: &State, reports: &Reports) {
    state.broken.store(true, Ordering::Release);
    let open = {
        let Ok(mut table) = state.table.lock() else { return };
        table.broken = true;
        std::mem::take(&mut table.open)
    };
    let written = state.written.load(Ordering::Acquire);
    for exchange in open.into_values() {
        let outcome = if exchange.end <= written { Outcome::Reset } else { Outcome::ConnectFailed };
        if exchange.ticket.end() {
            report(reports, state, exchange.what, outcome);
        }
    }
}

impl Writer {
    fn run(
        address: SocketAddr, queue: Receiver<Command>, state: Arc<State>, limits: Arc<Limits>,
        reports: Reports,
    ) {
        let ring = Ring::new(limits.worker_ring);
        let (waiting, line) = (VecDeque::new(), Line::default());
        let mut writer = Writer { address, state, reports, limits, waiting, line, ring };
        if let Err(why) = writer.connection(&queue) {
            note!("worker {address}: connection ended: {why}");
        }
        break_up(&writer.state, &writer.reports);
        // What is or comes still in the queue was never written. The core lets go of the queue at its sweep.
        for command in std::mem::take(&mut writer.waiting) {
            writer.refuse(command);
        }
        while let Ok(command) = queue.recv() {
            writer.refuse(command);
        }
    }

    fn refuse(&self, command: Command) {
        if let Command::Open(Opening { what, ticket, .. }) = command {
            if ticket.end() {
                report(&self.reports, &self.state, what, Outcome::ConnectFailed);
            }
        }
    }

    fn connection(&mut self, queue: &Receiver<Command>) -> Result<(), String> {
        let address = self.address;
        let text = |e: std::io::Error| e.to_string();
        let stream = TcpStream::connect_timeout(&address, self.limits.connect).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let reader = stream.try_clone().map_err(text)?;
        let (state, reports, limits) = (self.state.clone(), self.reports.clone(), self.limits.clone());
        spawn(self.limits.stack, move || {
            if let Err(why) = read_answers(reader, &state, &reports, &limits) {
                note!("worker {address}: connection closed: {why}");
            }
            break_up(&state, &reports);
        })
        .map_err(text)?;
        let mut end = Ok(());
        while end.is_ok() {
            // Nothing is left to write here: wait for more. The core lets go of idle connections.
            let Ok(command) = queue.recv() else { break };
            self.take(command);
            end = self.write_all(&stream, queue);
        }
        let _ = stream.shutdown(Shutdown::Both); // the reader sees the end and leaves
        end
    }

    fn take(&mut self, command: Command) {
        if matches!(command, Command::Open(Opening { what: What::Word, .. })) {
            self.state.asking.store(true, Ordering::Release);
        }
        self.waiting.push_back(command);
    }

    /// Whether nothing has come since a question was asked, read or unread: what came while we stood still lies there.
    fn mute(&self, asked: Instant, stream: &TcpStream) -> bool {
        let heard = self.state.table.lock().ok().and_then(|t| t.heard);
        heard.is_none_or(|h| h < asked) && nothing_lies(stream)
    }

    /// Writes until nothing waits.
    fn write_all(&mut self, stream: &TcpStream, queue: &Receiver<Command>) -> Result<(), String> {
        let mut stalled = Duration::ZERO;
        // Nothing waits inside a write: what is claimed goes out now or is not claimed, so that it is never older than
        // the look at its client.
        let nap = self.limits.write_check / 10;
        loop {
            while let Ok(command) = queue.try_recv() {
                self.take(command);
            }
            let close = |c: &Command| match c {
                Command::Close(asked) => Some(*asked),
                _ => None,
            };
            if self.waiting.iter().filter_map(close).any(|asked| self.mute(asked, stream)) {
                note!("worker {}: connection closed: no word from it", self.address);
                return Err("given up".to_owned());
            }
            self.waiting.retain(|c| close(c).is_none());
            if self.state.retired.load(Ordering::Acquire) {
                self.withhold();
            }
            self.fill()?;
            // While writes stall only the next frame is begun: what is behind it can be taken back.
            let written = self.state.written.load(Ordering::Acquire);
            let (most, cuts) = self.line.claim(written, Instant::now(), !stalled.is_zero());
            self.cut(cuts, Outcome::Moot);
            if self.ring.is_empty() {
                if self.waiting.is_empty() {
                    return Ok(());
                }
                continue; // all that was in it has been cut: what did not fit comes next
            }
            if most == 0 {
                pause(LOOK_AGAIN);
                continue;
            }
            let front = self.ring.front();
            match write_now(stream, &front[..most.min(front.len())]) {
                Ok(0) => return Err("closed".to_owned()),
                Ok(n) => {
                    stalled = Duration::ZERO;
                    self.ring.consume(n);
                    let written = self.state.written.fetch_add(n as u64, Ordering::AcqRel) + n as u64;
                    self.line.written(written);
                }
                Err(e) if timed_out(&e) => {
                    self.line.written(written);
                    pause(nap);
                    stalled += nap;
                    if self.line.is_overdue(written, Instant::now()) {
                        return Err("a repeat was not written while its worker would drop it".to_owned());
                    }
                    if stalled >= self.limits.write_stall {
                        return Err("nothing could be written for long".to_owned());
                    }
                }
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// Takes frames out of the ring of which no byte was written; those that had not ended yet end so.
    fn cut(&mut self, cuts: Vec<Cut>, outcome: Outcome) {
        if cuts.is_empty() {
            return;
        }
        let Ok(mut table) = self.state.table.lock() else { return };
        let mut ended = Vec::new();
        for Cut { at, len, id, ends } in cuts {
            self.ring.cut(at, len);
            let exchange = id.and_then(|id| table.open.remove(&id));
            ended.extend(exchange.filter(|_| ends).map(|e| e.what));
        }
        for (&id, exchange) in &mut table.open {
            exchange.end = self.line.end(id).unwrap_or(exchange.end); // those behind have moved up
        }
        drop(table);
        ended.into_iter().for_each(|what| report(&self.reports, &self.state, what, outcome));
    }

    /// After a drain: takes back what waits and what lies unbegun in the ring.
    fn withhold(&mut self) {
        let mut kept = VecDeque::new();
        for command in std::mem::take(&mut self.waiting) {
            match command {
                Command::Open(Opening { what, bound: true, ticket, .. }) => {
                    if ticket.end() {
                        report(&self.reports, &self.state, what, Outcome::Moot);
                    }
                }
                other => kept.push_back(other),
            }
        }
        self.waiting = kept;
        let written = self.state.written.load(Ordering::Acquire);
        let cuts = self.line.cut_where(written, |p| p.bound);
        self.cut(cuts, Outcome::Moot);
    }

    /// Moves what waits into the ring, as far as whole frames fit.
    fn fill(&mut self) -> Result<(), String> {
        while let Some(command) = self.waiting.front() {
            let len = match command {
                Command::Open(opening) => opening.frame.len(),
                Command::Plain(frame) => frame.len(),
                Command::Close(_) => 0,
                Command::Cancel(_) => HEADER + CHECK,
            };
            if len > self.ring.free() {
                if self.ring.is_empty() {
                    return Err(format!("a frame of {len} bytes is larger than the ring"));
                }
                return Ok(());
            }
            let Some(command) = self.waiting.pop_front() else { return Ok(()) };
            match command {
                Command::Open(opening) => self.join(opening)?,
                Command::Plain(frame) => self.plain(&frame),
                Command::Close(_) => {} // decided where it came in
                Command::Cancel(what) => {
                    // An order stands, whether its answer is awaited or not.
                    if let (Some(id), What::Attempt(_)) = (self.give_up(what), what) {
                        self.plain(&encode(GIVE_UP, id, "", &[]));
                    }
                }
            }
        }
        Ok(())
    }

    fn plain(&mut self, frame: &[u8]) {
        self.line.join(frame.len(), None, false, None);
        self.ring.push(frame);
    }

    fn join(&mut self, opening: Opening) -> Result<(), String> {
        let Opening { what, id, function, frame, bound, ticket } = opening;
        let Ok(mut table) = self.state.table.lock() else { return Err("poisoned".to_owned()) };
        if table.broken || table.open.contains_key(&id) {
            // Two exchanges under one id could not be told apart: the later one is not sent.
            drop(table);
            if ticket.end() {
                report(&self.reports, &self.state, what, Outcome::ConnectFailed);
            }
            return Ok(());
        }
        let end = self.line.join(frame.len(), Some(id), bound, Some(ticket.clone()));
        table.open.insert(id, Exchange { what, end, since: Instant::now(), function, ticket });
        self.ring.push(&frame);
        Ok(())
    }

    /// Closes what is out here; its id if a byte of it was written. If none was, none will be.
    fn give_up(&mut self, what: What) -> Option<u64> {
        let id = {
            let table = self.state.table.lock().ok()?;
            table.open.iter().find(|(_, e)| e.what == what).map(|(&id, _)| id)?
        };
        let written = self.state.written.load(Ordering::Acquire);
        let cuts = self.line.cut_where(written, |p| p.id == Some(id));
        self.state.load.fetch_sub(1, Ordering::AcqRel);
        if cuts.is_empty() {
            self.state.table.lock().ok()?.open.remove(&id);
            return Some(id);
        }
        // Whoever gave it up has ended it.
        self.cut(cuts.into_iter().map(|c| Cut { ends: false, ..c }).collect(), Outcome::Moot);
        None
    }
}

/// Reads answers until the connection ends.
fn read_answers(
    mut stream: TcpStream, state: &State, reports: &Reports, limits: &Limits,
) -> Result<(), String> {
    let (mut ring, mut decoder) = (Ring::new(limits.worker_ring), Decoder::default());
    stream.set_read_timeout(Some(limits.frame_stall)).map_err(|e| e.to_string())?;
    let end = loop {
        match ring.fill(&mut stream) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            // Guards against an answer that stops short: nothing more comes behind it.
            // (What came while we stood still lies there unread: that is no stop.)
            Err(e) if timed_out(&e) && decoder.midway() && nothing_lies(&stream) => {
                break Err("a frame stopped midway".to_owned())
            }
            Err(e) if timed_out(&e) => continue,
            Err(e) => break Err(e.to_string()),
        }
        match answers(&mut decoder, &mut ring, state, reports, limits.answer) {
            Ok(()) => {}
            // Guards against a stream that is out of step: nothing after this can be trusted.
            Err(why) => break Err(format!("bad frame: {why}")),
        }
    };
    let _ = stream.shutdown(Shutdown::Both);
    end
}

/// Whether nothing that came lies unread.
fn nothing_lies(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Err(e) if timed_out(&e))
}

fn answers(
    decoder: &mut Decoder, ring: &mut Ring, state: &State, reports: &Reports, most: usize,
) -> Result<(), String> {
    while let Some(frame) = decoder.next(ring, most)? {
        let outcome = outcome(frame.code).ok_or_else(|| format!("code {}", frame.code))?;
        let exchange = {
            let mut table = state.table.lock().map_err(|_| "poisoned")?;
            table.heard = Some(Instant::now());
            table.open.remove(&frame.id)
        };
        // An answer to what has ended already comes late and is dropped.
        let Some(exchange) = exchange else { continue };
        exchange.ticket.end();
        state.load.fetch_sub(1, Ordering::AcqRel);
        let number = |name: &str| frame.field(name).and_then(|v| v.parse().ok());
        match exchange.what {
            What::Order(order) => reports.ordered(order, outcome, number("slots_up").unwrap_or(0)),
            What::Word => {}
            What::Attempt(key) => {
                let warm = match frame.field("detail") {
                    Some("resident") => Some(true),
                    Some("booted" | "rode") => Some(false),
                    _ => None,
                };
                let told = matches!(outcome, Outcome::Ok | Outcome::Full);
                let crowd = if told { number("company") } else { None };
                let payload = (outcome == Outcome::Ok).then_some(Payload::Bytes(frame.body));
                reports.ended(key, Report { outcome, warm, crowd, payload });
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use bramblepath::Settings;

    /// Questions of a connection during one long call, each answered at once, looked at every 50 ms.
    fn words(gateways: u32, call: u64) -> Vec<u64> {
        let limits = Limits::new(48, 384, &Settings { gateways, ..Settings::default() });
        let ms = Duration::from_millis;
        let (mut heard, mut asked) = (None, Vec::new());
        for at in (0..call).step_by(50) {
            if word_due(heard.is_none(), ms(at - heard.unwrap_or(0)), ms(at), &limits) {
                asked.push(at);
                heard = Some(at);
            }
        }
        asked
    }

    /// Guards against questions that are nothing at one front end and, at a hundred, one for every third call.
    #[test]
    fn a_large_fleet_asks_a_slow_connection_seldom_and_still_in_time() {
        let (few, many) = (words(3, 2_000), words(100, 2_000));
        assert!(many.len() * 2 <= few.len() && !many.is_empty(), "{few:?} {many:?}");
        assert!(many[0] <= 350, "silence is seen well before the aim is far gone: {many:?}");
        assert!(words(100, 300).is_empty(), "a call within its aim costs no question");
    }
}
