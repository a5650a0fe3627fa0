//! The policy's random number generator: seeded, so that the same events always lead to the same decisions.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Number of distinct values of a draw.
const DRAW_VALUES: f64 = 4_294_967_296.0;

/// A seeded generator. Each method call consumes exactly one draw, except [`Random::discard`].
pub(crate) struct Random(Pcg32);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// A uniformly distributed integer below 2^32.
    pub(crate) fn draw(&mut self) -> u64 {
        u64::from(self.0.next_u32())
    }

    /// A uniformly distributed number in [0, 1).
    pub(crate) fn fraction(&mut self) -> f64 {
        self.draw() as f64 / DRAW_VALUES
    }

    /// True with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        (self.draw() as f64) < probability * DRAW_VALUES
    }

    /// A uniformly distributed integer below `limit`; `limit` must be below 2^32.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        (limit * self.draw()) >> 32
    }

    /// Makes and discards this many draws.
    pub(crate) fn discard(&mut self, count: usize) {
        for _ in 0..count {
            self.draw();
        }
    }

    /// A uniformly random element; `None` if there is none.
    pub(crate) fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        from.get(self.below(from.len() as u64) as usize).copied()
    }
}
