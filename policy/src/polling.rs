//! Finding out where a function is loaded before another replica is ordered: by polls, or, where a worker that lacks
//! the function only answers that it is not loaded, by sending the request itself. A request that finds no free replica
//! is called lost.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::replica::PendingOrder;
use crate::state::State;
use crate::types::{Micros, RequestId, MILLISECOND, SECOND};

/// Maximum number of workers that are polled about a function where front ends share the workers: the first in its
/// rendezvous order, where other front ends load it too. In a large fleet a request that finds no replica may be sent
/// to one of as many workers instead.
pub(crate) const MAX_POLLED_WORKERS: usize = 6;
/// Time that a lost request waits for the answers to polls.
const ANSWER_WAIT: Micros = 60 * MILLISECOND;
/// Minimum time between two lookups, by polls or requests, of a function at a worker: a load that another front end
/// ordered takes most of it.
pub(crate) const LOOKUP_INTERVAL: Micros = 4 * SECOND;
/// Maximum number of workers that a request tries before a load is ordered: the first in the rendezvous order, where
/// other front ends order their loads. Each costs the request an attempt; where `max_attempts` is six, four are left
/// for when the load has ended.
const MAX_TRIED_WORKERS: usize = 2;

/// The next step for a request whose function is not known to be loaded anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupStep {
    /// Send the request to this worker: its answer shows whether the function is loaded there.
    TryAt(WorkerIndex),
    /// Wait: the answer to another request in flight will show where the function is loaded.
    AwaitOther,
    /// Poll: with these settings, requests are not sent to find out where the function is loaded.
    Poll,
    /// Order a load: the function is loaded at none of the workers where other front ends would load it.
    Load,
}

impl State {
    /// The next step to find out where the function of a lost request is loaded.
    pub(crate) fn next_lookup_step(&mut self, id: RequestId, now: Micros) -> LookupStep {
        // No request is sent to find out where workers load missing functions on demand, where this front end is the
        // only one, and in a large fleet, where each front end sees too few answers to know which workers have it.
        if self.settings.load_on_demand || !self.is_small_shared_fleet() {
            return LookupStep::Poll;
        }
        let Some(function) = self.requests.get(id).map(|request| request.function) else {
            return LookupStep::AwaitOther;
        };
        let preferred = self.preferred_workers(function);
        let Some(request) = self.requests.get(id) else {
            return LookupStep::AwaitOther;
        };
        let class = self.functions[function].class;
        let workers: Vec<WorkerIndex> = preferred
            .into_iter()
            .filter(|&worker| {
                self.is_usable(worker, class, now)
                    && !self.is_ejected(worker)
                    && self.may_go_to(request, worker, now)
            })
            .take(MAX_TRIED_WORKERS)
            .collect();
        for worker in workers {
            if let Some(step) = self.lookup_step_at(function, worker, now) {
                return step;
            }
        }
        LookupStep::Load
    }

    /// The next step at one worker; `None` if nothing more can be found out there now.
    fn lookup_step_at(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
        now: Micros,
    ) -> Option<LookupStep> {
        let replica = self.replica_mut(function, worker);
        let has_own_request = replica.own_in_flight() > 0;
        match replica.last_lookup() {
            // The request there has waited for longer than a "not loaded" answer takes: the worker is loading the
            // function for it or has it in a queue.
            Some(last) if has_own_request && now >= last + ANSWER_WAIT => {
                Some(LookupStep::TryAt(worker))
            }
            Some(_) if has_own_request => Some(LookupStep::AwaitOther),
            Some(last) if now < last + LOOKUP_INTERVAL => None,
            _ if replica.is_load_ordered() => None,
            _ => {
                replica.lookup_sent(now);
                Some(LookupStep::TryAt(worker))
            }
        }
    }

    /// Polls workers to find out whether the function is loaded there. Returns true while answers are awaited. Guards
    /// against a (re)started front end ordering loads of functions that others have had loaded already.
    pub(crate) fn poll_workers(
        &mut self,
        function: FunctionIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.load_orders {
            return false;
        }
        let max_workers = if self.is_shared() {
            MAX_POLLED_WORKERS
        } else {
            usize::MAX
        };
        let preferred = self.preferred_workers(function);
        let workers: Vec<WorkerIndex> = preferred
            .into_iter()
            .filter(|&worker| self.workers[worker].is_ready() && !self.is_ejected(worker))
            .take(max_workers)
            .collect();
        let mut awaits_answer = false;
        for worker in workers {
            awaits_answer |= self.poll_worker(function, worker, now, actions);
        }
        awaits_answer
    }

    /// Polls one worker if a poll is due. Returns true while its answer is awaited.
    fn poll_worker(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> bool {
        let has_budget = self.poll_budget.has_token();
        let replica = self.replica_mut(function, worker);
        match replica.order() {
            Some(PendingOrder::Poll { since }) => return now < since + ANSWER_WAIT,
            Some(PendingOrder::Load { .. }) => return false,
            None => {}
        }
        let is_due = replica
            .last_lookup()
            .is_none_or(|last| now >= last + LOOKUP_INTERVAL);
        if !has_budget || replica.is_loaded(now) || !is_due {
            return false;
        }
        replica.lookup_sent(now);
        self.poll_budget.spend();
        self.poll(function, worker, now, actions);
        true
    }
}
