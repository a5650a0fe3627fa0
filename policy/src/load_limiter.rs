//! The concurrency limit on loads, which guards the store that all workers load from. Loads that are slow at nearly all
//! workers, or several that fail within a short time, lower the limit; loads that take their usual time raise it
//! slowly.
use crate::types::Micros;
use crate::worker::LAST_LOAD_LIFETIME;

/// The limit never falls below this.
const MIN_LIMIT: f64 = 1.0;
/// Lower bound of [`LoadLimiter::max_limit`], the value that a front end's limit never exceeds.
const SMALLEST_MAX_LIMIT: f64 = 8.0;
/// Upper bound of [`LoadLimiter::max_limit`], the value that a front end's limit never exceeds.
const LARGEST_MAX_LIMIT: f64 = 16.0;
/// Sum of [`LoadLimiter::max_limit`] over all front ends, unless the bounds of each change it.
const FLEET_MAX_LIMIT: f64 = 40.0;
/// Added to the limit after a load that took about its usual time.
const INCREASE_AFTER_NORMAL_LOAD: f64 = 0.25;
/// The limit is multiplied by this after a load that was slow while loads were slow at nearly all workers.
const FACTOR_AFTER_SLOW_LOAD: f64 = 0.7;
/// The limit is multiplied by this after a load that failed soon after another.
const FACTOR_AFTER_FAILURES: f64 = 0.5;

/// The number of loads in flight and the present limit.
#[derive(Debug)]
pub(crate) struct LoadLimiter {
    in_flight: u32,
    limit: f64,
    /// The limit never rises above this.
    max_limit: f64,
    last_failure: Micros,
}

impl LoadLimiter {
    pub(crate) fn new(front_ends: u32) -> Self {
        let max_limit = (FLEET_MAX_LIMIT / f64::from(front_ends.max(1)))
            .clamp(SMALLEST_MAX_LIMIT, LARGEST_MAX_LIMIT);
        LoadLimiter {
            in_flight: 0,
            limit: max_limit / 2.0,
            max_limit,
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

    /// Whether one more proactive load may be started: half of the limit is kept for requests that wait.
    pub(crate) fn admits_proactive(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.limit / 2.0
    }

    /// Whether the number of loads in flight is below the limit. As the limit may be fractional, this can be true where
    /// [`LoadLimiter::admits`] is false.
    pub(crate) fn is_below_limit(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    /// A load took about its usual time.
    pub(crate) fn normal_load(&mut self) {
        self.limit += INCREASE_AFTER_NORMAL_LOAD;
        self.clamp();
    }

    /// A load was slow while loads were slow at nearly all workers.
    pub(crate) fn slow_load(&mut self) {
        self.limit *= FACTOR_AFTER_SLOW_LOAD;
        self.clamp();
    }

    /// A load failed. About one in a hundred fails by chance, so only a second failure soon after another points to the
    /// store.
    pub(crate) fn load_failed(&mut self, now: Micros) {
        if now < self.last_failure + LAST_LOAD_LIFETIME {
            self.limit *= FACTOR_AFTER_FAILURES;
        }
        self.last_failure = now;
        self.clamp();
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(MIN_LIMIT, self.max_limit);
    }
}
