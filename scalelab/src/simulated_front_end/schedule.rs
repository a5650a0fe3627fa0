//! What is due, and what the module asked for.
use super::number;
use wrenseam_policy::{Action, FunctionId, Micros, Outcome, RequestId};

#[derive(Clone, Copy, Debug)]
pub(super) enum ScheduledEvent {
    Timer(u64),
    Call,
    Change,
    End {
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        since: Micros,
        warm: Option<bool>,
    },
    Answer {
        worker: usize,
        function: FunctionId,
        count: u32,
        outcome: Outcome,
        since: Micros,
    },
}

#[derive(Clone, Copy)]
pub(super) enum PolicyAction {
    Send(RequestId, usize),
    Cancel(RequestId, usize),
    Refuse(RequestId),
    Fail(RequestId),
    Timer(Micros, u64),
    Load(usize, FunctionId, u32),
    Drop(usize, FunctionId),
    Other,
}

impl From<Action> for PolicyAction {
    fn from(action: Action) -> PolicyAction {
        match action {
            Action::Send { id, worker, .. } => PolicyAction::Send(id, number(&worker)),
            Action::Cancel { id, attempt } => PolicyAction::Cancel(id, attempt),
            Action::Reject { id, .. } => PolicyAction::Refuse(id),
            Action::Fail { id } => PolicyAction::Fail(id),
            Action::Timer { delay, token } => PolicyAction::Timer(delay, token),
            Action::Load {
                worker,
                function,
                replicas: count,
            } => PolicyAction::Load(number(&worker), function, count),
            Action::Unload { worker, function } => PolicyAction::Drop(number(&worker), function),
            Action::WatchEndpoints | Action::Log { .. } => PolicyAction::Other,
        }
    }
}
