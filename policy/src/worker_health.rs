//! How one worker has done of late: the state that outlier detection keeps for it.
use crate::types::{Micros, SECOND};

/// Weight of an answer in a worker's share of errors.
const ERROR_WEIGHT: f64 = 0.3;
/// Share of errors beyond which a worker counts as failing: two in a row exceed it, one does not.
const FAILING_ERROR_RATE: f64 = 0.45;
/// Trial requests and polls of an ejected worker keep this distance.
pub(crate) const TRIAL_INTERVAL: Micros = SECOND;
/// The distance doubles with each that was unsuccessful, so many times at most.
pub(crate) const MAX_TRIAL_DOUBLINGS: u32 = 3;
/// A worker whose connection broke is polled after this time.
const POLL_AFTER_BREAK: Micros = TRIAL_INTERVAL / 4;
/// A worker is an outlier at this multiple of the median score: beyond differences of machine kinds, and beyond a few
/// lost answers.
pub(crate) const OUTLIER_MULTIPLE: f64 = 3.5;
/// The score of a worker that does as expected.
const SOUND: f64 = 1.0;

/// A worker's health, as its answers and connections show it.
#[derive(Debug)]
pub(crate) struct WorkerHealth {
    last_answer: Micros,
    /// Running mean of how its attempts did against what was expected; 1 is sound, more is worse.
    score: f64,
    /// No connection was possible, or the last was lost with nothing heard since.
    unreachable: bool,
    /// The score or the errors are beyond what is tolerated.
    outlier: bool,
    error_rate: f64,
    consecutive_errors: u32,
    next_trial: Micros,
    unsuccessful_polls: u32,
    last_reset: Micros,
    /// A connection broke; whether its process still has what it had is not known.
    connection_broke: bool,
}

impl WorkerHealth {
    pub(crate) fn new(now: Micros) -> Self {
        WorkerHealth {
            last_answer: now,
            score: SOUND,
            unreachable: false,
            outlier: false,
            error_rate: 0.0,
            consecutive_errors: 0,
            next_trial: 0,
            unsuccessful_polls: 0,
            last_reset: 0,
            connection_broke: false,
        }
    }

    /// The process is new: what was known of the one before says nothing.
    pub(crate) fn process_started(&mut self) {
        self.unreachable = false;
        self.outlier = false;
        self.score = SOUND;
        self.error_rate = 0.0;
        self.consecutive_errors = 0;
        self.unsuccessful_polls = 0;
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

    /// Whether it is ejected from the choice, for what it did itself.
    pub(crate) fn is_ejected(&self) -> bool {
        self.unreachable || self.outlier
    }

    /// Whether a lost or broken connection leaves open what the worker has loaded.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.unreachable || self.connection_broke
    }

    pub(crate) fn is_trial_due(&self, now: Micros) -> bool {
        now >= self.next_trial
    }

    /// The next trial comes no sooner than this.
    pub(crate) fn schedule_trial(&mut self, at: Micros) {
        self.next_trial = at;
    }

    /// The worker is polled; returns how many polls were unsuccessful before, one after another.
    pub(crate) fn poll_sent(&mut self) -> u32 {
        let before = self.unsuccessful_polls;
        self.unsuccessful_polls += 1;
        before
    }

    /// A connection was refused or not accepted. Where `keep_schedule` is set and the worker was unreachable already,
    /// that does not bring the next trial nearer.
    pub(crate) fn connect_failed(&mut self, now: Micros, keep_schedule: bool) {
        if !(keep_schedule && self.unreachable) {
            self.next_trial = now + POLL_AFTER_BREAK;
        }
        self.unreachable = true;
    }

    /// A connection broke. The process may have stopped, and has nothing loaded once it is back: it is polled.
    pub(crate) fn connection_reset(&mut self, now: Micros) {
        self.last_reset = now;
        self.connection_broke = true;
        self.next_trial = now + POLL_AFTER_BREAK;
    }

    pub(crate) fn last_reset(&self) -> Micros {
        self.last_reset
    }

    /// The worker answered an order: it is reachable, and what the lost connection alone added to its score is taken
    /// back.
    pub(crate) fn answered_order(&mut self) {
        self.unsuccessful_polls = 0;
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

    /// The worker answered with an error. Errors in a row put its next trial off ever longer: it looks idle.
    pub(crate) fn answered_error(&mut self, now: Micros) {
        self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate);
        let doublings = self.consecutive_errors.min(MAX_TRIAL_DOUBLINGS);
        self.consecutive_errors += 1;
        self.next_trial = self.next_trial.max(now + (TRIAL_INTERVAL << doublings));
    }

    /// Takes a sample into the score; none leaves it as it is.
    pub(crate) fn record(&mut self, sample: Option<f64>, weight: f64) {
        self.score += weight * (sample.unwrap_or(self.score) - self.score);
    }

    /// Without samples the score returns to sound by this part.
    pub(crate) fn recover(&mut self, part: f64) {
        self.score += part * (SOUND - self.score);
    }

    /// The score is at least this.
    pub(crate) fn raise_score(&mut self, score: f64) {
        self.score = self.score.max(score);
    }

    /// Decides whether the worker is an outlier against the median score of all.
    pub(crate) fn compare(&mut self, median_score: f64) {
        let is_failing = self.error_rate > FAILING_ERROR_RATE;
        self.outlier = self.score > OUTLIER_MULTIPLE * median_score || is_failing;
    }
}
