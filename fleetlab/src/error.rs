//! The errors with which the lab ends; it prints their texts.
use crate::scenario::ScenarioError;
use nix::errno::Errno;
use nix::sys::signal::Signal;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// An error that ends the lab.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file or directory could not be accessed, or a program could not be started.
    #[error("{}: {source}", path.display())]
    Path {
        /// Path of the file, directory or program.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// A scenario file does not contain a valid scenario.
    #[error("{}: {source}", path.display())]
    ScenarioFile {
        /// Path of the scenario file.
        path: PathBuf,
        /// Reason why the scenario is invalid.
        source: ScenarioError,
    },
    /// The scenario is invalid after the overrides of the command line.
    #[error("{0}")]
    Scenario(#[from] ScenarioError),
    /// A port could not be bound, a file not written, or a child process not waited for.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The plot (report.svg) could not be written.
    #[error("report.svg not written: {0}")]
    Plot(#[source] Box<dyn std::error::Error>),
    /// The system does not tell the path of this executable, so the `wrenseam` beside it cannot be found.
    #[error("the path of this executable is unknown; state the path of wrenseam with --program")]
    NoExecutablePath,
    /// A front end was started without a pipe for its standard error, so its log cannot be read.
    #[error("the front end's standard error is not piped; its log cannot be read")]
    NoStderr,
    /// A thread panicked while it held a lock.
    #[error("lock poisoned: a thread of the lab panicked while it held it")]
    PoisonedLock,
    /// The lab has already ended the process that it was to signal or wait for.
    #[error("the process has already ended")]
    ProcessEnded,
    /// A signal could not be sent.
    #[error("{signal} not sent: {source}")]
    Signal {
        /// The signal.
        signal: Signal,
        /// Error of the system call.
        source: Errno,
    },
    /// A process did not exit in time after SIGTERM.
    #[error("the process did not exit within {within_s} s after SIGTERM")]
    DidNotExit {
        /// Time limit in seconds.
        within_s: u64,
    },
    /// A process exited after SIGTERM, but with a failure status.
    #[error("the process exited with a failure after SIGTERM: {0}")]
    ExitFailure(ExitStatus),
    /// A front end does not listen yet and has stopped writing to its log.
    #[error("front end {front} does not listen and no longer logs; last log line: {last_line}")]
    DoesNotListen {
        /// Index of the front end.
        front: usize,
        /// Last line of its log; "none" if it wrote no line.
        last_line: String,
    },
    /// A front end exited before it listened.
    #[error("front end {front} exited before it listened; last log line: {last_line}")]
    ExitedBeforeListening {
        /// Index of the front end.
        front: usize,
        /// Last line of its log; "none" if it wrote no line.
        last_line: String,
    },
    /// The front ends did not all join the fleet in time.
    #[error(
        "the fleet did not form within {within_s} s: the front ends count {peers:?} live peers"
    )]
    FleetNotFormed {
        /// Time limit in seconds.
        within_s: u64,
        /// Number of live peers by each front end's telemetry; `None` where it did not answer.
        peers: Vec<Option<u64>>,
    },
    /// The front ends did not come to the same and correct view of the fleet in time after the last fault.
    #[error("no agreement on the fleet's members within {within_s:.1} s after the last fault: {difference}")]
    NoAgreement {
        /// Time limit in seconds.
        within_s: f64,
        /// First difference that was found at the last comparison.
        difference: String,
    },
    /// The load generator did not finish in time.
    #[error("the load did not end within {within_s} s")]
    LoadDidNotEnd {
        /// Time limit in seconds.
        within_s: u64,
    },
    /// A thread or coroutine of the lab panicked, so the results do not show the behaviour of the front ends.
    #[error("a thread or coroutine of the lab panicked; the results of the run are invalid")]
    Panicked,
    /// Number of calls that reached a worker completely again although their effect forbids a second run.
    #[error("{0} calls that must not be repeated reached workers completely again")]
    Repeated(u64),
}

impl LabError {
    /// Returns a function that adds the path to the error of a system call, for `map_err`.
    pub fn at(path: &Path) -> impl FnOnce(io::Error) -> LabError + '_ {
        |source| LabError::Path {
            path: path.to_owned(),
            source,
        }
    }
}
