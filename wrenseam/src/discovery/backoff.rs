//! When a source of workers is called again. Guards it from a hundred front ends that all lost it in one instant and
//! would all be back in the next. Decides times only; whoever calls does the waiting.
use crate::limits::Limits;
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
    pub fn new(seed: u64, limits: &Limits) -> Self {
        let chance = Pcg32::seed_from_u64(seed);
        let (spread, first, most) = (
            limits.board_spread,
            limits.board_retry,
            limits.board_retry_most,
        );
        Redial {
            chance,
            spread,
            first,
            most,
            told: limits.board_told,
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

#[cfg(test)]
mod tests {
    use super::*;
    use wrenseam_policy::Settings;

    fn fleet(gateways: u32) -> Vec<Redial> {
        let limits = Limits::new(
            48,
            384,
            &Settings {
                front_ends: gateways,
                ..Settings::default()
            },
        );
        (0..u64::from(gateways))
            .map(|seed| Redial::new(seed, &limits))
            .collect()
    }

    /// Most of the waits that fall into one span of 20 ms.
    fn crowd(waits: &[Duration]) -> usize {
        let within =
            |from: Duration, w: Duration| w >= from && w < from + Duration::from_millis(20);
        let from = |from: &Duration| waits.iter().filter(|w| within(*from, **w)).count();
        waits.iter().map(from).max().unwrap_or(0)
    }

    #[test]
    fn a_hundred_front_ends_do_not_redial_in_step() {
        let mut fleet = fleet(100);
        let broke: Vec<Duration> = fleet.iter_mut().map(Redial::after_news).collect();
        assert!(crowd(&broke) <= 20, "{broke:?}");
        // Still well before what a board had to tell counts as told, 2 s after a break.
        assert!(broke.iter().all(|w| *w <= Duration::from_millis(500)));
        for _ in 0..5 {
            fleet
                .iter_mut()
                .for_each(|r| assert!(r.after_failure() > Duration::ZERO));
        }
        let away: Vec<Duration> = fleet.iter_mut().map(Redial::after_failure).collect();
        assert!(crowd(&away) <= 20, "{away:?}");
        assert!(away
            .iter()
            .all(|w| *w >= Duration::from_millis(400) && *w <= Duration::from_secs(1)));
    }

    #[test]
    fn few_front_ends_call_again_at_once_and_then_at_a_steady_pace() {
        let mut few = fleet(3);
        assert!(few.iter_mut().all(|r| r.after_news().is_zero()));
        for _ in 0..3 {
            assert!(few
                .iter_mut()
                .all(|r| r.after_failure() == Duration::from_millis(100)));
        }
    }
}
