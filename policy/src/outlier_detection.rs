//! Outlier detection: one running score of how each worker does against what was expected. Slow answers, errors,
//! time-outs, resets and silence raise it, whatever their cause; workers beyond a multiple of the median are ejected
//! until trial requests or polls find them sound.
use crate::action::Action;
use crate::dispatch::MIN_EXPECTED_TIME;
use crate::estimator::MIN_REPORT_DECAY_TIME;
use crate::event::Outcome;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::rejections::RejectedScope;
use crate::request::Attempt;
use crate::state::{State, TICK};
use crate::types::{Micros, MILLISECOND, SECOND};
use crate::worker::Worker;
use crate::worker_health::{MAX_TRIAL_DOUBLINGS, TRIAL_INTERVAL};

/// Weight of a new sample in running means: about the last ten count.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Sample of a failed attempt, and the most that one slow answer counts.
const FAILED_SAMPLE: f64 = 5.0;
/// The most that one slow answer counts in a large fleet, where a front end may get no second one for seconds.
const LARGEST_SAMPLE_IN_LARGE_FLEET: f64 = 12.0;
/// Without news a score returns to sound with this time constant, in microseconds.
const RECOVERY_TIME: f64 = 6.0 * SECOND as f64;
/// An attempt in flight for this multiple of its expected time, with no answer from its worker, is overdue.
pub(crate) const SILENT_MULTIPLE: f64 = 9.0;
/// The least time that silence is measured against, in microseconds.
const LEAST_SILENCE: f64 = 50.0 * MILLISECOND as f64;
/// A sign weighs more where this front end's requests come round to a worker seldom, up to this multiple.
const MOST_SAMPLE_WEIGHT: f64 = 2.5;

/// How an attempt ended, as outlier detection takes it.
pub(crate) struct AttemptSample {
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Micros,
    /// Whether the worker loaded the function for it.
    pub(crate) loaded: bool,
}

impl State {
    /// The largest sample of one slow answer.
    fn largest_sample(&self) -> f64 {
        if self.is_large_fleet() {
            LARGEST_SAMPLE_IN_LARGE_FLEET
        } else {
            FAILED_SAMPLE
        }
    }

