//! How long what is known of a worker's readiness may be acted on.

/// Why nothing is received from discovery any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// A connection on which events came has ended.
    Broken,
    /// A connection stays open and carries nothing more.
    Silent,
    /// Nobody answers.
    Unreachable,
    /// Discovery is at another address now.
    Moved,
    /// This process has just started, in the place of another.
    TakenOver,
}
