//! Running estimates of the workers' load, of service times and of rates. Nothing is decided here.
use crate::settings::Settings;
use crate::types::{Micros, MILLISECOND, SECOND};
use crate::virtual_loss::theta;
use crate::worker::{LoadReport, Worker};

/// Period of the survey, which walks all workers and functions.
pub(crate) const SURVEY_INTERVAL: Micros = 100 * MILLISECOND;
/// Bounds of the span that rates are taken over.
const MIN_RATE_WINDOW: Micros = 2 * SECOND;
pub(crate) const MAX_RATE_WINDOW: Micros = 8 * SECOND;
/// The shortest span for the rate of answers, in microseconds.
const SHORTEST_ANSWER_SPAN: f64 = 0.5 * SECOND as f64;
/// Rates are taken over so many requests, within these bounds: fewer are noise.
const REQUESTS_PER_RATE: f64 = 30.0;
/// Bounds of the time constant with which a load report fades to the mean: this front end's requests come round to
/// each worker about once in it.
pub(crate) const MIN_REPORT_DECAY_TIME: f64 = 2.0 * SECOND as f64;
const MAX_REPORT_DECAY_TIME: f64 = 15.0 * SECOND as f64;
/// The mean in flight takes in last reports for so long: few requests, many workers.
const REPORT_LIFETIME: Micros = 20 * SECOND;
/// Weight of an answer in the time that answers take of late.
const ANSWER_WEIGHT: f64 = 0.05;
/// Weight of an answer in the service time of its class.
const CLASS_SERVICE_WEIGHT: f64 = 0.05;
/// Requests in flight at each worker, of all front ends, below which nothing is rejected: about one a core. The mean
/// where nothing is known.
pub(crate) const MODERATE_LOAD: f64 = 4.0;
/// Times the class's latency objective that a request counts as in the queue.
const QUEUED_OBJECTIVES: Micros = 2;
/// Standard deviations by which a tenant's part must exceed its quota: chance alone makes differences.
const QUOTA_DEVIATIONS: f64 = 2.0;

/// What the survey sees.
pub(crate) struct FleetSample {
    /// Time since the survey before.
    pub(crate) elapsed: Micros,
    pub(crate) ready_workers: usize,
    /// Ready workers with an attempt of this front end.
    pub(crate) busy_workers: usize,
    /// Requests that counted for the load budget within [`MAX_RATE_WINDOW`].
    pub(crate) recent_requests: usize,
    /// The requests in flight at each ready worker that has reported them recently.
    pub(crate) reported_in_flight: Vec<f64>,
    /// Capacity of all ready workers, in warm workers.
    pub(crate) capacity: f64,
    /// Memory of one replica, mean of all known functions, in MB.
    pub(crate) mean_replica_mb: f64,
    /// Requests that wait for an answer with no load in the way, and have not waited for long.
    pub(crate) queued_requests: usize,
    /// Health scores of all ready workers.
    pub(crate) health_scores: Vec<f64>,
}

/// How a function is spread and used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FunctionLoad {
    /// Ready workers that have it loaded.
    pub(crate) loaded: usize,
    /// This front end's requests in flight for it.
    pub(crate) in_flight: f64,
}

impl FunctionLoad {
    /// The design's z* of the function.
    pub(crate) fn z_star(&self, theta: f64) -> f64 {
        (self.loaded as f64 - self.in_flight) / theta
    }
}

/// The estimates of one front end.
#[derive(Debug, Default)]
pub(crate) struct Estimator {
    /// Whether workers report what they have in flight.
    has_load_reports: bool,
    /// Requests in flight at a worker, mean of all.
    mean_in_flight: f64,
    /// Time constant with which a load report fades to the mean.
    report_decay_time: f64,
    median_health_score: f64,
    /// Share of the ready workers that have an attempt of this front end.
    busy_share: f64,
    /// Replicas that a worker's memory holds.
    instances_per_worker: f64,
    /// The smallest z* of all functions.
    least_z_star: f64,
    /// Service time of each class, in microseconds; the last class stands for those not known.
    class_service_times: Vec<f64>,
    /// Time that answers take of late where no load is in the way.
    answer_time: f64,
    /// Work done for each microsecond and warm worker, in microseconds.
    work_rate: f64,
    work_since_survey: f64,
    /// Answers a second.
    served_rate: f64,
    served_since_survey: f64,
    /// Requests in flight that wait for an answer and not for a load.
    backlog: f64,
    /// Recent requests of each tenant.
    tenant_requests: Vec<f64>,
    surveys: f64,
}

