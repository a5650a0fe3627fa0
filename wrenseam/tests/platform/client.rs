//! Clients that call through front ends, each with one request open at a time on a connection that it keeps.
use super::support::sockets::read_bytes;
use super::FUNCTIONS;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const BEGIN_REQUEST: u8 = 1;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
const RESPONDER: [u8; 8] = [0, 1, 1, 0, 0, 0, 0, 0];
const OVERLOADED: u8 = 2;
/// An answer may come so long after its time; then it is lost.
const LATE: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    Served,
    Refused,
    Failed,
    /// No answer came in time.
    Unanswered,
    /// The connection ended with no answer.
    Closed,
}

/// A request that was sent whole.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: u64,
    pub(crate) front_end: usize,
    pub(crate) key: Option<String>,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) timeout: Duration,
    pub(crate) outcome: RequestOutcome,
    /// Whether it was the first on its connection.
    pub(crate) is_first: bool,
    /// Since when the connection had carried nothing.
    pub(crate) idle_since: Instant,
}

/// What clients do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientSettings {
    pub(crate) front_end: usize,
    pub(crate) address: SocketAddr,
    pub(crate) timeout: Duration,
    /// The mean pause between two requests.
    pub(crate) pause: Duration,
}

/// Clients that run until they are stopped.
pub(crate) struct Clients {
    is_stopped: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    threads: Vec<JoinHandle<()>>,
    seed: u64,
}

impl Clients {
    pub(crate) fn new(seed: u64) -> Clients {
        Clients {
            is_stopped: Arc::default(),
            records: Arc::default(),
            threads: Vec::new(),
            seed,
        }
    }

    /// Adds so many clients of a front end.
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

    /// The requests that have ended.
    pub(crate) fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().expect("not poisoned").clone()
    }

    /// How many were served between these times.
    pub(crate) fn served_between(&self, from: Instant, to: Instant) -> usize {
        let records = self.records.lock().expect("not poisoned");
        let is_served = |record: &&RequestRecord| {
            record.outcome == RequestOutcome::Served
                && record.ended_at >= from
                && record.ended_at < to
        };
        records.iter().filter(is_served).count()
    }

    /// Ends all clients once their requests have ended.
    pub(crate) fn stop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            thread.join().expect("a client that did not panic");
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
                self.use_connection(stream);
            }
            self.pause();
        }
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    fn pause(&mut self) {
        let mean = self.settings.pause.as_secs_f64();
        let part = f64::from(self.random.next_u32()) / 2f64.powi(31);
        std::thread::sleep(Duration::from_secs_f64(mean * part));
    }

    /// Sends one request after the other until the connection ends.
    fn use_connection(&mut self, mut stream: TcpStream) {
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
            let outcome = read_outcome(&mut stream, sent_at + timeout + LATE);
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

    fn request(&mut self, id: u64, key: Option<&str>) -> Vec<u8> {
        let function = FUNCTIONS[self.random.next_u32() as usize % FUNCTIONS.len()];
        let class = if key.is_some() {
            "/v1/tile-order"
        } else {
            "/v1/tile-render"
        };
        let call_id = format!("{id:016x}");
        let timeout_ms = self.settings.timeout.as_millis().to_string();
        let mut params = vec![
            ("SCRIPT_NAME", class),
            ("HTTP_REQ_ID", &call_id),
            ("HTTP_REQ_WAIT_MS", &timeout_ms),
            ("HTTP_REQ_OWNER", "acme"),
            ("HTTP_REQ_KEY", function),
            ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
        ];
        if let Some(key) = key {
            params.push(("HTTP_REQ_TOKEN", key));
        }
        let params: Vec<u8> = params
            .iter()
            .flat_map(|(name, value)| {
                let lengths = [name.len() as u8, value.len() as u8];
                [&lengths, name.as_bytes(), value.as_bytes()].concat()
            })
            .collect();
        [
            record(BEGIN_REQUEST, &RESPONDER),
            record(PARAMS, &params),
            record(PARAMS, &[]),
            record(STDIN, b"tile"),
            record(STDIN, &[]),
        ]
        .concat()
    }
}

/// One record of request 1 without padding.
fn record(kind: u8, content: &[u8]) -> Vec<u8> {
    let [length_high, length_low] = (content.len() as u16).to_be_bytes();
    let header = [1, kind, 0, 1, length_high, length_low, 0, 0];
    [&header, content].concat()
}

/// Reads the answer, for no longer than until `deadline`.
fn read_outcome(stream: &mut TcpStream, deadline: Instant) -> RequestOutcome {
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

fn read_answer(stream: &mut TcpStream, deadline: Instant) -> io::Result<RequestOutcome> {
    let mut stdout = Vec::new();
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let header = read_bytes(stream, 8)?;
        let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
        let content = read_bytes(stream, length)?;
        stream.read_exact(&mut vec![0; header[6].into()])?;
        match header[1] {
            STDOUT => stdout.extend(content),
            END_REQUEST => return Ok(outcome(&stdout, content[4])),
            kind => panic!("record {kind}"),
        }
    }
}

fn outcome(stdout: &[u8], protocol_status: u8) -> RequestOutcome {
    let text = String::from_utf8_lossy(stdout);
    if protocol_status == OVERLOADED
        || text.starts_with("Status: 503")
        || text.starts_with("Status: 429")
    {
        RequestOutcome::Refused
    } else if text.starts_with("Status: 200") && text.ends_with("DONE") {
        RequestOutcome::Served
    } else {
        RequestOutcome::Failed
    }
}
