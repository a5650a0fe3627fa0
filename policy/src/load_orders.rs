//! Orders to workers to load replicas, to report how many are loaded (polls) and to unload idle ones; and the answers.
use crate::action::Action;
use crate::event::Outcome;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::outlier_detection::SAMPLE_WEIGHT;
use crate::rejections::FULL_PAUSE;
use crate::replica::PendingOrder;
use crate::state::State;
use crate::types::{Micros, MILLISECOND};
use crate::worker::{LastLoad, SLOW_LOAD_MULTIPLE};

/// An order that took no longer than this, in microseconds, found the replicas already loaded.
const MIN_LOAD_TIME: f64 = 20.0 * MILLISECOND as f64;

/// The answer to an order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderResult {
    pub(crate) outcome: Outcome,
    /// Number of replicas that are loaded.
    pub(crate) replicas: u32,
    /// Time since the order was given.
    pub(crate) elapsed: Micros,
}

impl State {
    /// Orders a worker to hold at least this many replicas.
    pub(crate) fn order_load(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
        replicas: u32,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        self.replica_mut(function, worker).load_ordered(now);
        self.load_budget.count_order(now);
        self.workers[worker].pending_loads += 1;
        self.load_limiter.started();
        actions.push(self.load_action(function, worker, replicas));
    }

    /// Polls a worker for how many replicas of the function it has loaded.
    pub(crate) fn poll(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        self.replica_mut(function, worker).poll_sent(now);
        actions.push(self.load_action(function, worker, 0));
    }

    fn load_action(&self, function: FunctionIndex, worker: WorkerIndex, replicas: u32) -> Action {
        Action::Load {
            worker: self.workers[worker].endpoint.worker.clone(),
            function: self.functions[function].id,
            replicas,
        }
    }

    /// Orders a worker to unload the idle replicas of a function.
    pub(crate) fn unload(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
        actions: &mut Vec<Action>,
    ) {
        if let Some(replica) = self.functions[function].replicas.get_mut(&worker) {
            replica.mark_unloaded();
        }
        actions.push(Action::Unload {
            worker: self.workers[worker].endpoint.worker.clone(),
            function: self.functions[function].id,
        });
    }

    /// Orders all workers with idle replicas of a function to unload them.
    pub(crate) fn unload_idle_replicas(
        &mut self,
        function: FunctionIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let idle: Vec<WorkerIndex> = self.functions[function]
            .replicas
            .iter()
            .filter(|(_, replica)| replica.is_idle(now) && replica.order().is_none())
            .map(|(&worker, _)| worker)
            .collect();
        for worker in idle {
            self.unload(function, worker, actions);
        }
    }

    /// Handles the end of an order: updates the replica state, the worker's health and the limit on loads. Returns
    /// whether an order was pending.
    pub(crate) fn order_ended(
        &mut self,
        now: Micros,
        worker: WorkerIndex,
        function: FunctionIndex,
        result: OrderResult,
    ) -> bool {
        let lifetime = self.replica_lifetime(function);
        let replica = self.functions[function].replicas.get_mut(&worker);
        let Some(replica) = replica else {
            return false;
        };
        let was_loaded = replica.count() > 0;
        let Some(order) = replica.order_ended() else {
            return false;
        };
        let endpoint = &self.workers[worker].endpoint;
        let is_current_process = order.since() >= endpoint.started_at;
        // The worker answers after a failure, without the replicas that it had: a new process that the endpoint list
        // does not show yet.
        let has_restarted = was_loaded
            && result.replicas == 0
            && result.outcome == Outcome::Ok
            && self.workers[worker].health.is_unconfirmed();
        if is_current_process {
            self.confirm_replicas(now, worker, function, order, result, lifetime);
        }
        match result.outcome {
            Outcome::ConnectFailed => self.connect_failed(worker, now),
            Outcome::Reset => self.connection_reset(worker, now),
            _ => {}
        }
        self.record_order_zone_outcome(
            worker,
            result.outcome,
            now,
            result.elapsed,
            is_current_process,
        );
        // For a function that was never served here an error is no sign of a problem of the store or the worker: the
        // function may be unknown.
        let may_be_unknown =
            result.outcome == Outcome::Error && !self.functions[function].has_been_served();
        self.functions[function].order_ended(may_be_unknown, now);
        if has_restarted {
            self.invalidate_replicas(worker);
        }
        if order.is_load() {
            self.load_ended(now, worker, function, result, was_loaded, may_be_unknown);
        }
        true
    }

