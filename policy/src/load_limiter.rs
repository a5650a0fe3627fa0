//! The concurrency limit on loads: it guards the store that all workers load from. Loads that are slow everywhere, or
//! that fail one after another, lower it; good ones raise it slowly.
use crate::types::Micros;
use crate::worker::LAST_LOAD_LIFETIME;

/// The limit never falls below this.
const LEAST_LIMIT: f64 = 1.0;
/// Bounds of the highest limit of one front end.
const LEAST_MAXIMUM: f64 = 8.0;
const MOST_MAXIMUM: f64 = 16.0;
/// Loads of all front ends together that their highest limits add up to, within these bounds.
const FLEET_LOADS: f64 = 40.0;
const RAISE_AFTER_GOOD_LOAD: f64 = 0.25;
const FACTOR_AFTER_SLOW_LOAD: f64 = 0.7;
const FACTOR_AFTER_FAILURES: f64 = 0.5;

/// Loads in flight and how many may be.
#[derive(Debug)]
pub(crate) struct LoadLimiter {
    in_flight: u32,
    limit: f64,
    maximum: f64,
    last_failure: Micros,
}

impl LoadLimiter {
    pub(crate) fn new(front_ends: u32) -> Self {
        let maximum =
            (FLEET_LOADS / f64::from(front_ends.max(1))).clamp(LEAST_MAXIMUM, MOST_MAXIMUM);
        LoadLimiter {
            in_flight: 0,
            limit: maximum / 2.0,
            maximum,
            last_failure: 0,
        }
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    pub(crate) fn started(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.in_flight -= 1;
    }

    /// Whether one more load may be started.
    pub(crate) fn admits(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.limit
    }

    /// Whether one more load may be started ahead of need: half of the limit is kept for requests that wait.
    pub(crate) fn admits_proactive(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.limit / 2.0
    }

    /// Whether the limit is not reached by the loads in flight.
    pub(crate) fn is_below_limit(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    /// A load took about its usual time.
    pub(crate) fn good_load(&mut self) {
        self.limit += RAISE_AFTER_GOOD_LOAD;
        self.clamp();
    }

    /// A load was slow, as loads are at nearly all workers.
    pub(crate) fn slow_load(&mut self) {
        self.limit *= FACTOR_AFTER_SLOW_LOAD;
        self.clamp();
    }

    /// A load failed. One in a hundred fails by chance: only a second one soon after tells of the store.
    pub(crate) fn load_failed(&mut self, now: Micros) {
        if now < self.last_failure + LAST_LOAD_LIFETIME {
            self.limit *= FACTOR_AFTER_FAILURES;
        }
        self.last_failure = now;
        self.clamp();
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(LEAST_LIMIT, self.maximum);
    }
}
