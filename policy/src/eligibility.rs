//! Which workers may be sent a request: rules 3 and 4, ejected workers, and what a request has met there before.
use crate::index::{FunctionIndex, WorkerIndex};
use crate::placement::Placement;
use crate::request::Request;
use crate::retry::may_retry_at;
use crate::settings::Idempotency;
use crate::state::State;
use crate::types::Micros;

/// A worker is overloaded beyond this multiple of the mean in flight, and so many requests more.
struct OverloadBound {
    multiple: f64,
    requests: f64,
}

const OVERLOADED: OverloadBound = OverloadBound {
    multiple: 1.25,
    requests: 0.75,
};
/// A few front ends see most of what a worker has in flight themselves: there a worker with more than the mean is
/// passed over, as requests in line come late.
const OVERLOADED_IN_SMALL_FLEET: OverloadBound = OverloadBound {
    multiple: 1.0,
    requests: 0.25,
};

impl State {
    /// Whether a worker may be sent a request of this class now. Rule 3: drains are kept from the moment of the
    /// notification. Rule 4: a worker in slow start gets only what its budget allows. Ejected workers only get trial
    /// requests.
    pub(crate) fn is_usable(&self, index: WorkerIndex, class: usize, now: Micros) -> bool {
        let worker = &self.workers[index];
        let in_slow_start = self.capacity_share(index, now).is_some();
        if in_slow_start && !worker.slow_start.admits(now, self.request_weight(class)) {
            return false;
        }
        let is_idempotent = self.class(class).idempotency == Idempotency::Idempotent;
        let takes_trial = is_idempotent
            && !worker.health.is_unreachable()
            && !self.is_zone_lost(index)
            && worker.open_attempts.is_empty()
            && worker.health.is_trial_due(now);
        worker.is_ready() && (!self.is_ejected(index) || takes_trial)
    }

    /// Whether a worker is left out of the choice, for what it did or for its zone's loss.
    pub(crate) fn is_ejected(&self, worker: WorkerIndex) -> bool {
        !self.ejection_suspended
            && (self.workers[worker].health.is_ejected() || self.is_zone_lost(worker))
    }

    fn is_zone_lost(&self, worker: WorkerIndex) -> bool {
        self.zones.is_down(self.workers[worker].endpoint.zone)
    }

    /// Guards against piling up on a worker that others fill or that is weak: it has more in flight than the mean.
    pub(crate) fn is_overloaded(&self, index: WorkerIndex, now: Micros) -> bool {
        let bound = if self.is_small_shared_fleet() {
            OVERLOADED_IN_SMALL_FLEET
        } else {
            OVERLOADED
        };
        let worker = &self.workers[index];
        let load = self.estimator.in_flight_at(worker, now) * worker.health.score();
        load > self.estimator.mean_in_flight() * bound.multiple + bound.requests
    }

    /// Whether a request may go to a worker, by what it and others like it have met there. Rule 2 is kept by
    /// [`may_retry_at`]. Nothing goes back to where it failed.
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

    /// The workers with a replica of the function that can run a request at once.
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
