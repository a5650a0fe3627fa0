//! The key that identifies an attempt, and the report of its end.
use super::request::Payload;
use wrenseam_policy::Outcome;

/// Identifies an attempt: the core's number of the request, and the attempt's number within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The core's number of the request.
    pub request: u64,
    /// The number of the attempt within the request, counted from 0.
    pub attempt: usize,
}

/// How an attempt ended, as its transport reports it.
#[derive(Debug, PartialEq)]
pub struct AttemptReport {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether a replica was loaded when the attempt arrived; `None` if the worker did not report it.
    pub replica_loaded: Option<bool>,
    /// Requests for the same function in the worker's queue; `None` if the worker did not report it.
    pub queue_depth: Option<u32>,
    /// The body of the worker's response, if the outcome is `Ok`.
    pub payload: Option<Payload>,
}

impl AttemptReport {
    /// The report of an attempt that ended without a body and without data about its worker.
    pub fn without_payload(outcome: Outcome) -> Self {
        AttemptReport {
            outcome,
            replica_loaded: None,
            queue_depth: None,
            payload: None,
        }
    }
}
