//! Counters and timings of a simulated front end's policy.

/// Counts of the policy's inputs, of its actions and of its memory: the same in every run of a scenario and seed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyCounts {
    /// Client requests that arrived.
    pub requests: u64,
    /// Requests for functions that this front end had not called before.
    pub first_requests: u64,
    /// Events that the policy handled.
    pub events: u64,
    /// Attempts that the policy sent.
    pub attempts: u64,
    /// Attempts that the policy cancelled.
    pub cancels: u64,
    /// Queries whether a worker has a function loaded (orders of no replicas).
    pub queries: u64,
    /// Orders to load a function.
    pub load_orders: u64,
    /// Orders to unload a function.
    pub unloads: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// First requests rejected.
    pub first_rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts that reached a worker where the function was not loaded, whether or not that started a load.
    pub loads_begun: u64,
    /// Attempts sent to a worker that could not be reached.
    pub unreachable: u64,
    /// Heap allocations within the policy.
    pub allocations: u64,
    /// Bytes allocated within the policy.
    pub allocated_bytes: u64,
    /// Heap bytes that the policy holds now.
    pub held_bytes: i64,
}

impl PolicyCounts {
    /// Requests rejected or failed.
    pub fn not_served(&self) -> u64 {
        self.rejected + self.failed
    }
}

/// Wall-clock time spent in the policy by kind of event, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandlingTimes {
    /// New requests.
    pub requests: u64,
    /// Results of attempts.
    pub attempt_results: u64,
    /// Timers and cancelled requests.
    pub timers: u64,
    /// Updates of the endpoint list.
    pub endpoint_updates: u64,
    /// Results of load orders.
    pub load_results: u64,
    /// The longest time that a single event took.
    pub longest: u64,
}

impl HandlingTimes {
    /// Time spent in the policy over all kinds of event, in nanoseconds.
    pub fn total(&self) -> u64 {
        self.requests
            + self.attempt_results
            + self.timers
            + self.endpoint_updates
            + self.load_results
    }
}

/// What a front end sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SentMessage {
    /// A load order or a query.
    LoadOrder,
    /// An attempt of a request.
    Attempt,
}

/// An entry of the log of what a front end sent.
#[derive(Clone, Copy, Debug)]
pub struct SentRecord {
    /// When it was sent, in simulated time.
    pub at: wrenseam_policy::Micros,
    /// The worker, by index.
    pub worker: usize,
    /// What was sent.
    pub message: SentMessage,
}
