//! What a run leaves.
use crate::fleet_view::{Agreed, Figures};
use crate::metrics::Metrics;
use crate::relay::RelayCounts;
use std::sync::Arc;

/// What a run leaves: the metrics, each front end's fleet figures at the end, the relays' work.
pub struct Outcome {
    pub metrics: Arc<Metrics>,
    /// Per front end: (name, value) of its `app.fleet.*` figures read at the end of the load.
    pub figures: Vec<Figures>,
    pub done: RelayCounts,
    /// Front ends that ended by themselves, not by a `kill`.
    pub died: Vec<usize>,
    /// Per worker started anew: the most that any second brought it, as a part of what the rule allows.
    pub cold: Vec<(usize, f64)>,
    /// When all front ends agreed after the last fault, where the scenario asks for it.
    pub agreed: Option<Agreed>,
    /// Log lines in which a front end was declared down that was never in trouble itself.
    pub wronged: Vec<String>,
    /// Seconds until every front end counted all others alive, before the load (None: fleet off).
    pub joined_s: Option<f64>,
}
