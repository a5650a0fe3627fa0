//! Learning where a function is loaded before one more replica is ordered: by polls, or, where a worker that lacks it
//! answers so at no price, by the request itself.
use crate::action::Action;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::replica::PendingOrder;
use crate::state::State;
use crate::types::{Micros, RequestId, MILLISECOND, SECOND};

/// Workers in the rendezvous order that are polled: other front ends look there too.
pub(crate) const POLLED_WORKERS: usize = 6;
/// A lost request waits so long for the first answers.
const ANSWER_WAIT: Micros = 60 * MILLISECOND;
/// No second poll sooner: others' loads take much of it.
pub(crate) const POLL_INTERVAL: Micros = 4 * SECOND;
/// First workers of the rendezvous order that a request tries before a load is ordered: others order theirs there. Two
/// of six attempts at the most, so that enough are left for when the load has ended.
const TRIED_WORKERS: usize = 2;

/// What a request whose function is known to be loaded nowhere does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupStep {
    /// It goes to this worker, whose answer tells.
    TryAt(WorkerIndex),
    /// Another request of the function is in flight and will tell.
    AwaitOther,
    /// Requests cannot find out here; polls can.
    Poll,
    /// The function is loaded at none of the workers where others would have it: a load is due.
    Load,
}

impl State {
    /// How a lost request finds out where its function is loaded.
    pub(crate) fn next_lookup_step(&mut self, id: RequestId, now: Micros) -> LookupStep {
        // Where workers load what is missing no request is sent to find out; nor where nobody else prefers the same
        // workers, or so many do that each sees too little to know which of them have it.
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
            .take(TRIED_WORKERS)
            .collect();
        for worker in workers {
            if let Some(step) = self.lookup_step_at(function, worker, now) {
                return step;
            }
        }
        LookupStep::Load
    }

    /// What to do about one worker; `None` if nothing more can be learnt there now.
    fn lookup_step_at(
        &mut self,
        function: FunctionIndex,
        worker: WorkerIndex,
        now: Micros,
    ) -> Option<LookupStep> {
        let replica = self.replica_mut(function, worker);
        let is_tried = replica.own_in_flight() > 0;
        match replica.last_poll() {
            // It is in flight for longer than an answer takes: a replica is being loaded there, or it queues.
            Some(last) if is_tried && now >= last + ANSWER_WAIT => Some(LookupStep::TryAt(worker)),
            Some(_) if is_tried => Some(LookupStep::AwaitOther),
            Some(last) if now < last + POLL_INTERVAL => None,
            _ if replica.is_load_ordered() => None,
            _ => {
                replica.polled(now);
                Some(LookupStep::TryAt(worker))
            }
        }
    }

    /// Polls workers whether the function is loaded there. True while answers are awaited. Guards against a
    /// (re)started front end loading what others have had loaded already.
    pub(crate) fn poll_workers(
        &mut self,
        function: FunctionIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.settings.load_orders {
            return false;
        }
        let most = if self.is_shared() {
            POLLED_WORKERS
        } else {
            usize::MAX
        };
        let preferred = self.preferred_workers(function);
        let workers: Vec<WorkerIndex> = preferred
            .into_iter()
            .filter(|&worker| self.workers[worker].is_ready() && !self.is_ejected(worker))
            .take(most)
            .collect();
        let mut is_awaited = false;
        for worker in workers {
            is_awaited |= self.poll_worker(function, worker, now, actions);
        }
        is_awaited
    }

    /// Polls one worker if that is due. True while its answer is awaited.
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
            .last_poll()
            .is_none_or(|last| now >= last + POLL_INTERVAL);
        if !has_budget || replica.is_loaded(now) || !is_due {
            return false;
        }
        replica.polled(now);
        self.poll_budget.spend();
        self.poll(function, worker, now, actions);
        true
    }
}
