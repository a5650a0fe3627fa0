//! The resource usage of a process, read from /proc.
use crate::ExperimentError;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

/// Name of the front end's thread that runs its core.
const CORE_THREAD: &str = "core";

/// The resource usage of a process: totals since its start, and what it holds now.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// When it was measured.
    pub measured_at: Instant,
    /// Processor time of all threads that run now, since their start.
    pub cpu_time: Duration,
    /// Processor time of the core thread alone.
    pub core_thread_cpu_time: Duration,
    /// Resident memory now, in KiB.
    pub resident_kib: u64,
    /// Peak resident memory since the start, in KiB.
    pub peak_resident_kib: u64,
    /// Open file descriptors now.
    pub descriptors: usize,
}

/// Processor time of one thread, since its start.
struct ThreadTime {
    is_core: bool,
    nanoseconds: u64,
}

impl ResourceUsage {
    /// Reads the usage of the process with this id.
    ///
    /// # Errors
    /// The process has ended.
    pub(super) fn read(process: u32) -> Result<ResourceUsage, ExperimentError> {
        let folder = Path::new("/proc").join(process.to_string());
        let status = fs::read_to_string(folder.join("status")).map_err(super::failed)?;
        let status_field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
                .ok_or_else(|| {
                    ExperimentError::Failed("a front end process ended unexpectedly".to_owned())
                })
        };
        let threads: Vec<ThreadTime> = fs::read_dir(folder.join("task"))
            .map_err(super::failed)?
            .flatten()
            .filter_map(|thread| ThreadTime::read(&thread.path()))
            .collect();
        let all = threads.iter().map(|thread| thread.nanoseconds).sum();
        let core = threads.iter().filter(|thread| thread.is_core);
        let core = core.map(|thread| thread.nanoseconds).sum();
        Ok(ResourceUsage {
            measured_at: Instant::now(),
            cpu_time: Duration::from_nanos(all),
            core_thread_cpu_time: Duration::from_nanos(core),
            resident_kib: status_field("VmRSS:")?,
            peak_resident_kib: status_field("VmHWM:")?,
            descriptors: fs::read_dir(folder.join("fd")).map_or(0, Iterator::count),
        })
    }

    /// Processor time of all threads since `before`, in percent of one processor core.
    pub fn cpu_percent(&self, before: &ResourceUsage) -> f64 {
        self.percent_of_core(before, self.cpu_time - before.cpu_time)
    }

    /// Processor time of the core thread alone since `before`, in percent of one processor core.
    pub fn core_thread_percent(&self, before: &ResourceUsage) -> f64 {
        self.percent_of_core(
            before,
            self.core_thread_cpu_time - before.core_thread_cpu_time,
        )
    }

    fn percent_of_core(&self, before: &ResourceUsage, cpu_time: Duration) -> f64 {
        let elapsed = self.measured_at - before.measured_at;
        100.0 * cpu_time.as_secs_f64() / elapsed.as_secs_f64()
    }
}

impl ThreadTime {
    /// Reads a thread's folder in /proc; `None` if the thread has ended.
    fn read(folder: &Path) -> Option<ThreadTime> {
        let name = fs::read_to_string(folder.join("comm")).ok()?;
        let statistics = fs::read_to_string(folder.join("schedstat")).ok()?;
        Some(ThreadTime {
            is_core: name.trim() == CORE_THREAD,
            nanoseconds: statistics.split_whitespace().next()?.parse().ok()?,
        })
    }
}