    /// Takes the end of an attempt into the estimates and into its worker's health.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Micros,
        function: FunctionIndex,
        attempt: &Attempt,
        sample: &AttemptSample,
    ) {
        self.record_zone_sign(attempt.worker, sample.outcome, now, sample.elapsed);
        let score = self.health_sample(now, function, attempt, sample);
        // Guards against blaming workers for this front end's own stand-still.
        let stood_still = now < self.resumed_at + TICK;
        let score = score.filter(|_| !stood_still);
        let seldom = self.estimator.report_decay_time() / MIN_REPORT_DECAY_TIME;
        let weight = 2.0 * SAMPLE_WEIGHT * seldom.clamp(1.0, MOST_SAMPLE_WEIGHT);
        self.workers[attempt.worker].health.record(score, weight);
    }

    /// Notes what an outcome tells of the worker's zone.
    fn record_zone_sign(
        &mut self,
        worker: WorkerIndex,
        outcome: Outcome,
        now: Micros,
        elapsed: Micros,
    ) {
        let zone = self.workers[worker].endpoint.zone;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset) {
            self.zones.connection_failed(zone, worker.0, now, elapsed);
        } else if outcome.is_answer() {
            self.zones.answered(zone, now);
        }
    }

    /// What an order's outcome tells of the worker's zone; an answer of the process before the present one tells
    /// nothing.
    pub(crate) fn record_order_zone_sign(
        &mut self,
        worker: WorkerIndex,
        outcome: Outcome,
        now: Micros,
        elapsed: Micros,
        is_of_present_process: bool,
    ) {
        let failed = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Error);
        if failed || answered && is_of_present_process {
            self.record_zone_sign(worker, outcome, now, elapsed);
        }
    }

    /// The sample for the worker's score: 1 is as expected, more is worse; `None` where the end tells nothing of it.
    fn health_sample(
        &mut self,
        now: Micros,
        function: FunctionIndex,
        attempt: &Attempt,
        sample: &AttemptSample,
    ) -> Option<f64> {
        let worker = attempt.worker;
        match sample.outcome {
            Outcome::Ok => self.served_sample(now, function, attempt, sample),
            // Of a function never served here the error may be the request's: no worker is blamed.
            Outcome::Error if !self.functions[function].is_known_to_load() => None,
            Outcome::Error if !attempt.is_cancelling() => {
                self.workers[worker].health.answered_error(now);
                Some(FAILED_SAMPLE)
            }
            Outcome::Timeout if !attempt.is_cancelling() => Some(FAILED_SAMPLE),
            // Guards against a worker that loses answers: what was cancelled had taken at least so long.
            Outcome::Cancelled if !sample.loaded || self.is_large_fleet() => {
                let elapsed = sample.elapsed as f64;
                let overdue = elapsed > attempt.expected;
                overdue.then(|| (elapsed / attempt.expected).min(self.largest_sample()))
            }
            Outcome::ConnectFailed => {
                self.connect_failed(worker, now);
                Some(FAILED_SAMPLE)
            }
            // Connections end though the process lives: if it does not, the next one is refused. All that was open on
            // one connection counts once, or a single corrupt answer would cost a sound worker its requests.
            Outcome::Reset if now > self.workers[worker].health.last_reset() + TICK => {
                self.connection_reset(worker, now);
                Some(FAILED_SAMPLE)
            }
            _ => None,
        }
    }

    /// A worker served an attempt: updates the service times and returns how it did against what was expected.
    fn served_sample(
        &mut self,
        now: Micros,
        function: FunctionIndex,
        attempt: &Attempt,
        sample: &AttemptSample,
    ) -> Option<f64> {
        self.workers[attempt.worker].health.served(now);
        let class = self.functions[function].class;
        let mut score = None;
        if !sample.loaded {
            // Where a replica was not known and there was one all the same, no load was in the way.
            let expected = if attempt.loads_function {
                self.functions[function].service_time
            } else {
                attempt.expected
            };
            let expected = expected.max(MIN_EXPECTED_TIME);
            let elapsed = sample.elapsed as f64;
            let ratio = (elapsed / expected).min(self.largest_sample());
            score = Some(ratio);
            self.estimate_load_by_answer(attempt.worker, now, ratio);
            self.answer_times[class].record(now, elapsed);
            let bounded = elapsed.min(expected * FAILED_SAMPLE);
            let service_time = &mut self.functions[function].service_time;
            *service_time += SAMPLE_WEIGHT * (bounded - *service_time);
            self.estimator.record_answer(class, elapsed, bounded);
        }
        self.estimator.count_work(class);
        score
    }

    /// Where workers report no load, the time that an answer took stands for what they have in flight.
    fn estimate_load_by_answer(&mut self, worker: WorkerIndex, now: Micros, ratio: f64) {
        if self.estimator.has_load_reports() {
            return;
        }
        let worker = &mut self.workers[worker];
        let before = worker.load_report.map_or(1.0, |report| report.in_flight);
        worker.report_load(now, (before + ratio.min(FAILED_SAMPLE)) / 2.0);
    }

    /// A refused or lost connection: the worker leaves the choice until it answers a poll. Its replicas stay believed
    /// until then, as only the connection may have broken.
    pub(crate) fn connect_failed(&mut self, worker: WorkerIndex, now: Micros) {
        let keep_schedule = self.is_large_fleet();
        self.workers[worker]
            .health
            .connect_failed(now, keep_schedule);
    }

    /// A connection broke. It may be the process, which then has nothing loaded once it is back: it is polled.
    pub(crate) fn connection_reset(&mut self, worker: WorkerIndex, now: Micros) {
        self.workers[worker].health.connection_reset(now);
        self.last_reset = now;
    }

    /// Guards against a worker that rejects requests. If it has no more in flight than others, it picks by tenant or
    /// class: such requests stay away and others are served. Else all stay away.
    pub(crate) fn attempt_rejected(
        &mut self,
        worker: WorkerIndex,
        tenant: Option<usize>,
        class: usize,
        now: Micros,
    ) {
        let picks = self.estimator.has_load_reports() && !self.is_overloaded(worker, now);
        let scope = if picks {
            RejectedScope::TenantAndClass { tenant, class }
        } else {
            RejectedScope::All
        };
        self.workers[worker].rejections.rejected(scope, now);
    }

    /// Decides anew which ready workers are outliers, and whether ejection is suspended. Returns how many are ejected.
    pub(crate) fn compare_workers(&mut self, now: Micros, elapsed: Micros) -> usize {
        let recovery_time = RECOVERY_TIME.max(self.estimator.report_decay_time());
        let part = (elapsed as f64 / recovery_time).min(1.0);
        let median = self.estimator.median_health_score();
        let mut ejected = 0;
        for index in self.workers.ready().iter().copied() {
            let is_silent = self.is_silent(&self.workers[index], now);
            let health = &mut self.workers[index].health;
            health.recover(part);
            health.compare(median);
            if is_silent {
                health.raise_score(FAILED_SAMPLE * median);
            }
            ejected += usize::from(health.is_ejected());
        }
        self.ejection_suspended = ejected * 2 > self.workers.ready_count();
        ejected
    }

    /// Whether the oldest attempt at a worker is long overdue and nothing was heard from it since. Only answers to
    /// requests count: a stalled worker may still answer orders.
    fn is_silent(&self, worker: &Worker, now: Micros) -> bool {
        let Some(oldest) = worker.open_attempts.first() else {
            return false;
        };
        let expected = self
            .requests
            .get(oldest.request)
            .map_or(0.0, |request| request.attempts[oldest.attempt].expected);
        let since = oldest
            .sent_at
            .max(worker.health.last_answer())
            .max(self.resumed_at);
        now.saturating_sub(since) as f64 > SILENT_MULTIPLE * expected.max(LEAST_SILENCE)
    }

    /// Polls ejected workers that gave no answer, about a function that was last known there: an answer brings them
    /// back.
    pub(crate) fn poll_unreachable_workers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.load_orders {
            return;
        }
        for worker in self.workers.ready().iter().copied() {
            let health = &self.workers[worker].health;
            if !health.is_in_doubt() || !health.is_trial_due(now) {
                continue;
            }
            let zone = self.workers[worker].endpoint.zone;
            if self.zones.is_lost(zone) && !self.zones.may_poll(zone, now, TRIAL_INTERVAL) {
                continue;
            }
            let interval = self.poll_interval(worker);
            self.workers[worker].health.schedule_trial(now + interval);
            if let Some(function) = self.function_to_poll_about(worker, now) {
                self.poll(function, worker, now, actions);
            }
        }
    }

    /// How long until a worker is polled again. Guards a worker that is gone, or just back, from polls of a hundred
    /// front ends in step: in a large fleet polls back off, with jitter.
    fn poll_interval(&mut self, worker: WorkerIndex) -> Micros {
        if !self.is_large_fleet() {
            return TRIAL_INTERVAL;
        }
        let unsuccessful = self.workers[worker].health.poll_sent();
        let interval = TRIAL_INTERVAL << unsuccessful.min(MAX_TRIAL_DOUBLINGS);
        interval / 2 + self.random.below(interval)
    }

    /// The function with no order pending that is best known at the worker, or that was called last anywhere.
    fn function_to_poll_about(&self, worker: WorkerIndex, now: Micros) -> Option<FunctionIndex> {
        let has_no_order = |function: &FunctionIndex| {
            self.functions
                .get(*function)
                .is_some_and(|known| match known.replicas.get(&worker) {
                    Some(replica) => replica.order().is_none(),
                    None => true,
                })
        };
        let is_loaded = |function| {
            self.replica(function, worker)
                .is_some_and(|replica| replica.is_loaded(now))
        };
        self.workers[worker]
            .functions
            .iter()
            .copied()
            .chain([self.functions.latest()])
            .filter(has_no_order)
            .filter(|&function| self.functions[function].last_call() > 0)
            .max_by_key(|&function| (is_loaded(function), self.functions[function].last_call()))
    }
}
