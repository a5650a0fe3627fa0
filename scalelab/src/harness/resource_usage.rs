//! What a process takes, as the kernel counts it.
use std::time::{Duration, Instant};

/// What a process took so far, and holds now.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    pub measured_at: Instant,
    /// Processor time of all its threads, and that of the core's alone.
    pub cpu_time: Duration,
    pub core_thread_cpu_time: Duration,
    /// Resident memory, KiB: now, and the most so far.
    pub resident_kib: u64,
    pub peak_resident_kib: u64,
    pub descriptors: usize,
}

impl ResourceUsage {
    /// Share of one core, in percent, since `before`.
    pub fn cpu_percent(&self, before: &ResourceUsage) -> f64 {
        100.0 * (self.cpu_time - before.cpu_time).as_secs_f64()
            / (self.measured_at - before.measured_at).as_secs_f64()
    }

    /// The same of the core's thread alone.
    pub fn core_thread_percent(&self, before: &ResourceUsage) -> f64 {
        100.0 * (self.core_thread_cpu_time - before.core_thread_cpu_time).as_secs_f64()
            / (self.measured_at - before.measured_at).as_secs_f64()
    }
}
