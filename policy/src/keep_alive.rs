//! Keeping replicas alive between requests: the last replica of a function in use is renewed before it is unloaded, and
//! a function that is called on a timer has a replica prefetched.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::load_budget::LoadPurpose;
use crate::periodic_calls::{Confidence, FIRING};
use crate::replica::ReplicaState;
use crate::state::State;
use crate::types::{Micros, MILLISECOND};

/// Part of its idle time after which a replica is renewed, to arrive in time.
const RENEW_AFTER: f64 = 0.75;
/// Idle times after a request for which the last replica is renewed: timers call so often.
const RENEW_FOR: f64 = 2.0;
/// A replica is prefetched this multiple of a load's time before the next call of a timer, ...
const PREFETCH_LOADS: f64 = 1.5;
/// ... and this much earlier.
const PREFETCH_MARGIN: Micros = 250 * MILLISECOND;
/// So long after a call, a function on a timer has no more of them until it fires again.
const FIRING_ENDS_AFTER: Micros = 300 * MILLISECOND;

impl State {
    /// Renews the last replica of each function in use, so that its next request finds it.
    pub(crate) fn renew_replicas(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.load_orders {
            return;
        }
        let keep_alive = self.keep_alive();
        let lead = (keep_alive as f64 * (1.0 - RENEW_AFTER)) as Micros;
        let in_use_for = (keep_alive as f64 * RENEW_FOR) as Micros;
        for index in self.functions.indexes() {
            let function = &self.functions[index];
            let is_unused = now > function.last_call() + in_use_for;
            if is_unused || function.periodic.is_expected() {
                continue;
            }
            let Some((worker, replica)) = self.longest_lived_replica(index, now) else {
                continue;
            };
            let is_due = replica.own_in_flight() == 0
                && replica.order().is_none()
                && replica.expires_at() < now + lead;
            if is_due && !self.load_budget.is_exhausted(now, LoadPurpose::Proactive) {
                self.order_load(index, worker, 1, now, actions);
            }
        }
    }

    fn longest_lived_replica(
        &self,
        index: FunctionIndex,
        now: Micros,
    ) -> Option<(WorkerIndex, &ReplicaState)> {
        self.functions[index]
            .replicas
            .iter()
            .map(|(&worker, replica)| (worker, replica))
            .filter(|&(worker, replica)| {
                let known = &self.workers[worker];
                replica.is_loaded(now) && known.is_ready() && !known.health.is_unreachable()
            })
            .max_by_key(|(_, replica)| replica.expires_at())
    }

    /// Answers the loss that the next call on a timer would be ahead of it: such calls come about when idle replicas
    /// are unloaded, or their memory is taken sooner, and a load takes longer than their latency objective.
    pub(crate) fn prefetch_for_timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.load_orders {
            return;
        }
        for index in self.functions.indexes() {
            if self.functions[index].periodic.is_expected() && self.is_resting(index) {
                self.prefetch_for_timer(index, now, actions);
            }
        }
    }

    /// Whether nothing of the function is in flight and nothing of it is being loaded.
    fn is_resting(&self, index: FunctionIndex) -> bool {
        let function = &self.functions[index];
        let is_at_rest =
            |replica: &ReplicaState| replica.own_in_flight() == 0 && !replica.is_loading();
        function.waiting.is_empty() && function.replicas.values().all(is_at_rest)
    }

    fn prefetch_for_timer(&mut self, index: FunctionIndex, now: Micros, actions: &mut Vec<Action>) {
        let function = &self.functions[index];
        let due = function.periodic.next_due();
        let lead = (PREFETCH_LOADS * function.load_time) as Micros + PREFETCH_MARGIN;
        // Nothing calls it before: its memory is worth more to others, which would lose theirs.
        if function.periodic.confidence() == Confidence::Confirmed
            && now > function.last_call() + FIRING_ENDS_AFTER
            && now + 2 * lead < due
            && !self.is_large_fleet()
        {
            self.unload_idle_replicas(index, now, actions);
        }
        let is_soon = now + lead >= due && now < due + FIRING;
        if !is_soon || self.functions[index].periodic.is_prefetched() {
            return;
        }
        let purpose = match self.functions[index].periodic.confidence() {
            Confidence::Confirmed => LoadPurpose::Needed,
            Confidence::Guessed | Confidence::None => LoadPurpose::Proactive,
        };
        if !self.load_limiter.admits() || self.load_budget.is_exhausted(now, purpose) {
            return;
        }
        let Some(worker) = self.worker_to_prefetch_at(index, now, actions) else {
            return;
        };
        self.functions[index].periodic.prefetched();
        self.order_load(index, worker, 1, now, actions);
    }

    /// A usable worker that has the function loaded; else one for a new replica, with memory made free there.
    fn worker_to_prefetch_at(
        &mut self,
        index: FunctionIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Option<WorkerIndex> {
        let function = &self.functions[index];
        let loaded = function
            .replicas
            .iter()
            .filter(|(_, replica)| replica.is_loaded(now))
            .map(|(&worker, _)| worker)
            .find(|&worker| self.is_usable(worker, function.class, now));
        if loaded.is_some() {
            return loaded;
        }
        let worker = self.worker_for_replica(index, now, None)?;
        self.free_memory(index, worker, now, actions);
        Some(worker)
    }
}
