//! The fleet's retry budget: over a sliding window, extra attempts may be at most a fraction of the first attempts,
//! plus a minimum rate for the whole fleet that is divided by its estimated size. gRPC's retry throttling and Envoy's
//! retry budgets bound retries in a similar way. No I/O; the caller passes the time, in microseconds.
use wrenseam_policy::Micros;

/// Number of buckets in the sliding window.
const BUCKETS: usize = 10;
/// The minimum time that a bucket covers, in microseconds.
const MIN_BUCKET_WIDTH: Micros = 1000;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// The counts of one interval of the window.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
struct Bucket {
    /// The number of the interval: `now / width`.
    interval: u64,
    first_attempts: u32,
    extra_attempts: u32,
    denied: u32,
}

/// Limits the extra attempts (hedged requests and retries to workers) of one front end.
///
/// Over a window of `W` seconds, `extra_attempts <= ratio * first_attempts + floor_per_s * W / size`, where `size` is
/// the estimated size of the fleet (see [`FleetSize`]). The extra attempts of all front ends together therefore stay
/// within `ratio * first_attempts + floor_per_s * W` of the fleet, however many front ends there are.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    /// Extra attempts per second that the whole fleet may make regardless of the number of first attempts.
    floor_per_s: f64,
    /// The time that each bucket covers.
    width: Micros,
    buckets: [Bucket; BUCKETS],
}

/// The totals over the sliding window.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub struct BudgetUsage {
    /// First attempts in the window.
    pub first_attempts: u32,
    /// Extra attempts admitted in the window.
    pub extra_attempts: u32,
    /// Extra attempts that the budget denied in the window.
    pub denied: u32,
}

impl RetryBudget {
    /// Allows extra attempts up to `ratio` (0 to 1) of the first attempts, plus `floor_per_s` extra attempts per second
    /// for the whole fleet, over `window` microseconds. Each of the window's 10 buckets covers at least 1 ms. A ratio
    /// or floor that is not finite counts as 0.
    pub fn new(ratio: f64, floor_per_s: f64, window: Micros) -> Self {
        let width = (window / BUCKETS as Micros).max(MIN_BUCKET_WIDTH);
        let ratio = if ratio.is_finite() {
            ratio.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let floor_per_s = if floor_per_s.is_finite() {
            floor_per_s.max(0.0)
        } else {
            0.0
        };
        RetryBudget {
            ratio,
            floor_per_s,
            width,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    /// The number of the interval that contains `now`.
    fn interval(&self, now: Micros) -> u64 {
        now / self.width
    }

    /// The bucket for `now`, reset first if it still holds the counts of an earlier interval.
    fn bucket(&mut self, now: Micros) -> &mut Bucket {
        let interval = self.interval(now);
        let bucket = &mut self.buckets[(interval % BUCKETS as u64) as usize];
        if bucket.interval != interval {
            *bucket = Bucket {
                interval,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// The totals over the window that ends at `now`.
    pub fn usage(&self, now: Micros) -> BudgetUsage {
        let interval = self.interval(now);
        let mut usage = BudgetUsage::default();
        for bucket in &self.buckets {
            let is_inside =
                bucket.interval + BUCKETS as u64 > interval && bucket.interval <= interval;
            if is_inside {
                usage.first_attempts += bucket.first_attempts;
                usage.extra_attempts += bucket.extra_attempts;
                usage.denied += bucket.denied;
            }
        }
        usage
    }

    /// Counts a first attempt, sent at `now`.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.bucket(now).first_attempts += 1;
    }

    /// Whether an extra attempt may be sent at `now` in a fleet of `size` front ends. Counts it as admitted or denied.
    pub fn admit_extra_attempt(&mut self, now: Micros, size: usize) -> bool {
        let usage = self.usage(now);
        let window_s = (self.width * BUCKETS as Micros) as f64 / MICROS_PER_SECOND;
        let floor = self.floor_per_s * window_s / size.max(1) as f64;
        let allowed = self.ratio * f64::from(usage.first_attempts) + floor;
        let is_admitted = f64::from(usage.extra_attempts) + 1.0 <= allowed;
        let bucket = self.bucket(now);
        if is_admitted {
            bucket.extra_attempts += 1;
        } else {
            bucket.denied += 1;
        }
        is_admitted
    }
}

/// This front end's estimate of the fleet's size: itself plus the peers that accept clients.
///
/// The largest size seen is kept for `hold` microseconds, and the estimate is never below the configured `expected`
/// size. A front end that loses contact with its peers therefore keeps only its own share of the floor for `hold`, and
/// permanently if `expected` is configured, instead of claiming the floor of the whole fleet.
#[derive(Clone, Debug)]
pub struct FleetSize {
    expected: usize,
    hold: Micros,
    /// The largest recent size.
    largest: usize,
    /// When the fleet last had that size.
    largest_at: Micros,
}

impl FleetSize {
    /// An estimate without known peers. An `expected` of 0 counts as 1.
    pub fn new(expected: usize, hold: Micros) -> Self {
        FleetSize {
            expected: expected.max(1),
            hold,
            largest: 1,
            largest_at: 0,
        }
    }

    /// Removes peers that announced that they no longer accept clients: `hold` does not apply to them.
    pub fn remove_departed(&mut self, peers: usize) {
        self.largest = self.largest.saturating_sub(peers).max(1);
    }

    /// Updates the estimate: `peers` other front ends accept clients at `now`.
    pub fn update(&mut self, now: Micros, peers: usize) {
        let size = peers + 1;
        let has_expired = now.saturating_sub(self.largest_at) > self.hold;
        if size >= self.largest || has_expired {
            self.largest = size;
            self.largest_at = now;
        }
    }

    /// The estimated number of front ends, at least 1. The fleet's floor is divided by it.
    pub fn estimate(&self) -> usize {
        self.largest.max(self.expected)
    }
}
