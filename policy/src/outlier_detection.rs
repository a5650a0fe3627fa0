//! Outlier detection: each worker has a health score, a running mean of samples. An attempt that was served, or
//! cancelled when overdue, gives a sample: its time as a multiple of the time that was expected, so 1 is as expected
//! and more is worse. Errors, timeouts and connections that failed or broke give a fixed bad sample, whatever their
//! cause; silence raises the score at once. Workers whose score exceeds a multiple of the median are ejected until
//! trial requests or polls show that they perform as expected again.
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

/// Weight of a new sample in running means: they cover about the last ten samples.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// The sample that a failed attempt gives.
const FAILED_SAMPLE: f64 = 5.0;
/// Largest sample of one slow answer outside of a large fleet: that of a failed attempt. In any fleet, the effect of
/// one answer on service times and on the estimated load of a worker is bounded in the same way.
const MAX_SAMPLE: f64 = FAILED_SAMPLE;
/// Largest sample of one slow answer in a large fleet, where a front end may get no second answer from the worker for
/// seconds.
const MAX_SAMPLE_IN_LARGE_FLEET: f64 = 12.0;
/// Time constant with which a score returns to the expected one without further samples, in microseconds.
const RECOVERY_TIME_CONSTANT: f64 = 6.0 * SECOND as f64;
/// A worker counts as silent when its oldest attempt has taken this multiple of its expected time without any answer
/// from the worker.
pub(crate) const SILENT_MULTIPLE: f64 = 9.0;
/// Minimum of the expected time that [`SILENT_MULTIPLE`] applies to, in microseconds.
const MIN_SILENCE_BASE: f64 = 50.0 * MILLISECOND as f64;
/// Largest factor by which a sample weighs more where this front end seldom sends requests to each worker.
const MAX_WEIGHT_FACTOR: f64 = 2.5;

/// The end of an attempt, with what outlier detection needs of it.
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Micros,
    /// Whether the worker had to load the function for this attempt.
    pub(crate) needed_load: bool,
}

impl State {
    /// Largest sample of one slow answer.
    fn max_sample(&self) -> f64 {
        if self.is_large_fleet() {
            MAX_SAMPLE_IN_LARGE_FLEET
        } else {
            MAX_SAMPLE
        }
    }

