//! What a run leaves.
use super::{ColdWorker, Lab};
use crate::error::LabError;
use crate::fleet_view::{Agreement, FleetFigures};
use crate::metrics::Metrics;
use crate::relay::RelayCounts;
use std::sync::Arc;

/// What a run leaves: the counts, each front end's fleet figures at the end, the relays' work.
pub struct Outcome {
    /// What was counted.
    pub metrics: Arc<Metrics>,
    /// Each front end's figures, read at the end of the load; none of those that do not run.
    pub figures: Vec<FleetFigures>,
    /// What the relays did.
    pub relay_counts: RelayCounts,
    /// Front ends that ended by themselves, not by a fault.
    pub died: Vec<usize>,
    /// Workers that were started again.
    pub cold: Vec<ColdWorker>,
    /// When all front ends agreed after the last fault, where the scenario asks for it.
    pub agreement: Option<Agreement>,
    /// Log lines in which a front end was declared down of which no fault is known.
    pub wrongly_declared_down: Vec<String>,
    /// Seconds until every front end counted all others alive, before the load (None: fleet off).
    pub joined_s: Option<f64>,
}

impl Lab {
    /// Reads what the run leaves, and ends the front ends.
    pub(super) fn end(
        mut self,
        joined_s: Option<f64>,
        agreement: Option<Agreement>,
    ) -> Result<Outcome, LabError> {
        let mut figures = Vec::new();
        let mut died = Vec::new();
        for (index, front) in self.fronts.iter_mut().enumerate() {
            if front.process.is_running() {
                figures.push(FleetFigures::read(front.admin));
                continue;
            }
            figures.push(FleetFigures::default());
            if !front.was_ended {
                died.push(index);
            }
        }
        for front in &mut self.fronts {
            front.process.kill();
        }
        let relay_counts = *self.relay_counts.lock().map_err(|_| LabError::Poisoned)?;
        Ok(Outcome {
            metrics: self.metrics.clone(),
            figures,
            relay_counts,
            died,
            cold: self.cold_workers(),
            agreement,
            wrongly_declared_down: self.wrongly_declared_down()?,
            joined_s,
        })
    }
}
