//! Pauses between the requests to a source of endpoints. Jitter keeps the front ends of a large fleet, which lose their
//! source all at the same moment, from reconnecting all at the same moment. Only computes times: the caller waits.
use crate::limits::DiscoveryLimits;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Maximum number of doublings of the first pause, so that the shift cannot overflow; the longest pause is reached long
/// before.
const MAX_DOUBLINGS: u32 = 16;

/// Computes the pauses of one front end between its requests to one source.
pub struct ReconnectBackoff {
    random: Pcg32,
    limits: DiscoveryLimits,
    failures: u32,
}

impl ReconnectBackoff {
    /// A backoff within these limits; each front end needs another `seed`, so that their pauses differ.
    pub fn new(seed: u64, limits: &DiscoveryLimits) -> Self {
        ReconnectBackoff {
            random: Pcg32::seed_from_u64(seed),
            limits: limits.clone(),
            failures: 0,
        }
    }

    /// Forgets former failures, as the source answers again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after a request that brought events, or after the source's address has changed.
    pub fn after_success(&mut self) -> Duration {
        self.reset();
        self.random_up_to(self.limits.reconnect_jitter)
    }

    /// The pause after a request that brought no events: it doubles with each failure in a row up to the longest pause.
    /// If the limits have a jitter, up to half of the pause is random.
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
        pause / 2 + self.random_up_to(pause / 2)
    }

    /// The event timeout of the next request: after this time another one is made. Drawn for each request, so that the
    /// requests of many front ends are spread over time.
    pub fn event_timeout(&mut self) -> Duration {
        let shortest = self.limits.event_timeout_min;
        let range = self.limits.event_timeout_max.saturating_sub(shortest);
        shortest + self.random_up_to(range)
    }

    fn random_up_to(&mut self, max: Duration) -> Duration {
        max.mul_f64(f64::from(self.random.next_u32()) / 2f64.powi(32))
    }
}
