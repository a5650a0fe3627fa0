//! Commands of the admin endpoint.

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
