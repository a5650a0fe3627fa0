//! Commands of operators, and the replies to them.

/// What an operator asks at the door.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process takes clients.
    Readyz,
    /// The figures, one a line, then `END`.
    Telemetry,
    /// Leave the worker of this id out until it is included again.
    Exclude(String),
    /// Put the worker of this id back, as a new process.
    Include(String),
    /// Drain: say no to readiness, let client connections close once nothing is owed on them.
    Evacuate,
    /// Take clients again after a drain.
    Activate,
}

/// The core's reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminReply {
    /// This process takes clients.
    Ready,
    /// It takes no clients, as it drains.
    NotReadyDraining,
    /// It takes no clients, as it knows no workers yet.
    NotReadyStarting,
    /// It drains from now on.
    DrainStarted,
    /// The worker of this id is left out.
    Excluded(String),
    /// The worker of this id is back.
    Included(String),
    /// No worker has this id.
    UnknownWorker(String),
    /// The metrics, one a line, then `END`.
    Telemetry(String),
}
