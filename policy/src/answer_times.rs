//! How long answers of a class have taken recently, to tell which requests can be answered before their clients give
//! up. No I/O: time is an argument.
//!
//! A client that waits for less time than answers take gives up before its answer and retries. What was sent for it is
//! wasted work, and makes the workers reject other requests.
use crate::types::{Micros, SECOND};
use crate::worker_health::{MAX_TRIAL_DOUBLINGS, TRIAL_INTERVAL};

/// Minimum number of answers for the mean to be used: the times vary so widely that a mean of fewer is often wrong by
/// half.
const MIN_ANSWERS: u32 = 5;
/// Maximum number of answers that the running mean covers.
pub(crate) const MAX_ANSWERS: u32 = 20;
/// The mean is not used when the last answer is older than this: whatever made answers slow may be over.
const LIFETIME: Micros = 8 * SECOND;

/// The mean time of the last answers of a class for which no function had to be loaded, and the trial requests that are
/// sent although their clients wait for less than the mean.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTimes {
    /// Running mean, in microseconds.
    mean: f64,
    /// Answers that the mean covers.
    answers: u32,
    last_answer: Micros,
    /// No trial is sent before this time.
    next_trial: Micros,
    /// Trials in a row that have not been answered in time.
    unsuccessful_trials: u32,
}

impl AnswerTimes {
    /// Adds an answer that took `elapsed` microseconds. An outdated mean is replaced by it.
    pub(crate) fn record(&mut self, now: Micros, elapsed: f64) {
        let is_outdated = now > self.last_answer + LIFETIME;
        let counted = if is_outdated { 0 } else { self.answers };
        self.answers = (counted + 1).min(MAX_ANSWERS);
        self.mean += (elapsed - self.mean) / f64::from(self.answers);
        self.last_answer = now;
    }

    /// Whether answers take longer than `time_left` on average; false where too little is known.
    pub(crate) fn exceed(&self, time_left: Micros, now: Micros) -> bool {
        let is_known = self.answers >= MIN_ANSWERS && now <= self.last_answer + LIFETIME;
        is_known && (time_left as f64) < self.mean
    }

    /// Whether a request whose client waits for less than the mean may be sent now, as a trial; if so, the trial counts
    /// as sent. Trials detect that a function is faster than its class or that answers are fast again. Each
    /// unsuccessful trial in a row doubles the time until the next, within a limit.
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
