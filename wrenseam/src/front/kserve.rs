//! The KServe v2 front: the Open Inference Protocol over HTTP/1.1 REST, on the same core as FastCGI.
use super::{function, token_fits, Doors, Figures, EVICTED};
use crate::http::{response, Head};
use crate::limits::Limits;
use crate::model::{Answer, Client, Payload, Request, RequestEnd};
use crate::net::{receive, Occupant, Outbox, Reads, Received, Seat};
use crate::queue::Message;
use crate::ring::Ring;
use crate::worker::kserve::wrap_answer;
use may::net::TcpStream;
use may::sync::Mutex;
use miniserde::json::{self, Object, Value};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::json::{flag, number, object, parse, part, text};

/// An error object of the protocol.
pub fn error(text: &str) -> Vec<u8> {
    let mut fields = Object::new();
    fields.insert("error".to_owned(), Value::String(text.to_owned()));
    json::to_string(&fields).into_bytes()
}

fn answer_bytes(answer: Answer, close: bool) -> Vec<u8> {
    match answer {
        Answer::Served(Payload::Json(body)) => response("200 OK", "", &body, close),
        Answer::Served(Payload::Bytes(body)) => {
            // A worker of the platform's protocol: JSON passes unchanged, other bytes as one tensor.
            let whole = std::str::from_utf8(&body).ok().and_then(|t| parse(t).ok());
            let body = if whole.as_ref().and_then(object).is_some() {
                body
            } else {
                wrap_answer(&body)
            };
            response("200 OK", "", &body, close)
        }
        Answer::Rejected { retry_after } => {
            // Retry-After knows whole seconds only; the exact advice stands beside it.
            let told = format!(
                "Retry-After: {}\r\nSrv-Wait-Ms: {}\r\n",
                retry_after.div_ceil(1_000_000).max(1),
                retry_after.div_ceil(1000)
            );
            response(
                "503 Service Unavailable",
                &told,
                &error("refused, trying again is harmless"),
                close,
            )
        }
        Answer::Failed => response("500 Internal Server Error", "", &error("failed"), close),
    }
}

/// An answer's place in the order of the connection's requests.
struct Slot {
    tag: u64,
    close: bool,
    ready: Option<Vec<u8>>,
    /// To be set once the client has left: what waits to be sent on then is not.
    gone: Arc<AtomicBool>,
}

struct Side {
    occupant: Arc<Occupant>,
    out: Outbox,
    slots: Mutex<VecDeque<Slot>>,
}

impl Side {
    /// Puts an answer in its place and writes what is ready from the front on.
    fn fill(&self, tag: u64, bytes: impl FnOnce(bool) -> Vec<u8>) {
        let Ok(mut slots) = self.slots.lock() else {
            return;
        };
        if let Some(slot) = slots.iter_mut().find(|s| s.tag == tag && s.ready.is_none()) {
            slot.ready = Some(bytes(slot.close));
        }
        while slots.front().is_some_and(|s| s.ready.is_some()) {
            let Some(Slot {
                ready: Some(bytes),
                close,
                ..
            }) = slots.pop_front()
            else {
                return;
            };
            self.out.send(bytes);
            if close {
                self.out.close();
            }
        }
    }
}

impl Client for Side {
    fn answer(&self, tag: u64, answer: Answer) {
        self.occupant
            .answered(!matches!(answer, Answer::Failed), || {
                self.fill(tag, |close| answer_bytes(answer, close));
            });
    }

    fn connection(&self) -> u64 {
        self.occupant.number
    }
}

/// Serves one v2 client connection until it ends.
pub fn serve(stream: TcpStream, doors: &Doors, seat: Seat) {
    connection(stream, doors, seat, "kserve", |reader, tag, head, body| {
        reader.kserve(tag, head, body)
    });
}

/// Serves one connection of the read-only administration API.
pub fn serve_admin(stream: TcpStream, doors: &Doors, seat: Seat) {
    connection(stream, doors, seat, "admin", |reader, tag, head, body| {
        reader.admin(tag, head, body)
    });
}

