//! Replication as docs/design.md describes it: each loss, real or virtual, adds a replica of the function at a worker
//! where the least recently lost function has an idle replica.
//!
//! A loss is a request that finds no free replica. A virtual loss is drawn at random when a request arrives, so that
//! replicas are added before they run out.
use crate::action::Action;
use crate::function::EXTRA_REPLICAS_PER_REQUEST;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::load_budget::LoadPurpose;
use crate::replica::ReplicaState;
use crate::request::Request;
use crate::state::State;
use crate::types::{Micros, RequestId};
use crate::virtual_loss::{has_virtual_losses, virtual_loss_chance};

/// Maximum loads that this front end has pending at one worker: a worker runs few loads at a time, and other front
/// ends order some too.
const MAX_LOADS_PER_WORKER: u32 = 2;
/// Maximum loads that this front end has pending at a worker whose last load was recent and slow.
const MAX_LOADS_PER_SLOW_WORKER: u32 = 1;
/// Maximum replicas of a function that are ordered at one worker.
const MAX_REPLICAS_PER_WORKER: u32 = 16;
/// Share of a worker's memory that the replicas known to this front end may take before idle ones are unloaded for a
/// new one.
const USABLE_MEMORY_SHARE: f64 = 0.65;

impl State {
    /// Draws whether an arrival is a virtual loss by the design (docs/design.md). Where theta >= 1, D > 0 and z* >= 1,
    /// the probability is (min z*/z*) 1(Z <= z*) q(Z): D workers have the function loaded, and Z of them have a free
    /// replica.
    pub(crate) fn draw_virtual_loss(&mut self, index: FunctionIndex, now: Micros) -> bool {
        let theta = self.estimator.theta();
        let load = self.function_load(&self.functions[index], now);
        let z_star = load.z_star(theta);
        if !has_virtual_losses(load.loaded, theta, z_star) {
            return false;
        }
        let least_z_star = self.estimator.least_z_star().min(z_star);
        let free = self.free_workers(index, now).len();
        let chance = virtual_loss_chance(
            load.loaded,
            free,
            load.in_flight,
            theta,
            z_star,
            least_z_star,
        );
        match chance {
            Some(chance) => self.random.chance(chance),
            None => false,
        }
    }

    /// Responds to a loss by ordering one more replica, unless a limit or budget on loads is reached, there are enough
    /// replicas, or one is being loaded already and no request waits. `lost` is the request that was lost; `None` for a
    /// virtual loss. Returns whether a load was ordered.
    pub(crate) fn add_replica(
        &mut self,
        index: FunctionIndex,
        now: Micros,
        lost: Option<RequestId>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.may_add_replica(index, now, lost) {
            return false;
        }
        let Some(worker) = self.worker_for_replica(index, now, lost) else {
            return false;
        };
        self.free_memory(index, worker, now, actions);
        let replica = self.replica_mut(index, worker);
        let replicas = if replica.is_loaded(now) {
            replica
                .count()
                .saturating_add(1)
                .min(MAX_REPLICAS_PER_WORKER)
        } else {
            1
        };
        self.order_load(index, worker, replicas, now, actions);
        true
    }

    fn may_add_replica(
        &mut self,
        index: FunctionIndex,
        now: Micros,
        lost: Option<RequestId>,
    ) -> bool {
        let is_virtual = lost.is_none();
        let is_admitted = if is_virtual {
            self.load_limiter.admits_proactive()
        } else {
            self.load_limiter.admits()
        };
        let function = &self.functions[index];
        let is_pending = function
            .replicas
            .values()
            .any(|replica| replica.is_load_ordered() || replica.is_loading_for_attempts());
        let is_needed = !is_pending || !function.waiting.is_empty();
        if !self.settings.load_orders
            || !is_admitted
            || self.has_enough_replicas(index, now)
            || !is_needed
        {
            return false;
        }
        let purpose = if is_virtual {
            LoadPurpose::Proactive
        } else {
            LoadPurpose::Needed
        };
        !self.load_budget.is_exhausted(now, purpose)
    }