impl Estimator {
    /// `unknown_objective` is the service time's starting point for classes with a longer latency objective.
    pub(crate) fn new(settings: &Settings, unknown_objective: Micros) -> Self {
        let initial = |objective: Micros| objective.min(unknown_objective) as f64 / 4.0;
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

    /// A worker reported what it has in flight.
    pub(crate) fn load_report_came(&mut self) {
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

    /// Service times of the classes that the settings name.
    pub(crate) fn known_class_service_times(&self) -> &[f64] {
        &self.class_service_times[..self.class_service_times.len() - 1]
    }

    /// The design's theta by the present load.
    pub(crate) fn theta(&self) -> f64 {
        theta(self.busy_share, self.instances_per_worker)
    }

    /// The tenant's position, if the settings name it; its request is counted.
    pub(crate) fn count_tenant(&mut self, tenant: Option<usize>) -> Option<usize> {
        let tenant = tenant.filter(|&tenant| tenant < self.tenant_requests.len())?;
        self.tenant_requests[tenant] += 1.0;
        Some(tenant)
    }

    /// Whether a tenant has more of this front end's traffic than its part of the quotas, by more than chance would
    /// give: front ends carry uneven traffic, so its rate here tells nothing of its rate at all of them.
    pub(crate) fn is_over_quota(&self, settings: &Settings, tenant: usize) -> bool {
        let quotas: f64 = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s.max(0.0))
            .sum();
        let part = settings.tenants[tenant].quota_per_s / quotas;
        let all = self.tenant_requests.iter().sum::<f64>();
        let deviation = (all * part * (1.0 - part)).sqrt();
        part > 0.0 && self.tenant_requests[tenant] > part * all + QUOTA_DEVIATIONS * deviation
    }

    /// Requests in flight at a worker: its last report, fading to the mean, and this front end's since.
    pub(crate) fn in_flight_at(&self, worker: &Worker, now: Micros) -> f64 {
        let own = worker.open_attempts.len() as f64;
        let reported = |report: &LoadReport| {
            let age = now.saturating_sub(report.received_at) as f64;
            let weight = (-age / self.report_decay_time.max(MIN_REPORT_DECAY_TIME)).exp();
            let faded = self.mean_in_flight + (report.in_flight - self.mean_in_flight) * weight;
            faded + own - report.own_attempts as f64
        };
        let estimate = worker.load_report.as_ref().map(reported);
        estimate.unwrap_or(self.mean_in_flight).max(own)
    }

    /// A request was served.
    pub(crate) fn count_served(&mut self) {
        self.served_since_survey += 1.0;
    }

    /// A request of this class was executed.
    pub(crate) fn count_work(&mut self, class: usize) {
        self.work_since_survey += self.class_service_times[class];
    }

    /// An answer of this class came with no load in the way; `bounded` is its time without the part that is out of
    /// proportion.
    pub(crate) fn record_answer(&mut self, class: usize, elapsed: f64, bounded: f64) {
        self.answer_time += ANSWER_WEIGHT * (elapsed - self.answer_time);
        let mean = &mut self.class_service_times[class];
        *mean += CLASS_SERVICE_WEIGHT * (bounded - *mean);
    }

    /// Takes the survey's sample into all estimates.
    pub(crate) fn update(&mut self, sample: FleetSample, settings: &Settings) {
        let requests = (sample.recent_requests as f64).max(1.0);
        let rate_span = (REQUESTS_PER_RATE / requests * MAX_RATE_WINDOW as f64)
            .clamp(MIN_RATE_WINDOW as f64, MAX_RATE_WINDOW as f64);
        let elapsed = sample.elapsed as f64;
        let part = (elapsed / rate_span).min(1.0);
        self.update_load(&sample, requests, part);
        self.update_rates(&sample, requests, part);
        self.update_replication(&sample, settings);
        self.update_backlog(&sample, rate_span);
        self.update_median_health(sample.health_scores);
    }

    fn update_load(&mut self, sample: &FleetSample, requests: f64, part: f64) {
        let workers = sample.ready_workers.max(1) as f64;
        let busy_share = sample.busy_workers as f64 / workers;
        self.report_decay_time = (workers / requests * MAX_RATE_WINDOW as f64)
            .clamp(MIN_REPORT_DECAY_TIME, MAX_REPORT_DECAY_TIME);
        self.busy_share += (4.0 * part).min(1.0) * (busy_share - self.busy_share);
        // Each worker counts once, by its last report: a mean of reports would follow where most requests go.
        let reported = &sample.reported_in_flight;
        self.mean_in_flight = if reported.is_empty() {
            MODERATE_LOAD
        } else {
            reported.iter().sum::<f64>() / reported.len() as f64
        };
    }

    fn update_rates(&mut self, sample: &FleetSample, requests: f64, part: f64) {
        let elapsed = sample.elapsed as f64;
        let work_rate = self.work_since_survey / sample.capacity.max(1.0) / elapsed;
        self.work_rate += part * (work_rate - self.work_rate);
        // Guards against taking a rise in traffic, or the start, for a queue: a rate that lags is too low.
        self.surveys += 1.0;
        let observed = (self.surveys * SURVEY_INTERVAL as f64).min(MAX_RATE_WINDOW as f64);
        let answer_span = (REQUESTS_PER_RATE / requests * observed)
            .clamp(SHORTEST_ANSWER_SPAN, MAX_RATE_WINDOW as f64);
        let answer_part = (elapsed / answer_span).min(1.0).max(1.0 / self.surveys);
        let served_rate = self.served_since_survey * SECOND as f64 / elapsed;
        self.served_rate += answer_part * (served_rate - self.served_rate);
        self.work_since_survey = 0.0;
        self.served_since_survey = 0.0;
        for requests in &mut self.tenant_requests {
            *requests *= 1.0 - part;
        }
    }

    fn update_replication(&mut self, sample: &FleetSample, settings: &Settings) {
        let kinds = &settings.kind_memory_mb;
        let worker_mb = kinds.iter().sum::<f64>() / kinds.len().max(1) as f64;
        self.instances_per_worker = worker_mb / sample.mean_replica_mb.max(1.0);
    }

    /// What is in flight is a count where requests are many; where they are few it is a mean over time.
    fn update_backlog(&mut self, sample: &FleetSample, rate_span: f64) {
        let range = (MAX_RATE_WINDOW - MIN_RATE_WINDOW) as f64;
        let fewness = (rate_span - MIN_RATE_WINDOW as f64) / range;
        let part = (sample.elapsed as f64 / (rate_span * fewness).max(1.0)).min(1.0);
        self.backlog += part * (sample.queued_requests as f64 - self.backlog);
    }

    fn update_median_health(&mut self, mut scores: Vec<f64>) {
        scores.sort_by(f64::total_cmp);
        let median = scores.get(scores.len() / 2).copied().unwrap_or(1.0);
        self.median_health_score = median.max(1.0);
    }
}

/// Whether a load report counts for the mean.
pub(crate) fn is_report_recent(report: &LoadReport, now: Micros) -> bool {
    now < report.received_at + REPORT_LIFETIME
}

/// Until when a request that arrived then counts as queued.
pub(crate) fn queued_until(arrived_at: Micros, latency_objective: Micros) -> Micros {
    arrived_at + QUEUED_OBJECTIVES * latency_objective
}
