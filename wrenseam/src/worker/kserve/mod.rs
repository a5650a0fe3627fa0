//! KServe v2 over HTTP/1.1 to one worker: each connection carries one exchange at a time. Loads, questions
//! and unloads use the model repository extension.
mod connection;
mod messages;

pub use messages::{unwrap_answer, wrap_answer};

use super::dispatch::Dispatch;
use super::{AttemptLimits, CancelOutcome, Transport};
use crate::limits::Limits;
use crate::model::{AttemptKey, Payload, Request};
use crate::net::{spawn, DirectCalls, SystemCalls};
use crate::queue::CoreHandle;
use connection::Lane;
use may::sync::mpmc::{channel, Receiver, Sender};
use messages::wrap_call;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::{FunctionId, Micros};

/// What an answer has to be told apart by.
struct Call {
    /// The id that the worker was told.
    wire_id: u64,
    /// Whether its body is the platform's, so that the answer must be unwrapped.
    wrapped: bool,
}

enum What {
    Attempt(AttemptKey, Call),
    /// An order to hold copies of this function, 0 to ask.
    Order(u64, FunctionId, u32),
    Unload,
}

/// One exchange: its request as bytes, and how it is taken back.
struct Job {
    what: What,
    bytes: Vec<u8>,
    /// Who decides whether it is begun.
    dispatch: Arc<Dispatch>,
    cancelled: Arc<AtomicBool>,
    /// Of which life of the worker this is; calls and loads of a past one are not written.
    epoch: u64,
    bound: bool,
    /// A worker silent beyond this has its connection closed, so that no lane is lost to it.
    until: Instant,
}

/// What the core's side and the connections share.
#[derive(Default)]
struct State {
    epoch: AtomicU64,
    /// Jobs handed over and not ended.
    load: AtomicUsize,
    lanes: AtomicUsize,
}

/// The transport to one v2 worker.
pub struct Kserve {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: CoreHandle,
    calls: Arc<dyn SystemCalls>,
    state: Arc<State>,
    jobs: Sender<Job>,
    queue: Receiver<Job>,
    out: Vec<(AttemptKey, Arc<Dispatch>, Arc<AtomicBool>)>,
}

impl Kserve {
    /// No connection is opened before it is needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: CoreHandle) -> Self {
        let (jobs, queue) = channel();
        let (state, calls) = (Arc::default(), Arc::new(DirectCalls));
        Kserve {
            address,
            limits,
            reports,
            calls,
            state,
            jobs,
            queue,
            out: Vec::new(),
        }
    }

    /// Makes these system calls in place of the machine's.
    #[must_use]
    pub fn with_calls(self, calls: Arc<dyn SystemCalls>) -> Self {
        Kserve { calls, ..self }
    }

    /// An order, a question or an unload: an order that waited for long is not begun, it would count when it arrives.
    fn start_order(&mut self, what: What, bytes: Vec<u8>, bound: bool) {
        let begun = if matches!(what, What::Order(..)) {
            self.limits.connect + self.limits.write_check
        } else {
            Duration::from_micros(self.limits.order)
        };
        let dispatch = Dispatch::new(Arc::default(), Instant::now() + begun);
        self.start(what, bytes, bound, self.limits.order, dispatch);
    }

    fn start(
        &mut self,
        what: What,
        bytes: Vec<u8>,
        bound: bool,
        budget: Micros,
        dispatch: Arc<Dispatch>,
    ) {
        let cancelled = Arc::new(AtomicBool::new(false));
        if let What::Attempt(key, _) = what {
            self.out.retain(|(_, _, flag)| Arc::strong_count(flag) > 1);
            self.out.push((key, dispatch.clone(), cancelled.clone()));
        }
        let epoch = self.state.epoch.load(Ordering::Acquire);
        let until = Instant::now() + Duration::from_micros(budget);
        let load = self.state.load.fetch_add(1, Ordering::AcqRel) + 1;
        let _ = self.jobs.send(Job {
            what,
            bytes,
            dispatch,
            cancelled,
            epoch,
            bound,
            until,
        }); // its timer ends it at last
        let lanes = self.state.lanes.load(Ordering::Acquire);
        if load > lanes && lanes < self.limits.lanes_per_worker {
            self.state.lanes.fetch_add(1, Ordering::AcqRel);
            let (address, limits, reports) =
                (self.address, self.limits.clone(), self.reports.clone());
            let (state, queue, calls) =
                (self.state.clone(), self.queue.clone(), self.calls.clone());
            let lane = move || {
                Lane {
                    address,
                    limits,
                    reports,
                    calls,
                    state,
                    stream: None,
                }
                .run(&queue)
            };
            if let Err(e) = spawn(self.limits.stack, lane) {
                self.state.lanes.fetch_sub(1, Ordering::AcqRel);
                note!("worker {}: no coroutine: {e}", self.address);
            }
        }
    }

    fn post(&self, path: &str, budget: Micros, body: &[u8]) -> Vec<u8> {
        let (host, length, budget) = (self.address, body.len(), budget / 1000);
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\nX-Budget-Ms: {budget}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

impl Transport for Kserve {
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, limits: AttemptLimits) {
        let budget = limits.answer_timeout;
        let path = format!("/v2/models/{:016x}/infer", request.function);
        let (bytes, wrapped) = match &request.payload {
            Payload::Json(body) => (self.post(&path, budget, body), false),
            Payload::Bytes(body) => (
                self.post(&path, budget, &wrap_call(request, body, budget)),
                true,
            ),
        };
        let dispatch = Dispatch::for_attempt(request, limits, Instant::now());
        self.start(
            What::Attempt(
                key,
                Call {
                    wire_id: request.wire_id,
                    wrapped,
                },
            ),
            bytes,
            true,
            budget,
            dispatch,
        );
    }

    fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        let Some(at) = self.out.iter().position(|o| o.0 == key) else {
            return CancelOutcome::Unknown;
        };
        let (_, dispatch, cancelled) = self.out.swap_remove(at);
        cancelled.store(true, Ordering::Release);
        if dispatch.reclaim() {
            CancelOutcome::NeverStarted
        } else {
            CancelOutcome::PendingConfirmation
        }
    }

    fn abandon_order(&mut self, _order: u64) {} // each exchange ends its connection by itself, see `Job::until`

    fn is_idle(&self) -> bool {
        self.state.load.load(Ordering::Acquire) == 0
    }

    fn order(&mut self, order: u64, function: FunctionId, copies: u32) {
        let bytes = if copies > 0 {
            let body = messages::hold(copies);
            let path = format!("/v2/repository/models/{function:016x}/load");
            self.post(&path, self.limits.order, body.as_bytes())
        } else {
            self.post(
                "/v2/repository/index",
                self.limits.order,
                b"{\"ready\":true}",
            )
        };
        self.start_order(What::Order(order, function, copies), bytes, copies > 0);
    }

    fn unload(&mut self, function: FunctionId) {
        let path = format!("/v2/repository/models/{function:016x}/unload");
        let bytes = self.post(&path, self.limits.order, b"{}");
        self.start_order(What::Unload, bytes, false);
    }

    fn drain(&mut self) {
        self.state.epoch.fetch_add(1, Ordering::AcqRel);
    }

    fn check_keepalive(&mut self) {} // a connection carries one exchange: its silence is the exchange's

    fn sweep(&mut self) {
        self.out.retain(|(_, _, flag)| Arc::strong_count(flag) > 1); // idle connections close by themselves
    }
}