    /// Exception to the design while several front ends share the workers: each responds to the same losses, and
    /// together they would load more replicas than memory holds and unload each other's. The number of replicas known
    /// here is therefore bounded by the expected requests in flight of all front ends.
    fn has_enough_replicas(&self, index: FunctionIndex, now: Micros) -> bool {
        if !self.is_shared() {
            return false;
        }
        let function = &self.functions[index];
        let loaded = self.function_load(function, now).loaded as f64;
        let in_flight = self.fleet_calls(index, function.service_time);
        loaded >= 1.0 + (EXTRA_REPLICAS_PER_REQUEST * in_flight).round()
    }

    /// The worker for a new replica: a random one at which the least recently lost function has an idle replica, else a
    /// random candidate. While front ends share the workers, the first suitable one in rendezvous order.
    pub(crate) fn worker_for_replica(
        &mut self,
        index: FunctionIndex,
        now: Micros,
        lost: Option<RequestId>,
    ) -> Option<WorkerIndex> {
        let preferred = self.preferred_workers(index);
        let candidates = self.replica_candidates(index, &preferred, now, lost);
        if self.is_shared() {
            self.preferred_candidate(index, &candidates, now)
        } else {
            self.least_recently_lost_candidate(index, &candidates, now)
        }
    }

    /// The workers that can take a new replica, in rendezvous order: those that have none of the function and are not
    /// overloaded; if there are none, also the others.
    fn replica_candidates(
        &self,
        index: FunctionIndex,
        preferred: &[WorkerIndex],
        now: Micros,
        lost: Option<RequestId>,
    ) -> Vec<WorkerIndex> {
        let request = lost.and_then(|id| self.requests.get(id));
        let without_replica = |&worker: &WorkerIndex| {
            let is_loaded = self
                .replica(index, worker)
                .is_some_and(|replica| replica.is_loaded(now));
            self.takes_replica(index, worker, request, now)
                && !is_loaded
                && !self.is_overloaded(worker, now)
        };
        let candidates: Vec<WorkerIndex> =
            preferred.iter().copied().filter(without_replica).collect();
        if !candidates.is_empty() {
            return candidates;
        }
        preferred
            .iter()
            .copied()
            .filter(|&worker| self.takes_replica(index, worker, request, now))
            .collect()
    }

    /// Whether a worker may be ordered to load the function and, if a request was lost, may be sent that request.
    fn takes_replica(
        &self,
        index: FunctionIndex,
        worker: WorkerIndex,
        request: Option<&Request>,
        now: Micros,
    ) -> bool {
        let is_ordered = self
            .replica(index, worker)
            .is_some_and(|replica| replica.is_load_ordered());
        let known = &self.workers[worker];
        let loads_slowly = known.last_load.is_recent(now) && known.last_load.is_slow();
        let most_loads = if loads_slowly {
            MAX_LOADS_PER_SLOW_WORKER
        } else {
            MAX_LOADS_PER_WORKER
        };
        !is_ordered
            && self.is_usable(worker, self.functions[index].class, now)
            && !self.is_ejected(worker)
            && known.pending_loads < most_loads
            && now >= known.no_memory_until
            && request.is_none_or(|request| self.may_go_to(request, worker, now))
    }

    /// Exception to the design while several front ends share the workers: with independent random choices each would
    /// load replicas of its own. Instead, all of them follow the rendezvous order and take the first worker that has
    /// enough memory or an idle replica of a function lost less recently than this one.
    fn preferred_candidate(
        &self,
        index: FunctionIndex,
        candidates: &[WorkerIndex],
        now: Micros,
    ) -> Option<WorkerIndex> {
        let first = candidates.first().copied();
        if self.is_large_fleet() {
            return first;
        }
        candidates
            .iter()
            .copied()
            .find(|&worker| {
                self.memory_left(index, worker, now) >= 0.0
                    || self.has_idle_replica_to_replace(index, worker, now)
            })
            .or(first)
    }

