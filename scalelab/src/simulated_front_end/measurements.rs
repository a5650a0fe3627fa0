//! What the module was given, and what it asked for.

/// What the module was given, and what it asked for: the same in every run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyCounts {
    pub requests: u64,
    /// Calls of functions that this front end had not called before.
    pub first_requests: u64,
    pub events: u64,
    pub attempts: u64,
    pub cancels: u64,
    pub queries: u64,
    pub load_orders: u64,
    pub unloads: u64,
    pub rejected: u64,
    pub first_rejected: u64,
    pub failed: u64,
    /// Attempts that began a load, and those that found no worker there.
    pub loads_begun: u64,
    pub unreachable: u64,
    /// Heap allocations within the module, and bytes of them.
    pub allocations: u64,
    pub allocated_bytes: u64,
    /// Bytes that the module holds.
    pub held_bytes: i64,
}

/// Time within the module by kind of event, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandlingTimes {
    pub requests: u64,
    pub attempt_results: u64,
    pub timers: u64,
    pub endpoint_updates: u64,
    pub load_results: u64,
    /// The longest that one event took.
    pub longest: u64,
}

impl HandlingTimes {
    pub fn total(&self) -> u64 {
        self.requests
            + self.attempt_results
            + self.timers
            + self.endpoint_updates
            + self.load_results
    }
}
