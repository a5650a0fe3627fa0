//! What this process holds of its limited resources, as `telemetry` and the log show it.
use super::Core;
use crate::process_usage;
use std::fmt::{self, Display, Formatter, Write};
use std::sync::atomic::Ordering;

const BYTES_PER_KIB: usize = 1024;

/// The numbers of records and connections that take memory and descriptors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Client connections.
    pub client_connections: usize,
    /// Connections to workers that are established or being established.
    pub worker_connections: usize,
    /// Requests in the core's table, including answered ones with open attempts.
    pub requests: usize,
    /// Timers that have not fired.
    pub timers: usize,
    /// Functions that the policy keeps a record of.
    pub functions: usize,
    /// Bytes reserved in the memory budget.
    pub reserved_bytes: usize,
}

impl Display for ResourceUsage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ResourceUsage {
            client_connections,
            worker_connections,
            requests,
            timers,
            functions,
            reserved_bytes,
        } = self;
        write!(
            f,
            "{client_connections} client and {worker_connections} worker connections, {requests} requests, \
             {timers} timers, {functions} functions, {reserved_bytes} bytes reserved"
        )
    }
}

/// The metrics of the process, as `telemetry` writes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMetrics {
    /// Resident memory, in KiB; `None` if the system does not tell.
    pub resident_kib: Option<u64>,
    /// Open file descriptors; `None` if the system does not tell.
    pub descriptors: Option<usize>,
    /// What takes them.
    pub usage: ResourceUsage,
}

impl ProcessMetrics {
    /// Appends the metrics to the text of `telemetry`, one per line.
    pub fn write_telemetry(&self, text: &mut String) {
        let usage = &self.usage;
        let gauges = [
            ("resident_kib", self.resident_kib),
            ("descriptors", self.descriptors.map(|count| count as u64)),
            ("client_connections", Some(usage.client_connections as u64)),
            ("worker_connections", Some(usage.worker_connections as u64)),
            ("requests", Some(usage.requests as u64)),
            ("timers", Some(usage.timers as u64)),
            ("functions", Some(usage.functions as u64)),
            ("reserved_bytes", Some(usage.reserved_bytes as u64)),
        ];
        for (name, value) in gauges {
            if let Some(value) = value {
                let _ = writeln!(text, "app.process.{name}:{value}|g");
            }
        }
    }
}

/// Log line: the process uses most of its memory.
pub fn memory_high(resident_kib: u64, limit_kib: u64, usage: &ResourceUsage) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "process: {resident_kib} of {limit_kib} KiB resident; {usage}"
        )
    })
}

/// Log line: the limit leaves no connection for an attempt, load order or health check at this worker. `open` of the
/// `limit` connections to workers are open.
pub fn no_connection(worker: &str, open: usize, limit: usize) -> impl Display + '_ {
    fmt::from_fn(move |f| {
        write!(
            f,
            "worker {worker}: no connection available: {open} of {limit} are open"
        )
    })
}

impl Core {
    /// The metrics of the process for `telemetry`.
    pub(super) fn process_metrics(&self) -> ProcessMetrics {
        ProcessMetrics {
            resident_kib: process_usage::resident_kib(),
            descriptors: process_usage::open_descriptors(),
            usage: self.resource_usage(),
        }
    }

    /// Logs what the process holds if its memory is near the limit.
    pub(super) fn report_high_memory(&self) {
        let limit_kib = (self.limits.memory_bytes / BYTES_PER_KIB) as u64;
        let Some(resident_kib) = process_usage::resident_kib() else {
            return;
        };
        if resident_kib > limit_kib / 4 * 3 {
            let usage = self.resource_usage();
            log_limited!("{}", memory_high(resident_kib, limit_kib, &usage));
        }
    }

    fn resource_usage(&self) -> ResourceUsage {
        let state = &self.process_state;
        ResourceUsage {
            client_connections: state.client_connections.load(Ordering::Acquire),
            worker_connections: self.workers.connections(),
            requests: self.requests.len(),
            timers: self.timers.len(),
            functions: self.controller.table_sizes().functions,
            reserved_bytes: state.reserved_bytes.load(Ordering::Relaxed),
        }
    }
}
