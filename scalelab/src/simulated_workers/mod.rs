//! Simulated workers on the platform's frames: thousands of listeners and their connections on one thread, each worker
//! with what it has loaded. They end when [`SimulatedWorkers`] is dropped.
mod frame;

use crate::harness::{endpoint_json, lock, spawn_thread};
use crate::ExperimentError;
use frame::{answer, Frame, LOAD_FRAME, REQUEST_FRAME, UNLOAD_FRAME};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often the thread looks whether it is to end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Events taken from the kernel at a time.
const EVENTS_PER_WAIT: usize = 256;
/// How long the workers' work takes.
#[derive(Clone, Copy)]
pub struct ServiceTimes {
    /// A load of a function.
    pub load: Duration,
    /// A request, once the function is loaded.
    pub call: Duration,
}

/// What a worker saw of a function's first request.
#[derive(Clone, Copy, Debug)]
pub struct FirstRequest {
    /// When its first load order or request had come as a whole.
    pub received_at: Instant,
    /// When its request had come as a whole.
    pub called_at: Instant,
    /// When its answer was written.
    pub answered_at: Instant,
    /// Whether that was the first frame of its connection.
    pub new_connection: bool,
    /// Whether a load order came before the request.
    pub ordered: bool,
}

/// What all workers saw.
#[derive(Default)]
pub struct WorkerCounts {
    /// Connections accepted so far.
    pub accepts: AtomicU64,
    /// Connections that are open now.
    pub standing: AtomicU64,
    /// Requests received.
    pub calls: AtomicU64,
    /// Load orders received.
    pub orders: AtomicU64,
    /// Queries (orders of no replicas) received.
    pub questions: AtomicU64,
    /// Workers that received a request.
    pub called: Mutex<HashSet<usize>>,
    /// Workers that received any frame.
    pub reached: Mutex<HashSet<usize>>,
    /// What was seen of each function's first request.
    pub first_requests: Mutex<HashMap<u64, FirstRequest>>,
}

/// The counters of [`WorkerCounts`] at one time.
#[derive(Clone, Copy, Debug)]
pub struct CountsSnapshot {
    /// Connections accepted.
    pub accepts: u64,
    /// Requests received.
    pub calls: u64,
    /// Load orders received.
    pub orders: u64,
    /// Queries received.
    pub questions: u64,
}

impl WorkerCounts {
    /// The counters now.
    pub fn snapshot(&self) -> CountsSnapshot {
        CountsSnapshot {
            accepts: self.accepts.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
            orders: self.orders.load(Ordering::Relaxed),
            questions: self.questions.load(Ordering::Relaxed),
        }
    }
}

/// The workers; they end with this value.
pub struct SimulatedWorkers {
    /// The endpoint list that contains them.
    pub list: Vec<String>,
    /// What they saw.
    pub counts: Arc<WorkerCounts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn failed(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Failed(error.to_string())
}

impl SimulatedWorkers {
    /// Starts this many workers.
    ///
    /// # Errors
    /// No port or thread can be had.
    pub fn start(count: u64, times: ServiceTimes) -> Result<SimulatedWorkers, ExperimentError> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC).map_err(failed)?;
        let mut list = Vec::new();
        let mut workers = Vec::new();
        for id in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
            listener.set_nonblocking(true).map_err(failed)?;
            let address = listener.local_addr().map_err(failed)?;
            list.push(endpoint_json(id, &address.to_string(), "ready"));
            let event = EpollEvent::new(EpollFlags::EPOLLIN, id);
            epoll.add(&listener, event).map_err(failed)?;
            workers.push(Worker {
                listener,
                loaded_at: HashMap::new(),
            });
        }
        let counts = Arc::new(WorkerCounts::default());
        let stop = Arc::new(AtomicBool::new(false));
        let mut event_loop = EventLoop {
            epoll,
            workers,
            connections: HashMap::new(),
            last_token: count,
            times,
            due: BinaryHeap::new(),
            replies: BTreeMap::new(),
            counts: counts.clone(),
        };
        let stopped = stop.clone();
        let thread = spawn_thread(move || event_loop.run(&stopped))?;
        Ok(SimulatedWorkers {
            list,
            counts,
            stop,
            thread: Some(thread),
        })
    }
}

impl Drop for SimulatedWorkers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // it may have panicked, which has been printed
        }
    }
}

struct Worker {
    listener: TcpListener,
    /// When each function that it holds is loaded.
    loaded_at: HashMap<u64, Instant>,
}

/// A connection, and what came of a frame that is not complete.
struct Connection {
    stream: TcpStream,
    worker: usize,
    received: Vec<u8>,
    /// Whether no complete frame has come yet.
    new: bool,
}

/// An answer that waits for its time.
struct ScheduledReply {
    connection: u64,
    bytes: Vec<u8>,
    function: u64,
    seen: FirstRequest,
    is_request: bool,
}

struct EventLoop {
    epoll: Epoll,
    workers: Vec<Worker>,
    connections: HashMap<u64, Connection>,
    /// Token of the latest connection; the workers' listeners have those from 0.
    last_token: u64,
    times: ServiceTimes,
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    replies: BTreeMap<u64, ScheduledReply>,
    counts: Arc<WorkerCounts>,
}

impl EventLoop {
    fn run(&mut self, stop: &AtomicBool) {
        let mut events = vec![EpollEvent::empty(); EVENTS_PER_WAIT];
        while !stop.load(Ordering::Relaxed) {
            let count = self.epoll.wait(&mut events, self.timeout()).unwrap_or(0); // a signal came
            for token in events[..count].iter().map(EpollEvent::data) {
                if (token as usize) < self.workers.len() {
                    self.accept(token as usize);
                } else {
                    self.read(token);
                }
            }
            self.send_due_replies();
        }
    }

