//! Simulated clients that send requests to front ends over FastCGI. Each has one request open at a time and keeps its
//! connection open between requests.
use super::support::fastcgi::{
    abort_request, fastcgi_request, read_fastcgi_answer, FastCgiAnswer, OVERLOADED,
};
use super::worker::is_answer_body;
use super::FUNCTIONS;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// An answer that has not arrived this long after the request's timeout counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The worker's complete answer arrived.
    Served,
    /// The front end answered with `FCGI_OVERLOADED`, 429 or 503.
    Rejected,
    /// Any other answer.
    Failed,
    /// No answer arrived in time.
    Unanswered,
    /// The connection ended without an answer.
    Closed,
}

/// A request that a client sent completely.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: u64,
    /// Index of the front end that it was sent to.
    pub(crate) front_end: usize,
    /// Idempotency key, if the request has one.
    pub(crate) key: Option<String>,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// Timeout stated in the request.
    pub(crate) timeout: Duration,
    pub(crate) outcome: RequestOutcome,
    /// Whether it was the first request on its connection.
    pub(crate) is_first: bool,
    /// Since when its connection had been idle when it was sent.
    pub(crate) idle_since: Instant,
}

/// The traffic of a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientSettings {
    /// Index of the front end that it sends to.
    pub(crate) front_end: usize,
    pub(crate) address: SocketAddr,
    /// Timeout that it states in each request.
    pub(crate) timeout: Duration,
    /// Mean pause between two requests.
    pub(crate) pause: Duration,
}

/// Clients that send requests until they are stopped, each in a thread of its own.
pub(crate) struct Clients {
    is_stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    threads: Vec<JoinHandle<()>>,
    /// Seed of the client added last.
    seed: u64,
}

impl Clients {
    /// No clients yet. The first one added gets the seed after `seed`, and so on.
    pub(crate) fn new(seed: u64) -> Clients {
        Clients {
            is_stopped: Arc::default(),
            records: Arc::default(),
            threads: Vec::new(),
            seed,
        }
    }

    /// Adds and starts `count` clients with these settings.
    pub(crate) fn add(&mut self, count: usize, settings: ClientSettings) {
        for _ in 0..count {
            self.seed += 1;
            let client = Client {
                settings,
                random: Pcg32::seed_from_u64(self.seed),
                is_stopped: self.is_stopped.clone(),
                records: self.records.clone(),
            };
            self.threads.push(std::thread::spawn(move || client.run()));
        }
    }

    /// The requests that have ended so far.
    pub(crate) fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().expect("not poisoned").clone()
    }

    /// How many requests were served from `from` until before `to`.
    pub(crate) fn served_between(&self, from: Instant, to: Instant) -> usize {
        let records = self.records.lock().expect("not poisoned");
        let is_served = |record: &&RequestRecord| {
            record.outcome == RequestOutcome::Served
                && record.ended_at >= from
                && record.ended_at < to
        };
        records.iter().filter(is_served).count()
    }

    /// Stops all clients and waits for the end of their open requests.
    pub(crate) fn stop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            thread.join().expect("the client did not panic");
        }
    }
}

struct Client {
    settings: ClientSettings,
    random: Pcg32,
    is_stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
}