type Handle = fn(&Reader<'_>, u64, &Head, Vec<u8>) -> Reply;

fn connection(
    mut stream: TcpStream,
    doors: &Doors,
    seat: Seat,
    front: &'static str,
    handle: Handle,
) {
    let peer = stream.peer_addr().map_or("?".to_owned(), |p| p.to_string());
    let out = match stream.try_clone().and_then(|s| doors.outbox(s)) {
        Ok(out) => out,
        Err(e) => return note!("{front} {peer}: closed: {e}"),
    };
    seat.occupant.writes_to(&out);
    let side = Arc::new(Side {
        occupant: seat.occupant.clone(),
        out,
        slots: Mutex::default(),
    });
    let reader = Reader {
        doors,
        side: side.clone(),
        handle,
    };
    if let Err(why) = reader.run(&mut stream) {
        note!("{front} {peer}: connection closed: {why}");
    }
    if let Ok(slots) = side.slots.lock() {
        slots
            .iter()
            .for_each(|s| s.gone.store(true, Ordering::Release));
    }
    doors.core.client_disconnected(seat.occupant.number);
    // An answer may be on its way there; else nothing is lost by a close that takes no time and no seat.
    if side.out.closing() {
        side.out.linger(stream, &doors.limits);
    } else {
        side.out.drop_now();
    }
}

/// What becomes of a request at once.
enum Reply {
    /// The core answers later.
    Later,
    /// The connection ended before the request was read: it is not sent on, and cannot be answered.
    Never,
    /// Status, and body.
    Now(&'static str, Vec<u8>),
}

fn refuse(status: &'static str, why: &str) -> Reply {
    Reply::Now(status, error(why))
}

struct Reader<'a> {
    doors: &'a Doors,
    side: Arc<Side>,
    handle: Handle,
}

impl Reader<'_> {
    fn run(&self, stream: &mut TcpStream) -> Result<(), String> {
        let limits = &self.doors.limits;
        let (mut ring, mut head, mut tag) = (Ring::new(limits.client_ring), Vec::new(), 0u64);
        let mut body: Option<(Head, Vec<u8>)> = None;
        let mut part: Option<Instant> = None; // of a request that has not come whole
        let mut reads = Reads::default();
        stream
            .set_read_timeout(Some(limits.client_check))
            .map_err(|e| e.to_string())?;
        loop {
            // As the other front does: an end that is wished for is owed what had come by then.
            let ending = self.doors.ending.load(Ordering::Acquire);
            let received = receive(&mut ring, stream)?;
            if received == Received::End {
                return Ok(());
            }
            let nothing = received == Received::Nothing;
            let full = ring.len() == ring.footprint();
            let between = part.is_none() && ring.is_empty();
            let ended = ending && nothing && between && self.side.occupant.is_idle();
            if ended && self.side.occupant.answered_within(limits.linger) {
                self.side.out.close();
            }
            if ended || self.side.out.closing() {
                return Ok(());
            }
            // Guards as the other front does, against requests that never come whole and connections that
            // say nothing.
            if part
                .as_ref()
                .is_some_and(|p| p.elapsed() > limits.request_read)
            {
                self.last(tag, "408 Request Timeout", "the request never came whole");
                return Err("a request never came whole".to_owned());
            }
            if part.is_none() && ring.is_empty() && self.side.occupant.outstayed(limits) {
                if self.side.occupant.answered_within(limits.linger) {
                    self.side.out.close();
                }
                return Ok(());
            }
            while !ring.is_empty() {
                part.get_or_insert_with(Instant::now);
                if body.is_none() {
                    ring.take(1, &mut head);
                    if head == b"\r\n" {
                        head.clear(); // an empty line before a request is passed over
                        part = None;
                    }
                    if head.len() > limits.head {
                        self.last(
                            tag,
                            "431 Request Header Fields Too Large",
                            "the head is too long",
                        );
                        return Err("the head is too long".to_owned());
                    }
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let told = Head::request(&head)
                        .inspect_err(|why| self.last(tag, "400 Bad Request", why))?;
                    head.clear();
                    let length = told.length.unwrap_or(0);
                    if told.chunked || length > limits.body {
                        let (status, why) = match told.chunked {
                            true => ("411 Length Required", "chunked requests are not read"),
                            false => ("413 Content Too Large", "the body is too long"),
                        };
                        self.last(tag, status, why);
                        return Err(why.to_owned());
                    }
                    if told.expects && length > 0 {
                        self.side
                            .out
                            .send(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
                    }
                    body = Some((told, Vec::with_capacity(length)));
                }
                if let Some((told, mut got)) = body.take() {
                    let length = told.length.unwrap_or(0);
                    ring.take(length - got.len(), &mut got);
                    if got.len() < length {
                        body = Some((told, got));
                        continue;
                    }
                    tag += 1;
                    part = None;
                    self.whole(tag, &told, got)?;
                    if told.close {
                        return self.until_end(&mut ring, stream);
                    }
                }
            }
            reads.made(full);
        }
    }

    /// After the last request: nothing more is read, but the client's leaving is seen.
    fn until_end(&self, ring: &mut Ring, stream: &mut TcpStream) -> Result<(), String> {
        let mut reads = Reads::default();
        loop {
            reads.made(ring.len() == ring.footprint());
            ring.truncate(0);
            if self.side.out.closing() {
                return Ok(());
            }
            if matches!(receive(ring, stream), Ok(Received::End) | Err(_)) {
                return Ok(());
            }
        }
    }

    /// The answer to what cannot be read; the connection ends behind it.
    fn last(&self, tag: u64, status: &'static str, why: &str) {
        if let Ok(mut slots) = self.side.slots.lock() {
            slots.push_back(Slot {
                tag: tag + 1,
                close: true,
                ready: None,
                gone: Arc::default(),
            });
        }
        self.side
            .fill(tag + 1, |close| response(status, "", &error(why), close));
    }

    fn whole(&self, tag: u64, head: &Head, body: Vec<u8>) -> Result<(), String> {
        {
            let mut slots = self.side.slots.lock().map_err(|_| "poisoned")?;
            if slots.len() >= self.doors.limits.requests_per_connection {
                return Err("too many requests on one connection".to_owned());
            }
            slots.push_back(Slot {
                tag,
                close: head.close,
                ready: None,
                gone: Arc::default(),
            });
        }
        match (self.handle)(self, tag, head, body) {
            Reply::Later => Ok(()),
            Reply::Never => Err(EVICTED.to_owned()),
            Reply::Now(status, body) => {
                self.side.occupant.heard();
                let told = if status.starts_with("503") {
                    "Retry-After: 1\r\n"
                } else {
                    ""
                };
                self.side
                    .fill(tag, |close| response(status, told, &body, close));
                Ok(())
            }
        }
    }

    fn ready(&self) -> bool {
        self.doors.shared.taking()
    }

    fn kserve(&self, tag: u64, head: &Head, body: Vec<u8>) -> Reply {
        let path = head.target.split('?').next().unwrap_or_default();
        let mut parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        // A version may be named; there is one.
        if parts.len() > 4 && parts[3] == "versions" {
            parts.drain(3..5);
        }
        let method = head.method.as_str();
        let state = |name: &str, good: bool| {
            let status = if good {
                "200 OK"
            } else {
                "503 Service Unavailable"
            };
            Reply::Now(status, format!("{{\"{name}\":{good}}}").into_bytes())
        };
        match (method, &parts[..]) {
            ("GET", ["v2", "health", "live"]) => state("live", true),
            ("GET", ["v2", "health", "ready"]) => state("ready", self.ready()),
            ("GET", ["v2"]) => {
                let text = concat!(
                    r#"{"name":"wrenseam","version":""#,
                    env!("CARGO_PKG_VERSION"),
                    r#"","extensions":[]}"#
                );
                Reply::Now("200 OK", text.as_bytes().to_vec())
            }
            (_, ["v2", "models", name, ..]) if function(name).is_none() => {
                refuse("404 Not Found", "unknown model: a name is 16 hex digits")
            }
            ("GET", ["v2", "models", name, "ready"]) => {
                let good = self.ready();
                let status = if good {
                    "200 OK"
                } else {
                    "503 Service Unavailable"
                };
                Reply::Now(
                    status,
                    format!("{{\"name\":\"{name}\",\"ready\":{good}}}").into_bytes(),
                )
            }
            ("GET", ["v2", "models", name]) => {
                let tensor = r#"[{"name":"body","datatype":"BYTES","shape":[1]}]"#;
                let text = format!(
                    "{{\"name\":\"{name}\",\"versions\":[\"1\"],\"platform\":\"wrenseam\",\"inputs\":{tensor},\"outputs\":{tensor}}}"
                );
                Reply::Now("200 OK", text.into_bytes())
            }
            ("POST", ["v2", "models", name, "infer"]) => self.infer(tag, name, body),
            (_, ["v2", "models", _, "infer" | "ready"]) | (_, ["v2", "health", _]) => {
                refuse("405 Method Not Allowed", "method")
            }
            _ => refuse("404 Not Found", "no such resource"),
        }
    }

    fn infer(&self, tag: u64, name: &str, body: Vec<u8>) -> Reply {
        let read_at = Instant::now();
        let Some(held) = self.doors.budget.reserve(body.len()) else {
            note!("kserve: request refused: the bytes held over all requests are at their bound");
            return refuse("503 Service Unavailable", "too many bytes are held");
        };
        match neutral(name, body, &self.doors.limits) {
            Ok(request) if self.doors.shared.stopping.load(Ordering::Acquire) => {
                // As on the other front: the process ends soon, another takes what comes now.
                self.doors
                    .core
                    .ended_at_front(request.class, RequestEnd::Rejected);
                refuse("503 Service Unavailable", "the front end is ending")
            }
            Ok(request) => {
                let request = Request {
                    received_at: read_at,
                    reserved_bytes: Some(held),
                    client_probe: Some(self.side.out.client_probe()),
                    ..request
                };
                let slots = self.side.slots.lock();
                if let Some(slot) = slots
                    .ok()
                    .as_mut()
                    .and_then(|s| s.iter_mut().find(|s| s.tag == tag))
                {
                    slot.gone = request.client_gone.clone();
                }
                if !self.side.occupant.opened() {
                    return Reply::Never;
                }
                self.doors.core.request(request, self.side.clone(), tag);
                Reply::Later
            }
            Err(why) => {
                note!("kserve: request failed: {why}");
                refuse("400 Bad Request", why)
            }
        }
    }

    fn admin(&self, _tag: u64, head: &Head, _body: Vec<u8>) -> Reply {
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET", "/healthz") if self.ready() => {
                Reply::Now("200 OK", b"{\"ready\":true}".to_vec())
            }
            ("GET", "/healthz") => {
                Reply::Now("503 Service Unavailable", b"{\"ready\":false}".to_vec())
            }
            ("GET", "/v1/state") => {
                let (ask, answer) = may::sync::mpsc::channel();
                let _ = self.doors.core.send(Message::Inspect { reply: ask });
                match answer.recv() {
                    Ok(state) => Reply::Now("200 OK", state.into_bytes()),
                    Err(_) => refuse("503 Service Unavailable", "the core is ending"),
                }
            }
            ("GET", _) => refuse("404 Not Found", "there are /healthz and /v1/state"),
            _ => refuse("405 Method Not Allowed", "this API is read-only"),
        }
    }
}

