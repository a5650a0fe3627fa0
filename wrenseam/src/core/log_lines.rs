//! The texts of the log lines that the core writes. docs/oncall.md lists them with what to do about each.
use crate::model::{Endpoint, RequestEnd};
use std::fmt::{Display, Formatter, Result};
use wrenseam_policy::readiness_lease::{Interruption, SuspendReason};
use wrenseam_policy::{FunctionId, Micros, Outcome};

const MICROS_PER_MILLI: Micros = 1_000;

/// Why a request is answered as failed at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings do not name its class.
    #[error("unknown class")]
    UnknownClass,
    /// The settings name tenants, and not its own.
    #[error("unknown tenant")]
    UnknownTenant,
    /// Its class needs an idempotency key, and it has none.
    #[error("no idempotency key, which its class needs")]
    MissingIdempotencyKey,
    /// A request of the same id is owed an answer.
    #[error("a request with this id is open")]
    DuplicateId,
}

/// One line of the log.
#[derive(Clone, Copy, Debug)]
pub enum LogLine<'a> {
    /// Timers fired late.
    TimersLate {
        /// By how much the earliest was overdue.
        overdue: Micros,
        /// Requests in the table.
        open_requests: usize,
    },
    /// A request was answered as failed at its arrival.
    InvalidRequest {
        /// The id that its client gave.
        wire_id: u64,
        /// Why.
        reason: InvalidRequest,
    },
    /// A worker did not serve an attempt.
    AttemptNotServed {
        /// The id that its client gave the request.
        wire_id: u64,
        /// The attempt's number.
        attempt: usize,
        /// The worker that it went to.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
    },
    /// A request got another final answer than a worker's.
    RequestNotServed {
        /// The id that its client gave.
        wire_id: u64,
        /// The answer.
        end: RequestEnd,
        /// Attempts that were made.
        attempts: usize,
        /// Time since it was received.
        elapsed: Micros,
    },
    /// An order to load did not succeed.
    LoadOrderFailed {
        /// The function.
        function: FunctionId,
        /// The worker that was ordered.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// Time since the order.
        elapsed: Micros,
    },
    /// Nothing is received from the discovery service any more.
    DiscoveryLost {
        /// Why.
        cause: Interruption,
        /// Time since the list was last confirmed, if it was in this process.
        age: Option<Micros>,
    },
    /// The endpoint list is confirmed again.
    DiscoveryRegained {
        /// Time since the contact was lost.
        outage: Micros,
    },
    /// A worker listed as ready gets nothing new, as discovery was not heard for too long.
    Suspended {
        /// The worker's id.
        worker_id: &'a str,
        /// Why.
        reason: SuspendReason,
    },
    /// A suspended worker gets new work again.
    Resumed {
        /// The worker's id.
        worker_id: &'a str,
        /// Whether it may be a new process.
        may_have_restarted: bool,
    },
    /// The policy logs this text.
    Policy(&'a str),
    /// The endpoint lists or an operator changed a worker.
    EndpointChanged(&'a Endpoint),
    /// An operator excluded the worker of this id.
    Excluded(&'a str),
    /// An operator included the worker of this id again.
    Included(&'a str),
    /// A drain began.
    Draining,
    /// A drain was ended by an operator.
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
