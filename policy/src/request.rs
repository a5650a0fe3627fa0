//! Requests that are in flight, and their attempts.
use crate::event::Outcome;
use crate::index::{FunctionIndex, WorkerIndex};
use crate::placement::Placement;
use crate::types::{Micros, RequestId};
use std::collections::BTreeMap;

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerIndex,
    /// Placement of its worker when it was sent.
    pub(crate) placement: Placement,
    pub(crate) sent_at: Micros,
    /// Expected time from sending it to its answer, in microseconds.
    pub(crate) expected_time: f64,
    /// Whether the worker is expected to load the function for it.
    pub(crate) loads_function: bool,
    /// This front end's requests in flight for the function at the worker when it was sent, including itself.
    pub(crate) own_in_flight: u32,
    pub(crate) state: AttemptState,
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It is in flight; it may be executed.
    Open,
    /// It was cancelled but has not ended yet; it may be executed.
    Cancelling,
    /// It ended, and may have been executed.
    MayHaveExecuted,
    /// It ended because the function is not loaded at the worker; it was not executed.
    NotLoaded,
    /// It ended for another reason, and was certainly not executed.
    NotExecuted,
}

impl Attempt {
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, AttemptState::Open | AttemptState::Cancelling)
    }

    pub(crate) fn is_cancelling(&self) -> bool {
        self.state == AttemptState::Cancelling
    }

    pub(crate) fn may_have_executed(&self) -> bool {
        !matches!(
            self.state,
            AttemptState::NotLoaded | AttemptState::NotExecuted
        )
    }

    fn end(&mut self, outcome: Outcome) {
        self.state = match outcome {
            Outcome::NotLoaded => AttemptState::NotLoaded,
            outcome if outcome.proves_not_executed() => AttemptState::NotExecuted,
            _ => AttemptState::MayHaveExecuted,
        };
    }
}

/// A request, kept from its arrival until it has its final answer and all its attempts have ended.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) function: FunctionIndex,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) arrived_at: Micros,
    /// When its final answer is due.
    pub(crate) deadline: Micros,
    /// Whether the client marked it as a retry.
    pub(crate) is_retry: bool,
    /// Whether it has found no free replica at least once. That is a loss, which counts once per request.
    pub(crate) lost: bool,
    /// Whether it has its final answer.
    pub(crate) closed: bool,
    /// Attempts that ended with an error.
    pub(crate) errors: u32,
    /// Whether it was sent although answers of its class take longer than its client waits.
    pub(crate) speculative: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_open)
    }

    pub(crate) fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_executed)
    }

    /// Number of attempts that workers rejected or that did not reach a worker.
    pub(crate) fn rejected_attempts(&self) -> usize {
        let rejected = |attempt: &&Attempt| attempt.state == AttemptState::NotExecuted;
        self.attempts.iter().filter(rejected).count()
    }

    /// Whether all its attempts, if any, ended because the function was not loaded.
    pub(crate) fn only_found_function_not_loaded(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.state == AttemptState::NotLoaded)
    }

    /// Whether an attempt at the worker is in flight or may have been executed.
    pub(crate) fn has_tried(&self, worker: WorkerIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.worker == worker && attempt.may_have_executed())
    }

    /// Ends an open attempt. Returns the attempt as it was before; `None` if there is no such attempt or it has ended
    /// already.
    pub(crate) fn end_attempt(&mut self, number: usize, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number)?;
        if !attempt.is_open() {
            return None;
        }
        let before = attempt.clone();
        attempt.end(outcome);
        self.errors += u32::from(outcome == Outcome::Error);
        Some(before)
    }
}

/// All requests in flight.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
}

impl RequestTable {
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// A request that has no final answer yet; `None` otherwise.
    pub(crate) fn unanswered(&self, id: RequestId) -> Option<&Request> {
        self.get(id).filter(|request| !request.closed)
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// Whether any request has an attempt at this worker, open or ended.
    pub(crate) fn has_attempts_at(&self, worker: WorkerIndex) -> bool {
        self.requests.values().any(|request| {
            request
                .attempts
                .iter()
                .any(|attempt| attempt.worker == worker)
        })
    }
}
