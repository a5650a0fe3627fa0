//! Simulated workers that speak the platform's frame protocol. One thread serves the listeners and connections of
//! thousands of workers and keeps track of what each has loaded. It stops when [`SimulatedWorkers`] is dropped.
mod frame;

use crate::harness::{endpoint_json, lock, spawn_thread};
use crate::ExperimentError;
use frame::{response, Frame, LOAD_FRAME, REQUEST_FRAME, UNLOAD_FRAME};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest interval between two checks of the thread's stop flag.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Events that one wait takes from epoll at most.
const EVENTS_PER_WAIT: usize = 256;
/// How long the workers take to load a function and to serve a request.
#[derive(Clone, Copy)]
pub struct ServiceTimes {
    /// Time to load a function.
    pub load: Duration,
    /// Time to serve a request once the function is loaded.
    pub request: Duration,
}

/// What a worker observed of the first request for a function.
#[derive(Clone, Copy, Debug)]
pub struct FirstRequest {
    /// When the first load order or request for the function had been received completely.
    pub received_at: Instant,
    /// When the request had been received completely.
    pub request_received_at: Instant,
    /// When the response to the request was written.
    pub answered_at: Instant,
    /// Whether that first load order or request was the first frame of its connection.
    pub new_connection: bool,
    /// Whether a load order was received before the request.
    pub load_ordered: bool,
}

/// Counters over all workers.
#[derive(Default)]
pub struct WorkerCounts {
    /// Connections accepted so far.
    pub accepted_connections: AtomicU64,
    /// Connections open now.
    pub open_connections: AtomicU64,
    /// Requests received.
    pub requests: AtomicU64,
    /// Load orders received.
    pub load_orders: AtomicU64,
    /// Queries (load orders for 0 replicas) received.
    pub queries: AtomicU64,
    /// Workers that received a request. An experiment clears this where its measurement begins.
    pub workers_called: Mutex<HashSet<usize>>,
    /// Workers that received any frame.
    pub workers_reached: Mutex<HashSet<usize>>,
    /// What was observed of the first request for each function.
    pub first_requests: Mutex<HashMap<u64, FirstRequest>>,
}

/// The monotonic counters of [`WorkerCounts`] at one time.
#[derive(Clone, Copy, Debug)]
pub struct CountsSnapshot {
    /// Connections accepted.
    pub accepted_connections: u64,
    /// Requests received.
    pub requests: u64,
    /// Load orders received.
    pub load_orders: u64,
    /// Queries received.
    pub queries: u64,
}

impl WorkerCounts {
    /// The counters now.
    pub fn snapshot(&self) -> CountsSnapshot {
        CountsSnapshot {
            accepted_connections: self.accepted_connections.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
            load_orders: self.load_orders.load(Ordering::Relaxed),
            queries: self.queries.load(Ordering::Relaxed),
        }
    }
}

/// Simulated workers on loopback; they stop when this value is dropped.
pub struct SimulatedWorkers {
    /// Their entries for the endpoint list, in JSON.
    pub endpoints: Vec<String>,
    /// Their counters.
    pub counts: Arc<WorkerCounts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn failed(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Failed(error.to_string())
}

impl SimulatedWorkers {
    /// Starts this many workers, each with a listener on a free port.
    ///
    /// # Errors
    /// A listener, the epoll instance or the thread cannot be created.
    pub fn start(count: u64, times: ServiceTimes) -> Result<SimulatedWorkers, ExperimentError> {
        let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC).map_err(failed)?;
        let mut endpoints = Vec::new();
        let mut workers = Vec::new();
        for id in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
            listener.set_nonblocking(true).map_err(failed)?;
            let address = listener.local_addr().map_err(failed)?;
            endpoints.push(endpoint_json(id, &address.to_string(), "ready"));
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
            endpoints,
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
            let _ = thread.join(); // an error means that it panicked, which has been printed
        }
    }
}

struct Worker {
    listener: TcpListener,
    /// Time at which each function is or will be loaded. Functions that are not here are not loaded.
    loaded_at: HashMap<u64, Instant>,
}

