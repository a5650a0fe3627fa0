//! How long answers of a class take of late: which requests can still be answered while their clients wait. No I/O:
//! time is an argument.
//!
//! A client that waits less than answers take leaves before its answer, and retries: what was sent for it is work for
//! nobody, at workers that reject others' requests for it.
use crate::types::{Micros, SECOND};
use crate::worker_health::{MAX_TRIAL_DOUBLINGS, TRIAL_INTERVAL};

/// Answers that make a mean: they are spread so widely that of few the mean is often wrong by half.
const LEAST_ANSWERS: u32 = 5;
/// Answers that the mean counts at most.
pub(crate) const MAX_ANSWERS: u32 = 20;
/// An older mean says nothing: whatever made answers slow may be over.
const LIFETIME: Micros = 8 * SECOND;

/// The mean time of the last answers of a class for which no load was in the way, and trials against it.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTimes {
    mean: f64,
    answers: u32,
    last_answer: Micros,
    /// When the next request may be sent against the mean.
    next_trial: Micros,
    /// Trials that were not answered in time, one after another.
    unsuccessful_trials: u32,
}

impl AnswerTimes {
    /// An answer took this long.
    pub(crate) fn record(&mut self, now: Micros, elapsed: f64) {
        let outdated = now > self.last_answer + LIFETIME;
        let counted = if outdated { 0 } else { self.answers };
        self.answers = (counted + 1).min(MAX_ANSWERS);
        self.mean += (elapsed - self.mean) / f64::from(self.answers);
        self.last_answer = now;
    }

    /// Whether an answer is not likely to come within this time.
    pub(crate) fn exceed(&self, time_left: Micros, now: Micros) -> bool {
        let is_known = self.answers >= LEAST_ANSWERS && now <= self.last_answer + LIFETIME;
        is_known && (time_left as f64) < self.mean
    }

    /// Whether a request may be sent against the mean now, as a trial. Guards against never learning that its function
    /// is faster than its class, or that answers are fast again; each unsuccessful one puts the next off.
    pub(crate) fn try_trial(&mut self, now: Micros) -> bool {
        if now < self.next_trial {
            return false;
        }
        self.unsuccessful_trials += 1;
        let doublings = self.unsuccessful_trials.min(MAX_TRIAL_DOUBLINGS);
        self.next_trial = now + (TRIAL_INTERVAL << doublings);
        true
    }

    /// A trial was answered in time.
    pub(crate) fn trial_succeeded(&mut self) {
        self.unsuccessful_trials = 0;
    }
}
