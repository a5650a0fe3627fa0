//! Functions that requests called: what is known of each, and the table of them.
use crate::answer_times::MAX_ANSWERS;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::periodic_calls::PeriodicCalls;
use crate::replica::ReplicaState;
use crate::types::{FunctionId, Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::{Index, IndexMut};

/// Rates of calls fade with this time constant.
pub(crate) const CALL_RATE_SPAN: Micros = 8 * crate::types::SECOND;
/// Requests of a function not served yet that may count for the load budget later: as many as a window of the budget
/// holds of one.
const MAX_UNCOUNTED_REQUESTS: usize = 64;
/// A speculative request that came too late weighs two in time: two in three must be.
const FAILED_SPECULATION_WEIGHT: u32 = 2;
/// Weight of an answer in the number of workers that requests of a function are spread over.
const SPREAD_WEIGHT: f64 = 0.3;
/// Most workers that requests of a function are spread over in a large fleet.
const MAX_SPREAD: f64 = 8.0;
/// A request that finds all slots of a replica taken waits, or has another replica loaded; so many slots for each
/// request in flight make that rare.
const FREE_SLOTS_PER_REQUEST: f64 = 3.0;
/// Replicas beyond the first for each request in flight: a core's work.
pub(crate) const REPLICAS_PER_REQUEST: f64 = 0.6;

/// Errors of orders and polls about a function that was never served here, one after another.
#[derive(Clone, Copy, Debug, Default)]
struct OrderErrors {
    count: u32,
    last_at: Micros,
}

/// What is known of a function.
#[derive(Default)]
pub(crate) struct Function {
    pub(crate) id: FunctionId,
    pub(crate) class: usize,
    pub(crate) memory_mb: f64,
    /// Requests that one replica runs at a time.
    pub(crate) concurrency: u32,
    /// Usual time of a load, in microseconds; 0 if not known.
    pub(crate) load_time: f64,
    /// Usual time from sending a request to its answer where it is loaded, in microseconds.
    pub(crate) service_time: f64,
    /// When a request last found no free replica.
    pub(crate) last_lost: Micros,
    /// Requests in flight wait for their replica here.
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) replicas: BTreeMap<WorkerIndex, ReplicaState>,
    pub(crate) periodic: PeriodicCalls,
    /// Answers that came in time though answers of its class take longer, less those that did not.
    speculative_successes: u32,
    recent_calls: f64,
    last_call: Micros,
    /// Whether a worker has served it: workers know it.
    known_to_load: bool,
    /// When its requests came while it was not known to load: they count for the load budget once it is.
    uncounted_requests: VecDeque<Micros>,
    order_errors: OrderErrors,
    /// Workers that its requests are spread over, where many front ends share the workers; 0: not known.
    spread: f64,
    /// All workers in the rendezvous order of this function; empty: not worked out.
    preferred_workers: Vec<WorkerIndex>,
}

impl Function {
    pub(crate) fn new(id: FunctionId, service_time: f64, load_time: f64) -> Self {
        Function {
            id,
            service_time,
            load_time,
            ..Function::default()
        }
    }

    pub(crate) fn last_call(&self) -> Micros {
        self.last_call
    }

    pub(crate) fn is_known_to_load(&self) -> bool {
        self.known_to_load
    }

    /// A request of the function came.
    pub(crate) fn called(&mut self, now: Micros, class: usize, retry: bool) {
        let elapsed = now.saturating_sub(self.last_call) as f64;
        let kept = (-elapsed / CALL_RATE_SPAN as f64).exp();
        self.recent_calls = self.recent_calls * kept + 1.0;
        if !retry {
            self.periodic.called(now, self.last_call);
        }
        self.class = class;
        self.last_call = now;
    }

    /// Requests that this front end takes of the function in a span, by the recent rate.
    pub(crate) fn calls_in(&self, span: f64) -> f64 {
        let known = (self.recent_calls - 1.0).max(0.0) / CALL_RATE_SPAN as f64;
        known * span
    }

