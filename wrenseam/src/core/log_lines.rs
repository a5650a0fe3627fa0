//! The texts of the core's log lines. docs/oncall.md lists them with what operators do about each. Some lines contain
//! the name of an enum variant, so renaming such a variant changes the text.
use crate::model::{Endpoint, RequestEnd};
use std::fmt::{Display, Formatter, Result};
use wrenseam_policy::readiness_lease::{Interruption, SuspendReason};
use wrenseam_policy::{FunctionId, Micros, Outcome};

const MICROS_PER_MILLI: Micros = 1_000;

/// Why a request is answered as failed at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings name no class of this name.
    #[error("unknown class")]
    UnknownClass,
    /// The settings name tenants, but none of this name.
    #[error("unknown tenant")]
    UnknownTenant,
    /// Its class requires an idempotency key, and it has none.
    #[error("no idempotency key, which its class needs")]
    MissingIdempotencyKey,
    /// Another unanswered request has the same id.
    #[error("a request with this id is open")]
    DuplicateId,
    /// Its class must never be executed twice, and a recent request with the same id may have been executed.
    #[error("a request with this id may have been executed")]
    ExecutedId,
}

/// One line of the log.
#[derive(Clone, Copy, Debug)]
pub enum LogLine<'a> {
    /// Timers fired late.
    TimersLate {
        /// By how much the earliest timer was overdue.
        overdue: Micros,
        /// Requests in the core's table, including answered ones with open attempts.
        open_requests: usize,
    },
    /// A request was answered as failed at its arrival.
    InvalidRequest {
        /// The id that its client gave the request.
        wire_id: u64,
        /// Why the request is invalid.
        reason: InvalidRequest,
    },
    /// An attempt ended without success.
    AttemptNotServed {
        /// The id that its client gave the request.
        wire_id: u64,
        /// The attempt's number.
        attempt: usize,
        /// The worker that it went to.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// A request was answered as rejected or failed.
    RequestNotServed {
        /// The id that its client gave the request.
        wire_id: u64,
        /// How the request ended.
        end: RequestEnd,
        /// Attempts that were started.
        attempts: usize,
        /// Time since the request was received.
        elapsed: Micros,
    },
    /// A load order did not succeed.
    LoadOrderFailed {
        /// The function whose replicas were ordered.
        function: FunctionId,
        /// The worker that the order was sent to.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// Time since the order was sent.
        elapsed: Micros,
    },
    /// Contact with the discovery service was lost.
    DiscoveryLost {
        /// How contact was lost.
        cause: Interruption,
        /// Time since the endpoint list was last confirmed; `None` if it never was in this process.
        age: Option<Micros>,
    },
    /// The endpoint list is confirmed again.
    DiscoveryRegained {
        /// Time since contact was lost.
        outage: Micros,
    },
    /// A worker that is listed as ready gets no new work, by its readiness lease.
    Suspended {
        /// The worker's id.
        worker_id: &'a str,
        /// Why it is suspended.
        reason: SuspendReason,
    },
    /// A suspended worker gets new work again.
    Resumed {
        /// The worker's id.
        worker_id: &'a str,
        /// Whether the worker may be a new process that discovery has not reported.
        may_have_restarted: bool,
    },
    /// A line that the policy wrote, with this text.
    Policy(&'a str),
    /// An endpoint list or an operator changed this endpoint.
    EndpointChanged(&'a Endpoint),
    /// An operator excluded the worker of this id.
    Excluded(&'a str),
    /// An operator ended the exclusion of the worker of this id.
    Included(&'a str),
    /// This process began to drain.
    Draining,
    /// An operator ended the drain of this process.
    Activated,
}

impl Display for LogLine<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            LogLine::TimersLate {
                overdue,
                open_requests,
            } => {
                let overdue_ms = overdue / MICROS_PER_MILLI;
                write!(
                    f,
                    "core: timers {overdue_ms} ms late, {open_requests} requests open"
                )
            }
            LogLine::InvalidRequest { wire_id, reason } => {
                write!(f, "request {wire_id:016x}: failed, {reason}")
            }
            LogLine::AttemptNotServed {
                wire_id,
                attempt,
                worker,
                outcome,
                elapsed,
            } => write!(
                f,
                "request {wire_id:016x}: attempt {attempt} at {worker} ended after {} ms: {outcome:?}",
                elapsed / MICROS_PER_MILLI
            ),
            LogLine::RequestNotServed {
                wire_id,
                end,
                attempts,
                elapsed,
            } => write!(
                f,
                "request {wire_id:016x}: {end:?} after {} ms, attempts {attempts}",
                elapsed / MICROS_PER_MILLI
            ),
            LogLine::LoadOrderFailed {
                function,
                worker,
                outcome,
                elapsed,
            } => write!(
                f,
                "load order: {function:016x} at {worker} ended after {} ms: {outcome:?}",
                elapsed / MICROS_PER_MILLI
            ),
            LogLine::DiscoveryLost {
                cause,
                age: Some(age),
            } => write!(
                f,
                "discovery: contact lost ({cause:?}), the list was confirmed {} ms ago",
                age / MICROS_PER_MILLI
            ),
            LogLine::DiscoveryLost { cause, age: None } => write!(
                f,
                "discovery: contact lost ({cause:?}), the list was never confirmed"
            ),
            LogLine::DiscoveryRegained { outage } => write!(
                f,
                "discovery: contact regained after {} ms, the list is confirmed",
                outage / MICROS_PER_MILLI
            ),
            LogLine::Suspended { worker_id, reason } => {
                write!(f, "endpoint {worker_id}: suspended ({reason:?})")
            }
            LogLine::Resumed {
                worker_id,
                may_have_restarted: false,
            } => write!(f, "endpoint {worker_id}: resumed"),
            LogLine::Resumed {
                worker_id,
                may_have_restarted: true,
            } => write!(f, "endpoint {worker_id}: resumed, may be a new process"),
            LogLine::Policy(text) => write!(f, "policy: {text}"),
            LogLine::EndpointChanged(endpoint) => {
                let Endpoint {
                    id, state, address, ..
                } = endpoint;
                write!(f, "endpoint {id}: {state:?} at {address}")
            }
            LogLine::Excluded(id) => write!(f, "admin: exclude {id}, it gets no new requests"),
            LogLine::Included(id) => write!(f, "admin: include {id}, back as a new process"),
            LogLine::Draining => {
                f.write_str("admin: evacuate, not ready, idle client connections close")
            }
            LogLine::Activated => f.write_str("admin: activate, ready for clients again"),
        }
    }
}