    /// Updates the estimates and the worker's health with the end of an attempt.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Micros,
        function: FunctionIndex,
        attempt: &Attempt,
        end: &AttemptEnd,
    ) {
        self.record_zone_outcome(attempt.worker, end.outcome, now, end.elapsed);
        let sample = self.health_sample(now, function, attempt, end);
        // After a stall of this front end's process, late answers say nothing about the workers.
        let was_stalled = now < self.resumed_at + TICK;
        let sample = sample.filter(|_| !was_stalled);
        let weight_factor = self.estimator.report_decay_time() / MIN_REPORT_DECAY_TIME;
        let weight = 2.0 * SAMPLE_WEIGHT * weight_factor.clamp(1.0, MAX_WEIGHT_FACTOR);
        self.workers[attempt.worker].health.record(sample, weight);
    }

    /// Updates the health of the worker's zone with an outcome.
    fn record_zone_outcome(
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

    /// Updates the health of the worker's zone with the outcome of an order. An answer from an earlier process of the
    /// worker is ignored.
    pub(crate) fn record_order_zone_outcome(
        &mut self,
        worker: WorkerIndex,
        outcome: Outcome,
        now: Micros,
        elapsed: Micros,
        is_from_current_process: bool,
    ) {
        let failed = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        let answered = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Error);
        if failed || answered && is_from_current_process {
            self.record_zone_outcome(worker, outcome, now, elapsed);
        }
    }

    /// The sample that an attempt gives for the worker's score: 1 is as expected, more is worse; `None` where the
    /// outcome says nothing about the worker.
    fn health_sample(
        &mut self,
        now: Micros,
        function: FunctionIndex,
        attempt: &Attempt,
        end: &AttemptEnd,
    ) -> Option<f64> {
        let worker = attempt.worker;
        match end.outcome {
            Outcome::Ok => self.served_sample(now, function, attempt, end),
            // If no worker has served the function yet, the request itself may be the cause of the error.
            Outcome::Error if !self.functions[function].has_been_served() => None,
            Outcome::Error if !attempt.is_cancelling() => {
                self.workers[worker].health.answered_error(now);
                Some(FAILED_SAMPLE)
            }
            Outcome::Timeout if !attempt.is_cancelling() => Some(FAILED_SAMPLE),
            // Guards against a worker that loses answers: the attempt took at least this long before it was cancelled.
            Outcome::Cancelled if !end.needed_load || self.is_large_fleet() => {
                let elapsed = end.elapsed as f64;
                let overdue = elapsed > attempt.expected_time;
                overdue.then(|| (elapsed / attempt.expected_time).min(self.max_sample()))
            }
            Outcome::ConnectFailed => {
                self.connect_failed(worker, now);
                Some(FAILED_SAMPLE)
            }
            // A connection may break while the process lives; if it has ended, the next connection is refused. All
            // attempts on one connection count once: otherwise a single corrupt answer could eject a healthy worker.
            Outcome::Reset if now > self.workers[worker].health.last_reset() + TICK => {
                self.connection_reset(worker, now);
                Some(FAILED_SAMPLE)
            }
            _ => None,
        }
    }

    /// Updates the service times with an attempt that was served. Returns the ratio of its time to the expected time;
    /// `None` where the worker had to load the function.
    fn served_sample(
        &mut self,
        now: Micros,
        function: FunctionIndex,
        attempt: &Attempt,
        end: &AttemptEnd,
    ) -> Option<f64> {
        self.workers[attempt.worker].health.served(now);
        let class = self.functions[function].class;
        let mut sample = None;
        if !end.needed_load {
            // The attempt was expected to load the function, but a replica was there: compare without a load.
            let expected = if attempt.loads_function {
                self.functions[function].service_time
            } else {
                attempt.expected_time
            };
            let expected = expected.max(MIN_EXPECTED_TIME);
            let elapsed = end.elapsed as f64;
            let ratio = (elapsed / expected).min(self.max_sample());
            sample = Some(ratio);
            self.estimate_load_by_answer(attempt.worker, now, ratio);
            self.answer_times[class].record(now, elapsed);
            let bounded = elapsed.min(expected * MAX_SAMPLE);
            let service_time = &mut self.functions[function].service_time;
            *service_time += SAMPLE_WEIGHT * (bounded - *service_time);
            self.estimator.record_answer(class, elapsed, bounded);
        }
        self.estimator.count_work(class);
        sample
    }

    /// Where workers report no load, estimates the requests that one has in flight from the time that its answer took.
    fn estimate_load_by_answer(&mut self, worker: WorkerIndex, now: Micros, ratio: f64) {
        if self.estimator.has_load_reports() {
            return;
        }
        let worker = &mut self.workers[worker];
        let before = worker.load_report.map_or(1.0, |report| report.in_flight);
        worker.report_load(now, (before + ratio.min(MAX_SAMPLE)) / 2.0);
    }

    /// A connection was refused or not established: the worker is ejected until it answers. What is known of its
    /// replicas is kept, as only the connection may have failed.
    pub(crate) fn connect_failed(&mut self, worker: WorkerIndex, now: Micros) {
        let keep_schedule = self.is_large_fleet();
        self.workers[worker]
            .health
            .connect_failed(now, keep_schedule);
    }

    /// A connection broke. The process may have ended, and would have nothing loaded after its restart: the worker is
    /// polled.
    pub(crate) fn connection_reset(&mut self, worker: WorkerIndex, now: Micros) {
        self.workers[worker].health.connection_reset(now);
        self.last_reset = now;
    }

    /// Pauses requests to a worker that rejected one. If its load report shows no overload, it is assumed to reject by
    /// tenant or class, and only requests of the same tenant and class are paused; otherwise all are.
    pub(crate) fn attempt_rejected(
        &mut self,
        worker: WorkerIndex,
        tenant: Option<usize>,
        class: usize,
        now: Micros,
    ) {
        let is_selective = self.estimator.has_load_reports() && !self.is_overloaded(worker, now);
        let scope = if is_selective {
            RejectedScope::TenantAndClass { tenant, class }
        } else {
            RejectedScope::All
        };
        self.workers[worker].rejections.rejected(scope, now);
    }

    /// Updates the scores of the ready workers for the time `elapsed` since the last call and decides which are
    /// outliers. Suspends ejection while more than half of them would be ejected. Returns how many are outliers or
    /// unreachable.
    pub(crate) fn compare_workers(&mut self, now: Micros, elapsed: Micros) -> usize {
        let time_constant = RECOVERY_TIME_CONSTANT.max(self.estimator.report_decay_time());
        let recovered_fraction = (elapsed as f64 / time_constant).min(1.0);
        let median = self.estimator.median_health_score();
        let mut ejected = 0;
        for index in self.workers.ready().iter().copied() {
            let is_silent = self.is_silent(&self.workers[index], now);
            let health = &mut self.workers[index].health;
            health.recover(recovered_fraction);
            health.compare(median);
            if is_silent {
                health.raise_score(FAILED_SAMPLE * median);
            }
            ejected += usize::from(health.is_ejected());
        }
        self.ejection_suspended = ejected * 2 > self.workers.ready_count();
        ejected
    }

    /// Whether a worker's oldest attempt has waited for [`SILENT_MULTIPLE`] times its expected time and the worker has
    /// served no request meanwhile. Answers to orders do not count: a stalled worker may still give them.
    fn is_silent(&self, worker: &Worker, now: Micros) -> bool {
        let Some(oldest) = worker.open_attempts.first() else {
            return false;
        };
        let expected = self.requests.get(oldest.request).map_or(0.0, |request| {
            request.attempts[oldest.attempt].expected_time
        });
        let since = oldest
            .sent_at
            .max(worker.health.last_answer())
            .max(self.resumed_at);
        now.saturating_sub(since) as f64 > SILENT_MULTIPLE * expected.max(MIN_SILENCE_BASE)
    }

    /// Polls the workers whose connection failed or broke, if possible about a function that was loaded there. An
    /// answer ends their ejection. In a zone that is down only one worker is polled per interval.
    pub(crate) fn poll_unreachable_workers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.load_orders {
            return;
        }
        for worker in self.workers.ready().iter().copied() {
            let health = &self.workers[worker].health;
            if !health.is_unconfirmed() || !health.is_trial_due(now) {
                continue;
            }
            let zone = self.workers[worker].endpoint.zone;
            if self.zones.is_down(zone) && !self.zones.may_poll(zone, now, TRIAL_INTERVAL) {
                continue;
            }
            let interval = self.poll_interval(worker);
            self.workers[worker].health.schedule_trial(now + interval);
            if let Some(function) = self.function_to_poll_about(worker, now) {
                self.poll(function, worker, now, actions);
            }
        }
    }

    /// Time until a worker is polled again. In a large fleet polls back off exponentially with jitter, so that a
    /// hundred front ends do not poll a worker that is gone or has just come back all at the same time.
    fn poll_interval(&mut self, worker: WorkerIndex) -> Micros {
        if !self.is_large_fleet() {
            return TRIAL_INTERVAL;
        }
        let unanswered = self.workers[worker].health.poll_sent();
        let interval = TRIAL_INTERVAL << unanswered.min(MAX_TRIAL_DOUBLINGS);
        interval / 2 + self.random.below(interval)
    }

    /// The function to poll a worker about, out of those with a replica state there and the one that was called last of
    /// all. Functions with an order pending at the worker are left out. Functions assumed to be loaded there are
    /// preferred, and among equals the one that was called last; `None` if no function is left.
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
