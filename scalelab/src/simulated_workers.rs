//! Stand-in workers on the platform's frames: thousands of listeners and their connections on one thread, each
//! worker with what it has loaded. They end when the yard is dropped.
use crate::harness::{endpoint_json, lock, spawn_thread};
use crate::ExperimentError;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use wrenseam::worker::frames::encode;

const LOOK: Duration = Duration::from_millis(50); // how often it looks whether it is to end
const HEADER: usize = 16;

/// What the workers take for their work.
#[derive(Clone, Copy)]
pub struct ServiceTimes {
    pub load: Duration,
    pub call: Duration,
}

/// What a worker saw of a function's first call.
#[derive(Clone, Copy, Debug)]
pub struct FirstRequest {
    /// Its first order or call came whole, its call came whole, its answer was written.
    pub received_at: Instant,
    pub called_at: Instant,
    pub answered_at: Instant,
    /// Whether that was the first frame of its connection.
    pub new_connection: bool,
    /// Whether an order to load came before the call.
    pub ordered: bool,
}

/// What all workers saw.
#[derive(Default)]
pub struct WorkerCounts {
    /// Connections taken, and those that stand now.
    pub accepts: AtomicU64,
    pub standing: AtomicU64,
    pub calls: AtomicU64,
    /// Orders to load, and questions (orders of no copies).
    pub orders: AtomicU64,
    pub questions: AtomicU64,
    /// Workers called so far, and those that any frame reached.
    pub called: Mutex<HashSet<usize>>,
    pub reached: Mutex<HashSet<usize>>,
    /// What was seen of each function's first call.
    pub first_requests: Mutex<HashMap<u64, FirstRequest>>,
}

impl WorkerCounts {
    /// Its counts now: accepts, calls, orders, questions.
    pub fn counts(&self) -> [u64; 4] {
        [&self.accepts, &self.calls, &self.orders, &self.questions]
            .map(|c| c.load(Ordering::Relaxed))
    }
}

/// The workers; they end with this value.
pub struct SimulatedWorkers {
    /// The list that tells of them.
    pub list: Vec<String>,
    pub counts: Arc<WorkerCounts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl SimulatedWorkers {
    /// Starts so many workers.
    ///
    /// # Errors
    /// No port or thread can be had.
    pub fn start(count: u64, work: ServiceTimes) -> Result<SimulatedWorkers, ExperimentError> {
        let failed = |e: &dyn std::fmt::Display| ExperimentError::Failed(e.to_string());
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC).map_err(|e| failed(&e))?;
        let (mut list, mut listeners) = (Vec::new(), Vec::new());
        for id in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| failed(&e))?;
            listener.set_nonblocking(true).map_err(|e| failed(&e))?;
            list.push(endpoint_json(
                id,
                &listener.local_addr().map_err(|e| failed(&e))?.to_string(),
                "ready",
            ));
            epoll
                .add(&listener, EpollEvent::new(EpollFlags::EPOLLIN, id))
                .map_err(|e| failed(&e))?;
            listeners.push((listener, HashMap::new()));
        }
        let (counts, stop) = (
            Arc::new(WorkerCounts::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let next = count;
        let (links, due, answers) = (HashMap::new(), BinaryHeap::new(), BTreeMap::new());
        let mut inside = EventLoop {
            epoll,
            listeners,
            links,
            next,
            work,
            due,
            answers,
            counts: counts.clone(),
        };
        let of = stop.clone();
        let thread = Some(spawn_thread(move || inside.run(&of))?);
        Ok(SimulatedWorkers {
            list,
            counts,
            stop,
            thread,
        })
    }
}

impl Drop for SimulatedWorkers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // it may have panicked, which has been told
        }
    }
}

/// A connection, and what came of a frame that is not whole.
struct Connection {
    stream: TcpStream,
    worker: usize,
    got: Vec<u8>,
    first: bool,
}

/// An answer that waits for its time.
struct ScheduledReply {
    link: u64,
    bytes: Vec<u8>,
    function: u64,
    seen: FirstRequest,
    call: bool,
}

struct EventLoop {
    epoll: Epoll,
    /// Each worker, and when each function that it holds stands.
    listeners: Vec<(TcpListener, HashMap<u64, Instant>)>,
    links: HashMap<u64, Connection>,
    /// The number of the next connection; workers have those before.
    next: u64,
    work: ServiceTimes,
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    answers: BTreeMap<u64, ScheduledReply>,
    counts: Arc<WorkerCounts>,
}

