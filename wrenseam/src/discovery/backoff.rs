//! When a new request is made to a source of endpoints. Many front ends that lose their source at one moment must not
//! all be back in the next. Times only: the caller waits.
use crate::limits::DiscoveryLimits;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Doublings of the first pause that are computed; the longest pause is reached long before.
const MAX_DOUBLINGS: u32 = 16;

/// The pauses of one front end between requests to one source.
pub struct ReconnectBackoff {
    random: Pcg32,
    limits: DiscoveryLimits,
    failures: u32,
}

impl ReconnectBackoff {
    /// Pauses within these limits; `seed` sets this front end apart from others.
    pub fn new(seed: u64, limits: &DiscoveryLimits) -> Self {
        ReconnectBackoff {
            random: Pcg32::seed_from_u64(seed),
            limits: limits.clone(),
            failures: 0,
        }
    }

    /// The pause after a request that brought something, or once the source's address has changed.
    pub fn after_success(&mut self) -> Duration {
        self.failures = 0;
        self.random_part(self.limits.reconnect_jitter)
    }

    /// The pause after a request that brought nothing: twice as long each time up to the longest. Where the requests of
    /// many front ends are spread, half of it is random.
    pub fn after_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = self
            .limits
            .retry_initial
            .saturating_mul(1 << doublings)
            .min(self.limits.retry_max);
        self.failures += 1;
        if self.limits.reconnect_jitter.is_zero() {
            return pause;
        }
        pause / 2 + self.random_part(pause / 2)
    }

    /// How long a request may go on without an event before a new one is made: drawn for each request, so that those of
    /// many front ends are spread.
    pub fn event_timeout(&mut self) -> Duration {
        let shortest = self.limits.event_timeout_min;
        let range = self.limits.event_timeout_max.saturating_sub(shortest);
        shortest + self.random_part(range)
    }

    fn random_part(&mut self, whole: Duration) -> Duration {
        whole.mul_f64(f64::from(self.random.next_u32()) / 2f64.powi(32))
    }
}
