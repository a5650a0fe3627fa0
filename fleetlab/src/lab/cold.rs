//! Compares the calls that reached a worker in slow start with the limit that the front ends must keep together.
use super::Lab;

/// Share of its full capacity that a worker has when it starts: `cold-from` in the front ends' settings.
const INITIAL_SHARE: f64 = 0.2;
/// Age in seconds at which a worker has its full capacity: `warm-within` in the front ends' settings.
const SLOW_START_S: f64 = 17.0;
/// Multiple of its capacity that a worker may be sent in a second by all front ends together: `fall-multiple` in the
/// front ends' settings.
const OVERLOAD_MULTIPLE: f64 = 2.0;

/// A worker that counted as restarted during the run (fault `cold`).
#[derive(Clone, Copy, Debug)]
pub struct ColdWorker {
    /// Index of the worker.
    pub index: usize,
    /// Maximum over all spans of one second: calls that reached the worker, divided by the limit at its age. Above 1
    /// the front ends exceeded the limit.
    pub peak_ratio: f64,
}

impl Lab {
    /// Returns the workers that counted as restarted.
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
                peak_ratio: self.metrics.peak_ratio(index, restart.at_s, allowed),
            });
        }
        cold
    }
}

/// Returns how many calls a worker of this age may get in a second; `quota` is its share of the tenant's quota, in
/// calls per second.
fn allowed_per_s(age_s: f64, quota: f64) -> f64 {
    if age_s >= SLOW_START_S {
        return f64::INFINITY; // past slow start there is no limit
    }
    let progress = (age_s / SLOW_START_S).max(0.0);
    OVERLOAD_MULTIPLE * (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress) * quota
}
