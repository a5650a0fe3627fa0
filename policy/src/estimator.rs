//! Running estimates of the workers' load, of service times and of rates. This module makes no decisions.
use crate::settings::Settings;
use crate::types::{Micros, MILLISECOND, SECOND};
use crate::virtual_loss::theta;
use crate::worker::{LoadReport, Worker};

/// Interval of the survey, which walks all workers and functions.
pub(crate) const SURVEY_INTERVAL: Micros = 100 * MILLISECOND;
/// Shortest time window of rates.
const MIN_RATE_WINDOW: Micros = 2 * SECOND;
/// Longest time window of rates.
pub(crate) const MAX_RATE_WINDOW: Micros = 8 * SECOND;
/// Shortest time window of the rate of answers, in microseconds.
const MIN_ANSWER_WINDOW: f64 = 0.5 * SECOND as f64;
/// The time window of rates is chosen, within its bounds, to hold this many requests: rates over fewer are noise.
const REQUESTS_PER_RATE: f64 = 30.0;
/// Lower bound, in microseconds, of the time constant with which a load report decays to the mean.
pub(crate) const MIN_REPORT_DECAY_TIME: f64 = 2.0 * SECOND as f64;
/// Upper bound, in microseconds, of the time constant with which a load report decays to the mean.
const MAX_REPORT_DECAY_TIME: f64 = 15.0 * SECOND as f64;
/// How long a worker's last load report counts for the mean in flight: long, since with few requests and many workers
/// reports are rare.
const REPORT_LIFETIME: Micros = 20 * SECOND;
/// Weight of a new answer in the running mean of the time that answers take.
const ANSWER_WEIGHT: f64 = 0.05;
/// Weight of a new answer in the running mean of its class's service time.
const CLASS_SERVICE_WEIGHT: f64 = 0.05;
/// Mean requests in flight per worker, of all front ends, below which no request is shed: about one per core. Also the
/// assumed mean while there is no recent load report.
pub(crate) const MODERATE_LOAD: f64 = 4.0;
/// Time after its arrival for which a request counts as queued, as a multiple of its class's latency objective.
const QUEUED_OBJECTIVE_MULTIPLE: Micros = 2;
/// Standard deviations by which a tenant's traffic must exceed its share of the quotas: chance alone makes it vary.
const QUOTA_DEVIATIONS: f64 = 2.0;

/// What the survey measures.
pub(crate) struct FleetSample {
    /// Time since the previous survey.
    pub(crate) elapsed: Micros,
    pub(crate) ready_workers: usize,
    /// Ready workers with an open attempt of this front end.
    pub(crate) busy_workers: usize,
    /// Requests that counted for the load budget within [`MAX_RATE_WINDOW`].
    pub(crate) recent_requests: usize,
    /// Requests in flight at each ready worker that has reported them recently.
    pub(crate) reported_in_flight: Vec<f64>,
    /// Capacity of all ready workers, in units of a worker at full capacity.
    pub(crate) capacity: f64,
    /// Mean memory of a replica over all known functions, in MB.
    pub(crate) mean_replica_mb: f64,
    /// Requests that wait for an answer and not for a load, and arrived not long ago.
    pub(crate) queued_requests: usize,
    /// Health scores of all ready workers.
    pub(crate) health_scores: Vec<f64>,
}

/// Where a function is loaded, and how much it is used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FunctionLoad {
    /// Ready workers that have it loaded.
    pub(crate) loaded: usize,
    /// This front end's requests in flight for the function.
    pub(crate) in_flight: f64,
}

impl FunctionLoad {
    /// The function's z* (docs/design.md).
    pub(crate) fn z_star(&self, theta: f64) -> f64 {
        (self.loaded as f64 - self.in_flight) / theta
    }
}

/// The estimates of one front end.
#[derive(Debug, Default)]
pub(crate) struct Estimator {
    /// Whether workers report what they have in flight.
    has_load_reports: bool,
    /// Mean requests in flight per worker.
    mean_in_flight: f64,
    /// Time constant with which a load report decays to the mean, in microseconds: about the time in which this front
    /// end's requests reach each worker once.
    report_decay_time: f64,
    median_health_score: f64,
    /// Share of the ready workers that have an open attempt of this front end.
    busy_share: f64,
    /// Mean number of replicas that fit into a worker's memory.
    replicas_per_worker: f64,
    /// The smallest z* of all functions.
    least_z_star: f64,
    /// Service time of each class, in microseconds; the last class stands for unknown classes.
    class_service_times: Vec<f64>,
    /// Running mean of the time from sending an attempt to its answer where no load was needed, in microseconds.
    answer_time: f64,
    /// Cores that this front end's requests keep busy at a worker of full capacity: service time of the requests that
    /// were executed per unit of time.
    work_rate: f64,
    /// Service time of the requests executed since the last survey, in microseconds.
    work_since_survey: f64,
    /// Requests served per second.
    served_rate: f64,
    /// Requests served since the last survey.
    served_since_survey: f64,
    /// Requests in flight that wait for an answer and not for a load.
    backlog: f64,
    /// Exponentially decaying number of requests of each tenant.
    tenant_requests: Vec<f64>,
    /// Number of surveys so far.
    surveys: f64,
}

