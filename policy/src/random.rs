//! The policy's source of randomness: seeded, so that a stream of events always leads to the same decisions.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The number of values that one draw can have.
const DRAWS: f64 = 4_294_967_296.0;

/// A seeded generator. Every call of a method takes exactly one draw.
pub(crate) struct Random(Pcg32);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// A number below 2^32.
    pub(crate) fn draw(&mut self) -> u64 {
        u64::from(self.0.next_u32())
    }

    /// A number in [0, 1).
    pub(crate) fn fraction(&mut self) -> f64 {
        self.draw() as f64 / DRAWS
    }

    /// True with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        (self.draw() as f64) < probability * DRAWS
    }

    /// A number below `limit`, which is under 2^32.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        (limit * self.draw()) >> 32
    }

    /// One of these, each as likely; `None` of none.
    pub(crate) fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        from.get(self.below(from.len() as u64) as usize).copied()
    }
}
