//! Simulated workers that speak the platform's binary frames. They drain, stop and restart, and record the work that
//! arrives at them.
use super::support::frames::{code, encode_answer, read_frame, Frame};
use super::{unique_loopback_address, POLL_INTERVAL};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The zones, each of one cell.
const ZONES: [&str; 2] = ["hall-a", "hall-b"];

/// New work, to which the platform's rules apply. Health checks and questions about loaded replicas are not among it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ArrivalKind {
    /// A call with the id given by its client, and its idempotency key if it has one.
    Call { id: u64, key: Option<String> },
    /// A load order.
    LoadOrder,
}

/// A call or load order that arrived completely.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) kind: ArrivalKind,
    /// Whether the worker accepted it; a draining worker rejects it.
    pub(crate) accepted: bool,
}

/// A period in which a worker rejected new work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drain {
    pub(crate) began_at: Instant,
    /// When the worker stopped; `None` while it drains.
    pub(crate) ended_at: Option<Instant>,
}

/// The body of an answer.
const BODY: &[u8] = b"DONE";
/// The longest body of the platform's answers, in bytes, and what it consists of.
const LONG_BODY_BYTES: usize = 230_000;
const LONG_BODY_BYTE: u8 = b'x';
/// One in so many calls is answered at length, if any are.
const LONG_ANSWER_RATIO: u64 = 16;

/// Whether this is the whole body of an answer.
pub(super) fn is_answer_body(body: &[u8]) -> bool {
    let is_long = body.len() == LONG_BODY_BYTES && body.iter().all(|byte| *byte == LONG_BODY_BYTE);
    is_long || body == BODY
}

#[derive(Default)]
struct WorkerState {
    is_running: bool,
    is_draining: bool,
    /// Unix time of the last restart, in ms; 0 before the first, which means a start long ago.
    started_at_ms: u64,
    /// The open connections of the present process, by the number of their acceptance.
    streams: BTreeMap<u64, TcpStream>,
    /// Number of connections accepted so far.
    accepted: u64,
    arrivals: Vec<Arrival>,
    /// The longest that a frame has waited between its arrival and the start of its handling.
    longest_queue: Duration,
    drains: Vec<Drain>,
    /// Number of health checks received.
    health_checks: usize,
    /// Whether some calls are answered at length.
    long_answers: bool,
    /// Start times of all processes but the first.
    starts: Vec<Instant>,
}

/// A worker with its own IP address.
#[derive(Clone)]
pub(crate) struct SimulatedWorker {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: &'static str,
    cell: usize,
    /// Time that a call takes.
    call_time: Duration,
    state: Arc<Mutex<WorkerState>>,
}

impl SimulatedWorker {
    /// Starts the worker with this number, from which its id, zone and cell follow.
    pub(crate) fn start(number: usize, call_time: Duration) -> SimulatedWorker {
        let listener = TcpListener::bind((unique_loopback_address(), 0)).expect("a port");
        let cell = number % 2;
        let worker = SimulatedWorker {
            id: format!("s-{number:08x}"),
            address: listener.local_addr().expect("bound"),
            zone: ZONES[cell],
            cell,
            call_time,
            state: Arc::default(),
        };
        worker.run_on(listener);
        worker
    }

    /// Runs `access` on the locked state.
    fn with_state<T>(&self, access: impl FnOnce(&mut WorkerState) -> T) -> T {
        access(&mut self.state.lock().expect("not poisoned"))
    }