    /// A request came before any worker served the function.
    pub(crate) fn note_uncounted_request(&mut self, now: Micros) {
        self.uncounted_requests.push_back(now);
        if self.uncounted_requests.len() > MAX_UNCOUNTED_REQUESTS {
            self.uncounted_requests.pop_front();
        }
    }

    /// A client took a request back that came at this time.
    pub(crate) fn forget_uncounted_request(&mut self, arrived_at: Micros) {
        self.uncounted_requests.retain(|&at| at != arrived_at);
    }

    /// A worker served the function. Returns when its requests came that have not been counted.
    pub(crate) fn served(&mut self) -> VecDeque<Micros> {
        self.known_to_load = true;
        std::mem::take(&mut self.uncounted_requests)
    }

    /// An order or a poll ended; with an error that `may_be_unknown` a worker may not know the function at all.
    pub(crate) fn order_ended(&mut self, may_be_unknown: bool, now: Micros) {
        self.order_errors = if may_be_unknown {
            OrderErrors {
                count: self.order_errors.count + 1,
                last_at: now,
            }
        } else {
            OrderErrors::default()
        };
    }

    /// Whether at least `errors` orders failed one after another, the last within this time.
    pub(crate) fn orders_fail(&self, errors: u32, now: Micros, within: Micros) -> bool {
        self.order_errors.count >= errors && now < self.order_errors.last_at + within
    }

    /// Whether its requests were answered in time of late though answers of its class take longer.
    pub(crate) fn is_faster_than_its_class(&self) -> bool {
        self.speculative_successes > 0
    }

    /// A request ended that was sent though answers of its class take longer than its client waits.
    pub(crate) fn speculation_ended(&mut self, in_time: bool) {
        self.speculative_successes = if in_time {
            (self.speculative_successes + 1).min(MAX_ANSWERS)
        } else {
            self.speculative_successes
                .saturating_sub(FAILED_SPECULATION_WEIGHT)
        };
    }

    pub(crate) fn spread(&self) -> f64 {
        self.spread
    }

    /// A worker had `queue_depth` requests of the function when one came: the deeper, the more workers are used.
    pub(crate) fn adjust_spread(&mut self, queue_depth: f64) {
        let spread = self.spread.max(1.0);
        let free_slots = FREE_SLOTS_PER_REQUEST / f64::from(self.concurrency);
        let workers_per_request = REPLICAS_PER_REQUEST.max(free_slots);
        let wanted = (1.0 + workers_per_request * queue_depth * spread).min(MAX_SPREAD);
        self.spread = spread + SPREAD_WEIGHT * (wanted - spread);
    }

    /// Requests of this front end in flight for the function.
    pub(crate) fn in_flight(&self) -> f64 {
        let requests = self.replicas.values().map(ReplicaState::own_in_flight);
        f64::from(requests.sum::<u32>())
    }

    /// Whether the function may be forgotten: nothing of it is in flight, and nobody called it since.
    fn is_unused_since(&self, time: Micros) -> bool {
        self.waiting.is_empty()
            && !self.replicas.values().any(ReplicaState::is_in_use)
            && self.last_call <= time
    }
}

/// All functions that requests called of late.
#[derive(Default)]
pub(crate) struct FunctionTable {
    functions: Vec<Function>,
    by_id: BTreeMap<FunctionId, FunctionIndex>,
    /// Positions whose function was forgotten.
    free: Vec<FunctionIndex>,
    /// Functions that requests may wait for.
    with_waiting: BTreeSet<FunctionIndex>,
    latest: FunctionIndex,
}

impl Index<FunctionIndex> for FunctionTable {
    type Output = Function;

    fn index(&self, index: FunctionIndex) -> &Function {
        &self.functions[index.0]
    }
}

