//! Functions that requests called: the state of each, and their table.
use crate::answer_times::MAX_ANSWERS;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::periodic_calls::PeriodicCalls;
use crate::replica::ReplicaState;
use crate::types::{FunctionId, Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::{Index, IndexMut};

/// Time constant of the exponentially decaying rate of calls.
pub(crate) const CALL_RATE_TIME_CONSTANT: Micros = 8 * crate::types::SECOND;
/// Maximum number of functions that are kept, except that one with a request in flight is always kept.
pub const MAX_FUNCTIONS: usize = 4_096;
/// Number of functions that are removed at a time to make room for others.
const REMOVED_AT_ONCE: usize = MAX_FUNCTIONS / 8;
/// Maximum number of positions in the rendezvous orders that are kept of all functions together.
const MAX_RANKED_POSITIONS: usize = 1 << 21;
/// Maximum number of requests of a function that are kept until a worker has served it, when they are counted for the
/// load budget: about as many as arrive for one function within the budget's window.
const MAX_UNCOUNTED_REQUESTS: usize = 64;
/// Subtracted from a function's speculation score for a speculative request that was not answered in time. One that was
/// adds 1, so the score stays above 0 only while more than about two in three are in time.
const FAILED_SPECULATION_WEIGHT: u32 = 2;
/// Weight of a new answer in the running mean of a function's spread.
const SPREAD_WEIGHT: f64 = 0.3;
/// Maximum number of workers that the requests of a function are spread over.
const MAX_SPREAD: f64 = 8.0;
/// Replica slots that the spread provides for each request in flight: a request that finds all slots of a replica taken
/// has to wait or has another replica loaded, and this many make that rare.
const SLOTS_PER_REQUEST: f64 = 3.0;
/// Replicas of a function that are provided for each of its requests in flight, in addition to a first one; a request
/// in flight keeps about one core busy.
pub(crate) const EXTRA_REPLICAS_PER_REQUEST: f64 = 0.6;

/// Consecutive errors of load orders and polls for a function that was never served here.
#[derive(Clone, Copy, Debug, Default)]
struct OrderErrors {
    count: u32,
    last_at: Micros,
}

/// The state of a function at this front end.
#[derive(Default)]
pub(crate) struct Function {
    pub(crate) id: FunctionId,
    pub(crate) class: usize,
    pub(crate) memory_mb: f64,
    /// Requests that one replica runs at a time.
    pub(crate) concurrency: u32,
    /// Usual time that loading it takes, in microseconds; 0 if not known.
    pub(crate) load_time: f64,
    /// Usual time from sending a request to its answer when the function is loaded, in microseconds.
    pub(crate) service_time: f64,
    /// When a request was last lost, that is, found no free replica, or a virtual loss was drawn.
    pub(crate) last_loss: Micros,
    /// Requests that wait for a replica, in the order in which they began to wait.
    pub(crate) waiting: VecDeque<RequestId>,
    /// Replica state at each worker of which something is known.
    pub(crate) replicas: BTreeMap<WorkerIndex, ReplicaState>,
    pub(crate) periodic: PeriodicCalls,
    /// Above 0 while more than about two in three of the recent speculative requests were answered in time: each that
    /// was adds 1, up to [`MAX_ANSWERS`], and each other subtracts [`FAILED_SPECULATION_WEIGHT`], down to 0.
    speculation_score: u32,
    /// Exponentially decaying number of calls.
    recent_calls: f64,
    last_call: Micros,
    /// Whether a worker has served a request of it, so that workers are known to be able to load it.
    has_been_served: bool,
    /// Arrival times of its requests before a worker served it; they count for the load budget once one has.
    uncounted_requests: VecDeque<Micros>,
    order_errors: OrderErrors,
    /// Number of workers that its requests are spread over in a large fleet; 0 if not known.
    spread: f64,
    /// All workers in the rendezvous order of this function; empty if not computed.
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

    pub(crate) fn has_been_served(&self) -> bool {
        self.has_been_served
    }

    /// Records that a request of the function arrived.
    pub(crate) fn called(&mut self, now: Micros, class: usize, retry: bool) {
        let elapsed = now.saturating_sub(self.last_call) as f64;
        let decay = (-elapsed / CALL_RATE_TIME_CONSTANT as f64).exp();
        self.recent_calls = self.recent_calls * decay + 1.0;
        if !retry {
            self.periodic.called(now, self.last_call);
        }
        self.class = class;
        self.last_call = now;
    }

    /// Expected requests of the function at this front end within `duration` (in microseconds), by the recent rate.
    pub(crate) fn calls_in(&self, duration: f64) -> f64 {
        let rate = (self.recent_calls - 1.0).max(0.0) / CALL_RATE_TIME_CONSTANT as f64;
        rate * duration
    }

    /// Records a request that arrived before any worker served the function: it does not count for the load budget yet.
    pub(crate) fn add_uncounted_request(&mut self, now: Micros) {
        self.uncounted_requests.push_back(now);
        if self.uncounted_requests.len() > MAX_UNCOUNTED_REQUESTS {
            self.uncounted_requests.pop_front();
        }
    }

    /// Removes a request that arrived at this time and that its client cancelled.
    pub(crate) fn remove_uncounted_request(&mut self, arrived_at: Micros) {
        self.uncounted_requests.retain(|&at| at != arrived_at);
    }

    /// Records that a worker served the function. Returns the arrival times of its requests that have not been counted
    /// for the load budget.
    pub(crate) fn served(&mut self) -> VecDeque<Micros> {
        self.has_been_served = true;
        std::mem::take(&mut self.uncounted_requests)
    }

    /// Records that an order or a poll ended; `may_be_unknown` if it ended with an error that may mean that workers do
    /// not know the function.
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

    /// Whether at least `errors` consecutive orders failed, the last one less than `within` ago.
    pub(crate) fn orders_fail(&self, errors: u32, now: Micros, within: Micros) -> bool {
        self.order_errors.count >= errors && now < self.order_errors.last_at + within
    }

    /// Whether its recent speculative requests were answered in time although answers of its class take longer.
    pub(crate) fn is_faster_than_its_class(&self) -> bool {
        self.speculation_score > 0
    }

    /// Records the end of a speculative request: one that was sent although answers of its class take longer than its
    /// client waits.
    pub(crate) fn speculation_ended(&mut self, in_time: bool) {
        self.speculation_score = if in_time {
            (self.speculation_score + 1).min(MAX_ANSWERS)
        } else {
            self.speculation_score
                .saturating_sub(FAILED_SPECULATION_WEIGHT)
        };
    }

    pub(crate) fn spread(&self) -> f64 {
        self.spread
    }

    /// Adjusts the spread by the number of the function's requests that a further one found at a worker: the deeper the
    /// queue, the more workers are used.
    pub(crate) fn adjust_spread(&mut self, queue_depth: f64) {
        let spread = self.spread.max(1.0);
        let workers_for_slots = SLOTS_PER_REQUEST / f64::from(self.concurrency);
        let workers_per_request = EXTRA_REPLICAS_PER_REQUEST.max(workers_for_slots);
        let wanted = (1.0 + workers_per_request * queue_depth * spread).min(MAX_SPREAD);
        self.spread = spread + SPREAD_WEIGHT * (wanted - spread);
    }

    /// Requests of this front end in flight for the function.
    pub(crate) fn in_flight(&self) -> f64 {
        let requests = self.replicas.values().map(ReplicaState::own_in_flight);
        f64::from(requests.sum::<u32>())
    }

    /// Whether nothing of the function is in flight.
    fn is_unused(&self) -> bool {
        self.waiting.is_empty() && !self.replicas.values().any(ReplicaState::is_in_use)
    }
}

/// All functions that were called recently.
#[derive(Default)]
pub(crate) struct FunctionTable {
    functions: Vec<Function>,
    by_id: BTreeMap<FunctionId, FunctionIndex>,
    /// Positions whose function was removed.
    free: Vec<FunctionIndex>,
    /// Functions that may have waiting requests.
    with_waiting: BTreeSet<FunctionIndex>,
    /// Positions in the rendezvous orders of all functions together.
    ranked_positions: usize,
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

    /// The position of a function, which is created by `new` if it is not known.
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

    /// All positions, including those whose function was removed.
    pub(crate) fn indexes(&self) -> impl Iterator<Item = FunctionIndex> {
        (0..self.functions.len()).map(FunctionIndex)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Function> {
        self.functions.iter()
    }

    /// Number of functions that have not been removed.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Discards the rendezvous order of each function, since a worker took the position of another.
    pub(crate) fn invalidate_preferred_workers(&mut self) {
        for function in &mut self.functions {
            function.preferred_workers = Vec::new();
        }
        self.ranked_positions = 0;
    }

    /// All workers in the rendezvous order of the function, highest weight first; recomputed by `rank` when the number
    /// of workers changed.
    pub(crate) fn preferred_workers(
        &mut self,
        index: FunctionIndex,
        workers: usize,
        rank: impl FnOnce(FunctionId) -> Vec<WorkerIndex>,
    ) -> Vec<WorkerIndex> {
        if self.functions[index.0].preferred_workers.len() != workers {
            if self.ranked_positions + workers > MAX_RANKED_POSITIONS {
                self.invalidate_preferred_workers();
            }
            let function = &mut self.functions[index.0];
            let former = std::mem::replace(&mut function.preferred_workers, rank(function.id));
            self.ranked_positions += function.preferred_workers.len();
            self.ranked_positions -= former.len();
        }
        self.functions[index.0].preferred_workers.clone()
    }

    /// Adds a request to those that wait for a replica of the function.
    pub(crate) fn wait(&mut self, index: FunctionIndex, request: RequestId) {
        let waiting = &mut self.functions[index.0].waiting;
        if !waiting.contains(&request) {
            waiting.push_back(request);
            self.with_waiting.insert(index);
        }
    }

    /// Removes a request from those that wait for a replica of the function.
    pub(crate) fn stop_waiting(&mut self, index: FunctionIndex, request: RequestId) {
        self.functions[index.0].waiting.retain(|&id| id != request);
    }

    /// Requests that wait for a replica of one function, or of any if `only` is `None`.
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

    /// The functions of which nothing is in flight and that have not been called since `time`.
    pub(crate) fn unused_since(&self, time: Micros) -> Vec<FunctionIndex> {
        let is_unused = |index: &FunctionIndex| {
            let function = &self.functions[index.0];
            let is_known = self.by_id.get(&function.id) == Some(index);
            is_known && function.last_call <= time && function.is_unused()
        };
        self.indexes().filter(is_unused).collect()
    }

    /// The functions to remove to make room for another one: none while there is room. Of those of which nothing is in
    /// flight, functions that no worker has served come first, then those whose last call is longest ago.
    pub(crate) fn removed_for_another(&self) -> Vec<FunctionIndex> {
        if self.len() < MAX_FUNCTIONS {
            return Vec::new();
        }
        let mut unused = self.unused_since(Micros::MAX);
        unused.sort_by_key(|index| {
            let function = &self.functions[index.0];
            (function.has_been_served, function.last_call)
        });
        unused.truncate(REMOVED_AT_ONCE);
        unused
    }

    /// Removes a function of which nothing is in flight. Returns the workers at which it had replica state.
    pub(crate) fn remove_unused(&mut self, index: FunctionIndex) -> Vec<WorkerIndex> {
        let removed = std::mem::take(&mut self.functions[index.0]);
        self.by_id.remove(&removed.id);
        self.free.push(index);
        self.ranked_positions -= removed.preferred_workers.len();
        removed.replicas.into_keys().collect()
    }
}
