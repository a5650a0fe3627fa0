//! Which workers may be sent a request: by rules 2, 3 and 4 (listed in the crate's documentation), by ejection, and by
//! what happened to the request and others like it at the worker before.
use crate::index::{FunctionIndex, WorkerIndex};
use crate::placement::Placement;
use crate::request::Request;
use crate::retry::may_retry_at;
use crate::settings::Idempotency;
use crate::state::State;
use crate::types::Micros;

/// A worker is overloaded if `in_flight * score > mean_in_flight * mean_multiple + extra_requests`, where `in_flight`
/// is its estimated number of requests in flight, `score` its health score, and `mean_in_flight` the mean number of
/// requests in flight at all workers.
struct OverloadBound {
    mean_multiple: f64,
    extra_requests: f64,
}

/// The bound for a single front end and in a large fleet.
const OVERLOADED: OverloadBound = OverloadBound {
    mean_multiple: 1.25,
    extra_requests: 0.75,
};
/// The bound in a small fleet. Each front end sees most of a worker's requests itself there, so it can skip workers
/// above the mean, where requests would queue and be late.
const OVERLOADED_IN_SMALL_FLEET: OverloadBound = OverloadBound {
    mean_multiple: 1.0,
    extra_requests: 0.25,
};

impl State {
    /// Whether a worker may be sent a request of this class now. Rule 3: a draining worker gets no new work from the
    /// moment of the notification. Rule 4: a worker in slow start gets only what its token bucket allows. An ejected
    /// worker gets only trial requests: idempotent ones, one at a time.
    pub(crate) fn is_usable(&self, index: WorkerIndex, class: usize, now: Micros) -> bool {
        let worker = &self.workers[index];
        let in_slow_start = self.capacity_share(index, now).is_some();
        if in_slow_start && !worker.slow_start.admits(now, self.request_weight(class)) {
            return false;
        }
        let is_idempotent = self.class(class).idempotency == Idempotency::Idempotent;
        let may_get_trial = is_idempotent
            && !worker.health.is_unreachable()
            && !self.is_zone_down(index)
            && worker.open_attempts.is_empty()
            && worker.health.is_trial_due(now);
        worker.is_ready() && (!self.is_ejected(index) || may_get_trial)
    }

    /// Whether a worker is ejected, because of its own health or because its zone is down.
    pub(crate) fn is_ejected(&self, worker: WorkerIndex) -> bool {
        !self.ejection_suspended
            && (self.workers[worker].health.is_ejected() || self.is_zone_down(worker))
    }

    fn is_zone_down(&self, worker: WorkerIndex) -> bool {
        self.zones.is_down(self.workers[worker].endpoint.zone)
    }

    /// Whether a worker has more requests in flight, weighted with its health score, than its [`OverloadBound`] allows.
    /// Guards against piling up requests on a worker that other front ends fill or that is slow.
    pub(crate) fn is_overloaded(&self, index: WorkerIndex, now: Micros) -> bool {
        let bound = if self.is_small_shared_fleet() {
            OVERLOADED_IN_SMALL_FLEET
        } else {
            OVERLOADED
        };
        let worker = &self.workers[index];
        let load = self.estimator.in_flight_at(worker, now) * worker.health.score();
        load > self.estimator.mean_in_flight() * bound.mean_multiple + bound.extra_requests
    }

    /// Whether a request may go to a worker, by what happened to it and others like it there. Rule 2 is enforced by
    /// [`may_retry_at`]. A request is not sent to a worker again where it is in flight or may have been executed.
    pub(crate) fn may_go_to(&self, request: &Request, index: WorkerIndex, now: Micros) -> bool {
        let worker = &self.workers[index];
        let rejects = worker
            .rejections
            .apply_to(request.tenant, request.class, now);
        if rejects || request.has_tried(index) {
            return false;
        }
        let placement = Placement::of(&worker.endpoint);
        may_retry_at(request, self.class(request.class), placement, now)
    }

    /// The usable workers that have a replica of the function with a free slot and are not overloaded.
    pub(crate) fn free_workers(&self, index: FunctionIndex, now: Micros) -> Vec<WorkerIndex> {
        let function = &self.functions[index];
        let is_free = |worker: WorkerIndex| {
            self.is_usable(worker, function.class, now) && !self.is_overloaded(worker, now)
        };
        function
            .replicas
            .iter()
            .filter(|(_, replica)| {
                replica.is_loaded(now) && replica.has_free_slot(now, function.concurrency)
            })
            .map(|(&worker, _)| worker)
            .filter(|&worker| is_free(worker))
            .collect()
    }

    /// The free workers of the function that a request may go to.
    pub(crate) fn free_workers_for(&self, request: &Request, now: Micros) -> Vec<WorkerIndex> {
        let mut free = self.free_workers(request.function, now);
        free.retain(|&worker| self.may_go_to(request, worker, now));
        free
    }
}
