//! Admission: which requests are rejected at their arrival, with Retry-After, rather than queued to death.
use crate::estimator::MODERATE_LOAD;
use crate::index::FunctionIndex;
use crate::state::State;
use crate::types::{Micros, RequestId, SECOND};

/// Multiples of the mean latency objective beyond which the time from send to answer sheds load: traffic beyond a
/// quota, the class of least weight a unit of time, and the class of most.
const SHED_OVER_QUOTA: f64 = 0.6;
const SHED_LEAST_WEIGHT: f64 = 0.8;
const SHED_MOST_WEIGHT: f64 = 1.3;
/// The most that the time of those to come is taken for, as a multiple of the time that answers take.
const MOST_WAIT: f64 = 2.0;
/// Weights that differ by less than this factor count as alike.
const LIKE_WEIGHT: f64 = 1.2;
/// Ticks after the start before which the pace is not known.
const WARM_UP_TICKS: u32 = 100;
/// The least rate of answers, a second: it divides.
const LEAST_SERVED_RATE: f64 = 0.1;

/// What admission looks at.
pub(crate) struct Arrival {
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) function: FunctionIndex,
    /// Time until the client gives up.
    pub(crate) time_left: Micros,
}

impl State {
    /// Guards against queueing to death: what is in flight now takes longer than the latency objectives at the pace of
    /// late. What weighs least is shed first: traffic beyond a tenant's quota, then the class of least weight a unit of
    /// time. Not acted on while little is in flight or the pace is not known yet.
    pub(crate) fn is_shed(&self, arrival: &Arrival) -> bool {
        if self.load_per_worker() < MODERATE_LOAD || self.ticks < WARM_UP_TICKS {
            return false;
        }
        // What waits for loads is in flight too, but is no queue: answers of requests that found a replica tell.
        let pace = self.estimator.served_rate().max(LEAST_SERVED_RATE);
        let wait = (self.estimator.backlog() / pace * SECOND as f64)
            .min(MOST_WAIT * self.estimator.answer_time());
        // Its client leaves first: work for nothing.
        let is_too_late =
            (arrival.time_left as f64) < self.functions[arrival.function].service_time;
        is_too_late || wait > self.shedding_bound(arrival) * self.mean_latency_objective()
    }

    /// Requests in flight at a worker: by the workers' reports, which tell of all front ends; else all front ends are
    /// taken to have as many as this one.
    fn load_per_worker(&self) -> f64 {
        if self.estimator.has_load_reports() {
            return self.estimator.mean_in_flight();
        }
        let front_ends = f64::from(self.settings.front_ends.max(1));
        let workers = self.workers.ready_count().max(1) as f64;
        self.estimator.backlog() * front_ends / workers
    }

    /// The multiple of the mean latency objective beyond which the request is shed.
    fn shedding_bound(&self, arrival: &Arrival) -> f64 {
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
            .filter(|&class| weight_of(class) < own_weight / LIKE_WEIGHT)
            .count();
        let rank = lighter as f64 / (classes as f64 - 1.0).max(1.0);
        SHED_LEAST_WEIGHT + (SHED_MOST_WEIGHT - SHED_LEAST_WEIGHT) * rank
    }

    /// Whether a request's client leaves before an answer is likely, in a large fleet: less is left than answers of its
    /// class take. A function whose requests were in time all the same has its requests sent for as long as they are.
    /// In a small fleet a front end sees for itself whether workers are overloaded; where they are not, an attempt costs
    /// nobody.
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