impl Estimator {
    /// The first estimate of a class's service time is a quarter of its latency objective; an objective longer than
    /// `max_objective` counts as that.
    pub(crate) fn new(settings: &Settings, max_objective: Micros) -> Self {
        let initial = |objective: Micros| objective.min(max_objective) as f64 / 4.0;
        Estimator {
            mean_in_flight: MODERATE_LOAD,
            class_service_times: settings
                .classes
                .iter()
                .map(|class| initial(class.latency_objective))
                .collect(),
            tenant_requests: vec![0.0; settings.tenants.len()],
            ..Estimator::default()
        }
    }

    pub(crate) fn has_load_reports(&self) -> bool {
        self.has_load_reports
    }

    /// Records that a worker reported its requests in flight.
    pub(crate) fn load_report_received(&mut self) {
        self.has_load_reports = true;
    }

    pub(crate) fn mean_in_flight(&self) -> f64 {
        self.mean_in_flight
    }

    pub(crate) fn report_decay_time(&self) -> f64 {
        self.report_decay_time
    }

    pub(crate) fn median_health_score(&self) -> f64 {
        self.median_health_score
    }

    pub(crate) fn least_z_star(&self) -> f64 {
        self.least_z_star
    }

    pub(crate) fn set_least_z_star(&mut self, least_z_star: f64) {
        self.least_z_star = least_z_star;
    }

    pub(crate) fn answer_time(&self) -> f64 {
        self.answer_time
    }

    pub(crate) fn work_rate(&self) -> f64 {
        self.work_rate
    }

    pub(crate) fn served_rate(&self) -> f64 {
        self.served_rate
    }

    pub(crate) fn backlog(&self) -> f64 {
        self.backlog
    }

    pub(crate) fn class_service_time(&self, class: usize) -> f64 {
        self.class_service_times[class]
    }

    /// Service times of the classes in the settings, without the one that stands for unknown classes.
    pub(crate) fn known_class_service_times(&self) -> &[f64] {
        &self.class_service_times[..self.class_service_times.len() - 1]
    }

    /// The theta of docs/design.md for the current load.
    pub(crate) fn theta(&self) -> f64 {
        theta(self.busy_share, self.replicas_per_worker)
    }

    /// Counts a request of a tenant. Returns the tenant, or `None` if the settings do not name it.
    pub(crate) fn count_tenant(&mut self, tenant: Option<usize>) -> Option<usize> {
        let tenant = tenant.filter(|&tenant| tenant < self.tenant_requests.len())?;
        self.tenant_requests[tenant] += 1.0;
        Some(tenant)
    }

