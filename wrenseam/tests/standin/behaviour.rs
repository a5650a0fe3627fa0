//! What a worker does with a call, and the seeded random numbers that decide it.
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::{Arc, Mutex};

/// Seeded random numbers that several threads draw from.
#[derive(Clone)]
pub(crate) struct SeededRandom(Arc<Mutex<Pcg32>>);

impl SeededRandom {
    /// The sequence of this seed.
    pub(crate) fn new(seed: u64) -> SeededRandom {
        SeededRandom(Arc::new(Mutex::new(Pcg32::seed_from_u64(seed))))
    }

    /// A number below `limit`.
    pub(crate) fn below(&self, limit: u32) -> u32 {
        let mut generator = self.0.lock().expect("not poisoned");
        ((u64::from(generator.next_u32()) * u64::from(limit)) >> 32) as u32
    }

    /// True in so many of a hundred draws.
    pub(crate) fn percent(&self, percent: u32) -> bool {
        self.below(100) < percent
    }
}

/// What a worker does with a call that has come complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Serve,
    ServeLate,
    ServeTwice,
    Fail,
    /// Answers that the function is not loaded.
    NotLoaded,
    Reject,
    RejectTwice,
    /// Answers that the call was not begun.
    NotBegun,
    /// Never answers.
    Ignore,
    Reset,
    Close,
    HalfClose,
    /// Answers with a wrong checksum or length.
    Corrupt,
    /// Answers with a code or status that does not belong to the rest.
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
    /// Any behaviour, each as likely as the others.
    pub(crate) fn random(random: &SeededRandom) -> Behaviour {
        ALL[random.below(ALL.len() as u32) as usize]
    }

    /// Whether the answer says that the call has not run.
    pub(crate) fn never_ran(self) -> bool {
        matches!(
            self,
            Behaviour::NotLoaded | Behaviour::Reject | Behaviour::RejectTwice | Behaviour::NotBegun
        )
    }

    /// Whether the answer is sent a second time.
    pub(crate) fn repeats(self) -> bool {
        matches!(self, Behaviour::ServeTwice | Behaviour::RejectTwice)
    }
}
