//! The events scheduled on simulated time, and the policy's actions converted to a form without heap data.
use super::worker_index;
use wrenseam_policy::{Action, FunctionId, Micros, Outcome, RequestId};

/// Position in the schedule: the time, and a serial number that keeps events of the same time in the order in which they
/// were scheduled.
pub(super) type ScheduleKey = (Micros, u64);

/// An attempt: its request, and its number within the request, from 0.
pub(super) type AttemptKey = (RequestId, usize);

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) request: RequestId,
    pub(super) attempt: usize,
    pub(super) outcome: Outcome,
    pub(super) sent_at: Micros,
    /// Whether the worker had the function loaded; `None` where it did not serve the attempt.
    pub(super) replica_loaded: Option<bool>,
}

/// The response to a load order, or to a query (a load order for 0 replicas).
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadOrderEnd {
    pub(super) worker: usize,
    pub(super) function: FunctionId,
    /// Replicas that the worker has loaded; 0 if the function is not loaded.
    pub(super) replicas: u32,
    pub(super) outcome: Outcome,
    pub(super) sent_at: Micros,
}

/// An event that is scheduled.
#[derive(Clone, Copy, Debug)]
pub(super) enum ScheduledEvent {
    /// A timer of the policy, with its token.
    Timer(u64),
    /// The next client request arrives.
    Request,
    /// The endpoint list changes.
    EndpointChange,
    AttemptEnd(AttemptEnd),
    LoadOrderEnd(LoadOrderEnd),
}

/// An action of the policy, with workers by index.
#[derive(Clone, Copy)]
pub(super) enum PolicyAction {
    Send {
        request: RequestId,
        worker: usize,
    },
    Cancel {
        request: RequestId,
        attempt: usize,
    },
    Reject(RequestId),
    Fail(RequestId),
    Timer {
        delay: Micros,
        token: u64,
    },
    Load {
        worker: usize,
        function: FunctionId,
        replicas: u32,
    },
    Unload {
        worker: usize,
        function: FunctionId,
    },
    /// Watching the endpoint list and writing log lines, which the simulation leaves out.
    Ignored,
}

impl From<Action> for PolicyAction {
    fn from(action: Action) -> PolicyAction {
        match action {
            Action::Send { id, worker, .. } => PolicyAction::Send {
                request: id,
                worker: worker_index(&worker),
            },
            Action::Cancel { id, attempt } => PolicyAction::Cancel {
                request: id,
                attempt,
            },
            Action::Reject { id, .. } => PolicyAction::Reject(id),
            Action::Fail { id } => PolicyAction::Fail(id),
            Action::Timer { delay, token } => PolicyAction::Timer { delay, token },
            Action::Load {
                worker,
                function,
                replicas,
            } => PolicyAction::Load {
                worker: worker_index(&worker),
                function,
                replicas,
            },
            Action::Unload { worker, function } => PolicyAction::Unload {
                worker: worker_index(&worker),
                function,
            },
            Action::WatchEndpoints | Action::Log { .. } => PolicyAction::Ignored,
        }
    }
}
