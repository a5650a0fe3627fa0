//! Stand-in workers of the platform's protocol that drain, stop and come back, and note what comes to them.
use super::support::frames::{code, encode_answer, read_frame, Frame};
use super::{own_address, POLL_INTERVAL};
use socket2::SockRef;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What comes to a worker and counts for the platform's rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ArrivalKind {
    /// A call with the id that its client gave, and its idempotency key.
    Call { id: u64, key: Option<String> },
    /// An order to load.
    LoadOrder,
}

/// Something that came complete.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) kind: ArrivalKind,
    /// Whether the worker took it.
    pub(crate) accepted: bool,
}

/// A time in which a worker turned new work away.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drain {
    pub(crate) began_at: Instant,
    pub(crate) ended_at: Option<Instant>,
}

#[derive(Default)]
struct WorkerState {
    is_running: bool,
    is_draining: bool,
    /// Unix time of a late start, ms; 0: long ago.
    started_at_ms: u64,
    streams: Vec<TcpStream>,
    arrivals: Vec<Arrival>,
    drains: Vec<Drain>,
    health_checks: usize,
    /// When each process after the first started.
    starts: Vec<Instant>,
}

/// A worker at an address of its own.
#[derive(Clone)]
pub(crate) struct SimulatedWorker {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: &'static str,
    cell: usize,
    work: Duration,
    state: Arc<Mutex<WorkerState>>,
}

impl SimulatedWorker {
    /// Starts the worker of this number.
    pub(crate) fn start(number: usize, work: Duration) -> SimulatedWorker {
        let listener = TcpListener::bind((own_address(), 0)).expect("a port");
        let cell = number % 2;
        let worker = SimulatedWorker {
            id: format!("s-{number:08x}"),
            address: listener.local_addr().expect("bound"),
            zone: ["hall-a", "hall-b"][cell],
            cell,
            work,
            state: Arc::default(),
        };
        worker.run_on(listener);
        worker
    }

    fn state<T>(&self, read: impl FnOnce(&mut WorkerState) -> T) -> T {
        read(&mut self.state.lock().expect("not poisoned"))
    }

    /// Its entry in the endpoint list.
    pub(crate) fn instance(&self, lifecycle: &str) -> String {
        let SimulatedWorker {
            id,
            address,
            zone,
            cell,
            ..
        } = self;
        let started_at = self.state(|state| state.started_at_ms);
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","machineType":"std","cell":{cell},"lifecycle":"{lifecycle}","weight":1,"startedAtMs":{started_at}}}"#
        )
    }

    /// From now on new work is turned away.
    pub(crate) fn drain(&self) {
        let began_at = Instant::now();
        self.state(|state| {
            state.is_draining = true;
            state.drains.push(Drain {
                began_at,
                ended_at: None,
            });
        });
    }

    /// The process ends: its connections are reset and no new one is accepted.
    pub(crate) fn stop(&self) {
        self.state(|state| {
            state.is_running = false;
            state.is_draining = false;
            if let Some(drain) = state.drains.last_mut() {
                drain.ended_at.get_or_insert(Instant::now());
            }
            for stream in state.streams.drain(..) {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    /// A new process starts at the same address.
    pub(crate) fn restart(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        self.state(|state| {
            state.started_at_ms = unix.expect("after 1970").as_millis() as u64;
            state.starts.push(Instant::now());
        });
        self.run_on(TcpListener::bind(self.address).expect("the port is free"));
    }

    /// Calls and orders to load that came complete.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.state(|state| state.arrivals.clone())
    }

    /// The times in which it turned new work away.
    pub(crate) fn drains(&self) -> Vec<Drain> {
        self.state(|state| state.drains.clone())
    }

    /// Health checks that came.
    pub(crate) fn health_checks(&self) -> usize {
        self.state(|state| state.health_checks)
    }

    /// When each process after the first started.
    pub(crate) fn starts(&self) -> Vec<Instant> {
        self.state(|state| state.starts.clone())
    }

    fn run_on(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("set");
        self.state(|state| state.is_running = true);
        let worker = self.clone();
        std::thread::spawn(move || {
            while worker.state(|state| state.is_running) {
                match listener.accept() {
                    Ok((stream, _)) => worker.accept(stream),
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
        });
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let kept = stream.try_clone().expect("cloned");
        self.state(|state| state.streams.push(kept));
        let worker = self.clone();
        std::thread::spawn(move || {
            let _ = worker.serve(stream); // the connection has ended
        });
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let answers = Arc::new(Mutex::new(stream.try_clone()?));
        loop {
            let frame = read_frame(&mut stream)?;
            let at = Instant::now();
            match frame.code {
                code::CALL => self.serve_call(&frame, at, &answers),
                code::LOAD_ORDER => write(&answers, &self.answer_order(&frame, at)),
                code::HEALTH_CHECK | code::LOAD_CHECK => {
                    write(&answers, &self.answer_check(&frame));
                }
                _ => {}
            }
        }
    }

    fn note(&self, at: Instant, kind: ArrivalKind) -> bool {
        self.state(|state| {
            let accepted = !state.is_draining;
            state.arrivals.push(Arrival { at, kind, accepted });
            accepted
        })
    }

    fn serve_call(&self, frame: &Frame, at: Instant, answers: &Arc<Mutex<TcpStream>>) {
        let kind = ArrivalKind::Call {
            id: frame.id,
            key: frame.field("uniq").map(str::to_owned),
        };
        if !self.note(at, kind) {
            return write(answers, &encode_answer(code::REJECTED, frame.id, "", b""));
        }
        let (id, work, answers) = (frame.id, self.work, answers.clone());
        std::thread::spawn(move || {
            std::thread::sleep(work);
            write(
                &answers,
                &encode_answer(code::OK, id, "detail=resident", b"DONE"),
            );
        });
    }

    /// A question how many replicas are loaded is answered by a draining worker too.
    fn answer_order(&self, frame: &Frame, at: Instant) -> Vec<u8> {
        let is_question = frame.field("slots_up") == Some("0");
        if is_question || self.note(at, ArrivalKind::LoadOrder) {
            return encode_answer(code::OK, frame.id, "slots_up=1", b"");
        }
        encode_answer(code::REJECTED, frame.id, "slots_up=0", b"")
    }

    fn answer_check(&self, frame: &Frame) -> Vec<u8> {
        let is_draining = self.state(|state| {
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

fn write(answers: &Mutex<TcpStream>, answer: &[u8]) {
    let _ = answers.lock().expect("not poisoned").write_all(answer); // it may have ended
}
