//! What a process takes, as the kernel counts it.
use std::time::{Duration, Instant};

/// What a process took so far, and holds now.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub at: Instant,
    /// Processor time of all its threads, and that of the core's alone.
    pub cpu: Duration,
    pub core: Duration,
    /// Resident memory, KiB: now, and the most so far.
    pub rss: u64,
    pub most: u64,
    pub descriptors: usize,
}

impl Usage {
    /// Share of one core, in percent, since `before`.
    pub fn share(&self, before: &Usage) -> f64 {
        100.0 * (self.cpu - before.cpu).as_secs_f64() / (self.at - before.at).as_secs_f64()
    }

    /// The same of the core's thread alone.
    pub fn core_share(&self, before: &Usage) -> f64 {
        100.0 * (self.core - before.core).as_secs_f64() / (self.at - before.at).as_secs_f64()
    }
}