    fn has_idle_replica_to_replace(
        &self,
        index: FunctionIndex,
        worker: WorkerIndex,
        now: Micros,
    ) -> bool {
        let last_loss = self.functions[index].last_loss;
        self.workers[worker].functions.iter().any(|&other| {
            let is_idle = |function| {
                self.replica(function, worker)
                    .is_some_and(|replica| replica.is_idle(now))
            };
            self.functions[other].last_loss < last_loss && is_idle(other)
        })
    }

    /// The worker for a new replica by the design (docs/design.md): a random candidate at which the least recently lost
    /// function has an idle replica; if no function has one, any random candidate. An idle replica that was chosen for
    /// replacement before is not chosen again until its function is used there, as if it had been evicted.
    fn least_recently_lost_candidate(
        &mut self,
        index: FunctionIndex,
        candidates: &[WorkerIndex],
        now: Micros,
    ) -> Option<WorkerIndex> {
        let is_replaceable =
            |replica: &ReplicaState| replica.is_idle(now) && !replica.is_marked_for_replacement();
        let has_replaceable = |&other: &FunctionIndex| {
            let replicas = &self.functions[other].replicas;
            other != index
                && replicas
                    .iter()
                    .any(|(worker, replica)| is_replaceable(replica) && candidates.contains(worker))
        };
        let order = |other: FunctionIndex| (self.functions[other].last_loss, other);
        let least_recently_lost = self
            .functions
            .indexes()
            .filter(has_replaceable)
            .min_by_key(|&other| order(other));
        let passed_over = self.functions.indexes().filter(|&other| {
            other != index && least_recently_lost.is_none_or(|found| order(other) < order(found))
        });
        // One draw for each, so that the sequence of draws does not depend on how the function is searched for.
        self.random.discard(passed_over.count());
        let Some(other) = least_recently_lost else {
            return self.random.pick(candidates);
        };
        let at: Vec<WorkerIndex> = candidates
            .iter()
            .copied()
            .filter(|&worker| self.replica(other, worker).is_some_and(is_replaceable))
            .collect();
        let worker = self.random.pick(&at)?;
        if let Some(replica) = self.functions[other].replicas.get_mut(&worker) {
            replica.mark_for_replacement();
        }
        Some(worker)
    }

    /// Usable memory in MB that would be left at a worker with one more replica, as far as this front end knows;
    /// negative if it does not suffice, and 0 if the worker's memory is not known.
    fn memory_left(&self, index: FunctionIndex, worker: WorkerIndex, now: Micros) -> f64 {
        let kind = self.workers[worker].endpoint.kind;
        let memory_mb = self.settings.kind_memory_mb.get(kind).copied();
        let memory_mb = memory_mb.unwrap_or(0.0);
        if memory_mb > 0.0 {
            let used = self.memory_used(worker, now) + self.functions[index].memory_mb;
            memory_mb * USABLE_MEMORY_SHARE - used
        } else {
            0.0
        }
    }

    /// Unloads idle replicas at a worker, those of the least recently lost functions first, until the memory known to
    /// this front end suffices for the new replica. Exception in a large fleet: replicas that look idle here are in use
    /// by other front ends, and the worker's own eviction chooses better.
    pub(crate) fn free_memory(
        &mut self,
        index: FunctionIndex,
        worker: WorkerIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        if self.is_large_fleet() {
            return;
        }
        let mut memory_left = self.memory_left(index, worker, now);
        if memory_left >= 0.0 {
            return;
        }
        let functions = &self.workers[worker].functions;
        let mut others: Vec<FunctionIndex> = functions
            .iter()
            .copied()
            .filter(|&other| other != index)
            .collect();
        others.sort_by_key(|&other| self.functions[other].last_loss);
        for other in others {
            if memory_left >= 0.0 {
                return;
            }
            let Some(replica) = self.replica(other, worker) else {
                continue;
            };
            if replica.is_idle(now) && replica.order().is_none() {
                memory_left += self.functions[other].memory_mb * f64::from(replica.count());
                self.unload(other, worker, actions);
            }
        }
    }
}
