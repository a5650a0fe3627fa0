//! One FastCGI connection: its records, and the requests that they make up.
use super::answers::{answer_bytes, Live, Side};
use super::records::*;
use super::request::neutral;
use crate::front::{Doors, EVICTED};
use crate::limits::{Held, Limits};
use crate::model::{Answer, Request, RequestEnd};
use crate::net::{receive, Reads, Received, Seat};
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::Mutex;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// A request of which records are still to come.
struct Partial {
    since: Instant,
    keep: bool,
    params: Vec<u8>,
    body: Vec<u8>,
    /// Its share of the bytes held over all requests, taken as they come: requests that are never finished
    /// take memory too.
    held: Option<Held>,
    /// It has been answered; the rest of it is passed over.
    over: bool,
}

#[derive(Clone, Copy)]
enum Fault {
    /// It cannot be served as it is.
    Bad(&'static str),
    /// There is no room for it now.
    NoRoom,
}

impl Partial {
    /// Whether bytes may be added to a part that holds `now` and may hold `most`.
    fn admits(
        &mut self,
        bytes: usize,
        now: usize,
        most: usize,
        why: &'static str,
    ) -> Result<(), Fault> {
        if now + bytes > most {
            return Err(Fault::Bad(why));
        }
        self.held
            .as_mut()
            .is_some_and(|h| h.grow(bytes))
            .then_some(())
            .ok_or(Fault::NoRoom)
    }
}

/// Serves one connection until it ends.
pub fn serve(mut stream: TcpStream, doors: &Doors, seat: Seat) {
    let peer = stream.peer_addr().map_or("?".to_owned(), |p| p.to_string());
    let out = match stream.try_clone().and_then(|s| doors.outbox(s)) {
        Ok(out) => out,
        Err(e) => return note!("fastcgi {peer}: closed: {e}"),
    };
    seat.occupant.writes_to(&out);
    let side = Arc::new(Side {
        occupant: seat.occupant.clone(),
        out,
        live: Mutex::default(),
    });
    let mut reader = Reader {
        doors,
        side: side.clone(),
        partial: HashMap::new(),
        uses: 0,
        over: 0,
    };
    if let Err(why) = reader.run(&mut stream) {
        note!("fastcgi {peer}: connection closed: {why}");
    }
    if let Ok(live) = side.live.lock() {
        live.values()
            .for_each(|l| l.gone.store(true, Ordering::Release));
    }
    doors.core.client_disconnected(seat.occupant.number);
    // An answer may be on its way there; else nothing is lost by a close that takes no time and no seat.
    if side.out.closing() {
        side.out.linger(stream, &doors.limits);
    } else {
        side.out.drop_now();
    }
}

struct Reader<'a> {
    doors: &'a Doors,
    side: Arc<Side>,
    partial: HashMap<u16, Partial>,
    uses: u64,
    /// Bytes passed over of requests that have been answered as unfit.
    over: usize,
}

