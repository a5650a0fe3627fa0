//! KServe v2 over HTTP/1.1 to one worker: each connection carries one exchange at a time. Loads, questions
//! and unloads use the model repository extension.
use super::ticket::{Begin, Ticket, LOOK_AGAIN};
use super::{GiveUp, Reports, Terms, Transport};
use crate::core::{AttemptKey, Payload, Report, Request};
use crate::http::{Chunked, Coded, Head};
use crate::limits::Limits;
use crate::net::{back, pause, spawn, timed_out, write_now};
use crate::ring::Ring;
use base64::{engine::general_purpose::STANDARD, Engine};
use bramblepath::json::{as_text, list, object, parse, part, text, whole};
use bramblepath::{FunctionId, Micros, Outcome};
use may::net::TcpStream;
use may::sync::mpmc::{channel, Receiver, Sender};
use miniserde::json::{self, Array, Number, Object, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn map(fields: Vec<(&str, Value)>) -> Value {
    Value::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

fn word(text: &str) -> Value {
    Value::String(text.to_owned())
}

fn items(values: Vec<Value>) -> Value {
    Value::Array(values.into_iter().collect::<Array>())
}

/// Bytes as one BYTES tensor; base64 carries those that are no text, and the tensor says so.
fn tensor(bytes: &[u8]) -> Value {
    map(vec![
        ("name", word("body")),
        ("shape", items(vec![Value::Number(Number::U64(1))])),
        ("datatype", word("BYTES")),
        ("parameters", map(vec![("content_type", word("base64"))])),
        ("data", items(vec![word(&STANDARD.encode(bytes))])),
    ])
}

/// The body of a v2 answer that carries these bytes.
pub fn wrap_answer(bytes: &[u8]) -> Vec<u8> {
    json::to_string(&map(vec![("outputs", items(vec![tensor(bytes)]))])).into_bytes()
}

/// The body of a v2 call that carries a body of the platform's protocol.
fn wrap_call(request: &Request, bytes: &[u8], budget: Micros) -> Vec<u8> {
    let mut told = vec![
        ("class", word(&request.class)),
        ("tenant", word(&request.tenant)),
        ("wait_ms", Value::Number(Number::U64(budget / 1000))),
        ("retry", Value::Bool(request.retry)),
    ];
    told.extend(request.token.as_deref().map(|t| ("token", word(t))));
    let call = map(vec![
        ("id", word(&format!("{:016x}", request.wire_id))),
        ("parameters", map(told)),
        ("inputs", items(vec![tensor(bytes)])),
    ]);
    json::to_string(&call).into_bytes()
}

/// The bytes of the first output tensor of a v2 answer.
pub fn unwrap_answer(answer: &Object) -> Option<Vec<u8>> {
    let output = list(answer, "outputs").first().and_then(object)?;
    let data = list(output, "data").first().and_then(as_text)?;
    let coded = part(output, "parameters").and_then(|p| text(p, "content_type")) == Some("base64");
    if coded {
        STANDARD.decode(data).ok()
    } else {
        Some(data.as_bytes().to_vec())
    }
}

enum What {
    /// An attempt; whether its body is the platform's, so that the answer must be unwrapped.
    Attempt(AttemptKey, bool),
    /// An order to hold copies of this function, 0 to ask.
    Order(u64, FunctionId, u32),
    Unload,
}

/// One exchange: its request as bytes, and how it is taken back.
struct Job {
    what: What,
    bytes: Vec<u8>,
    /// Who decides whether it is begun.
    ticket: Arc<Ticket>,
    cancelled: Arc<AtomicBool>,
    /// Of which life of the worker this is; calls and loads of a past one are not written.
    epoch: u64,
    bound: bool,
    /// A worker silent beyond this has its connection closed, so that no lane is lost to it.
    until: Instant,
}

/// What the core's side and the connections share.
#[derive(Default)]
struct State {
    epoch: AtomicU64,
    /// Jobs handed over and not ended.
    load: AtomicUsize,
    lanes: AtomicUsize,
}

/// The transport to one v2 worker.
pub struct Kserve {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: Reports,
    state: Arc<State>,
    jobs: Sender<Job>,
    queue: Receiver<Job>,
    out: Vec<(AttemptKey, Arc<Ticket>, Arc<AtomicBool>)>,
}

impl Kserve {
    /// No connection is opened before it is needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: Reports) -> Self {
        let (jobs, queue) = channel();
        Kserve { address, limits, reports, state: Arc::default(), jobs, queue, out: Vec::new() }
    }

    /// An order, a question or an unload: an order that waited for long is not begun, it would count when it arrives.
    fn start_order(&mut self, what: What, bytes: Vec<u8>, bound: bool) {
        let begun = if matches!(what, What::Order(..)) {
            self.limits.connect + self.limits.write_check
        } else {
            Duration::from_micros(self.limits.order)
        };
        let ticket = Ticket::new(Arc::default(), Instant::now() + begun);
        self.start(what, bytes, bound, self.limits.order, ticket);
    }

    fn start(&mut self, what: What, bytes: Vec<u8>, bound: bool, budget: Micros, ticket: Arc<Ticket>) {
        let cancelled = Arc::new(AtomicBool::new(false));
        if let What::Attempt(key, _) = what {
            self.out.retain(|(_, _, flag)| Arc::strong_count(flag) > 1);
            self.out.push((key, ticket.clone(), cancelled.clone()));
        }
        let epoch = self.state.epoch.load(Ordering::Acquire);
        let until = Instant::now() + Duration::from_micros(budget);
        let load = self.state.load.fetch_add(1, Ordering::AcqRel) + 1;
        let _ = self.jobs.send(Job { what, bytes, ticket, cancelled, epoch, bound, until }); // its timer ends it at last
        let lanes = self.state.lanes.load(Ordering::Acquire);
        if load > lanes && lanes < self.limits.lanes_per_worker {
            self.state.lanes.fetch_add(1, Ordering::AcqRel);
            let (address, limits, reports) = (self.address, self.limits.clone(), self.reports.clone());
            let (state, queue) = (self.state.clone(), self.queue.clone());
            let lane = move || Lane { address, limits, reports, state, stream: None }.run(&queue);
            if let Err(e) = spawn(self.limits.stack, lane) {
                self.state.lanes.fetch_sub(1, Ordering::AcqRel);
                note!("worker {}: no coroutine: {e}", self.address);
            }
        }
    }

    fn post(&self, path: &str, budget: Micros, body: &[u8]) -> Vec<u8> {
        let (host, length, budget) = (self.address, body.len(), budget / 1000);
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\nX-Budget-Ms: {budget}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

impl Transport for Kserve {
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, terms: Terms) {
        let budget = terms.budget;
        let path = format!("/v2/models/{:016x}/infer", request.function);
        let (bytes, foreign) = match &request.payload {
            Payload::Json(body) => (self.post(&path, budget, body), false),
            Payload::Bytes(body) => (self.post(&path, budget, &wrap_call(request, body, budget)), true),
        };
        let ticket = Ticket::call(request, terms, Instant::now());
        self.start(What::Attempt(key, foreign), bytes, true, budget, ticket);
    }

    fn cancel(&mut self, key: AttemptKey) -> GiveUp {
        let Some(at) = self.out.iter().position(|o| o.0 == key) else { return GiveUp::Unknown };
        let (_, ticket, cancelled) = self.out.swap_remove(at);
        cancelled.store(true, Ordering::Release);
        if ticket.take_back() {
            GiveUp::NeverBegun
        } else {
            GiveUp::Pending
        }
    }

    fn lapse(&mut self, _order: u64) {} // each exchange ends its connection by itself, see `Job::until`

    fn is_idle(&self) -> bool {
        self.state.load.load(Ordering::Acquire) == 0
    }

    fn order(&mut self, order: u64, function: FunctionId, copies: u32) {
        let bytes = if copies > 0 {
            let told = map(vec![("slots_up", Value::Number(Number::U64(copies.into())))]);
            let body = json::to_string(&map(vec![("parameters", told)]));
            let path = format!("/v2/repository/models/{function:016x}/load");
            self.post(&path, self.limits.order, body.as_bytes())
        } else {
            self.post("/v2/repository/index", self.limits.order, b"{\"ready\":true}")
        };
        self.start_order(What::Order(order, function, copies), bytes, copies > 0);
    }

    fn unload(&mut self, function: FunctionId) {
        let path = format!("/v2/repository/models/{function:016x}/unload");
        let bytes = self.post(&path, self.limits.order, b"{}");
        self.start_order(What::Unload, bytes, false);
    }

    fn retire(&mut self) {
        self.state.epoch.fetch_add(1, Ordering::AcqRel);
    }

    fn pulse(&mut self) {} // a connection carries one exchange: its silence is the exchange's

    fn sweep(&mut self) {
        self.out.retain(|(_, _, flag)| Arc::strong_count(flag) > 1); // idle connections close by themselves
    }
}

/// One connection's coroutine.
struct Lane {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: Reports,
    state: Arc<State>,
    stream: Option<(TcpStream, Instant)>,
}

/// An answer read whole.
struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl Lane {
    fn run(mut self, queue: &Receiver<Job>) {
        loop {
            let next = queue.recv_timeout(self.limits.worker_idle);
            back();
            match next {
                Ok(job) => {
                    self.job(&job);
                    self.state.load.fetch_sub(1, Ordering::AcqRel);
                }
                // Guards against a call that crosses the worker's own close of an idle connection.
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => self.stream = None,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn job(&mut self, job: &Job) {
        let ended = match self.exchange(job) {
            // The connection has ended, by which the worker is told.
            Err(Outcome::Reset) if job.cancelled.load(Ordering::Acquire) => Err(Outcome::Cancelled),
            ended => ended,
        };
        match &job.what {
            What::Attempt(key, foreign) => {
                let report = match ended {
                    Ok(reply) => attempt_report(reply, *foreign),
                    Err(outcome) => Report::bare(outcome),
                };
                self.reports.ended(*key, report);
            }
            What::Order(order, function, copies) => {
                let (outcome, stand) = match ended {
                    Ok(reply) => order_report(&reply, *function, *copies),
                    Err(outcome) => (outcome, 0),
                };
                self.reports.ordered(*order, outcome, stand);
            }
            What::Unload => {}
        }
    }

    /// Whether the job may no longer be begun.
    fn withheld(&self, job: &Job) -> bool {
        let past = job.epoch != self.state.epoch.load(Ordering::Acquire);
        job.cancelled.load(Ordering::Acquire) || past && job.bound
    }

    /// Whether its first byte may be written now.
    fn begin(&self, job: &Job) -> bool {
        loop {
            match job.ticket.begin(Instant::now()) {
                _ if self.withheld(job) => return false,
                Begin::Unread => pause(LOOK_AGAIN),
                begin => return begin == Begin::Go,
            }
        }
    }

    /// Sends the request and reads the whole answer, or tells how far it came.
    fn exchange(&mut self, job: &Job) -> Result<Reply, Outcome> {
        if self.withheld(job) {
            return Err(Outcome::Moot);
        }
        let mut stream = match self.stream.take() {
            Some((stream, used)) if used.elapsed() < self.limits.worker_idle && still_open(&stream) => stream,
            _ => self.connect().map_err(|why| {
                note!("worker {}: no connection: {why}", self.address);
                Outcome::ConnectFailed
            })?,
        };
        if !self.begin(job) {
            self.stream = Some((stream, Instant::now()));
            return Err(Outcome::Moot);
        }
        self.write(&stream, job)?;
        let (reply, reusable) = self.read(&mut stream, job).map_err(|why| {
            if !job.cancelled.load(Ordering::Acquire) {
                note!("worker {}: answer lost: {why}", self.address);
            }
            // Wholly written and no whole answer: it may have run.
            Outcome::Reset
        })?;
        if reusable {
            self.stream = Some((stream, Instant::now()));
        }
        Ok(reply)
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, self.limits.connect)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.limits.write_check))?;
        Ok(stream)
    }

    fn write(&self, stream: &TcpStream, job: &Job) -> Result<(), Outcome> {
        let (mut ring, mut rest, mut stalled) = (Ring::new(job.bytes.len()), &job.bytes[..], Duration::ZERO);
        let nap = self.limits.write_check / 10;
        rest = &rest[ring.push(rest)..];
        debug_assert!(rest.is_empty());
        while !ring.is_empty() {
            match write_now(stream, ring.front()) {
                Ok(n) if n > 0 => {
                    stalled = Duration::ZERO;
                    ring.consume(n);
                }
                Err(e) if timed_out(&e) && stalled < self.limits.write_stall => {
                    // As with frames: nothing is claimed while it waits.
                    let whole = ring.len() == job.bytes.len();
                    if whole {
                        job.ticket.release();
                    }
                    pause(nap);
                    stalled += nap;
                    if whole && !self.begin(job) {
                        return Err(Outcome::Moot);
                    }
                    if job.ticket.is_overdue(Instant::now()) {
                        return Err(Outcome::ConnectFailed); // it never comes whole: the connection ends here
                    }
                }
                // Not wholly written: nothing can have run.
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        Ok(())
    }

    /// Reads one answer; whether the connection can carry another exchange.
    fn read(&self, stream: &mut TcpStream, job: &Job) -> Result<(Reply, bool), String> {
        let mut ring = Ring::new(self.limits.client_ring);
        let (mut head, mut body) = (Vec::new(), Vec::new());
        let mut told: Option<Head> = None;
        let mut chunks = Chunked::default();
        let mut heard = Instant::now();
        loop {
            if let Some(known) = told.as_ref() {
                let whole = match known.length {
                    Some(length) => {
                        ring.take(length - body.len(), &mut body);
                        body.len() == length
                    }
                    None if known.chunked => chunked(&mut chunks, &mut ring, &mut body)?,
                    None => return Err("an answer of no stated length".to_owned()),
                };
                if whole {
                    let reusable = !known.close && !known.chunked && ring.is_empty();
                    return Ok((Reply { status: known.status, body }, reusable));
                }
                if body.len() > self.limits.answer {
                    return Err("the answer is too long".to_owned());
                }
            }
            while told.is_none() && ring.take(1, &mut head) > 0 {
                if head.ends_with(b"\r\n\r\n") {
                    let known = Head::answer(&head)?;
                    if known.length.is_some_and(|l| l > self.limits.answer) {
                        return Err("the answer is too long".to_owned());
                    }
                    head.clear();
                    told = (known.status >= 200).then_some(known); // 100 Continue is passed over
                } else if head.len() > self.limits.head {
                    return Err("the head is too long".to_owned());
                }
            }
            if told.is_some() && (!ring.is_empty() || told.as_ref().is_some_and(|t| t.length == Some(0))) {
                continue;
            }
            match ring.fill(stream) {
                Ok(0) => return Err("cut".to_owned()),
                Ok(_) => heard = Instant::now(),
                Err(e) if timed_out(&e) => {
                    // Guards against an answer that stops short, as with frames.
                    let begun = told.is_some() || !head.is_empty();
                    if begun && heard.elapsed() > self.limits.frame_stall {
                        return Err("an answer stopped midway".to_owned());
                    }
                    // Closing the connection is how an exchange is given up.
                    if job.cancelled.load(Ordering::Acquire) || Instant::now() > job.until {
                        return Err("given up".to_owned());
                    }
                }
                Err(e) => return Err(e.to_string()),
            }
        }
    }
}

/// Whether a connection that lay idle still stands: nothing may wait in it, least of all its end.
fn still_open(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Err(e) if timed_out(&e))
}

fn chunked(chunks: &mut Chunked, ring: &mut Ring, body: &mut Vec<u8>) -> Result<bool, String> {
    let mut bytes = Vec::new();
    ring.take(usize::MAX, &mut bytes);
    for byte in bytes {
        match chunks.byte(byte)? {
            Coded::Byte(byte) => body.push(byte),
            Coded::Nothing => {}
            Coded::End => return Ok(true),
        }
    }
    Ok(false)
}

fn fields(body: &[u8]) -> Option<Value> {
    std::str::from_utf8(body).ok().and_then(|t| parse(t).ok())
}

/// A v2 worker that lacks the model says 404, one that takes nothing 429 or 503: neither has run anything.
fn outcome(status: u16) -> Outcome {
    match status {
        200 => Outcome::Ok,
        404 => Outcome::Miss,
        429 | 503 => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn attempt_report(reply: Reply, foreign: bool) -> Report {
    let whole = fields(&reply.body);
    let answer = whole.as_ref().and_then(object);
    let told = answer.and_then(|a| part(a, "parameters"));
    let warm = match told.and_then(|t| text(t, "detail")) {
        Some("resident") => Some(true),
        Some("booted" | "rode") => Some(false),
        _ => None,
    };
    let crowd = told.and_then(|t| bramblepath::json::whole(t, "company")).map(|n| n.min(1 << 16) as u32);
    let mut outcome = outcome(reply.status);
    let payload = match outcome {
        Outcome::Ok if foreign => answer.and_then(unwrap_answer).map(Payload::Bytes),
        Outcome::Ok => answer.is_some().then_some(Payload::Json(reply.body)),
        _ => None,
    };
    if outcome == Outcome::Ok && payload.is_none() {
        outcome = Outcome::Error; // it ran, but what it said cannot be passed on
    }
    Report { outcome, warm, crowd, payload }
}

fn order_report(reply: &Reply, function: FunctionId, copies: u32) -> (Outcome, u32) {
    let (outcome, whole_body) = (outcome(reply.status), fields(&reply.body));
    let copies_told = |o: &Object| whole(o, "slots_up").map(|n| n.min(1 << 16) as u32);
    if copies > 0 {
        let told =
            whole_body.as_ref().and_then(object).and_then(|o| part(o, "parameters").and_then(copies_told));
        let stand = if outcome == Outcome::Ok { told.unwrap_or(copies) } else { told.unwrap_or(0) };
        return (if outcome == Outcome::Miss { Outcome::Error } else { outcome }, stand);
    }
    let name = format!("{function:016x}");
    let Some(Value::Array(models)) = &whole_body else {
        return (if outcome == Outcome::Ok { Outcome::Error } else { outcome }, 0);
    };
    let ready = |m: &&Object| text(m, "name") == Some(&name) && text(m, "state") == Some("READY");
    let stand = models
        .iter()
        .filter_map(object)
        .filter(ready)
        .map(|m| part(m, "parameters").and_then(copies_told).unwrap_or(1));
    (outcome, stand.sum())
}
