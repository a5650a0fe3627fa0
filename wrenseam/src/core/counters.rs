//! The core's counters: request ends by class and attempts for `telemetry`, and requests by tenant for `/v1/state`. All
//! start at 0 when the process starts.
use super::{DiscoveryMetrics, FleetAdmission, ProcessMetrics};
use crate::latency::StageLatencies;
use crate::model::RequestEnd;
use std::fmt::Write;

/// How the requests of one class ended.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    completed: u64,
    rejected: u64,
    failed: u64,
}

impl ClassCounts {
    fn record(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Completed => self.completed += 1,
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::Failed => self.failed += 1,
        }
    }
}

/// The counters of `telemetry`: request ends by class, and attempts sent to workers.
#[derive(Clone, Debug, Default)]
pub struct RequestCounters {
    classes: Vec<ClassCounts>,
    attempts_sent: u64,
}

/// The gauges of `telemetry`, at the time of the command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests that are unanswered.
    pub pending: usize,
    /// Workers that are listed and not gone.
    pub members: usize,
    /// Of `members`, those that get no new requests: draining, excluded, suspended or ejected as outliers.
    pub unavailable: usize,
}

impl RequestCounters {
    /// Counters for this many classes.
    pub fn new(classes: usize) -> Self {
        RequestCounters {
            classes: vec![ClassCounts::default(); classes],
            attempts_sent: 0,
        }
    }

    /// Counts the end of a request. `class` is its position in the settings; positions beyond the last class are not
    /// counted.
    pub fn record_end(&mut self, class: usize, end: RequestEnd) {
        if let Some(counts) = self.classes.get_mut(class) {
            counts.record(end);
        }
    }

    /// Counts an attempt that was handed to a worker's transport.
    pub fn record_attempt_sent(&mut self) {
        self.attempts_sent += 1;
    }

    /// Reduces the count by an attempt that was handed to a transport but was not written completely.
    pub fn record_attempt_not_sent(&mut self) {
        self.attempts_sent = self.attempts_sent.saturating_sub(1);
    }

    /// The reply to `telemetry`: one metric per line, then `END`. `discovery` and `fleet` are `None` if the front end
    /// has no discovery service or no fleet; `process` and `latencies` are `None` if their metrics are left out.
    pub fn telemetry(
        &self,
        class_names: &[String],
        gauges: Gauges,
        discovery: Option<DiscoveryMetrics>,
        fleet: Option<&FleetAdmission>,
        process: Option<ProcessMetrics>,
        latencies: Option<&StageLatencies>,
    ) -> String {
        let mut text = String::new();
        self.write_classes(class_names, &mut text);
        let _ = writeln!(text, "app.upstream_requests:{}|c", self.attempts_sent);
        let _ = writeln!(text, "app.pending:{}|g", gauges.pending);
        let _ = writeln!(text, "app.members:{}|g", gauges.members);
        let _ = writeln!(text, "app.members_unavailable:{}|g", gauges.unavailable);
        if let Some(discovery) = discovery {
            discovery.write_telemetry(&mut text);
        }
        if let Some(fleet) = fleet {
            fleet.write_telemetry(&mut text);
        }
        if let Some(process) = process {
            process.write_telemetry(&mut text);
        }
        if let Some(latencies) = latencies {
            latencies.write_telemetry(&mut text);
        }
        text.push_str("END\n");
        text
    }

    fn write_classes(&self, names: &[String], text: &mut String) {
        for (name, counts) in names.iter().zip(&self.classes) {
            let ends = [
                ("completed", counts.completed),
                ("rejected", counts.rejected),
                ("failed", counts.failed),
            ];
            for (end, count) in ends {
                let _ = writeln!(text, "app.downstream_requests.{name}.{end}:{count}|c");
            }
        }
    }
}

/// The counts of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCounts {
    /// Valid requests received.
    pub received: u64,
    /// Requests served by a worker.
    pub completed: u64,
    /// Requests rejected by the policy.
    pub rejected: u64,
    /// Requests answered as failed.
    pub failed: u64,
    /// Requests cancelled by their clients.
    pub cancelled: u64,
}

/// The counts of all tenants. All requests whose tenant the settings do not name are counted together.
#[derive(Clone, Debug)]
pub struct TenantCounters {
    tenants: Vec<TenantCounts>,
    unknown: TenantCounts,
}

impl TenantCounters {
    /// Counters for this many tenants.
    pub fn new(tenants: usize) -> Self {
        TenantCounters {
            tenants: vec![TenantCounts::default(); tenants],
            unknown: TenantCounts::default(),
        }
    }

    /// Counts a request that is valid. `tenant` is its position in the settings; `None` if the settings do not name it.
    pub fn record_received(&mut self, tenant: Option<usize>) {
        self.counts_mut(tenant).received += 1;
    }

    /// Counts the end of a request of this tenant.
    pub fn record_end(&mut self, tenant: Option<usize>, end: RequestEnd) {
        let counts = self.counts_mut(tenant);
        match end {
            RequestEnd::Completed => counts.completed += 1,
            RequestEnd::Rejected => counts.rejected += 1,
            RequestEnd::Failed => counts.failed += 1,
        }
    }

    /// The counts of the tenants in the order of the settings, then those of all unknown tenants.
    pub fn iter(&self) -> impl Iterator<Item = &TenantCounts> {
        self.tenants.iter().chain(std::iter::once(&self.unknown))
    }

    fn counts_mut(&mut self, tenant: Option<usize>) -> &mut TenantCounts {
        tenant
            .and_then(|position| self.tenants.get_mut(position))
            .unwrap_or(&mut self.unknown)
    }
}
