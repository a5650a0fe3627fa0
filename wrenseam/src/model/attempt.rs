//! Attempts: which one, and how it ended.
use super::request::Payload;
use wrenseam_policy::Outcome;

/// Which attempt: the core's number of the request, and the attempt's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The core's number of the request.
    pub request: u64,
    /// The attempt, counted from 0.
    pub attempt: usize,
}

/// How an attempt ended, as its transport saw it.
#[derive(Debug, PartialEq)]
pub struct AttemptReport {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether a replica was loaded when the attempt came, where the worker says so.
    pub replica_loaded: Option<bool>,
    /// Requests of the function in the worker's queue, where the worker says so.
    pub queue_depth: Option<u32>,
    /// The body, with `Ok`.
    pub payload: Option<Payload>,
}

impl AttemptReport {
    /// An end without an answer.
    pub fn without_payload(outcome: Outcome) -> Self {
        AttemptReport {
            outcome,
            replica_loaded: None,
            queue_depth: None,
            payload: None,
        }
    }
}
