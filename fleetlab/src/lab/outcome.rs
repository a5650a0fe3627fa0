//! The results of a run.
use super::{ColdWorker, Lab};
use crate::error::LabError;
use crate::fleet_view::{Agreement, FleetTelemetry};
use crate::metrics::Metrics;
use crate::relay::RelayCounts;
use std::sync::Arc;

/// The results of a run.
pub struct Outcome {
    /// Counters and latencies of the load and the workers.
    pub metrics: Arc<Metrics>,
    /// Fleet telemetry of each front end, by index, read after the load; empty for those that do not run.
    pub fleet_telemetry: Vec<FleetTelemetry>,
    /// Counts of what the relays did.
    pub relay_counts: RelayCounts,
    /// Indices of the front ends that exited although no fault ended them.
    pub died: Vec<usize>,
    /// Workers that counted as restarted during the run.
    pub cold: Vec<ColdWorker>,
    /// Time until all front ends agreed after the last fault; `None` where the scenario does not ask for agreement.
    pub agreement: Option<Agreement>,
    /// Log lines that declare a front end down although no fault affects it.
    pub wrongly_declared_down: Vec<String>,
    /// Seconds until every front end counted all others as live peers, before the load; `None` without a fleet.
    pub joined_s: Option<f64>,
}

impl Lab {
    /// Kills the front ends and returns the results of the run.
    pub(super) fn finish(
        mut self,
        joined_s: Option<f64>,
        agreement: Option<Agreement>,
    ) -> Result<Outcome, LabError> {
        let mut fleet_telemetry = Vec::new();
        let mut died = Vec::new();
        for (index, front) in self.fronts.iter_mut().enumerate() {
            if front.process.is_running() {
                fleet_telemetry.push(FleetTelemetry::read(front.admin));
                continue;
            }
            fleet_telemetry.push(FleetTelemetry::default());
            if !front.ended_by_fault {
                died.push(index);
            }
        }
        for front in &mut self.fronts {
            front.process.kill();
        }
        let relay_counts = *self
            .relay_counts
            .lock()
            .map_err(|_| LabError::PoisonedLock)?;
        Ok(Outcome {
            metrics: self.metrics.clone(),
            fleet_telemetry,
            relay_counts,
            died,
            cold: self.cold_workers(),
            agreement,
            wrongly_declared_down: self.wrongly_declared_down()?,
            joined_s,
        })
    }
}