    /// The worker's entry in the endpoint list, as JSON.
    pub(crate) fn instance(&self, lifecycle: &str) -> String {
        let SimulatedWorker {
            id,
            address,
            zone,
            cell,
            ..
        } = self;
        let started_at = self.with_state(|state| state.started_at_ms);
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","machineType":"std","cell":{cell},"lifecycle":"{lifecycle}","weight":1,"startedAtMs":{started_at}}}"#
        )
    }

    /// Rejects new work from now on.
    pub(crate) fn drain(&self) {
        let began_at = Instant::now();
        self.with_state(|state| {
            state.is_draining = true;
            state.drains.push(Drain {
                began_at,
                ended_at: None,
            });
        });
    }

    /// Ends the process: its connections are reset and no new ones are accepted.
    pub(crate) fn stop(&self) {
        self.with_state(|state| {
            state.is_running = false;
            state.is_draining = false;
            if let Some(drain) = state.drains.last_mut() {
                drain.ended_at.get_or_insert(Instant::now());
            }
            for stream in std::mem::take(&mut state.streams).into_values() {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// Starts a new process at the same address.
    pub(crate) fn restart(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.with_state(|state| {
            state.started_at_ms = unix.expect("after 1970").as_millis() as u64;
            state.starts.push(Instant::now());
        });
        self.run_on(TcpListener::bind(self.address).expect("the port is free"));
    }

    /// Starts another worker at the address of this one, which must have stopped, in the other zone.
    pub(crate) fn start_successor(&self) -> SimulatedWorker {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let cell = 1 - self.cell;
        let successor = SimulatedWorker {
            id: format!("{}-successor", self.id),
            address: self.address,
            zone: ZONES[cell],
            cell,
            call_time: self.call_time,
            state: Arc::default(),
        };
        successor.with_state(|state| {
            state.started_at_ms = unix.expect("after 1970").as_millis() as u64;
            state.starts.push(Instant::now());
        });
        let listener = loop {
            // The former listener closes soon after its worker has stopped.
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        };
        successor.run_on(listener);
        successor
    }

    /// All calls and load orders that arrived completely.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.with_state(|state| state.arrivals.clone())
    }

    /// All periods in which the worker rejected new work.
    pub(crate) fn drains(&self) -> Vec<Drain> {
        self.with_state(|state| state.drains.clone())
    }

    /// Number of health checks received.
    pub(crate) fn health_checks(&self) -> usize {
        self.with_state(|state| state.health_checks)
    }

    /// Start times of all processes but the first.
    pub(crate) fn starts(&self) -> Vec<Instant> {
        self.with_state(|state| state.starts.clone())
    }

    /// Accepts connections in a thread of its own until the worker stops.
    fn run_on(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("set");
        self.with_state(|state| state.is_running = true);
        let worker = self.clone();
        std::thread::spawn(move || {
            while worker.with_state(|state| state.is_running) {
                match listener.accept() {
                    Ok((stream, _)) => worker.accept(stream),
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
        });
    }

    /// Serves a connection in a thread of its own.
    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let clone = stream.try_clone().expect("cloned");
        let number = self.with_state(|state| {
            state.accepted += 1;
            state.streams.insert(state.accepted, clone);
            state.accepted
        });
        let worker = self.clone();
        std::thread::spawn(move || {
            let _ = worker.serve(stream); // the connection has ended
            worker.with_state(|state| state.streams.remove(&number));
        });
    }

    /// Answers frames until the connection ends.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let answers = Arc::new(Mutex::new(stream.try_clone()?));
        for ReceivedFrame { frame, at } in receive_frames(stream) {
            self.with_state(|state| state.longest_queue = state.longest_queue.max(at.elapsed()));
            match frame.code {
                code::CALL => self.serve_call(&frame, at, &answers),
                code::LOAD_ORDER => write(&answers, &self.answer_order(&frame, at)),
                code::HEALTH_CHECK | code::LOAD_CHECK => {
                    write(&answers, &self.answer_check(&frame));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The longest that a frame waited between its arrival and the start of its handling.
    pub(crate) fn longest_queue(&self) -> Duration {
        self.with_state(|state| state.longest_queue)
    }

    /// Records new work. Returns whether the worker accepts it.
    fn record_arrival(&self, at: Instant, kind: ArrivalKind) -> bool {
        self.with_state(|state| {
            let accepted = !state.is_draining;
            state.arrivals.push(Arrival { at, kind, accepted });
            accepted
        })
    }

    /// Has the worker answer one in [`LONG_ANSWER_RATIO`] calls with [`LONG_BODY_BYTES`] from now on.
    pub(crate) fn answer_at_length(&self) {
        self.with_state(|state| state.long_answers = true);
    }

    /// The body of the answer to the call of this id.
    fn body(&self, id: u64) -> Vec<u8> {
        let is_long =
            self.with_state(|state| state.long_answers) && id.is_multiple_of(LONG_ANSWER_RATIO);
        if is_long {
            vec![LONG_BODY_BYTE; LONG_BODY_BYTES]
        } else {
            BODY.to_vec()
        }
    }

    /// Records a call and answers it: at once with a rejection, or after the call time with a result.
    fn serve_call(&self, frame: &Frame, at: Instant, answers: &Arc<Mutex<TcpStream>>) {
        let kind = ArrivalKind::Call {
            id: frame.id,
            key: frame.field("uniq").map(str::to_owned),
        };
        if !self.record_arrival(at, kind) {
            return write(answers, &encode_answer(code::REJECTED, frame.id, "", b""));
        }
        let body = self.body(frame.id);
        let answer = encode_answer(code::OK, frame.id, "detail=resident", &body);
        if self.call_time.is_zero() {
            return write(answers, &answer);
        }
        let (call_time, answers) = (self.call_time, answers.clone());
        std::thread::spawn(move || {
            std::thread::sleep(call_time);
            write(&answers, &answer);
        });
    }

    /// The answer to a load order, or to the question how many replicas are loaded (`slots_up=0`), which a draining
    /// worker answers too.
    fn answer_order(&self, frame: &Frame, at: Instant) -> Vec<u8> {
        let is_question = frame.field("slots_up") == Some("0");
        if is_question || self.record_arrival(at, ArrivalKind::LoadOrder) {
            return encode_answer(code::OK, frame.id, "slots_up=1", b"");
        }
        encode_answer(code::REJECTED, frame.id, "slots_up=0", b"")
    }

    /// The answer to a health check.
    fn answer_check(&self, frame: &Frame) -> Vec<u8> {
        let is_draining = self.with_state(|state| {
            state.health_checks += 1;
            state.is_draining
        });
        let answer = if is_draining {
            code::NOT_ACCEPTING
        } else {
            code::ACCEPTING
        };
        encode_answer(answer, frame.id, "", b"")
    }
}

/// A frame, and when it was read.
struct ReceivedFrame {
    frame: Frame,
    at: Instant,
}

/// Reads frames in a thread of their own until the connection ends: a call may take a while to be handled, in which those
/// behind it arrive.
fn receive_frames(stream: TcpStream) -> Receiver<ReceivedFrame> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut stream = BufReader::new(stream);
        while let Ok(frame) = read_frame(&mut stream) {
            let at = Instant::now();
            if sender.send(ReceivedFrame { frame, at }).is_err() {
                return;
            }
        }
    });
    receiver
}

/// Writes an answer. The error of a connection that has ended is ignored.
fn write(answers: &Mutex<TcpStream>, answer: &[u8]) {
    let _ = answers.lock().expect("not poisoned").write_all(answer);
}
