//! Retry budget of the fleet: extra attempts at most a fraction of first attempts over a sliding window, plus
//! a floor of retries a second that the whole fleet shares, divided by its estimated size (as gRPC's retry
//! throttling and Envoy's retry budgets bound retries). No I/O; time is handed in, in microseconds.
use wrenseam_policy::Micros;

/// Buckets of the sliding window.
const BUCKETS: usize = 10;

/// Counts of one stretch of the window.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
struct Bucket {
    /// Which stretch of time: `now / width`.
    stretch: u64,
    firsts: u32,
    extras: u32,
    denied: u32,
}

/// What one front end may spend on extra attempts (copies and retries to workers).
///
/// The bound over a window `W`: `extras <= ratio * firsts + floor_per_s * W / size`, where `size` is the
/// fleet's estimated size (see [`FleetSize`]). Summed over all front ends the extras stay within
/// `ratio * firsts + floor_per_s * W` of the fleet, however many front ends there are.
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
    pub firsts: u32,
    /// Extra attempts let through in the window.
    pub extras: u32,
    /// Extra attempts refused by the budget in the window.
    pub denied: u32,
}

impl RetryBudget {
    /// A budget of `ratio` (0 to 1) of first attempts and `floor_per_s` retries a second for the whole fleet,
    /// over a window of `window` microseconds (at least one bucket of 1 ms).
    pub fn new(ratio: f64, floor_per_s: f64, window: Micros) -> Self {
        let width = (window / BUCKETS as Micros).max(1000);
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

    fn bucket(&mut self, now: Micros) -> &mut Bucket {
        let stretch = now / self.width;
        let b = &mut self.buckets[(stretch % BUCKETS as u64) as usize];
        if b.stretch != stretch {
            *b = Bucket {
                stretch,
                ..Bucket::default()
            };
        }
        b
    }

    /// The sums over the buckets still inside the window at `now`.
    pub fn spent(&self, now: Micros) -> BudgetUsage {
        let stretch = now / self.width;
        let inside = |b: &&Bucket| b.stretch + BUCKETS as u64 > stretch && b.stretch <= stretch;
        self.buckets
            .iter()
            .filter(inside)
            .fold(BudgetUsage::default(), |s, b| BudgetUsage {
                firsts: s.firsts + b.firsts,
                extras: s.extras + b.extras,
                denied: s.denied + b.denied,
            })
    }

    /// A first attempt was sent.
    pub fn first(&mut self, now: Micros) {
        self.bucket(now).firsts += 1;
    }

    /// Whether an extra attempt may go now, with the fleet at `size` front ends; counts it either way.
    pub fn extra(&mut self, now: Micros, size: usize) -> bool {
        let spent = self.spent(now);
        let window_s = (self.width * BUCKETS as Micros) as f64 / 1e6;
        let share = self.floor_per_s * window_s / size.max(1) as f64;
        let allowed = self.ratio * f64::from(spent.firsts) + share;
        let may = f64::from(spent.extras) + 1.0 <= allowed;
        let b = self.bucket(now);
        if may {
            b.extras += 1;
        } else {
            b.denied += 1;
        }
        may
    }
}

/// The fleet's size as this front end estimates it: itself and the peers that take clients, held at its
/// largest for `hold` microseconds, and never below the `expected` size of the settings. A front end cut off
/// from its peers thus keeps its own share for the hold and, with `expected`, ever after: it does not take the
/// floor of the whole fleet.
#[derive(Clone, Debug)]
pub struct FleetSize {
    expected: usize,
    hold: Micros,
    /// The largest size seen, and when it was last seen.
    largest: (usize, Micros),
}

impl FleetSize {
    /// No peer known yet; `expected` of at least 1.
    pub fn new(expected: usize, hold: Micros) -> Self {
        FleetSize {
            expected: expected.max(1),
            hold,
            largest: (1, 0),
        }
    }

    /// So many peers told that they no longer take clients: their share is not held for them.
    pub fn departed(&mut self, peers: usize) {
        self.largest.0 = self.largest.0.saturating_sub(peers).max(1);
    }

    /// This front end counts `peers` besides itself that take clients at `now`.
    pub fn seen(&mut self, now: Micros, peers: usize) {
        let size = peers + 1;
        if size >= self.largest.0 || now.saturating_sub(self.largest.1) > self.hold {
            self.largest = (size, now);
        }
    }

    /// The size that divides the shared floors.
    pub fn estimate(&self) -> usize {
        self.largest.0.max(self.expected)
    }
}
