//! Keeping replicas loaded between requests: of each function in use, the replica that would be unloaded last is
//! renewed before that, and for a function that is called by a timer a replica is prefetched before the next call.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::load_budget::LoadPurpose;
use crate::periodic_calls::{Confidence, FIRING_SPAN};
use crate::replica::ReplicaState;
use crate::state::State;
use crate::types::{Micros, MILLISECOND};

/// A replica is renewed after this fraction of its keep-alive time, so that the order arrives before it is unloaded.
const RENEW_AFTER_FRACTION: f64 = 0.75;
/// A replica of a function is renewed for this many keep-alive times after the function's last request: many timers
/// call within that time.
const RENEW_FOR_KEEP_ALIVES: f64 = 2.0;
/// A replica is prefetched this multiple of the function's load time before the next call by a timer.
const PREFETCH_LOAD_TIMES: f64 = 1.5;
/// A replica is prefetched this much earlier in addition.
const PREFETCH_MARGIN: Micros = 250 * MILLISECOND;
/// When the last call is this long ago, a timer's firing is over: no more calls come until the next one.
const FIRING_QUIET_TIME: Micros = 300 * MILLISECOND;

impl State {
    /// Renews the longest-lived replica of each function in use, so that the next request finds it loaded. Functions
    /// that are called by a timer are left to [`State::prefetch_for_timers`].
    pub(crate) fn renew_replicas(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.load_orders {
            return;
        }
        let keep_alive = self.keep_alive();
        let lead = (keep_alive as f64 * (1.0 - RENEW_AFTER_FRACTION)) as Micros;
        let in_use_for = (keep_alive as f64 * RENEW_FOR_KEEP_ALIVES) as Micros;
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

    /// Prefetches replicas for the next calls by timers, which would otherwise find none: such calls come at about the
    /// time at which idle replicas are unloaded or their memory is reused, and a load takes longer than their latency
    /// objective.
    pub(crate) fn prefetch_for_timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.load_orders {
            return;
        }
        for index in self.functions.indexes() {
            if self.functions[index].periodic.is_expected() && self.is_inactive(index) {
                self.prefetch_for_timer(index, now, actions);
            }
        }
    }

    /// Whether no request of the function is in flight or waiting at this front end, and no first replica is being
    /// loaded.
    fn is_inactive(&self, index: FunctionIndex) -> bool {
        let function = &self.functions[index];
        let is_inactive =
            |replica: &ReplicaState| replica.own_in_flight() == 0 && !replica.is_loading();
        function.waiting.is_empty() && function.replicas.values().all(is_inactive)
    }

    fn prefetch_for_timer(&mut self, index: FunctionIndex, now: Micros, actions: &mut Vec<Action>) {
        let function = &self.functions[index];
        let due = function.periodic.next_due();
        let lead = (PREFETCH_LOAD_TIMES * function.load_time) as Micros + PREFETCH_MARGIN;
        // No call is expected until then, and other functions' replicas would be unloaded to keep its idle ones.
        if function.periodic.confidence() == Confidence::Confirmed
            && now > function.last_call() + FIRING_QUIET_TIME
            && now + 2 * lead < due
            && !self.is_large_fleet()
        {
            self.unload_idle_replicas(index, now, actions);
        }
        let is_soon = now + lead >= due && now < due + FIRING_SPAN;
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

    /// A usable worker that has the function loaded; else one for a new replica, after freeing memory there. `None` if
    /// no worker can take one.
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
