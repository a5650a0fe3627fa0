//! Commands of operators, and the replies to them.

/// A command that an operator sends to the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process accepts clients.
    Readyz,
    /// Counters and gauges, one a line, then `END`.
    Telemetry,
    /// Send the worker of this id nothing new until it is included again.
    Exclude(String),
    /// Use the worker of this id again, as a process that has just started.
    Include(String),
    /// Drain: not ready, and client connections close once no answer is owed on them.
    Evacuate,
    /// End a drain.
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