impl IndexMut<FunctionIndex> for FunctionTable {
    fn index_mut(&mut self, index: FunctionIndex) -> &mut Function {
        &mut self.functions[index.0]
    }
}

impl FunctionTable {
    pub(crate) fn find(&self, id: FunctionId) -> Option<FunctionIndex> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn get(&self, index: FunctionIndex) -> Option<&Function> {
        self.functions.get(index.0)
    }

    /// The position of a function, made by `new` where it is not known.
    pub(crate) fn find_or_insert(
        &mut self,
        id: FunctionId,
        new: impl FnOnce() -> Function,
    ) -> FunctionIndex {
        let index = self.find(id).unwrap_or_else(|| self.insert(id, new()));
        self.latest = index;
        index
    }

    fn insert(&mut self, id: FunctionId, function: Function) -> FunctionIndex {
        let index = match self.free.pop() {
            Some(index) => {
                self.functions[index.0] = function;
                index
            }
            None => {
                self.functions.push(function);
                FunctionIndex(self.functions.len() - 1)
            }
        };
        self.by_id.insert(id, index);
        index
    }

    /// The function that was called last.
    pub(crate) fn latest(&self) -> FunctionIndex {
        self.latest
    }

    /// All positions, also those whose function was forgotten.
    pub(crate) fn indexes(&self) -> impl Iterator<Item = FunctionIndex> {
        (0..self.functions.len()).map(FunctionIndex)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Function> {
        self.functions.iter()
    }

    /// Functions that are not forgotten.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The rendezvous order of each function has to be worked out anew: a worker took another's position.
    pub(crate) fn invalidate_preferred_workers(&mut self) {
        for function in &mut self.functions {
            function.preferred_workers.clear();
        }
    }

    /// All workers in the rendezvous order of the function, highest weight first; worked out anew by `rank` when the
    /// number of workers changed.
    pub(crate) fn preferred_workers(
        &mut self,
        index: FunctionIndex,
        workers: usize,
        rank: impl FnOnce(FunctionId) -> Vec<WorkerIndex>,
    ) -> Vec<WorkerIndex> {
        let function = &mut self.functions[index.0];
        if function.preferred_workers.len() != workers {
            function.preferred_workers = rank(function.id);
        }
        function.preferred_workers.clone()
    }

    /// Has a request wait for a replica of its function.
    pub(crate) fn wait(&mut self, index: FunctionIndex, request: RequestId) {
        let waiting = &mut self.functions[index.0].waiting;
        if !waiting.contains(&request) {
            waiting.push_back(request);
            self.with_waiting.insert(index);
        }
    }

    /// The request waits no more.
    pub(crate) fn stop_waiting(&mut self, index: FunctionIndex, request: RequestId) {
        self.functions[index.0].waiting.retain(|&id| id != request);
    }

    /// Requests that wait for one function, or for any.
    pub(crate) fn waiting_requests(&mut self, only: Option<FunctionIndex>) -> Vec<RequestId> {
        let functions = &self.functions;
        self.with_waiting
            .retain(|index| !functions[index.0].waiting.is_empty());
        self.with_waiting
            .iter()
            .filter(|&&index| only.is_none_or(|only| only == index))
            .flat_map(|index| functions[index.0].waiting.iter().copied())
            .collect()
    }

    /// Forgets a function that nobody called since `time` and of which nothing is in flight. Returns the workers at
    /// which something was known of it.
    pub(crate) fn forget_unused(&mut self, index: FunctionIndex, time: Micros) -> Vec<WorkerIndex> {
        let function = &self.functions[index.0];
        if !function.is_unused_since(time) || self.by_id.get(&function.id) != Some(&index) {
            return Vec::new();
        }
        self.by_id.remove(&function.id);
        self.free.push(index);
        let forgotten = std::mem::take(&mut self.functions[index.0]);
        forgotten.replicas.into_keys().collect()
    }
}