/// The id that workers see: 16 hex digits as they are, any other text or none as a number drawn from it.
fn wire_id(id: Option<&str>) -> u64 {
    use std::hash::{BuildHasher, RandomState};
    id.and_then(function)
        .unwrap_or_else(|| RandomState::new().hash_one(id))
}

/// The neutral request behind a v2 body, which itself stays as it is.
fn neutral(name: &str, body: Vec<u8>, limits: &Limits) -> Result<Request, &'static str> {
    let whole = std::str::from_utf8(&body).ok().and_then(|t| parse(t).ok());
    let fields = whole
        .as_ref()
        .and_then(object)
        .ok_or("the body is no JSON object")?;
    let empty = Object::new();
    let told = part(fields, "parameters").unwrap_or(&empty);
    let token = text(told, "token");
    if token.is_some_and(|t| !token_fits(t)) {
        return Err("the key cannot travel");
    }
    let figure = |name: &str, other: f64| match told.get(name) {
        Some(_) => number(told, name).ok_or("a figure is no number"),
        None => Ok(other),
    };
    let figures = Figures {
        wait_ms: figure("wait_ms", limits.default_wait as f64 / 1000.0)?,
        memory_mb: figure("memory_mb", 0.0)?,
        lanes: figure("lanes", 0.0)?,
        load_ms: figure("load_ms", 0.0)?,
    };
    figures.check(limits)?;
    Ok(Request {
        wire_id: wire_id(text(fields, "id")),
        class: text(told, "class")
            .ok_or("no 'class' among the parameters")?
            .to_owned(),
        tenant: text(told, "tenant").unwrap_or_default().to_owned(),
        function: function(name).ok_or("unknown model")?,
        timeout: (figures.wait_ms * 1000.0) as u64,
        received_at: Instant::now(),
        idempotency_key: token.map(str::to_owned),
        is_retry: flag(told, "retry"),
        memory_mb: figures.memory_mb,
        concurrency: figures.lanes as u32,
        load_time: (figures.load_ms * 1000.0) as u64,
        payload: Payload::Json(body),
        reserved_bytes: None,
        client_gone: Arc::default(),
        client_probe: None,
    })
}
