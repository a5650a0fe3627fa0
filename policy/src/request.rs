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
    /// Where its worker was listed when it was sent.
    pub(crate) placement: Placement,
    pub(crate) sent_at: Micros,
    /// How long its answer is likely to take, in microseconds.
    pub(crate) expected: f64,
    /// Whether it is to have the function loaded.
    pub(crate) loads_function: bool,
    /// This front end's requests in flight for the function at the worker, with this one, when it was sent.
    pub(crate) own_in_flight: u32,
    pub(crate) state: AttemptState,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It is in flight; it may be executed.
    Open,
    /// It was cancelled and has not ended; it may be executed.
    Cancelling,
    /// It ended, and may have been executed.
    MayHaveExecuted,
    /// It ended, as the function is not loaded there.
    NotLoaded,
    /// It ended, and was certainly not executed.
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

/// A request from its arrival until its answer is given and all its attempts have ended.
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
    /// Whether it found no free replica before.
    pub(crate) lost: bool,
    /// Whether it has its final answer.
    pub(crate) closed: bool,
    pub(crate) errors: u32,
    /// It was sent though answers of its class take longer than its client waits.
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

    /// Attempts that workers rejected, or that did not reach one.
    pub(crate) fn rejected_attempts(&self) -> usize {
        let rejected = |attempt: &&Attempt| attempt.state == AttemptState::NotExecuted;
        self.attempts.iter().filter(rejected).count()
    }

    /// Whether workers that lack the function were the only ones that it reached, if any.
    pub(crate) fn met_only_missing_functions(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.state == AttemptState::NotLoaded)
    }

    /// Whether an attempt is in flight at the worker, or may have been executed there.
    pub(crate) fn has_tried(&self, worker: WorkerIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.worker == worker && attempt.may_have_executed())
    }

    /// Ends an attempt that is open. Returns it as it was.
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

    /// A request that has no final answer yet.
    pub(crate) fn owed(&self, id: RequestId) -> Option<&Request> {
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

    /// Whether any request has an attempt at this worker.
    pub(crate) fn has_attempts_at(&self, worker: WorkerIndex) -> bool {
        self.requests.values().any(|request| {
            request
                .attempts
                .iter()
                .any(|attempt| attempt.worker == worker)
        })
    }
}
