//! The state of one front end's policy: the tables and estimates that the decisions read and change. Each component
//! owns its state; what involves several of them, such as the replicas of a function at a worker, is kept consistent
//! here.
use crate::answer_times::AnswerTimes;
use crate::estimator::{Estimator, FunctionLoad};
use crate::function::{Function, FunctionTable};
use crate::index::{FunctionIndex, WorkerIndex};
use crate::load_budget::LoadBudget;
use crate::load_limiter::LoadLimiter;
use crate::random::Random;
use crate::rendezvous;
use crate::replica::ReplicaState;
use crate::request::RequestTable;
use crate::settings::{ClassSettings, Idempotency, KeyScope, Settings};
use crate::slow_start::{self, SlowStart};
use crate::token_bucket::TokenBucket;
use crate::types::{Micros, MILLISECOND, SECOND};
use crate::worker::WorkerTable;
use crate::zone_health::ZoneHealth;
use std::cmp::Reverse;

/// Interval of the housekeeping while requests are open; well under any latency objective.
pub(crate) const TICK: Micros = 20 * MILLISECOND;
/// Upper bound of durations in settings and requests, so that an extreme value cannot overflow the clock.
pub(crate) const MAX_DURATION: Micros = 3_600 * SECOND;
/// Shortest load time that is assumed for a function that is not loaded.
pub(crate) const MIN_ASSUMED_LOAD_TIME: Micros = SECOND;
/// Longest latency objective from which the first service time of a class is estimated; a longer one counts as this.
const MAX_INITIAL_OBJECTIVE: Micros = SECOND;
/// Keep-alive of an idle replica if the settings state none.
const DEFAULT_KEEP_ALIVE: Micros = 5 * SECOND;
/// Fraction of the stated keep-alive for which an idle replica is assumed to stay; the rest covers network latency and
/// a margin.
const KEEP_ALIVE_FRACTION: f64 = 0.9;
/// Upper bound, in keep-alives, on how long other front ends' requests are assumed to keep a replica loaded.
const MAX_KEEP_ALIVES: f64 = 4.0;
/// The number of requests that a replica gets within a keep-alive, divided by this, is its assumed lifetime in
/// keep-alives (at least one).
const REQUESTS_PER_KEEP_ALIVE: f64 = 4.0;
/// Largest number of front ends that is a small fleet, in which each one still sees enough of the workers' load and of
/// the functions' replicas by itself.
const MAX_SMALL_FLEET: u32 = 16;
/// Hedged requests that are allowed at the start, before any request has arrived.
const INITIAL_HEDGES: f64 = 5.0;
/// Hedged requests allowed for each request: bounds what they add to an overload.
const HEDGES_PER_REQUEST: f64 = 0.15;
/// Maximum hedged requests that can be saved up.
const MAX_SAVED_HEDGES: f64 = 20.0;
/// Polls of replicas allowed for each request.
const POLLS_PER_REQUEST: f64 = 0.5;
/// Maximum polls that can be saved up: a round of polls for some tens of functions.
const MAX_SAVED_POLLS: f64 = 600.0;

/// The complete state of one front end's policy.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) workers: WorkerTable,
    pub(crate) functions: FunctionTable,
    pub(crate) requests: RequestTable,
    pub(crate) zones: ZoneHealth,
    pub(crate) slow_start: SlowStart,
    pub(crate) estimator: Estimator,
    pub(crate) load_budget: LoadBudget,
    pub(crate) load_limiter: LoadLimiter,
    pub(crate) hedge_budget: TokenBucket,
    pub(crate) poll_budget: TokenBucket,
    /// How long recent answers took, by class.
    pub(crate) answer_times: Vec<AnswerTimes>,
    /// When this front end's process started, or last resumed after a stall.
    pub(crate) resumed_at: Micros,
    /// When a connection to any worker last broke; 0 if none did.
    pub(crate) last_reset: Micros,
    /// Whether more than half of the ready workers would be ejected: outlier detection is then more likely wrong than
    /// the workers are, so no worker is ejected.
    pub(crate) ejection_suspended: bool,
    /// Ticks since the start; the first event counts as one.
    pub(crate) ticks: u32,
}

