//! Operators' commands to the admin endpoint, and the replies to them.

/// A command that an operator sends to the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Report whether this process accepts clients.
    Readyz,
    /// Report the counters and gauges.
    Telemetry,
    /// Send no new work to the worker of this id until it is included again.
    Exclude(String),
    /// Send new work to the worker of this id again, as to a process that has just started.
    Include(String),
    /// Drain: report not ready, and close each client connection once no request is open on it.
    Evacuate,
    /// End the drain.
    Activate,
}

/// The core's reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminReply {
    /// This process accepts clients.
    Ready,
    /// This process accepts no clients because it drains.
    NotReadyDraining,
    /// This process accepts no clients because it has no endpoint list yet.
    NotReadyStarting,
    /// This process drains from now on.
    DrainStarted,
    /// The worker of this id is excluded.
    Excluded(String),
    /// The worker of this id is no longer excluded.
    Included(String),
    /// No endpoint list has named a worker of this id.
    UnknownWorker(String),
    /// The counters and gauges, one per line, then a line `END`.
    Telemetry(String),
}
