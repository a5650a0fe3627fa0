//! The ways in which a simulated worker treats a call, and the seeded random numbers that select one.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::{Arc, Mutex};

/// A seeded generator of random numbers that several threads share.
#[derive(Clone)]
pub(crate) struct SeededRandom(Arc<Mutex<Pcg32>>);

impl SeededRandom {
    /// A generator with this seed.
    pub(crate) fn new(seed: u64) -> SeededRandom {
        SeededRandom(Arc::new(Mutex::new(Pcg32::seed_from_u64(seed))))
    }

    /// Draws a number below `limit`.
    pub(crate) fn below(&self, limit: u32) -> u32 {
        let mut generator = self.0.lock().expect("not poisoned");
        ((u64::from(generator.next_u32()) * u64::from(limit)) >> 32) as u32
    }

    /// Draws whether an event with a chance of `percent` in 100 happens.
    pub(crate) fn percent(&self, percent: u32) -> bool {
        self.below(100) < percent
    }
}

/// How a worker treats a call that arrived completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Serve,
    /// Sends the answer after a delay.
    ServeLate,
    /// Sends the answer twice.
    ServeTwice,
    /// Answers that the call failed.
    Fail,
    /// Answers that the function is not loaded.
    NotLoaded,
    /// Answers that the worker has no capacity.
    Reject,
    /// Sends the rejection twice.
    RejectTwice,
    /// Answers that the execution was not begun.
    NotBegun,
    /// Never answers.
    Ignore,
    /// Resets the connection.
    Reset,
    /// Closes the connection.
    Close,
    /// Closes the sending direction of the connection and goes on reading.
    HalfClose,
    /// Sends an answer with a wrong checksum or length.
    Corrupt,
    /// Sends an answer whose code or status contradicts the rest of it.
    CorruptCode,
}

const ALL: [Behaviour; 14] = [
    Behaviour::Serve,
    Behaviour::ServeLate,
    Behaviour::ServeTwice,
    Behaviour::Fail,
    Behaviour::NotLoaded,
    Behaviour::Reject,
    Behaviour::RejectTwice,
    Behaviour::NotBegun,
    Behaviour::Ignore,
    Behaviour::Reset,
    Behaviour::Close,
    Behaviour::HalfClose,
    Behaviour::Corrupt,
    Behaviour::CorruptCode,
];

impl Behaviour {
    /// Draws a behaviour; all are equally likely.
    pub(crate) fn random(random: &SeededRandom) -> Behaviour {
        ALL[random.below(ALL.len() as u32) as usize]
    }

    /// Whether the answer states that the call was not executed.
    pub(crate) fn reports_not_run(self) -> bool {
        matches!(
            self,
            Behaviour::NotLoaded | Behaviour::Reject | Behaviour::RejectTwice | Behaviour::NotBegun
        )
    }

    /// Whether the answer is sent twice.
    pub(crate) fn repeats_answer(self) -> bool {
        matches!(self, Behaviour::ServeTwice | Behaviour::RejectTwice)
    }
}
