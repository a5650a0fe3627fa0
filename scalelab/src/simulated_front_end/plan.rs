//! What is due, and what the module asked for.
use super::number;
use wrenseam_policy::{Action, FunctionId, Micros, Outcome, RequestId};

#[derive(Clone, Copy, Debug)]
pub(super) enum Due {
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
pub(super) enum Todo {
    Send(RequestId, usize),
    Cancel(RequestId, usize),
    Refuse(RequestId),
    Fail(RequestId),
    Timer(Micros, u64),
    Load(usize, FunctionId, u32),
    Drop(usize, FunctionId),
    Other,
}

impl From<Action> for Todo {
    fn from(action: Action) -> Todo {
        match action {
            Action::Send { id, worker, .. } => Todo::Send(id, number(&worker)),
            Action::Cancel { id, attempt } => Todo::Cancel(id, attempt),
            Action::Reject { id, .. } => Todo::Refuse(id),
            Action::Fail { id } => Todo::Fail(id),
            Action::Timer { delay, token } => Todo::Timer(delay, token),
            Action::Load {
                worker,
                function,
                replicas: count,
            } => Todo::Load(number(&worker), function, count),
            Action::Unload { worker, function } => Todo::Drop(number(&worker), function),
            Action::WatchEndpoints | Action::Log { .. } => Todo::Other,
        }
    }
}
