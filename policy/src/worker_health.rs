//! The health of one worker, as outlier detection tracks it.
use crate::types::{Micros, SECOND};

/// Weight of an answer in a worker's running error rate.
const ERROR_WEIGHT: f64 = 0.3;
/// Error rate beyond which a worker counts as failing: two errors in a row exceed it, one does not.
const FAILING_ERROR_RATE: f64 = 0.45;
/// Minimum time between two trials: of an ejected worker, by a request or a poll, and of a class whose answers take
/// longer than clients wait, by a request.
pub(crate) const TRIAL_INTERVAL: Micros = SECOND;
/// [`TRIAL_INTERVAL`] doubles with each unsuccessful trial in a row, at most this many times.
pub(crate) const MAX_TRIAL_DOUBLINGS: u32 = 3;
/// A worker whose connection failed or broke is first polled after this time.
const POLL_AFTER_BREAK: Micros = TRIAL_INTERVAL / 4;
/// A worker whose score exceeds this multiple of the median score is an outlier. Differences between machine kinds, or
/// a few lost answers, do not raise a score that far.
pub(crate) const OUTLIER_MULTIPLE: f64 = 3.5;
/// Score of a worker whose attempts take as long as expected.
const EXPECTED_SCORE: f64 = 1.0;

/// A worker's health by its answers and connections.
#[derive(Debug)]
pub(crate) struct WorkerHealth {
    /// When the worker last served a request; at first the time at which it was listed.
    last_answer: Micros,
    /// Running mean of the samples of its attempts (see `outlier_detection`): 1 is as expected, more is worse.
    score: f64,
    /// Whether a connection was refused or not established, and the worker has neither served a request nor answered an
    /// order since.
    unreachable: bool,
    /// Whether the score or the error rate exceeds its limit, as of the last comparison.
    outlier: bool,
    /// Running mean over answers to requests: 1 for an error, 0 for a served request.
    error_rate: f64,
    consecutive_errors: u32,
    /// No trial is sent before this time.
    next_trial: Micros,
    /// Polls in a row that the worker has not answered.
    unanswered_polls: u32,
    /// When a connection last broke; 0 if never.
    last_reset: Micros,
    /// Whether a connection broke and no answer to an order has confirmed since what the worker has loaded.
    connection_broke: bool,
}

impl WorkerHealth {
    pub(crate) fn new(now: Micros) -> Self {
        WorkerHealth {
            last_answer: now,
            score: EXPECTED_SCORE,
            unreachable: false,
            outlier: false,
            error_rate: 0.0,
            consecutive_errors: 0,
            next_trial: 0,
            unanswered_polls: 0,
            last_reset: 0,
            connection_broke: false,
        }
    }

    /// Resets what the worker's previous process did: a new one has started.
    pub(crate) fn process_started(&mut self) {
        self.unreachable = false;
        self.outlier = false;
        self.score = EXPECTED_SCORE;
        self.error_rate = 0.0;
        self.consecutive_errors = 0;
        self.unanswered_polls = 0;
    }

    pub(crate) fn score(&self) -> f64 {
        self.score
    }

    pub(crate) fn last_answer(&self) -> Micros {
        self.last_answer
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether the worker gets no ordinary requests because of its own results; its zone is not considered.
    pub(crate) fn is_ejected(&self) -> bool {
        self.unreachable || self.outlier
    }

    /// Whether a connection failed or broke and the worker must be polled to find out what it has loaded.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.unreachable || self.connection_broke
    }

    pub(crate) fn is_trial_due(&self, now: Micros) -> bool {
        now >= self.next_trial
    }

    /// Allows no trial before `at`.
    pub(crate) fn schedule_trial(&mut self, at: Micros) {
        self.next_trial = at;
    }

    /// Counts a poll. Returns the number of unanswered polls in a row before it.
    pub(crate) fn poll_sent(&mut self) -> u32 {
        let before = self.unanswered_polls;
        self.unanswered_polls += 1;
        before
    }

    /// A connection was refused or not established. With `keep_schedule`, the time of the next trial stays as it is if
    /// the worker was unreachable already.
    pub(crate) fn connect_failed(&mut self, now: Micros, keep_schedule: bool) {
        if !(keep_schedule && self.unreachable) {
            self.next_trial = now + POLL_AFTER_BREAK;
        }
        self.unreachable = true;
    }

    /// A connection broke. The process may have ended and would have nothing loaded after its restart, so the worker is
    /// to be polled.
    pub(crate) fn connection_reset(&mut self, now: Micros) {
        self.last_reset = now;
        self.connection_broke = true;
        self.next_trial = now + POLL_AFTER_BREAK;
    }

    pub(crate) fn last_reset(&self) -> Micros {
        self.last_reset
    }

    /// The worker answered an order: it is reachable. If a connection had failed or broken, the score is lowered to at
    /// most [`OUTLIER_MULTIPLE`], at which no worker is an outlier: otherwise the samples of that failure alone could
    /// keep the worker ejected.
    pub(crate) fn answered_order(&mut self) {
        self.unanswered_polls = 0;
        if self.is_unconfirmed() {
            self.unreachable = false;
            self.connection_broke = false;
            self.score = self.score.min(OUTLIER_MULTIPLE);
            self.outlier = false;
        }
    }

    /// The worker served a request.
    pub(crate) fn served(&mut self, now: Micros) {
        self.last_answer = now;
        self.unreachable = false;
        self.error_rate *= 1.0 - ERROR_WEIGHT;
        self.consecutive_errors = 0;
    }

    /// The worker answered a request with an error. Each error in a row delays its next trial further: a worker that
    /// fails fast looks idle and would attract requests.
    pub(crate) fn answered_error(&mut self, now: Micros) {
        self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate);
        let doublings = self.consecutive_errors.min(MAX_TRIAL_DOUBLINGS);
        self.consecutive_errors += 1;
        self.next_trial = self.next_trial.max(now + (TRIAL_INTERVAL << doublings));
    }

    /// Adds a sample to the score's running mean; `None` leaves the score as it is.
    pub(crate) fn record(&mut self, sample: Option<f64>, weight: f64) {
        self.score += weight * (sample.unwrap_or(self.score) - self.score);
    }

    /// Moves the score towards the expected one by this fraction of the difference.
    pub(crate) fn recover(&mut self, fraction: f64) {
        self.score += fraction * (EXPECTED_SCORE - self.score);
    }

    /// Raises the score to at least `score`.
    pub(crate) fn raise_score(&mut self, score: f64) {
        self.score = self.score.max(score);
    }

    /// Decides whether the worker is an outlier: its score relative to the median of all workers, or its error rate.
    pub(crate) fn compare(&mut self, median_score: f64) {
        let is_failing = self.error_rate > FAILING_ERROR_RATE;
        self.outlier = self.score > OUTLIER_MULTIPLE * median_score || is_failing;
    }
}