impl EventLoop {
    fn run(&mut self, stop: &AtomicBool) {
        let mut events = vec![EpollEvent::empty(); 256];
        while !stop.load(Ordering::Relaxed) {
            let next = self
                .due
                .peek()
                .map(|Reverse((at, _))| at.saturating_duration_since(Instant::now()));
            let wait = next.map_or(LOOK, |n| n.min(LOOK));
            // Rounded up to whole milliseconds, as the kernel counts.
            let wait = wait.as_micros().div_ceil(1000) as u16;
            let count = self
                .epoll
                .wait(&mut events, EpollTimeout::from(wait))
                .unwrap_or(0); // a signal came
            for event in events[..count].iter().map(EpollEvent::data) {
                match self.listeners.get(event as usize) {
                    Some(_) => self.accept(event as usize),
                    None => self.read(event),
                }
            }
            let now = Instant::now();
            while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, n))) = self.due.pop() else {
                    break;
                };
                if let Some(answer) = self.answers.remove(&n) {
                    self.answer(answer);
                }
            }
        }
    }

    fn accept(&mut self, worker: usize) {
        while let Ok((stream, _)) = self.listeners[worker].0.accept() {
            self.next += 1;
            let event = EpollEvent::new(EpollFlags::EPOLLIN, self.next);
            let ready = stream.set_nonblocking(true).is_ok() && stream.set_nodelay(true).is_ok();
            if ready && self.epoll.add(&stream, event).is_ok() {
                self.counts.accepts.fetch_add(1, Ordering::Relaxed);
                self.counts.standing.fetch_add(1, Ordering::Relaxed);
                self.links.insert(
                    self.next,
                    Connection {
                        stream,
                        worker,
                        got: Vec::new(),
                        first: true,
                    },
                );
            }
        }
    }

    fn end(&mut self, link: u64) {
        if self.links.remove(&link).is_some() {
            self.counts.standing.fetch_sub(1, Ordering::Relaxed); // closing takes it out of the set
        }
    }

    fn read(&mut self, number: u64) {
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        let mut chunk = [0u8; 4096];
        loop {
            match link.stream.read(&mut chunk) {
                Ok(0) => return self.end(number),
                Ok(n) => link.got.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.end(number),
            }
        }
        while let Some(link) = self.links.get_mut(&number) {
            let Some(head) = link.got.first_chunk::<HEADER>() else {
                break;
            };
            let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
            let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
            let all = HEADER + fields + body + 4;
            if link.got.len() < all {
                break;
            }
            let frame: Vec<u8> = link.got.drain(..all).collect();
            let (worker, first) = (link.worker, std::mem::take(&mut link.first));
            self.frame(number, worker, first, &frame, fields);
        }
    }

    /// Takes a whole frame: a call, an order, a question or an unloading.
    fn frame(&mut self, link: u64, worker: usize, first: bool, frame: &[u8], fields: usize) {
        let id = u64::from_be_bytes(frame[8..HEADER].try_into().expect("eight bytes"));
        let text = String::from_utf8_lossy(&frame[HEADER..HEADER + fields]).into_owned();
        let field = |name: &str| {
            text.split(',')
                .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
        };
        let function = field("path")
            .and_then(|p| u64::from_str_radix(p, 16).ok())
            .unwrap_or(id);
        let copies = field("slots_up").and_then(|n| n.parse::<u32>().ok());
        let (came, held) = (Instant::now(), &mut self.listeners[worker].1);
        let call = frame[1] == 2;
        lock(&self.counts.reached).insert(worker);
        match (frame[1], copies) {
            (2, _) => {
                self.counts.calls.fetch_add(1, Ordering::Relaxed);
                lock(&self.counts.called).insert(worker);
            }
            (6, Some(0)) => {
                self.counts.questions.fetch_add(1, Ordering::Relaxed);
                let stands = held.get(&function).is_some_and(|&at| at <= came);
                let bytes = reply(id, &format!("slots_up={}", u8::from(stands)), &[]);
                return self.write(link, &bytes);
            }
            (6, _) => {
                self.counts.orders.fetch_add(1, Ordering::Relaxed);
            }
            (8, _) => {
                held.remove(&function);
                return;
            }
            _ => return,
        }
        // When it stands: loaded before, being loaded for another, or begun now.
        let begun = came + self.work.load;
        let (stands, detail) = match held.get(&function) {
            Some(&at) if at <= came => (at, "detail=resident"),
            Some(&at) => (at, "detail=rode"),
            None => (*held.entry(function).or_insert(begun), "detail=booted"),
        };
        let at = stands.max(came) + if call { self.work.call } else { Duration::ZERO };
        let body = &frame[HEADER + fields..frame.len() - 4];
        let bytes = if call {
            reply(id, detail, body)
        } else {
            reply(id, "slots_up=1", &[])
        };
        let seen = FirstRequest {
            received_at: came,
            called_at: came,
            answered_at: came,
            new_connection: first,
            ordered: !call,
        };
        let n = self.answers.last_key_value().map_or(0, |(n, _)| n + 1);
        self.answers.insert(
            n,
            ScheduledReply {
                link,
                bytes,
                function,
                seen,
                call,
            },
        );
        self.due.push(Reverse((at, n)));
    }

    fn answer(&mut self, answer: ScheduledReply) {
        let ScheduledReply {
            link,
            bytes,
            function,
            seen,
            call,
        } = answer;
        let answered = Instant::now();
        {
            let mut all = lock(&self.counts.first_requests);
            let first = all.entry(function).or_insert(FirstRequest {
                answered_at: answered,
                ..seen
            });
            if call && first.ordered {
                first.called_at = seen.called_at;
                first.answered_at = answered;
            }
        }
        self.write(link, &bytes);
    }

    fn write(&mut self, number: u64, bytes: &[u8]) {
        // What does not go at once is a peer that does not read: frames here are small.
        if self
            .links
            .get_mut(&number)
            .is_some_and(|l| l.stream.write_all(bytes).is_err())
        {
            self.end(number);
        }
    }
}

fn reply(id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = encode(200, id, fields, body);
    bytes[0] = 127; // the mark of a worker
    bytes
}
