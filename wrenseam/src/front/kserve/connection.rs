//! One v2 connection: heads and bodies by HTTP/1.1.
use super::answers::{error, Side, Slot};
use super::routes::Reply;
use crate::front::{Doors, EVICTED};
use crate::http::{response, Head};
use crate::net::{receive, Reads, Received, Seat};
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::Mutex;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

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

pub(super) struct Reader<'a> {
    pub(super) doors: &'a Doors,
    pub(super) side: Arc<Side>,
    pub(super) handle: Handle,
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
}
