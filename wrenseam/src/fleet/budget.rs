//! Retry budget of the fleet: extra attempts at most a fraction of first attempts over a sliding window, plus
//! a floor of retries a second that the whole fleet shares, divided by its estimated size (as gRPC's retry
//! throttling and Envoy's retry budgets bound retries). No I/O; time is handed in, in microseconds.
use wrenseam_policy::Micros;

/// Buckets of the sliding window.
const BUCKETS: usize = 10;
/// The shortest stretch of a bucket, in microseconds.
const SHORTEST_STRETCH: Micros = 1000;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Counts of one stretch of the window.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
struct Bucket {
    /// Which stretch of time: `now / width`.
    stretch: u64,
    first_attempts: u32,
    extra_attempts: u32,
    denied: u32,
}

/// What one front end may spend on extra attempts (hedged requests and retries to workers).
///
/// The bound over a window `W`: `extra_attempts <= ratio * first_attempts + floor_per_s * W / size`, where `size` is the
/// fleet's estimated size (see [`FleetSize`]). Summed over all front ends the extra attempts stay within
/// `ratio * first_attempts + floor_per_s * W` of the fleet, however many front ends there are.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    floor_per_s: f64,
    width: Micros,
    buckets: [Bucket; BUCKETS],
}

/// The sums of the window as it stands.
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
    /// A budget of `ratio` (0 to 1) of first attempts and `floor_per_s` retries a second for the whole fleet,
    /// over a window of `window` microseconds (at least one bucket of 1 ms).
    pub fn new(ratio: f64, floor_per_s: f64, window: Micros) -> Self {
        let width = (window / BUCKETS as Micros).max(SHORTEST_STRETCH);
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

    /// Which stretch of time `now` is in; each has a bucket.
    fn stretch(&self, now: Micros) -> u64 {
        now / self.width
    }

    /// The bucket of `now`, emptied if it still counts an earlier stretch.
    fn bucket(&mut self, now: Micros) -> &mut Bucket {
        let stretch = self.stretch(now);
        let bucket = &mut self.buckets[(stretch % BUCKETS as u64) as usize];
        if bucket.stretch != stretch {
            *bucket = Bucket {
                stretch,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// The sums over the buckets still inside the window at `now`.
    pub fn usage(&self, now: Micros) -> BudgetUsage {
        let stretch = self.stretch(now);
        let mut usage = BudgetUsage::default();
        for bucket in &self.buckets {
            let is_inside = bucket.stretch + BUCKETS as u64 > stretch && bucket.stretch <= stretch;
            if is_inside {
                usage.first_attempts += bucket.first_attempts;
                usage.extra_attempts += bucket.extra_attempts;
                usage.denied += bucket.denied;
            }
        }
        usage
    }

    /// A first attempt was sent.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.bucket(now).first_attempts += 1;
    }

    /// Whether an extra attempt is admitted now, with the fleet at `size` front ends; counts it either way.
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

/// The fleet's size as this front end estimates it: itself and the peers that accept clients, at its
/// largest for `hold` microseconds, and never below the `expected` size of the settings. A front end cut off
/// from its peers thus keeps its own share for the hold and, with `expected`, ever after: it does not take the
/// floor of the whole fleet.
#[derive(Clone, Debug)]
pub struct FleetSize {
    expected: usize,
    hold: Micros,
    /// The largest size seen.
    largest: usize,
    /// When it was last seen.
    largest_at: Micros,
}

impl FleetSize {
    /// No peer known yet; `expected` of at least 1.
    pub fn new(expected: usize, hold: Micros) -> Self {
        FleetSize {
            expected: expected.max(1),
            hold,
            largest: 1,
            largest_at: 0,
        }
    }

    /// So many peers said that they no longer accept clients: their share is not kept for them.
    pub fn remove_departed(&mut self, peers: usize) {
        self.largest = self.largest.saturating_sub(peers).max(1);
    }

    /// This front end counts `peers` besides itself that accept clients at `now`.
    pub fn update(&mut self, now: Micros, peers: usize) {
        let size = peers + 1;
        let has_expired = now.saturating_sub(self.largest_at) > self.hold;
        if size >= self.largest || has_expired {
            self.largest = size;
            self.largest_at = now;
        }
    }

    /// The size that divides the shared floors.
    pub fn estimate(&self) -> usize {
        self.largest.max(self.expected)
    }
}
