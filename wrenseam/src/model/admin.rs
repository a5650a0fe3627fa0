//! Commands of operators.

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