    /// Whether a tenant's share of this front end's traffic exceeds its share of all quotas by more than chance
    /// explains. Shares are compared, not rates: front ends get uneven traffic, so a tenant's rate at this one does not
    /// show its rate over all of them.
    pub(crate) fn is_over_quota(&self, settings: &Settings, tenant: usize) -> bool {
        let quotas: f64 = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s.max(0.0))
            .sum();
        let share = settings.tenants[tenant].quota_per_s / quotas;
        let all = self.tenant_requests.iter().sum::<f64>();
        let deviation = (all * share * (1.0 - share)).sqrt();
        share > 0.0 && self.tenant_requests[tenant] > share * all + QUOTA_DEVIATIONS * deviation
    }

    /// Estimated requests in flight at a worker: its last report, decaying to the mean, plus the change in this front
    /// end's open attempts since the report.
    pub(crate) fn in_flight_at(&self, worker: &Worker, now: Micros) -> f64 {
        let own = worker.open_attempts.len() as f64;
        let reported = |report: &LoadReport| {
            let age = now.saturating_sub(report.received_at) as f64;
            let weight = (-age / self.report_decay_time.max(MIN_REPORT_DECAY_TIME)).exp();
            let decayed = self.mean_in_flight + (report.in_flight - self.mean_in_flight) * weight;
            decayed + own - report.own_attempts as f64
        };
        let estimate = worker.load_report.as_ref().map(reported);
        estimate.unwrap_or(self.mean_in_flight).max(own)
    }

    /// Counts a request that was served.
    pub(crate) fn count_served(&mut self) {
        self.served_since_survey += 1.0;
    }

    /// Counts the service time of a request of this class that was executed.
    pub(crate) fn count_work(&mut self, class: usize) {
        self.work_since_survey += self.class_service_times[class];
    }

    /// Records the time of an answer of this class for which no load was needed; `bounded` is that time, limited to a
    /// multiple of the expected time.
    pub(crate) fn record_answer(&mut self, class: usize, elapsed: f64, bounded: f64) {
        self.answer_time += ANSWER_WEIGHT * (elapsed - self.answer_time);
        let mean = &mut self.class_service_times[class];
        *mean += CLASS_SERVICE_WEIGHT * (bounded - *mean);
    }

    /// Updates all estimates with the survey's sample.
    pub(crate) fn update(&mut self, sample: FleetSample, settings: &Settings) {
        let requests = (sample.recent_requests as f64).max(1.0);
        let rate_window = (REQUESTS_PER_RATE / requests * MAX_RATE_WINDOW as f64)
            .clamp(MIN_RATE_WINDOW as f64, MAX_RATE_WINDOW as f64);
        let elapsed = sample.elapsed as f64;
        let weight = (elapsed / rate_window).min(1.0);
        self.update_load(&sample, requests, weight);
        self.update_rates(&sample, requests, weight);
        self.update_replication(&sample, settings);
        self.update_backlog(&sample, rate_window);
        self.update_median_health(sample.health_scores);
    }

    fn update_load(&mut self, sample: &FleetSample, requests: f64, weight: f64) {
        let workers = sample.ready_workers.max(1) as f64;
        let busy_share = sample.busy_workers as f64 / workers;
        self.report_decay_time = (workers / requests * MAX_RATE_WINDOW as f64)
            .clamp(MIN_REPORT_DECAY_TIME, MAX_REPORT_DECAY_TIME);
        self.busy_share += (4.0 * weight).min(1.0) * (busy_share - self.busy_share);
        // Each worker counts once, by its last report: the mean of all reports would be biased to workers that get most
        // requests.
        let reported = &sample.reported_in_flight;
        self.mean_in_flight = if reported.is_empty() {
            MODERATE_LOAD
        } else {
            reported.iter().sum::<f64>() / reported.len() as f64
        };
    }

    fn update_rates(&mut self, sample: &FleetSample, requests: f64, weight: f64) {
        let elapsed = sample.elapsed as f64;
        let work_rate = self.work_since_survey / sample.capacity.max(1.0) / elapsed;
        self.work_rate += weight * (work_rate - self.work_rate);
        // Protects against mistaking rising traffic, or the start, for a queue: a rate that lags behind is too low.
        self.surveys += 1.0;
        let observed = (self.surveys * SURVEY_INTERVAL as f64).min(MAX_RATE_WINDOW as f64);
        let answer_window = (REQUESTS_PER_RATE / requests * observed)
            .clamp(MIN_ANSWER_WINDOW, MAX_RATE_WINDOW as f64);
        let answer_weight = (elapsed / answer_window).min(1.0).max(1.0 / self.surveys);
        let served_rate = self.served_since_survey * SECOND as f64 / elapsed;
        self.served_rate += answer_weight * (served_rate - self.served_rate);
        self.work_since_survey = 0.0;
        self.served_since_survey = 0.0;
        for requests in &mut self.tenant_requests {
            *requests *= 1.0 - weight;
        }
    }

    fn update_replication(&mut self, sample: &FleetSample, settings: &Settings) {
        let kinds = &settings.kind_memory_mb;
        let worker_mb = kinds.iter().sum::<f64>() / kinds.len().max(1) as f64;
        self.replicas_per_worker = worker_mb / sample.mean_replica_mb.max(1.0);
    }

    /// With many requests the backlog is the current count; with few it is a mean over time.
    fn update_backlog(&mut self, sample: &FleetSample, rate_window: f64) {
        let range = (MAX_RATE_WINDOW - MIN_RATE_WINDOW) as f64;
        let scarcity = (rate_window - MIN_RATE_WINDOW as f64) / range;
        let weight = (sample.elapsed as f64 / (rate_window * scarcity).max(1.0)).min(1.0);
        self.backlog += weight * (sample.queued_requests as f64 - self.backlog);
    }

    fn update_median_health(&mut self, mut scores: Vec<f64>) {
        scores.sort_by(f64::total_cmp);
        let median = scores.get(scores.len() / 2).copied().unwrap_or(1.0);
        self.median_health_score = median.max(1.0);
    }
}

/// Whether a load report still counts for the mean.
pub(crate) fn is_report_recent(report: &LoadReport, now: Micros) -> bool {
    now < report.received_at + REPORT_LIFETIME
}

/// The time until which a request counts as queued.
pub(crate) fn queued_until(arrived_at: Micros, latency_objective: Micros) -> Micros {
    arrived_at + QUEUED_OBJECTIVE_MULTIPLE * latency_objective
}
