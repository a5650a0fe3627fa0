//! When a source of workers is called again. Guards it from a hundred front ends that all lost it in one instant and
//! would all be back in the next. Decides times only; whoever calls does the waiting.
use crate::limits::DiscoveryLimits;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// The waits of one front end between calls of one source.
pub struct Redial {
    chance: Pcg32,
    spread: Duration,
    first: Duration,
    most: Duration,
    told: (Duration, Duration),
    failures: u32,
}

impl Redial {
    /// Waits within these limits; `seed` sets this front end apart from others.
    pub fn new(seed: u64, limits: &DiscoveryLimits) -> Self {
        let chance = Pcg32::seed_from_u64(seed);
        let (spread, first, most) = (
            limits.reconnect_spread,
            limits.retry_initial,
            limits.retry_max,
        );
        Redial {
            chance,
            spread,
            first,
            most,
            told: (limits.event_timeout_min, limits.event_timeout_max),
            failures: 0,
        }
    }

    /// The wait after a call that brought something, or once the source has moved.
    pub fn after_news(&mut self) -> Duration {
        self.failures = 0;
        self.part(self.spread)
    }

    /// The wait after a call that brought nothing: twice as long each time up to the most, of which, where the
    /// calls of many are to be spread, a half is left to chance.
    pub fn after_failure(&mut self) -> Duration {
        let wait = self
            .first
            .saturating_mul(1 << self.failures.min(16))
            .min(self.most);
        self.failures += 1;
        if self.spread.is_zero() {
            return wait;
        }
        wait / 2 + self.part(wait / 2)
    }

    /// How long a call may go on that tells nothing, before the source is asked anew: drawn for each call, so that
    /// the calls of many are spread.
    pub fn told_within(&mut self) -> Duration {
        let (least, most) = self.told;
        least + self.part(most.saturating_sub(least))
    }

    fn part(&mut self, of: Duration) -> Duration {
        of.mul_f64(f64::from(self.chance.next_u32()) / 2f64.powi(32))
    }
}
