//! Admission: which requests are rejected with Retry-After at their arrival, because they would only wait in a queue
//! until their clients give up.
use crate::estimator::MODERATE_LOAD;
use crate::index::FunctionIndex;
use crate::state::State;
use crate::types::{Micros, RequestId, SECOND};

/// Requests of a tenant beyond its quota are shed when the estimated wait for an answer exceeds this multiple of the
/// mean latency objective.
const SHED_OVER_QUOTA: f64 = 0.6;
/// Requests of the class with the lowest priority weight per service time are shed when the estimated wait for an
/// answer exceeds this multiple of the mean latency objective.
const SHED_LOWEST_PRIORITY: f64 = 0.8;
/// Requests of the class with the highest priority weight per service time are shed when the estimated wait for an
/// answer exceeds this multiple of the mean latency objective.
const SHED_HIGHEST_PRIORITY: f64 = 1.3;
/// Maximum of the estimated wait of new requests, as a multiple of the time that answers take now.
const MAX_WAIT_MULTIPLE: f64 = 2.0;
/// Priority weights per service time that differ by less than this factor count as equal.
const EQUAL_WEIGHT_FACTOR: f64 = 1.2;
/// Ticks after the start before the rate of answers is known well enough to shed load.
const WARM_UP_TICKS: u32 = 100;
/// Lower bound of the rate of answers, per second, where it is a divisor.
const MIN_SERVED_RATE: f64 = 0.1;

/// The properties of a new request that admission depends on.
pub(crate) struct Arrival {
    pub(crate) class: usize,
    /// `None` where the client names none, or one that the settings do not have.
    pub(crate) tenant: Option<usize>,
    pub(crate) function: FunctionIndex,
    /// Time until the client gives up.
    pub(crate) time_left: Micros,
}

impl State {
    /// Whether a new request is shed because the requests in flight take too long relative to the latency objectives,
    /// at the recent rate of answers. Lower priorities are shed first: requests beyond a tenant's quota, then the
    /// classes by priority weight per service time. Nothing is shed while few requests are in flight or the rate is not
    /// known yet.
    pub(crate) fn is_shed(&self, arrival: &Arrival) -> bool {
        if self.load_per_worker() < MODERATE_LOAD || self.ticks < WARM_UP_TICKS {
            return false;
        }
        // Requests that wait for loads are in flight too but form no queue, so only requests that found a replica
        // count.
        let served_rate = self.estimator.served_rate().max(MIN_SERVED_RATE);
        let wait = (self.estimator.backlog() / served_rate * SECOND as f64)
            .min(MAX_WAIT_MULTIPLE * self.estimator.answer_time());
        // The client would give up before the answer, and the work would be wasted.
        let would_be_late =
            (arrival.time_left as f64) < self.functions[arrival.function].service_time;
        would_be_late || wait > self.shedding_threshold(arrival) * self.mean_latency_objective()
    }

    /// Mean requests of all front ends in flight at a worker: by the workers' load reports if there are any, else as if
    /// each front end had as many as this one.
    fn load_per_worker(&self) -> f64 {
        if self.estimator.has_load_reports() {
            return self.estimator.mean_in_flight();
        }
        let front_ends = f64::from(self.settings.front_ends.max(1));
        let workers = self.workers.ready_count().max(1) as f64;
        self.estimator.backlog() * front_ends / workers
    }

    /// The multiple of the mean latency objective that the wait must exceed for the request to be shed.
    fn shedding_threshold(&self, arrival: &Arrival) -> f64 {
        let is_over_quota = arrival
            .tenant
            .is_some_and(|tenant| self.estimator.is_over_quota(&self.settings, tenant));
        if is_over_quota {
            return SHED_OVER_QUOTA;
        }
        let weight_of = |class: usize| {
            self.class(class).priority_weight / self.estimator.class_service_time(class)
        };
        let own_weight = weight_of(arrival.class);
        let classes = self.known_classes().len();
        let lighter = (0..classes)
            .filter(|&class| weight_of(class) < own_weight / EQUAL_WEIGHT_FACTOR)
            .count();
        let rank = lighter as f64 / (classes as f64 - 1.0).max(1.0);
        SHED_LOWEST_PRIORITY + (SHED_HIGHEST_PRIORITY - SHED_LOWEST_PRIORITY) * rank
    }

    /// Whether, in a large fleet, the client is likely to give up before an answer: it waits for less than the mean
    /// time that answers of its class take. False all the same while the function's recent requests of this kind were
    /// answered in time (it is faster than its class), and for a few others, which are sent as trials. In a small fleet
    /// it is always false: there each front end sees for itself whether workers are overloaded, and where they are not,
    /// an attempt that is too late does no harm to other requests.
    pub(crate) fn is_deadline_unreachable(
        &mut self,
        id: RequestId,
        time_left: Micros,
        now: Micros,
    ) -> bool {
        let is_large_fleet = self.is_large_fleet();
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let answer_times = &mut self.answer_times[request.class];
        if !is_large_fleet || !answer_times.exceed(time_left, now) {
            return false;
        }
        let is_fast = self.functions[request.function].is_faster_than_its_class();
        request.speculative = is_fast || answer_times.try_trial(now);
        !request.speculative
    }
}
