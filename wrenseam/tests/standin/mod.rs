//! Stand-in workers of both protocols that behave as a seeded die says, and an account of what reached them whole.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wrenseam::worker::frames::encode;

/// One call that came whole to a worker.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub zone: usize,
    /// What the worker did with it.
    pub act: Act,
}

impl Arrival {
    /// Whether it may have run: the worker has not answered that it never did.
    pub fn ran(&self) -> bool {
        !self.act.never_ran()
    }
}

/// All calls that came whole, by the id that the client gave.
pub type Ledger = Arc<Mutex<BTreeMap<u64, Vec<Arrival>>>>;

/// Seeded random numbers that several threads draw from.
#[derive(Clone)]
pub struct Die(Arc<Mutex<Pcg32>>);

impl Die {
    pub fn new(seed: u64) -> Die {
        Die(Arc::new(Mutex::new(Pcg32::seed_from_u64(seed))))
    }

    /// A number below `n`.
    pub fn below(&self, n: u32) -> u32 {
        let mut rng = self.0.lock().expect("sound");
        ((u64::from(rng.next_u32()) * u64::from(n)) >> 32) as u32
    }

    /// True in so many of a hundred throws.
    pub fn percent(&self, n: u32) -> bool {
        self.below(100) < n
    }
}

/// What a worker does with a call that has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Serve,
    ServeLate,
    ServeTwice,
    Fail,
    Miss,
    Full,
    FullTwice,
    Over,
    Silent,
    Reset,
    Close,
    HalfClose,
    Spoilt,
    SpoiltCode,
}

const ACTS: [Act; 14] = [
    Act::Serve,
    Act::ServeLate,
    Act::ServeTwice,
    Act::Fail,
    Act::Miss,
    Act::Full,
    Act::FullTwice,
    Act::Over,
    Act::Silent,
    Act::Reset,
    Act::Close,
    Act::HalfClose,
    Act::Spoilt,
    Act::SpoiltCode,
];

impl Act {
    fn never_ran(self) -> bool {
        matches!(self, Act::Miss | Act::Full | Act::FullTwice | Act::Over)
    }
}

/// A worker in a zone that misbehaves in so many of a hundred calls.
#[derive(Clone)]
pub struct Worker {
    pub zone: usize,
    pub trouble: u32,
    pub die: Die,
    pub ledger: Ledger,
}

/// Starts a worker of binary frames; its address.
pub fn frames(worker: Worker) -> SocketAddr {
    listen(move |stream| serve_frames(&worker, stream))
}

/// Starts a worker of KServe v2; its address.
pub fn kserve(worker: Worker) -> SocketAddr {
    listen(move |stream| serve_http(&worker, stream))
}

fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

impl Worker {
    /// Decides on a call, and notes that it came.
    fn take(&self, id: u64) -> Act {
        let troubled = self.die.percent(self.trouble);
        let act = if troubled {
            ACTS[self.die.below(ACTS.len() as u32) as usize]
        } else {
            Act::Serve
        };
        let arrival = Arrival {
            at: Instant::now(),
            zone: self.zone,
            act,
        };
        self.ledger
            .lock()
            .expect("sound")
            .entry(id)
            .or_default()
            .push(arrival);
        act
    }

    /// Whether the connection is to end in the middle of the next call.
    fn cuts(&self) -> bool {
        self.die.percent(self.trouble) && self.die.percent(15)
    }

    fn pause(&self, most_ms: u32) {
        std::thread::sleep(Duration::from_millis(self.die.below(most_ms).into()));
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)); // the close then sends a reset
}

fn bytes(stream: &mut impl Read, n: usize) -> Option<Vec<u8>> {
    let mut got = vec![0; n];
    stream.read_exact(&mut got).ok()?;
    Some(got)
}

fn frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut frame = encode(code, id, fields, body);
    frame[0] = 127;
    frame
}