impl Client {
    fn run(mut self) {
        while !self.is_stopped() {
            if let Ok(stream) = TcpStream::connect_timeout(&self.settings.address, CONNECT_TIMEOUT)
            {
                let _ = stream.set_nodelay(true);
                self.send_requests(stream);
            }
            self.pause();
        }
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    /// Sleeps for a random time, uniform from 0 to twice the mean pause.
    fn pause(&mut self) {
        let mean = self.settings.pause.as_secs_f64();
        let factor = f64::from(self.random.next_u32()) / 2f64.powi(31);
        std::thread::sleep(Duration::from_secs_f64(mean * factor));
    }

    /// Sends one request after the other until the connection ends or an answer is lost.
    fn send_requests(&mut self, mut stream: TcpStream) {
        let mut is_first = true;
        let mut idle_since = Instant::now();
        while !self.is_stopped() {
            let id = u64::from(self.random.next_u32()) << 32 | u64::from(self.random.next_u32());
            let is_keyed = self.random.next_u32().is_multiple_of(2);
            let key = is_keyed.then(|| format!("{:032x}", u128::from(id)));
            let request = self.request(id, key.as_deref());
            if stream.write_all(&request).is_err() {
                return;
            }
            let sent_at = Instant::now();
            let timeout = self.settings.timeout;
            let outcome = read_outcome(&mut stream, sent_at + timeout + ANSWER_SLACK);
            let ended_at = Instant::now();
            self.records
                .lock()
                .expect("not poisoned")
                .push(RequestRecord {
                    id,
                    front_end: self.settings.front_end,
                    key,
                    sent_at,
                    ended_at,
                    timeout,
                    outcome,
                    is_first,
                    idle_since,
                });
            if matches!(outcome, RequestOutcome::Unanswered | RequestOutcome::Closed) {
                return;
            }
            is_first = false;
            idle_since = ended_at;
            self.pause();
        }
    }

    /// Encodes a request for a random function. With an idempotency key its class is `tile-order`, otherwise
    /// `tile-render`.
    fn request(&mut self, id: u64, key: Option<&str>) -> Vec<u8> {
        let function = FUNCTIONS[self.random.next_u32() as usize % FUNCTIONS.len()];
        let class = if key.is_some() {
            "/v1/tile-order"
        } else {
            "/v1/tile-render"
        };
        let request_id = format!("{id:016x}");
        let timeout_ms = self.settings.timeout.as_millis().to_string();
        let mut params = call_params(class, &request_id, &timeout_ms, function).to_vec();
        if let Some(key) = key {
            params.push(("HTTP_REQ_TOKEN", key));
        }
        fastcgi_request(1, &params, b"tile")
    }
}

/// How a client leaves a connection on which its requests are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
    Closes,
    /// Closes with a reset.
    Resets,
    /// Closes its sending side only.
    HalfCloses,
    /// Cancels its requests and stays connected for a moment.
    Cancels,
}

/// Leaves a connection on which this many requests were sent, with the ids from 1.
pub(crate) fn stop_sending(mut stream: TcpStream, departure: Departure, requests: usize) {
    match departure {
        Departure::Closes => {}
        Departure::Resets => {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        Departure::HalfCloses => {
            let _ = stream.shutdown(Shutdown::Write); // fails if the connection has ended
        }
        Departure::Cancels => {
            let cancellations: Vec<u8> = (1..=requests as u16).flat_map(abort_request).collect();
            let _ = stream.write_all(&cancellations); // fails if the connection has ended
        }
    }
    if matches!(departure, Departure::HalfCloses | Departure::Cancels) {
        std::thread::spawn(move || {
            std::thread::sleep(CONNECT_TIMEOUT);
            drop(stream);
        });
    }
}

/// The parameters of a call without an idempotency key.
pub(crate) fn call_params<'a>(
    script_name: &'a str,
    request_id: &'a str,
    timeout_ms: &'a str,
    function: &'a str,
) -> [(&'a str, &'a str); 6] {
    [
        ("SCRIPT_NAME", script_name),
        ("HTTP_REQ_ID", request_id),
        ("HTTP_REQ_WAIT_MS", timeout_ms),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_KEY", function),
        ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
    ]
}

/// Reads the answer, until `deadline` at the latest, and classifies it or its absence.
pub(super) fn read_outcome(stream: &mut TcpStream, deadline: Instant) -> RequestOutcome {
    match read_answer(stream, deadline) {
        Ok(outcome) => outcome,
        Err(error)
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) =>
        {
            RequestOutcome::Unanswered
        }
        Err(_) => RequestOutcome::Closed,
    }
}

/// Reads the answer. An error of kind `WouldBlock` or `TimedOut` means that `deadline` has passed.
fn read_answer(stream: &mut TcpStream, deadline: Instant) -> io::Result<RequestOutcome> {
    let answer = read_fastcgi_answer(&mut ReadUntil { stream, deadline })?;
    Ok(answer_outcome(&answer))
}

/// A stream on which reads end at a deadline.
struct ReadUntil<'a> {
    stream: &'a mut TcpStream,
    deadline: Instant,
}

impl Read for ReadUntil<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(timeout))?;
        self.stream.read(buffer)
    }
}

/// Classifies a complete answer.
fn answer_outcome(answer: &FastCgiAnswer) -> RequestOutcome {
    let status = answer.head.strip_prefix("Status: ").unwrap_or_default();
    if answer.protocol_status == OVERLOADED
        || status.starts_with("503")
        || status.starts_with("429")
    {
        RequestOutcome::Rejected
    } else if status.starts_with("200") && is_answer_body(&answer.body) {
        RequestOutcome::Served
    } else {
        RequestOutcome::Failed
    }
}