    /// Time until the next reply is due, rounded up to whole milliseconds, as the kernel counts.
    fn timeout(&self) -> EpollTimeout {
        let mut wait = STOP_POLL_INTERVAL;
        if let Some(Reverse((at, _))) = self.due.peek() {
            wait = wait.min(at.saturating_duration_since(Instant::now()));
        }
        EpollTimeout::from(wait.as_micros().div_ceil(1000) as u16)
    }

    fn send_due_replies(&mut self) {
        let now = Instant::now();
        while let Some(&Reverse((at, number))) = self.due.peek() {
            if at > now {
                return;
            }
            self.due.pop();
            if let Some(reply) = self.replies.remove(&number) {
                self.send(reply);
            }
        }
    }

    fn accept(&mut self, worker: usize) {
        while let Ok((stream, _)) = self.workers[worker].listener.accept() {
            self.last_token += 1;
            let event = EpollEvent::new(EpollFlags::EPOLLIN, self.last_token);
            let ready = stream.set_nonblocking(true).is_ok() && stream.set_nodelay(true).is_ok();
            if !ready || self.epoll.add(&stream, event).is_err() {
                continue;
            }
            self.counts.accepts.fetch_add(1, Ordering::Relaxed);
            self.counts.standing.fetch_add(1, Ordering::Relaxed);
            let connection = Connection {
                stream,
                worker,
                received: Vec::new(),
                new: true,
            };
            self.connections.insert(self.last_token, connection);
        }
    }

    fn close(&mut self, token: u64) {
        if self.connections.remove(&token).is_some() {
            self.counts.standing.fetch_sub(1, Ordering::Relaxed); // closing takes it out of the epoll set
        }
    }

    fn read(&mut self, token: u64) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let mut chunk = [0u8; 4096];
        loop {
            match connection.stream.read(&mut chunk) {
                Ok(0) => return self.close(token),
                Ok(count) => connection.received.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.close(token),
            }
        }
        while let Some(connection) = self.connections.get_mut(&token) {
            let Some(frame) = Frame::take(token, connection) else {
                break;
            };
            self.handle(&frame);
        }
    }

    /// Handles a request, a load order, a query or an unload order.
    fn handle(&mut self, frame: &Frame) {
        lock(&self.counts.reached).insert(frame.worker);
        match (frame.kind, frame.replicas()) {
            (REQUEST_FRAME, _) => {
                self.counts.calls.fetch_add(1, Ordering::Relaxed);
                lock(&self.counts.called).insert(frame.worker);
                self.schedule_reply(frame);
            }
            (LOAD_FRAME, Some(0)) => self.answer_query(frame),
            (LOAD_FRAME, _) => {
                self.counts.orders.fetch_add(1, Ordering::Relaxed);
                self.schedule_reply(frame);
            }
            (UNLOAD_FRAME, _) => {
                let loaded_at = &mut self.workers[frame.worker].loaded_at;
                loaded_at.remove(&frame.function());
            }
            _ => {}
        }
    }

    fn answer_query(&mut self, frame: &Frame) {
        self.counts.questions.fetch_add(1, Ordering::Relaxed);
        let loaded_at = self.workers[frame.worker].loaded_at.get(&frame.function());
        let loaded = loaded_at.is_some_and(|&at| at <= Instant::now());
        let bytes = answer(frame.id, &format!("slots_up={}", u8::from(loaded)), &[]);
        self.write(frame.connection, &bytes);
    }

    /// Loads the function if need be, and schedules the reply for when it is loaded and the request is done.
    fn schedule_reply(&mut self, frame: &Frame) {
        let now = Instant::now();
        let function = frame.function();
        let loaded_at = &mut self.workers[frame.worker].loaded_at;
        let (loaded, detail) = match loaded_at.get(&function) {
            Some(&at) if at <= now => (at, "detail=resident"),
            Some(&at) => (at, "detail=rode"),
            None => {
                let at = now + self.times.load;
                loaded_at.insert(function, at);
                (at, "detail=booted")
            }
        };
        let is_request = frame.kind == REQUEST_FRAME;
        let mut due = loaded.max(now);
        let mut bytes = answer(frame.id, "slots_up=1", &[]);
        if is_request {
            due += self.times.call;
            bytes = answer(frame.id, detail, &frame.body);
        }
        let reply = ScheduledReply {
            connection: frame.connection,
            bytes,
            function,
            seen: FirstRequest {
                received_at: now,
                called_at: now,
                answered_at: now,
                new_connection: frame.first,
                ordered: !is_request,
            },
            is_request,
        };
        let last = self.replies.last_key_value();
        let number = last.map_or(0, |(number, _)| number + 1);
        self.replies.insert(number, reply);
        self.due.push(Reverse((due, number)));
    }

    fn send(&mut self, reply: ScheduledReply) {
        let now = Instant::now();
        let seen = FirstRequest {
            answered_at: now,
            ..reply.seen
        };
        let mut all = lock(&self.counts.first_requests);
        let first = all.entry(reply.function).or_insert(seen);
        if reply.is_request && first.ordered {
            first.called_at = seen.called_at;
            first.answered_at = now;
        }
        drop(all);
        self.write(reply.connection, &reply.bytes);
    }

    /// Writes a frame. Frames here are small: what the kernel does not take at once shows a peer that does not read.
    fn write(&mut self, token: u64, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.stream.write_all(bytes).is_err() {
            self.close(token);
        }
    }
}
