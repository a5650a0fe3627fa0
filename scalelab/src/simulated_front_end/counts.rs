//! What the module was given, and what it asked for.

/// What the module was given, and what it asked for: the same in every run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub calls: u64,
    /// Calls of functions that this front end had not called before.
    pub first: u64,
    pub events: u64,
    pub sends: u64,
    pub cancels: u64,
    pub questions: u64,
    pub orders: u64,
    pub drops: u64,
    pub refused: u64,
    pub first_refused: u64,
    pub failed: u64,
    /// Attempts that began a load, and those that found no worker there.
    pub cold: u64,
    pub nobody: u64,
    /// Heap allocations within the module, and bytes of them.
    pub allocations: u64,
    pub allocated: u64,
    /// Bytes that the module holds.
    pub held: i64,
}

/// Time within the module by kind of event, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    pub request: u64,
    pub outcome: u64,
    pub timer: u64,
    pub members: u64,
    pub loaded: u64,
    /// The longest that one event took.
    pub longest: u64,
}

impl Spent {
    pub fn all(&self) -> u64 {
        self.request + self.outcome + self.timer + self.members + self.loaded
    }
}
