//! The settings of a front end, as plain values.
use crate::types::Micros;

/// What executing a request more than once may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key by which a group of workers recognizes repeats for a while.
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
    /// What executing it more than once may do.
    pub idempotency: Idempotency,
    /// For keyed classes, which workers recognize a repeat.
    pub key_scope: KeyScope,
    /// For keyed classes, how long they do.
    pub key_memory: Micros,
    /// Latency objective: an answer within this span earns the full weight; 0 if none is stated.
    pub latency_objective: Micros,
    /// Priority weight of one request.
    pub priority_weight: f64,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Its name in the protocols.
    pub name: String,
    /// Its quota: requests a second over all front ends; 0 if none is stated.
    pub quota_per_s: f64,
}

/// The settings of a front end. A figure of 0 means that it is not stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of front ends that share the workers.
    pub front_ends: u32,
    /// Which of them this one is, counted from 0, where it is stated.
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
    /// Priority weight of a request beyond its tenant's quota, as a part of its class's weight.
    pub over_quota_weight: f64,
    /// Memory of each machine kind, in MB.
    pub kind_memory_mb: Vec<f64>,
    /// How long an idle replica stays loaded at the least.
    pub keep_alive: Micros,
    /// Whether a worker that lacks the function loads it for a request; otherwise it answers that it is not loaded.
    pub load_on_demand: bool,
    /// Whether workers take orders to load and unload.
    pub load_orders: bool,
    /// When an unanswered order is reported as timed out.
    pub order_timeout: Micros,
    /// Window of the load budget; 0: no budget.
    pub load_budget_window: Micros,
    /// Loads allowed in a window whatever the traffic.
    pub load_budget_base: f64,
    /// Further loads allowed for each request that came in the window.
    pub load_budget_per_request: f64,
    /// Attempts allowed for a request; 0: not stated.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Longest Retry-After that clients can be given; 0: none is passed on.
    pub max_retry_after: Micros,
    /// A connection not established within this span counts as failed.
    pub connect_timeout: Micros,
    /// Workers close connections idle for this long.
    pub connection_idle_timeout: Micros,
    /// Concurrent attempts on one connection to a worker; 0: not stated.
    pub streams_per_connection: u32,
    /// Share of its capacity with which a worker starts at the least (slow start).
    pub slow_start_initial_share: f64,
    /// Time after which a started worker has its full capacity at the latest.
    pub slow_start_duration: Micros,
    /// A worker in slow start fails when it is sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// How long a front end may go on sending new work to a worker after it was notified of its drain.
    pub drain_grace: Micros,
    /// Whether workers may be sent health checks.
    pub health_checks: bool,
    /// Whether the endpoint list must be subscribed to.
    pub watch_endpoints: bool,
}

impl Settings {
    /// Position of a class by its name; the list's length where it is not known.
    pub fn class(&self, name: &str) -> usize {
        self.classes
            .iter()
            .position(|class| class.name == name)
            .unwrap_or(self.classes.len())
    }

    /// Position of a tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant.name == name)
    }
}