/// A connection from a front end.
struct Connection {
    stream: TcpStream,
    worker: usize,
    /// Bytes received that do not make a complete frame yet.
    received: Vec<u8>,
    /// Whether no complete frame has been received yet.
    new: bool,
}

/// A response that is sent at a later time.
struct ScheduledReply {
    connection: u64,
    bytes: Vec<u8>,
    function: u64,
    /// What is recorded of the first request for the function.
    observed: FirstRequest,
    /// Whether it responds to a request; otherwise to a load order.
    is_request: bool,
}

struct EventLoop {
    epoll: Epoll,
    workers: Vec<Worker>,
    connections: HashMap<u64, Connection>,
    /// Epoll token of the latest connection. Lower tokens, from 0, belong to the workers' listeners.
    last_token: u64,
    times: ServiceTimes,
    /// When each scheduled reply is due, and its number, earliest first.
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Scheduled replies by number.
    replies: BTreeMap<u64, ScheduledReply>,
    counts: Arc<WorkerCounts>,
}

impl EventLoop {
    fn run(&mut self, stop: &AtomicBool) {
        let mut events = vec![EpollEvent::empty(); EVENTS_PER_WAIT];
        while !stop.load(Ordering::Relaxed) {
            // A wait that a signal interrupts has no events.
            let count = self.epoll.wait(&mut events, self.timeout()).unwrap_or(0);
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

    /// Time until the next reply is due, at most `STOP_POLL_INTERVAL`, rounded up to epoll's unit of a millisecond.
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
            self.counts
                .accepted_connections
                .fetch_add(1, Ordering::Relaxed);
            self.counts.open_connections.fetch_add(1, Ordering::Relaxed);
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
            // Closing the socket also removes it from the epoll set.
            self.counts.open_connections.fetch_sub(1, Ordering::Relaxed);
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
        lock(&self.counts.workers_reached).insert(frame.worker);
        match (frame.kind, frame.replicas()) {
            (REQUEST_FRAME, _) => {
                self.counts.requests.fetch_add(1, Ordering::Relaxed);
                lock(&self.counts.workers_called).insert(frame.worker);
                self.schedule_reply(frame);
            }
            (LOAD_FRAME, Some(0)) => self.answer_query(frame),
            (LOAD_FRAME, _) => {
                self.counts.load_orders.fetch_add(1, Ordering::Relaxed);
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
        self.counts.queries.fetch_add(1, Ordering::Relaxed);
        let loaded_at = self.workers[frame.worker].loaded_at.get(&frame.function());
        let loaded = loaded_at.is_some_and(|&at| at <= Instant::now());
        let bytes = response(frame.id, &format!("slots_up={}", u8::from(loaded)), &[]);
        self.write(frame.connection, &bytes);
    }

    /// Starts to load the function unless it is loaded or loading, and schedules the reply for when it is loaded and,
    /// for a request, served.
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
        let mut bytes = response(frame.id, "slots_up=1", &[]);
        if is_request {
            due += self.times.request;
            bytes = response(frame.id, detail, &frame.body);
        }
        let reply = ScheduledReply {
            connection: frame.connection,
            bytes,
            function,
            observed: FirstRequest {
                received_at: now,
                request_received_at: now,
                answered_at: now,
                new_connection: frame.first,
                load_ordered: !is_request,
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
        let observed = FirstRequest {
            answered_at: now,
            ..reply.observed
        };
        let mut all = lock(&self.counts.first_requests);
        let first = all.entry(reply.function).or_insert(observed);
        if reply.is_request && first.load_ordered {
            first.request_received_at = observed.request_received_at;
            first.answered_at = now;
        }
        drop(all);
        self.write(reply.connection, &reply.bytes);
    }

    /// Writes a frame. Frames are small, so one that does not fit into the socket's send buffer means that the peer has
    /// stopped reading: the connection is closed.
    fn write(&mut self, token: u64, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.stream.write_all(bytes).is_err() {
            self.close(token);
        }
    }
}
