//! Attempts: how they are identified, and how they end.
use super::request::Payload;
use wrenseam_policy::Outcome;

/// Identifies an attempt: the core's number of the request, and the attempt's number within it.
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
    /// Whether a replica was loaded when the attempt arrived, where the worker reports it.
    pub replica_loaded: Option<bool>,
    /// Requests for the same function in the worker's queue, where the worker reports it.
    pub queue_depth: Option<u32>,
    /// The body of the answer, with `Ok`.
    pub payload: Option<Payload>,
}

impl AttemptReport {
    /// The report of an attempt that ended without a body.
    pub fn without_payload(outcome: Outcome) -> Self {
        AttemptReport {
            outcome,
            replica_loaded: None,
            queue_depth: None,
            payload: None,
        }
    }
}
