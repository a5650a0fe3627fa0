//! The settings of a front end, as plain values.
use crate::types::Micros;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key by which a group of workers recognizes repeats for a limited time.
    Keyed,
    /// It must never be executed twice.
    #[default]
    NotIdempotent,
}

/// The workers that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    #[default]
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Its name in the protocols.
    pub name: String,
    /// Whether its requests may be executed more than once.
    pub idempotency: Idempotency,
    /// For keyed classes, which workers share their memory of keys.
    pub key_scope: KeyScope,
    /// For keyed classes, how long workers remember a key.
    pub key_memory: Micros,
    /// Latency objective: an answer within this time counts with the full priority weight; 0 if none is stated.
    pub latency_objective: Micros,
    /// Priority weight of one request.
    pub priority_weight: f64,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Its name in the protocols.
    pub name: String,
    /// Its quota in requests per second over all front ends; 0 if none is stated.
    pub quota_per_s: f64,
}

/// The settings of a front end. A number of 0 means that the value is not stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of front ends that share the workers.
    pub front_ends: u32,
    /// Index of this front end among them, counted from 0; `None` if it is not stated.
    pub front_end_index: Option<u32>,
    /// Classes of requests.
    pub classes: Vec<ClassSettings>,
    /// The longest time that a client of any class waits over all its retries; 0 if none is stated.
    pub longest_wait: Micros,
    /// Tenants, if any.
    pub tenants: Vec<TenantSettings>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Priority weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Memory of each machine kind, in MB.
    pub kind_memory_mb: Vec<f64>,
    /// A worker keeps an idle replica loaded for at least this long before it unloads it.
    pub keep_alive: Micros,
    /// Whether a worker loads a missing function for a request; otherwise it answers that the function is not loaded.
    pub load_on_demand: bool,
    /// Whether workers take orders to load and unload.
    pub load_orders: bool,
    /// Time after which an unanswered order is reported as timed out.
    pub order_timeout: Micros,
    /// Time window of the load budget; 0 means no budget.
    pub load_budget_window: Micros,
    /// Loads allowed per window, regardless of traffic.
    pub load_budget_base: f64,
    /// Additional loads allowed per request that arrived in the window.
    pub load_budget_per_request: f64,
    /// Maximum number of attempts of a request; 0 means no limit.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a request may have two attempts in flight at the same time.
    pub hedging: bool,
    /// Longest Retry-After that clients can be given; 0 means that they get none.
    pub max_retry_after: Micros,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Micros,
    /// Workers close connections that have been idle for this long.
    pub connection_idle_timeout: Micros,
    /// Maximum number of concurrent attempts on one connection to a worker; 0 if not stated.
    pub streams_per_connection: u32,
    /// Slow start: the fraction of its full capacity that a worker has at least when it starts.
    pub slow_start_initial_share: f64,
    /// Slow start: the longest time from a worker's start until it has its full capacity.
    pub slow_start_duration: Micros,
    /// A worker in slow start fails when it is sent more than this multiple of its capacity for `overload_window`.
    pub overload_multiple: f64,
    /// How long an overload by `overload_multiple` must last for a worker in slow start to fail.
    pub overload_window: Micros,
    /// How long a front end may still send new work to a worker after being notified that the worker is draining.
    pub drain_grace: Micros,
    /// Whether workers may be sent health checks.
    pub health_checks: bool,
    /// Whether the front end must subscribe to the endpoint list.
    pub watch_endpoints: bool,
}

impl Settings {
    /// Position of a class by its name; the list's length if the name is not known.
    pub fn class(&self, name: &str) -> usize {
        self.classes
            .iter()
            .position(|class| class.name == name)
            .unwrap_or(self.classes.len())
    }

    /// Position of a tenant by its name; `None` if the name is not known.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.name == name)
    }
}
