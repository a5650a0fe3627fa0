//! The periodic survey: updates the estimates with a sample of all workers, functions and requests, and runs the other
//! periodic work.
use crate::action::Action;
use crate::estimator::{
    is_report_recent, queued_until, FleetSample, MAX_RATE_WINDOW, SURVEY_INTERVAL,
};
use crate::index::WorkerIndex;
use crate::slow_start::{SendBucket, WorkerStart};
use crate::state::State;
use crate::types::{Micros, SECOND};
use crate::worker::LoadReport;

/// A function is forgotten after this many keep-alive times without a request.
const FORGET_AFTER_KEEP_ALIVES: Micros = 4;
/// Minimum time between two log lines about ejected workers and the load limit.
const LOG_INTERVAL: Micros = 10 * SECOND;
/// The log line about ejected workers is written when more than one in this number of workers is ejected.
const LOGGED_EJECTED_DIVISOR: usize = 10;
/// The log line about ejected workers is also written when the concurrency limit on loads is below this.
const LOGGED_LOAD_LIMIT: f64 = 2.0;

/// When the survey last ran, and when it last logged; 0 if never.
#[derive(Debug, Default)]
pub(crate) struct Survey {
    last_run: Micros,
    last_logged: Micros,
}

impl Survey {
    /// Runs the survey if it is due.
    pub(crate) fn run_if_due(&mut self, state: &mut State, now: Micros, actions: &mut Vec<Action>) {
        if now < self.last_run + SURVEY_INTERVAL {
            return;
        }
        let is_first = self.last_run == 0;
        let elapsed = if is_first {
            SURVEY_INTERVAL
        } else {
            now - self.last_run
        };
        self.last_run = now;
        self.run(state, now, elapsed, actions);
    }

    fn run(&mut self, state: &mut State, now: Micros, elapsed: Micros, actions: &mut Vec<Action>) {
        state.load_budget.forget_requests(MAX_RATE_WINDOW, now);
        let sample = state.sample(now, elapsed);
        state.estimator.update(sample, &state.settings);
        state.update_least_z_star(now);
        state.refresh_slow_start_buckets(now);
        let ejected = state.compare_workers(now, elapsed);
        self.log(state, ejected, now, actions);
        state.poll_unreachable_workers(now, actions);
        state.renew_replicas(now, actions);
        state.prefetch_for_timers(now, actions);
        let forget_after = FORGET_AFTER_KEEP_ALIVES * state.keep_alive();
        state.forget_functions_unused_since(now.saturating_sub(forget_after));
    }

    fn log(&mut self, state: &State, ejected: usize, now: Micros, actions: &mut Vec<Action>) {
        let workers = state.workers.ready_count();
        let limit = state.load_limiter.limit();
        let must_log = ejected * LOGGED_EJECTED_DIVISOR > workers || limit < LOGGED_LOAD_LIMIT;
        if now >= self.last_logged + LOG_INTERVAL && must_log {
            self.last_logged = now;
            let text = format!("{ejected} of {workers} workers look bad; load cap {limit:.0}");
            actions.push(Action::Log { text });
        }
    }
}

impl State {
    /// Measures what the estimates are updated with; `elapsed` is the time since the last survey.
    fn sample(&self, now: Micros, elapsed: Micros) -> FleetSample {
        let ready_workers = self.workers.ready();
        let ready = || ready_workers.iter().map(|&index| &self.workers[index]);
        let recent_report = |report: &LoadReport| is_report_recent(report, now);
        let capacity = |&worker: &WorkerIndex| self.capacity_share(worker, now).unwrap_or(1.0);
        let known_functions = self.functions.len().max(1) as f64;
        let memory_mb: f64 = self
            .functions
            .iter()
            .map(|function| function.memory_mb)
            .sum();
        FleetSample {
            elapsed,
            ready_workers: self.workers.ready_count(),
            busy_workers: ready()
                .filter(|worker| !worker.open_attempts.is_empty())
                .count(),
            recent_requests: self.load_budget.requests_within(MAX_RATE_WINDOW, now),
            reported_in_flight: ready()
                .filter_map(|worker| worker.load_report.filter(recent_report))
                .map(|report| report.in_flight)
                .collect(),
            capacity: ready_workers.iter().map(capacity).sum(),
            mean_replica_mb: memory_mb / known_functions,
            queued_requests: self.queued_requests(now),
            health_scores: ready().map(|worker| worker.health.score()).collect(),
        }
    }

    /// Updates the smallest z* of all functions, for the theta of the last sample. Functions with a z* below 1 have no
    /// virtual losses and are left out.
    fn update_least_z_star(&mut self, now: Micros) {
        let theta = self.estimator.theta();
        let least = self
            .functions
            .iter()
            .map(|function| self.function_load(function, now).z_star(theta))
            .filter(|&z_star| z_star >= 1.0)
            .fold(f64::INFINITY, f64::min);
        self.estimator.set_least_z_star(least);
    }

    /// Number of requests without a final answer whose last attempt is in flight and does not wait for a load, except
    /// those that arrived too long ago.
    fn queued_requests(&self, now: Micros) -> usize {
        self.requests
            .iter()
            .filter(|(_, request)| {
                let waits_for_answer = request
                    .attempts
                    .last()
                    .is_some_and(|attempt| attempt.is_open() && !attempt.loads_function);
                let objective = self.class(request.class).latency_objective;
                waits_for_answer
                    && !request.closed
                    && now < queued_until(request.arrived_at, objective)
            })
            .count()
    }

    /// Updates the token buckets of the workers in slow start. Where the tenants' quotas are stated, all front ends
    /// compute the same allowance from them. Otherwise a worker's capacity is estimated in cores. In a small fleet
    /// these are the cores that all front ends together keep busy at a worker, extrapolated from this front end's work,
    /// but at least one, so that a fleet whose workers are all in slow start gets requests at all. In a large fleet it
    /// is one core.
    fn refresh_slow_start_buckets(&mut self, now: Micros) {
        let service_times = self.estimator.known_class_service_times();
        let classes = service_times.len();
        let mean_service_time = service_times.iter().sum::<f64>() / classes.max(1) as f64;
        // The work of all front ends as a multiple of this one's; 0 where it cannot be extrapolated.
        let extrapolation_factor = if self.is_large_fleet() {
            0.0
        } else {
            f64::from(self.settings.front_ends.max(1))
        };
        let cores = (self.estimator.work_rate() * extrapolation_factor).max(1.0);
        let observed = cores * SECOND as f64 / mean_service_time.max(1.0);
        let capacity = self
            .slow_start
            .worker_capacity(self.workers.max_listed(), observed);
        let heaviest_request = (0..classes)
            .map(|class| self.request_weight(class))
            .fold(1.0, f64::max);
        for index in self.workers.ready().iter().copied() {
            let started_at = self.workers[index].endpoint.started_at;
            if !self.slow_start.applies(started_at, now) {
                continue;
            }
            let random = self.random.draw();
            let worker = &mut self.workers[index];
            let start = WorkerStart {
                name: &worker.endpoint.worker,
                started_at,
                capacity,
                heaviest_request,
            };
            self.slow_start
                .refresh(&mut worker.slow_start, &start, now, random);
        }
    }

    /// Leaves sending to workers in slow start to another process of this front end, or resumes it: two processes with
    /// the same front-end index would send twice its share. All buckets are emptied on each change.
    pub(crate) fn set_standby(&mut self, standby: bool) {
        if self.slow_start.set_standby(standby) {
            self.workers
                .iter_mut()
                .map(|worker| &mut worker.slow_start)
                .for_each(SendBucket::reset);
        }
    }
}