impl State {
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let settings = sanitize(settings);
        State {
            random: Random::new(seed),
            workers: WorkerTable::default(),
            functions: FunctionTable::default(),
            requests: RequestTable::default(),
            zones: ZoneHealth::default(),
            slow_start: SlowStart::new(&settings),
            estimator: Estimator::new(&settings, MAX_INITIAL_OBJECTIVE),
            load_budget: LoadBudget::new(&settings),
            load_limiter: LoadLimiter::new(settings.front_ends),
            hedge_budget: TokenBucket::new(INITIAL_HEDGES, HEDGES_PER_REQUEST, MAX_SAVED_HEDGES),
            poll_budget: TokenBucket::new(MAX_SAVED_POLLS, POLLS_PER_REQUEST, MAX_SAVED_POLLS),
            answer_times: vec![AnswerTimes::default(); settings.classes.len()],
            resumed_at: 0,
            last_reset: 0,
            ejection_suspended: false,
            ticks: 0,
            settings,
        }
    }

    /// Whether more than `MAX_SMALL_FLEET` front ends share the workers, so that each one by itself sees too little of
    /// the workers' load and of the functions' replicas.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.settings.front_ends > MAX_SMALL_FLEET
    }

    /// Whether other front ends share the workers.
    pub(crate) fn is_shared(&self) -> bool {
        self.settings.front_ends > 1
    }

    /// Whether a few front ends share the workers.
    pub(crate) fn is_small_shared_fleet(&self) -> bool {
        self.is_shared() && !self.is_large_fleet()
    }

    pub(crate) fn class(&self, class: usize) -> &ClassSettings {
        &self.settings.classes[class]
    }

    /// The classes in the settings, without the one that stands for unknown classes.
    pub(crate) fn known_classes(&self) -> &[ClassSettings] {
        &self.settings.classes[..self.settings.classes.len() - 1]
    }

    /// The mean latency objective of the known classes, in microseconds.
    pub(crate) fn mean_latency_objective(&self) -> f64 {
        let classes = self.known_classes();
        let sum: f64 = classes
            .iter()
            .map(|class| class.latency_objective as f64)
            .sum();
        sum / classes.len().max(1) as f64
    }

    /// The replica state of a function at a worker; created if there is none.
    pub(crate) fn replica_mut(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
    ) -> &mut ReplicaState {
        self.workers[worker].functions.insert(function);
        self.functions[function].replicas.entry(worker).or_default()
    }

    /// The replica state of a function at a worker; `None` if nothing is known.
    pub(crate) fn replica(
        &self,
        function: FunctionIndex,
        worker: WorkerIndex,
    ) -> Option<&ReplicaState> {
        self.functions[function].replicas.get(&worker)
    }

    /// Marks all functions as unloaded at a worker whose process stopped, restarted or left.
    pub(crate) fn invalidate_replicas(&mut self, worker: WorkerIndex) {
        for function in std::mem::take(&mut self.workers[worker].functions) {
            let replicas = &mut self.functions[function].replicas;
            let Some(replica) = replicas.get_mut(&worker) else {
                continue;
            };
            replica.invalidate();
            if replica.is_in_use() {
                self.workers[worker].functions.insert(function);
            } else {
                replicas.remove(&worker);
            }
        }
    }

    /// Removes functions that have not been called since `time`, so that memory use does not grow with every function
    /// ever called.
    pub(crate) fn forget_functions_unused_since(&mut self, time: Micros) {
        let unused = self.functions.unused_since(time);
        self.forget_functions(unused);
    }

    /// Removes functions so that another one can be added without exceeding [`crate::MAX_FUNCTIONS`], as clients may
    /// name any number of them.
    pub(crate) fn make_room_for_function(&mut self) {
        let removed = self.functions.removed_for_another();
        self.forget_functions(removed);
    }

    fn forget_functions(&mut self, unused: Vec<FunctionIndex>) {
        for function in unused {
            for worker in self.functions.remove_unused(function) {
                self.workers[worker].functions.remove(&function);
            }
        }
    }

    /// All workers in the rendezvous order of a function, highest weight first.
    pub(crate) fn preferred_workers(&mut self, function: FunctionIndex) -> Vec<WorkerIndex> {
        let workers = &self.workers;
        let rank = |id| {
            let mut ranked: Vec<WorkerIndex> = workers.indexes().collect();
            ranked.sort_by_cached_key(|&worker| {
                Reverse(rendezvous::weight(id, &workers[worker].endpoint.worker))
            });
            ranked
        };
        self.functions
            .preferred_workers(function, workers.positions(), rank)
    }

    /// How many ready workers have a function loaded, and this front end's requests in flight for it.
    pub(crate) fn function_load(&self, function: &Function, now: Micros) -> FunctionLoad {
        let loaded = function
            .replicas
            .iter()
            .filter(|(&worker, replica)| replica.is_loaded(now) && self.workers[worker].is_ready());
        FunctionLoad {
            loaded: loaded.count(),
            in_flight: function.in_flight(),
        }
    }

    /// Requests for a function at all front ends within a duration, assuming that each receives as many as this one.
    pub(crate) fn fleet_calls(&self, function: FunctionIndex, span: f64) -> f64 {
        let front_ends = f64::from(self.settings.front_ends.max(1));
        self.functions[function].calls_in(span) * front_ends
    }

    /// How long an idle replica is assumed to stay loaded.
    pub(crate) fn keep_alive(&self) -> Micros {
        let stated = self.settings.keep_alive;
        let keep_alive = if stated > 0 {
            stated
        } else {
            DEFAULT_KEEP_ALIVE
        };
        (keep_alive as f64 * KEEP_ALIVE_FRACTION) as Micros
    }

    /// How long a replica is assumed to stay loaded after it was last confirmed: the keep-alive, and longer while the
    /// requests of several front ends are frequent enough to restart its idle time.
    pub(crate) fn replica_lifetime(&self, function: FunctionIndex) -> Micros {
        let keep_alive = self.keep_alive() as f64;
        let replicas = self.functions[function].replicas.values();
        let loaded = replicas.filter(|replica| replica.count() > 0).count();
        let requests_each = if self.is_shared() {
            self.fleet_calls(function, keep_alive) / loaded.max(1) as f64
        } else {
            0.0
        };
        let keep_alives = (requests_each / REQUESTS_PER_KEEP_ALIVE).clamp(1.0, MAX_KEEP_ALIVES);
        (keep_alive * keep_alives) as Micros
    }

    /// The fraction of its full capacity that a worker in slow start has at least; `None` outside of slow start.
    pub(crate) fn capacity_share(&self, worker: WorkerIndex, now: Micros) -> Option<f64> {
        let started_at = self.workers[worker].endpoint.started_at;
        self.slow_start.capacity_share(started_at, now)
    }

    /// The tokens that a request of this class takes from a slow-start token bucket: the mean service time of its class
    /// relative to the mean of all classes.
    pub(crate) fn request_weight(&self, class: usize) -> f64 {
        let known = self.estimator.known_class_service_times();
        let most_expensive = known.iter().copied().fold(0.0, f64::max);
        let own = self.estimator.class_service_time(class);
        slow_start::request_weight(known, own.min(most_expensive))
    }

    /// Memory in MB that loaded and loading replicas take at a worker, as far as this front end knows.
    pub(crate) fn memory_used(&self, worker: WorkerIndex, now: Micros) -> f64 {
        let used = |&function: &FunctionIndex| {
            let memory_mb = self.functions[function].memory_mb;
            self.replica(function, worker).map_or(0.0, |replica| {
                let loaded = if replica.is_loaded(now) {
                    f64::from(replica.count())
                } else {
                    0.0
                };
                let loading = if replica.is_loading() { 1.0 } else { 0.0 };
                memory_mb * loaded.max(loading)
            })
        };
        self.workers[worker].functions.iter().map(used).sum()
    }
}

/// Clamps extreme values, and appends a class that stands for all unknown classes: it is not idempotent, and has no
/// latency objective or weight.
fn sanitize(mut settings: Settings) -> Settings {
    settings.classes.push(ClassSettings {
        name: String::new(),
        idempotency: Idempotency::NotIdempotent,
        key_scope: KeyScope::Cell,
        key_memory: 0,
        latency_objective: MAX_DURATION,
        priority_weight: 0.0,
    });
    for class in &mut settings.classes {
        if class.latency_objective == 0 {
            class.latency_objective = MAX_DURATION;
        }
        class.latency_objective = class.latency_objective.min(MAX_DURATION);
        class.key_memory = class.key_memory.min(MAX_DURATION);
    }
    if settings.max_attempts == 0 {
        settings.max_attempts = u32::MAX; // not stated: no limit
    }
    settings.load_budget_window = settings.load_budget_window.min(MAX_DURATION);
    settings.overload_window = settings.overload_window.min(MAX_DURATION);
    settings.keep_alive = settings.keep_alive.min(MAX_DURATION);
    settings
}
