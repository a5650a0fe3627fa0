//! The types through which a gateway and the decision module talk: settings, events and actions.
//!
//! Times are microseconds on one clock of the gateway's choosing that only advances. Classes, tenants,
//! zones and machine kinds are positions in the settings' lists, so no name reaches the decisions.

/// A point on the gateway's clock, or a span of it, in microseconds.
pub type Micros = u64;
/// Identifier of a request, unique for the life of a gateway.
pub type RequestId = u64;
/// Identifier of a function.
pub type FunctionId = u64;
/// Name of a worker, as the list gives it.
pub type WorkerId = String;

/// What repeating a call may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries a key by which a group of workers drops repeats for a while.
    Keyed,
    /// Must never run twice.
    #[default]
    NotIdempotent,
}

/// The workers that share their memory of keys.
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
    /// Its name on the wires.
    pub name: String,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// For keyed classes, who drops repeats.
    pub key_scope: KeyScope,
    /// For keyed classes, how long repeats are dropped.
    pub key_memory: Micros,
    /// An answer within this span earns full worth; 0 if none is stated.
    pub latency_objective: Micros,
    /// Worth of one request.
    pub priority_weight: f64,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Its name on the wires.
    pub name: String,
    /// Requests a second over all gateways that count as within its share; 0 if none is stated.
    pub quota_per_s: f64,
}

/// What a gateway is told at its start. A figure of 0 means that it was not stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways that serve the same workers.
    pub front_ends: u32,
    /// Which of them this one is, counted from 0, where that is told.
    pub front_end_index: Option<u32>,
    /// Classes of requests.
    pub classes: Vec<ClassSettings>,
    /// The longest time that a client of any class waits over all its tries; 0 if none is stated.
    pub longest_wait: Micros,
    /// Tenants, if any.
    pub tenants: Vec<TenantSettings>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// Memory of each machine kind, in MB.
    pub kind_memory_mb: Vec<f64>,
    /// How long an idle copy stays at the least.
    pub keep_alive: Micros,
    /// Whether a worker that lacks the function loads it for a call (otherwise it answers with a miss).
    pub load_on_demand: bool,
    /// Whether holds and drops may be ordered.
    pub load_orders: bool,
    /// When an unanswered order is reported as timed out.
    pub order_timeout: Micros,
    /// Window of the ration on loads; 0: no ration.
    pub load_budget_window: Micros,
    /// Loads allowed in a window whatever the traffic.
    pub load_budget_base: f64,
    /// Further loads allowed for each request taken in the window.
    pub load_budget_per_request: f64,
    /// Attempts allowed for a request; 0: not stated.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a request may have two attempts out at once.
    pub hedging: bool,
    /// Longest wait that clients can be advised of; 0: no advice is passed on.
    pub max_retry_after: Micros,
    /// A connection not established within this span counts as failed.
    pub connect_timeout: Micros,
    /// Workers close connections idle for this long.
    pub connection_idle_timeout: Micros,
    /// Attempts that one connection to a worker carries together; 0: not stated.
    pub streams_per_connection: u32,
    /// Share of its capacity with which a worker starts at the least.
    pub slow_start_from: f64,
    /// Time after which a started worker is warm at the latest.
    pub slow_start_duration: Micros,
    /// A cold worker that is sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_window: Micros,
    /// Whether the list of workers must be subscribed to.
    pub watch_endpoints: bool,
}

/// State of a listed worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes work.
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Which worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: WorkerState,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
    /// Its zone: a position in the settings, or beyond them for a zone that they do not name. `None`: not told.
    pub zone: Option<usize>,
    /// Its machine kind's position in the settings.
    pub kind: usize,
    /// Its cell, where told.
    pub cell: Option<u64>,
}

/// How an attempt, an order or a question ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, or the copies stand.
    Ok,
    /// Answered with an error; a call may have run.
    Error,
    /// Turned away unseen, or no room.
    Rejected,
    /// No answer in time; a call may have run.
    Timeout,
    /// No connection; nothing ran.
    ConnectFailed,
    /// Connection lost; a call may have run.
    Reset,
    /// Cancelled; a call may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The function is not loaded there; nothing ran.
    NotLoaded,
}

impl Outcome {
    /// Whether this proves that the attempt was never executed.
    #[must_use]
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotLoaded
        )
    }
}

/// What happens to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of workers; `full` lists replace what was known.
    EndpointUpdate {
        /// Whether this is the whole list.
        complete: bool,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request.
    Request {
        /// Its identifier.
        id: RequestId,
        /// Its class's position in the settings.
        class: usize,
        /// Its tenant's position in the settings.
        tenant: Option<usize>,
        /// The function it calls.
        function: FunctionId,
        /// Time until the client gives up.
        time_left: Micros,
        /// Memory of one copy, in MB; 0 if not told.
        memory_mb: f64,
        /// Calls that one copy runs at a time; 0 if not told.
        concurrency: u32,
        /// Usual time of a load; 0 if not told.
        load_time: Micros,
        /// Whether the client marks it as a repeat.
        retry: bool,
    },
    /// How an attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
        /// What came of it.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// Whether the request is finished.
        request_closed: bool,
        /// Whether a copy stood loaded when the call came, where this is told.
        replica_loaded: Option<bool>,
        /// Requests of the same function that the worker held, where this is told.
        queue_depth: Option<u32>,
        /// Requests that the worker reported to hold, if it did.
        in_flight: Option<f64>,
    },
    /// The client left; nothing more is owed.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// The answer to one [`Action::Load`].
    LoadOrderEnded {
        /// The worker ordered.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies that stand loaded.
        replicas: u32,
        /// How the order ended.
        outcome: Outcome,
        /// Time since the order.
        elapsed: Micros,
    },
}

/// What a gateway is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
        /// When to stop waiting for it; 0: when the client gives up.
        timeout: Micros,
        /// The attempt repeats one that may have run, and is void unless it is written within this span: later, no
        /// worker drops it.
        retry_window: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: refused, a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Advice to wait this long; 0: none.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call back with [`Event::Timer`].
    Timer {
        /// After this span.
        delay: Micros,
        /// To be returned.
        token: u64,
    },
    /// Have a worker hold at least `count` copies; 0 only asks how many stand.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Copies wanted.
        replicas: u32,
    },
    /// Have a worker unload the idle copies of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Subscribe to the list of workers.
    WatchEndpoints,
    /// A line for the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
