//! Why the lab ends with an error. The texts are what it prints.
use crate::scenario::ScenarioError;
use nix::errno::Errno;
use nix::sys::signal::Signal;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// Why the lab ends with an error.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file, folder or program cannot be used.
    #[error("{}: {source}", path.display())]
    Path {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file of a scenario does not hold one that can be run.
    #[error("{}: {source}", path.display())]
    ScenarioFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: ScenarioError,
    },
    /// The scenario, with what the command line changes in it, cannot be run.
    #[error("{0}")]
    Scenario(#[from] ScenarioError),
    /// The system refused a port, a file or a wait.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(#[source] Box<dyn std::error::Error>),
    /// The program's place is not known.
    #[error("no program")]
    NoProgram,
    /// A process has no pipe for its log.
    #[error("no log")]
    NoLog,
    /// A lock is poisoned by a panic.
    #[error("poisoned")]
    Poisoned,
    /// A process has ended before.
    #[error("the process has ended")]
    ProcessEnded,
    /// A signal could not be sent.
    #[error("{signal}: {source}")]
    Signal {
        /// Which.
        signal: Signal,
        /// What the system said.
        source: Errno,
    },
    /// A process did not end on SIGTERM.
    #[error("the process did not end in {within_s} s after SIGTERM")]
    DidNotEnd {
        /// How long it had, in seconds.
        within_s: u64,
    },
    /// A process ended on SIGTERM, but not with success.
    #[error("the process ended with {0} after SIGTERM")]
    EndedBadly(ExitStatus),
    /// A front end neither listens nor writes to its log.
    #[error("front end {front} says nothing and does not listen; it said last: {last_line}")]
    DoesNotListen {
        /// Which.
        front: usize,
        /// The last line of its log.
        last_line: String,
    },
    /// A front end ended before it listened.
    #[error("front end {front} ended before it listened; it said last: {last_line}")]
    EndedBeforeListening {
        /// Which.
        front: usize,
        /// The last line of its log.
        last_line: String,
    },
    /// The front ends did not find each other.
    #[error("the fleet did not form in {within_s} s: {peers:?} peers")]
    NotFormed {
        /// How long they had, in seconds.
        within_s: u64,
        /// The peers that each counts.
        peers: Vec<Option<u64>>,
    },
    /// The front ends did not agree after the last fault.
    #[error("no agreement {within_s:.1} s after the last fault: {difference}")]
    NoAgreement {
        /// How long they had, in seconds.
        within_s: f64,
        /// What differs.
        difference: String,
    },
    /// The load did not end.
    #[error("the load did not end in {within_s} s")]
    LoadDidNotEnd {
        /// How long it had, in seconds.
        within_s: u64,
    },
    /// A thread or coroutine of the lab panicked.
    #[error("a thread of the lab panicked: what it carried is lost")]
    Panicked,
    /// Calls that must not run twice may have.
    #[error("{0} calls that must not be repeated came whole again")]
    Repeated(u64),
}

impl LabError {
    /// The error of a system call on a path.
    pub fn at(path: &Path) -> impl FnOnce(io::Error) -> LabError + '_ {
        |source| LabError::Path {
            path: path.to_owned(),
            source,
        }
    }
}
