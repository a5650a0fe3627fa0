//! What a cold worker was sent, as a part of what the front ends' rule allows.
use super::Lab;

/// The part of its full rate that a cold worker is allowed at first: `cold-from` of the front ends' settings.
const COLD_PART: f64 = 0.2;
/// The age at which a worker is warm, in seconds: `warm-within` of the front ends' settings.
const WARM_AFTER_S: f64 = 17.0;
/// What the front ends together may send of what the rule allows one worker.
const ALLOWANCE: f64 = 2.0;

/// A worker that was started again during the run.
#[derive(Clone, Copy, Debug)]
pub struct ColdWorker {
    /// Its number.
    pub index: usize,
    /// The most that reached it in any second, as a part of what the rule allows.
    pub worst_part: f64,
}

impl Lab {
    /// The workers that were started again.
    pub(super) fn cold_workers(&self) -> Vec<ColdWorker> {
        let quota = self.quota_per_s() / self.scenario.workers as f64;
        let mut cold = Vec::new();
        for (index, worker) in self.workers.iter().enumerate() {
            let Some(restart) = worker.restart else {
                continue;
            };
            let allowed = |age_s| allowed_per_s(age_s, quota);
            cold.push(ColdWorker {
                index,
                worst_part: self.metrics.worst_part(index, restart.at_s, allowed),
            });
        }
        cold
    }
}

/// Calls that a worker of this age may get in a second.
fn allowed_per_s(age_s: f64, quota: f64) -> f64 {
    if age_s >= WARM_AFTER_S {
        return f64::INFINITY; // it is warm, and there is no rule any more
    }
    let warmth = (age_s / WARM_AFTER_S).max(0.0);
    ALLOWANCE * (COLD_PART + (1.0 - COLD_PART) * warmth) * quota
}
