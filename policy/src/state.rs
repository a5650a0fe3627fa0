//! The state of one front end's policy: the tables and estimates that the decisions read and change. Each part owns its
//! own; what concerns two of them, a function at a worker above all, is looked up and kept consistent here.
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

/// Period of the housekeeping while requests are open: well under any latency objective.
pub(crate) const TICK: Micros = 20 * MILLISECOND;
/// The longest span that is taken over: absurd figures must not overflow the clock.
pub(crate) const LONGEST_SPAN: Micros = 3_600 * SECOND;
/// Load time and latency objective where none is stated.
pub(crate) const DEFAULT_SPAN: Micros = SECOND;
/// Idle time of a replica where none is stated.
const DEFAULT_KEEP_ALIVE: Micros = 5 * SECOND;
/// Part of the stated idle time that a replica is believed to stay: travel time, and a margin.
const KEEP_ALIVE_USED: f64 = 0.9;
/// Most idle times for which other front ends' requests are trusted to keep a replica.
const MOST_KEEP_ALIVES: f64 = 4.0;
/// Requests to each replica within an idle time for each idle time more that it is believed to stay.
const REQUESTS_PER_KEEP_ALIVE: f64 = 4.0;
/// Front ends up to which each sees enough of the workers' load and of the functions' replicas by itself.
const SMALL_FLEET: u32 = 16;
/// Further attempts: what is there at the start, what each request earns and what can be saved up. Bounds what retries
/// add to an overload.
const INITIAL_RETRIES: f64 = 5.0;
const RETRIES_PER_REQUEST: f64 = 0.15;
const MOST_RETRIES: f64 = 20.0;
/// Polls of replicas: what each request earns and what can be saved up, a round for some tens of functions.
const POLLS_PER_REQUEST: f64 = 0.5;
const MOST_POLLS: f64 = 600.0;

/// All that one front end's policy remembers.
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
    pub(crate) retry_budget: TokenBucket,
    pub(crate) poll_budget: TokenBucket,
    /// How long answers take of late, by class.
    pub(crate) answer_times: Vec<AnswerTimes>,
    /// When this front end last went on after it had stood still.
    pub(crate) resumed_at: Micros,
    /// When a connection to any worker last broke.
    pub(crate) last_reset: Micros,
    /// Most workers look bad: then the judgement is at fault, and nobody is ejected for it.
    pub(crate) ejection_suspended: bool,
    /// Ticks since the start, with the first event.
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
            estimator: Estimator::new(&settings, DEFAULT_SPAN),
            load_budget: LoadBudget::new(&settings),
            load_limiter: LoadLimiter::new(settings.front_ends),
            retry_budget: TokenBucket::new(INITIAL_RETRIES, RETRIES_PER_REQUEST, MOST_RETRIES),
            poll_budget: TokenBucket::new(MOST_POLLS, POLLS_PER_REQUEST, MOST_POLLS),
            answer_times: vec![AnswerTimes::default(); settings.classes.len()],
            resumed_at: 0,
            last_reset: 0,
            ejection_suspended: false,
            ticks: 0,
            settings,
        }
    }

    /// Whether so many front ends share the workers that each sees too little of them by itself.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.settings.front_ends > SMALL_FLEET
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

    /// The classes that the settings name.
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

    /// What is known of a function at a worker; recorded with both if nothing was.
    pub(crate) fn replica_mut(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
    ) -> &mut ReplicaState {
        self.workers[worker].functions.insert(function);
        self.functions[function].replicas.entry(worker).or_default()
    }

    /// What is known of a function at a worker.
    pub(crate) fn replica(
        &self,
        function: FunctionIndex,
        worker: WorkerIndex,
    ) -> Option<&ReplicaState> {
        self.functions[function].replicas.get(&worker)
    }

    /// Nothing is loaded at a worker any more: its process stopped, restarted or left.
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

    /// Forgets the functions that nobody called since `time`, so that nothing grows with the past.
    pub(crate) fn forget_functions_unused_since(&mut self, time: Micros) {
        for function in self.functions.indexes() {
            for worker in self.functions.forget_unused(function, time) {
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

    /// The ready workers that have a function loaded, and its requests in flight.
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

    /// Requests of a function in a span at all front ends, if each takes as many as this one.
    pub(crate) fn fleet_calls(&self, function: FunctionIndex, span: f64) -> f64 {
        let front_ends = f64::from(self.settings.front_ends.max(1));
        self.functions[function].calls_in(span) * front_ends
    }

    /// How long an idle replica is believed to stay.
    pub(crate) fn keep_alive(&self) -> Micros {
        let stated = self.settings.keep_alive;
        let keep_alive = if stated > 0 {
            stated
        } else {
            DEFAULT_KEEP_ALIVE
        };
        (keep_alive as f64 * KEEP_ALIVE_USED) as Micros
    }

    /// How long a sign that a replica is loaded is believed: the idle time, and longer while several front ends'
    /// requests come several times to each replica within it and so restart its idle time.
    pub(crate) fn replica_lifetime(&self, function: FunctionIndex) -> Micros {
        let keep_alive = self.keep_alive() as f64;
        let replicas = self.functions[function].replicas.values();
        let loaded = replicas.filter(|replica| replica.count() > 0).count();
        let requests_each = if self.is_shared() {
            self.fleet_calls(function, keep_alive) / loaded.max(1) as f64
        } else {
            0.0
        };
        let keep_alives = (requests_each / REQUESTS_PER_KEEP_ALIVE).clamp(1.0, MOST_KEEP_ALIVES);
        (keep_alive * keep_alives) as Micros
    }

    /// What part of its full capacity a worker has for certain; `None` once it has all of it.
    pub(crate) fn capacity_share(&self, worker: WorkerIndex, now: Micros) -> Option<f64> {
        let started_at = self.workers[worker].endpoint.started_at;
        self.slow_start.capacity_share(started_at, now)
    }

    /// What a request of a class weighs for the rule on workers in slow start: as its class does on the mean.
    pub(crate) fn request_weight(&self, class: usize) -> f64 {
        let known = self.estimator.known_class_service_times();
        let most_expensive = known.iter().copied().fold(0.0, f64::max);
        let own = self.estimator.class_service_time(class);
        slow_start::request_weight(known, own.min(most_expensive))
    }

    /// Memory in MB that the replicas loaded or loading at a worker take, by what this front end knows.
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

/// Absurd figures are clamped; a class is added that stands for all that the settings do not name: it must not be
/// executed twice, and has no latency objective or weight.
fn sanitize(mut settings: Settings) -> Settings {
    settings.classes.push(ClassSettings {
        name: String::new(),
        idempotency: Idempotency::NotIdempotent,
        key_scope: KeyScope::Cell,
        key_memory: 0,
        latency_objective: LONGEST_SPAN,
        priority_weight: 0.0,
    });
    for class in &mut settings.classes {
        if class.latency_objective == 0 {
            class.latency_objective = LONGEST_SPAN;
        }
        class.latency_objective = class.latency_objective.min(LONGEST_SPAN);
        class.key_memory = class.key_memory.min(LONGEST_SPAN);
    }
    if settings.max_attempts == 0 {
        settings.max_attempts = u32::MAX; // not stated: no limit
    }
    settings.load_budget_window = settings.load_budget_window.min(LONGEST_SPAN);
    settings.overload_window = settings.overload_window.min(LONGEST_SPAN);
    settings.keep_alive = settings.keep_alive.min(LONGEST_SPAN);
    settings
}