impl Reader<'_> {
    fn run(&mut self, stream: &mut TcpStream) -> Result<(), String> {
        let limits = self.doors.limits.clone();
        stream
            .set_read_timeout(Some(limits.client_check))
            .map_err(|e| e.to_string())?;
        let mut ring = Ring::new(limits.client_ring);
        let mut got = Vec::new();
        let (mut looked, mut record_since, mut reads) =
            (Instant::now(), Instant::now(), Reads::default());
        loop {
            // Asked for before the read: an end that is wished for then is owed what had come by then.
            let ending = self.doors.ending.load(Ordering::Acquire);
            let received = receive(&mut ring, stream)?;
            if received == Received::End {
                return Ok(());
            }
            let nothing = received == Received::Nothing;
            let full = ring.len() == ring.footprint();
            let between = self.partial.is_empty() && got.is_empty();
            let ended = ending && nothing && between && self.side.occupant.is_idle();
            if ended && self.side.occupant.answered_within(limits.linger) {
                self.side.out.close();
            }
            if ended || self.side.out.closing() {
                return Ok(());
            }
            loop {
                if got.is_empty() {
                    record_since = Instant::now();
                }
                if got.len() < HEADER {
                    ring.take(HEADER - got.len(), &mut got);
                }
                let [version, kind, i0, i1, c0, c1, padding, _, ..] = got[..] else {
                    break;
                };
                if version != 1 {
                    return Err(format!("FastCGI version {version}"));
                }
                let content = usize::from(u16::from_be_bytes([c0, c1]));
                ring.take(
                    HEADER + content + usize::from(padding) - got.len(),
                    &mut got,
                );
                if got.len() < HEADER + content + usize::from(padding) {
                    break;
                }
                self.take(
                    kind,
                    u16::from_be_bytes([i0, i1]),
                    &got[HEADER..HEADER + content],
                )?;
                got.clear();
            }
            if looked.elapsed() >= limits.client_check {
                looked = Instant::now();
                if !got.is_empty()
                    && record_since.elapsed() > limits.request_read
                    && self.side.occupant.is_idle()
                {
                    return Err("a record never came whole".to_owned());
                }
                self.overdue(&limits)?;
                if self.partial.is_empty()
                    && got.is_empty()
                    && self.side.occupant.outstayed(&limits)
                {
                    if self.side.occupant.answered_within(limits.linger) {
                        self.side.out.close();
                    }
                    return Ok(());
                }
            }
            // A client that sends at full speed would else keep the scheduler's one thread.
            reads.made(full);
        }
    }

    /// Ends what has been read in part for too long. Guards against requests that never come whole: each is
    /// owed a word or a close, and holds memory.
    fn overdue(&mut self, limits: &Limits) -> Result<(), String> {
        let late = |p: &&Partial| p.since.elapsed() > limits.request_read;
        if self.partial.values().any(|p| late(&p)) && self.side.occupant.is_idle() {
            return Err("a request never came whole".to_owned());
        }
        let ids: Vec<u16> = self
            .partial
            .iter()
            .filter(|(_, p)| late(p) && !p.over)
            .map(|(&id, _)| id)
            .collect();
        ids.into_iter()
            .for_each(|id| self.fault(id, Fault::Bad("it never came whole")));
        Ok(())
    }

    /// Answers a request that is still being read: whoever sends without end would else get no word.
    fn fault(&mut self, id: u16, fault: Fault) {
        let Some(partial) = self.partial.get_mut(&id) else {
            return;
        };
        (partial.over, partial.params, partial.body, partial.held) =
            (true, Vec::new(), Vec::new(), None);
        let keep = partial.keep;
        self.refuse(id, fault, !keep);
    }

    fn refuse(&self, id: u16, fault: Fault, close: bool) {
        match fault {
            Fault::NoRoom => {
                self.end_at_once(
                    id,
                    OVERLOADED,
                    "the bytes held over all requests are at their bound",
                );
            }
            Fault::Bad(why) => {
                note!("fastcgi: request {id} failed: {why}");
                self.side
                    .out
                    .send(response(id, "Status: 400 Bad Request\r\n", &[]));
            }
        }
        self.side.occupant.heard();
        if close {
            self.side.out.close();
        }
    }

    /// Counts what is passed over; too much of it ends the connection.
    fn pass_over(&mut self, bytes: usize) -> Result<(), String> {
        self.over += bytes;
        let most = self.doors.limits.discard;
        (self.over <= most)
            .then_some(())
            .ok_or("a request without end".to_owned())
    }

    fn take(&mut self, kind: u8, id: u16, content: &[u8]) -> Result<(), String> {
        match (kind, id) {
            (GET_VALUES, 0) => self.values(content),
            (_, 0) => {
                let mut out = Vec::new();
                record(UNKNOWN_TYPE, 0, &[kind, 0, 0, 0, 0, 0, 0, 0], &mut out);
                self.side.out.send(out);
            }
            (BEGIN, _) => return self.begin(id, content),
            (ABORT, _) => self.abort(id),
            (PARAMS, _) => return self.params(id, content),
            (STDIN, _) => return self.stdin(id, content),
            _ => return self.pass_over(content.len()), // DATA belongs to another role; other kinds mean nothing to a Responder
        }
        Ok(())
    }

    fn values(&self, content: &[u8]) {
        let mut found = Vec::new();
        for (name, _) in pairs(content) {
            let value = match name.as_str() {
                "FCGI_MAX_CONNS" => self.doors.limits.client_connections,
                "FCGI_MAX_REQS" => {
                    self.doors.limits.client_connections * self.doors.limits.requests_per_connection
                }
                "FCGI_MPXS_CONNS" => 1,
                _ => continue,
            };
            let value = value.to_string();
            found.extend([name.len() as u8, value.len() as u8]);
            found.extend(name.as_bytes());
            found.extend(value.as_bytes());
        }
        let mut out = Vec::new();
        record(GET_VALUES_RESULT, 0, &found, &mut out);
        self.side.out.send(out);
    }

    fn end_at_once(&self, id: u16, status: u8, why: &str) {
        note!("fastcgi: request {id} ended at once: {why}");
        let mut out = Vec::new();
        end(id, status, &mut out);
        self.side.out.send(out);
    }

    fn begin(&mut self, id: u16, content: &[u8]) -> Result<(), String> {
        let [r0, r1, flags, ..] = content else {
            return Err("a BEGIN_REQUEST cut short".to_owned());
        };
        let live = self.side.live.lock().map_err(|_| "poisoned")?;
        let (open, used) = (live.len() + self.partial.len(), live.contains_key(&id));
        drop(live);
        if used || self.partial.contains_key(&id) {
            return Err(format!("request id {id} begun twice"));
        }
        if u16::from_be_bytes([*r0, *r1]) != RESPONDER {
            self.end_at_once(id, UNKNOWN_ROLE, "role");
        } else if open >= self.doors.limits.requests_per_connection {
            self.end_at_once(id, OVERLOADED, "too many requests on one connection");
        } else {
            let (keep, held) = (flags & KEEP_CONN != 0, self.doors.budget.take(0));
            let (since, over) = (Instant::now(), false);
            let (params, body) = (Vec::new(), Vec::new());
            self.partial.insert(
                id,
                Partial {
                    since,
                    keep,
                    params,
                    body,
                    held,
                    over,
                },
            );
        }
        Ok(())
    }

    fn abort(&mut self, id: u16) {
        self.partial.remove(&id);
        let Ok(mut live) = self.side.live.lock() else {
            return;
        };
        if let Some(Live { used, gone, .. }) = live.remove(&id) {
            gone.store(true, Ordering::Release);
            let tag = used << 16 | u64::from(id);
            self.side.occupant.ended(false);
            self.doors
                .core
                .request_cancelled(self.side.occupant.number, tag);
        }
    }

    fn params(&mut self, id: u16, content: &[u8]) -> Result<(), String> {
        let most = self.doors.limits.head;
        let Some(partial) = self.partial.get_mut(&id).filter(|p| !p.over) else {
            return self.pass_over(content.len());
        };
        match partial.admits(
            content.len(),
            partial.params.len(),
            most,
            "parameters are too long",
        ) {
            Ok(()) => partial.params.extend(content),
            Err(fault) => self.fault(id, fault),
        }
        Ok(())
    }

    fn stdin(&mut self, id: u16, content: &[u8]) -> Result<(), String> {
        let most = self.doors.limits.body;
        if content.is_empty() {
            return match self.partial.remove(&id).filter(|p| !p.over) {
                Some(partial) => self.whole(id, partial),
                None => Ok(()),
            };
        }
        let Some(partial) = self.partial.get_mut(&id).filter(|p| !p.over) else {
            return self.pass_over(content.len());
        };
        match partial.admits(
            content.len(),
            partial.body.len(),
            most,
            "the body is too long",
        ) {
            Ok(()) => partial.body.extend(content),
            Err(fault) => self.fault(id, fault),
        }
        Ok(())
    }

    /// A request has come whole.
    fn whole(&mut self, id: u16, partial: Partial) -> Result<(), String> {
        let read_at = Instant::now();
        let params: HashMap<String, String> = pairs(&partial.params).into_iter().collect();
        let word = |name: &str| params.get(name).map_or("", String::as_str);
        let path = if word("SCRIPT_NAME").is_empty() {
            word("REQUEST_URI")
        } else {
            word("SCRIPT_NAME")
        };
        let close = !partial.keep;
        if path == "/healthz" {
            let ready = self.doors.shared.taking();
            let status = if ready {
                "200 OK"
            } else {
                "503 Service Unavailable"
            };
            self.side
                .out
                .send(response(id, &format!("Status: {status}\r\n"), &[]));
            self.side.occupant.heard();
            if close {
                self.side.out.close();
            }
            return Ok(());
        }
        if self.doors.shared.stopping.load(Ordering::Acquire) {
            // The process ends soon: what comes now could not be served in time here, another takes it.
            if let Ok(request) = neutral(path, &word, partial.body, &self.doors.limits) {
                self.doors
                    .core
                    .ended_at_front(request.class, RequestEnd::Rejected);
            }
            self.side.out.send(answer_bytes(
                id,
                &Answer::Rejected {
                    retry_after: STOPPING_WAIT,
                },
            ));
            self.side.occupant.heard();
            if close {
                self.side.out.close();
            }
            return Ok(());
        }
        let request = neutral(path, &word, partial.body, &self.doors.limits);
        match request.map(|r| Request {
            received_at: read_at,
            reserved_bytes: partial.held,
            client_probe: Some(self.side.out.client_probe()),
            ..r
        }) {
            Err(why) => self.refuse(id, Fault::Bad(why), close),
            Ok(request) => {
                if !self.side.occupant.opened() {
                    return Err(EVICTED.to_owned());
                }
                self.uses += 1;
                if let Ok(mut live) = self.side.live.lock() {
                    live.insert(
                        id,
                        Live {
                            used: self.uses,
                            close,
                            gone: request.client_gone.clone(),
                        },
                    );
                }
                let tag = self.uses << 16 | u64::from(id);
                self.doors.core.request(request, self.side.clone(), tag);
            }
        }
        Ok(())
    }
}