    /// Updates the replica state by a worker's answer. A poll does not restart the idle time: the replicas that it
    /// finds may be about to be unloaded.
    fn confirm_replicas(
        &mut self,
        now: Micros,
        worker: WorkerIndex,
        function: FunctionIndex,
        order: PendingOrder,
        result: OrderResult,
        lifetime: Micros,
    ) {
        let answered = matches!(
            result.outcome,
            Outcome::Ok | Outcome::Rejected | Outcome::Error
        );
        if !answered || !self.workers[worker].is_ready() {
            return;
        }
        let certain_for = if order.is_load() {
            lifetime
        } else {
            lifetime / 2
        };
        if let Some(replica) = self.functions[function].replicas.get_mut(&worker) {
            replica.confirm(result.replicas, now + certain_for, lifetime);
        }
        self.workers[worker].health.answered_order();
    }

    /// Handles the end of an order to load. Protects the store that all workers load from: loads that are slow
    /// everywhere, or two that fail within a short time, lower the limit on loads in flight; loads that take their
    /// usual time raise it slowly.
    fn load_ended(
        &mut self,
        now: Micros,
        worker: WorkerIndex,
        function: FunctionIndex,
        result: OrderResult,
        was_loaded: bool,
        may_be_unknown: bool,
    ) {
        self.load_limiter.ended();
        self.workers[worker].pending_loads -= 1;
        if result.outcome != Outcome::Ok {
            self.functions[function].periodic.prefetch_failed();
        }
        let load_time = result.elapsed as f64;
        match result.outcome {
            Outcome::Ok if !was_loaded && load_time > MIN_LOAD_TIME => {
                self.record_load_time(now, worker, function, load_time);
            }
            Outcome::Error | Outcome::Timeout if !may_be_unknown => {
                self.load_limiter.load_failed(now);
            }
            Outcome::Rejected => self.workers[worker].no_memory_until = now + FULL_PAUSE,
            _ => {}
        }
    }

    fn record_load_time(
        &mut self,
        now: Micros,
        worker: WorkerIndex,
        function: FunctionIndex,
        load_time: f64,
    ) {
        let known = self.functions[function].load_time;
        let usual = if known > 0.0 { known } else { load_time };
        let is_slow = load_time > SLOW_LOAD_MULTIPLE * usual;
        self.workers[worker].last_load = LastLoad::new(now, load_time / usual);
        if !is_slow {
            self.load_limiter.normal_load();
        } else if self.are_loads_slow_everywhere(now) {
            self.load_limiter.slow_load();
        }
        self.functions[function].load_time = if is_slow {
            usual
        } else {
            usual + SAMPLE_WEIGHT * (load_time - usual)
        };
    }

    /// Whether loads were slow at more than three in four of the workers that loaded recently. Protects against
    /// mistaking a queue at one worker for a slow store: if that stopped loads elsewhere, new workers would stay empty.
    fn are_loads_slow_everywhere(&self, now: Micros) -> bool {
        let recent = self
            .workers
            .iter()
            .filter(|worker| worker.is_ready() && worker.last_load.is_recent(now));
        let mut all = 0;
        let mut slow = 0;
        for worker in recent {
            all += 1;
            if worker.last_load.is_slow() {
                slow += 1;
            }
        }
        slow * 4 > all * 3
    }
}