fn serve_frames(worker: &Worker, mut stream: TcpStream) {
    let Ok(back) = stream.try_clone() else { return };
    let back = Arc::new(Mutex::new(back));
    loop {
        if worker.cuts() {
            let _ = bytes(&mut stream, 20); // a part of the next frame
            return reset(&stream);
        }
        let Some(head) = bytes(&mut stream, 16) else {
            return;
        };
        let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
        let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
        let id = u64::from_be_bytes(head[8..].try_into().expect("eight"));
        if bytes(&mut stream, fields + body + 4).is_none() {
            return;
        }
        let answers = match head[1] {
            2 => worker.take(id),
            6 => {
                say(&back, frame(200, id, "slots_up=1", b""), 0);
                continue;
            }
            _ => continue,
        };
        let served = frame(200, id, "detail=resident", b"DONE");
        let bare = |code| frame(code, id, "", b"");
        let (answer, again) = match answers {
            Act::Serve | Act::ServeLate => (served, false),
            Act::ServeTwice => (served, true),
            Act::Fail => (bare(204), false),
            Act::Miss => (bare(202), false),
            Act::Full => (bare(203), false),
            Act::FullTwice => (bare(203), true),
            Act::Over => (bare(205), false),
            Act::Silent => continue,
            Act::Reset => return reset(&stream),
            Act::Close => {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Act::HalfClose => {
                let _ = stream.shutdown(Shutdown::Write);
                continue; // what is still written to it comes
            }
            Act::Spoilt => {
                let mut spoilt = served;
                *spoilt.last_mut().expect("a check") ^= 1;
                (spoilt, false)
            }
            Act::SpoiltCode => {
                let mut spoilt = served;
                spoilt[1] = 202;
                (spoilt, false)
            }
        };
        let late = if answers == Act::ServeLate {
            worker.die.below(120)
        } else {
            0
        };
        say(&back, answer.clone(), late);
        if again {
            say(&back, answer, late + worker.die.below(10));
        }
    }
}

/// Writes an answer after so long, while what comes next is read: it is noted when it comes.
fn say(back: &Arc<Mutex<TcpStream>>, answer: Vec<u8>, after_ms: u32) {
    let back = back.clone();
    let write = move || {
        let _ = back.lock().expect("sound").write_all(&answer); // the connection may have ended
    };
    if after_ms == 0 {
        return write();
    }
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(after_ms.into()));
        write();
    });
}

/// Head and body of the next HTTP request.
fn http_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.extend(bytes(stream, 1)?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "))?
        .parse()
        .ok()?;
    let body = String::from_utf8_lossy(&bytes(stream, length)?).into_owned();
    Some((head, body))
}

fn http_answer(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn serve_http(worker: &Worker, mut stream: TcpStream) {
    loop {
        if worker.cuts() {
            let _ = bytes(&mut stream, 20);
            return reset(&stream);
        }
        let Some((head, body)) = http_request(&mut stream) else {
            return;
        };
        if !head.contains("/infer ") {
            let stands = r#"{"parameters":{"slots_up":1}}"#;
            let _ = stream.write_all(&http_answer("200 OK", stands)); // orders
            continue;
        }
        let id = body
            .split(r#""id":""#)
            .nth(1)
            .and_then(|rest| rest.get(..16))
            .expect("an id");
        let act = worker.take(u64::from_str_radix(id, 16).expect("hex"));
        let served = format!(
            r#"{{"id":"{id}","outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["DONE"]}}]}}"#
        );
        let served = http_answer("200 OK", &served);
        let full =
            b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
                .to_vec();
        let (answer, again) = match act {
            Act::Serve => (served, false),
            Act::ServeLate => {
                worker.pause(120);
                (served, false)
            }
            Act::ServeTwice => (served, true),
            Act::Fail => (http_answer("500 Internal Server Error", "{}"), false),
            Act::Miss => (http_answer("404 Not Found", "{}"), false),
            Act::Full => (full, false),
            Act::FullTwice => (full, true),
            Act::Over => (http_answer("429 Too Many Requests", "{}"), false),
            Act::Silent => continue,
            Act::Reset => return reset(&stream),
            Act::Close => return,
            Act::HalfClose => {
                let _ = stream.shutdown(Shutdown::Write);
                continue;
            }
            Act::Spoilt => (
                b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n".to_vec(),
                false,
            ),
            // What a proxy before the worker says that lost the answer to a call.
            Act::SpoiltCode => (http_answer("503 Service Unavailable", ""), false),
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
        if again {
            worker.pause(10);
            let _ = stream.write_all(&answer); // the connection may have ended
        }
    }
}
