//! A wrenseam process: signals, exit and log.
use crate::error::LabError;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, ExitStatus};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Interval at which the lab checks whether a process has exited.
const EXIT_POLL: Duration = Duration::from_millis(2);

/// A child process that is killed when this is dropped; `None` once the lab has ended it.
pub struct Process(Option<Child>);

impl Drop for Process {
    /// Kills the process, also where the lab ends with an error: a process left running would keep the lab's output
    /// open, and a caller that waits for the end of that output would not return.
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Takes ownership of a started child process.
    pub fn new(child: Child) -> Process {
        Process(Some(child))
    }

    /// Whether the lab has not ended it; also true for a process that has exited by itself.
    pub fn is_started(&self) -> bool {
        self.0.is_some()
    }

    /// Whether the process is running (suspended counts as running). `false` after the lab has ended it.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = self.0.as_mut() else {
            return false;
        };
        child.try_wait().ok().flatten().is_none()
    }

    /// Kills the process with SIGKILL, which has the effect of a crash, and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill(); // fails if the process has already exited
            let _ = child.wait();
        }
    }

    /// Sends the process a signal.
    ///
    /// # Errors
    /// The lab has already ended the process, or the system call fails.
    pub fn signal(&self, signal: Signal) -> Result<(), LabError> {
        let child = self.0.as_ref().ok_or(LabError::ProcessEnded)?;
        let pid = Pid::from_raw(child.id() as i32);
        kill(pid, signal).map_err(|source| LabError::Signal { signal, source })
    }

    /// Shuts the process down gracefully with SIGTERM, and waits for its exit.
    ///
    /// # Errors
    /// The process does not exit within `within`, or exits with a failure status.
    pub fn terminate(&mut self, within: Duration) -> Result<(), LabError> {
        self.signal(Signal::SIGTERM)?;
        let status = self.wait_for_exit(within)?;
        self.0 = None;
        if !status.success() {
            return Err(LabError::ExitFailure(status));
        }
        Ok(())
    }

    fn wait_for_exit(&mut self, within: Duration) -> Result<ExitStatus, LabError> {
        let child = self.0.as_mut().ok_or(LabError::ProcessEnded)?;
        let since = Instant::now();
        loop {
            if let Some(status) = child.try_wait()? {
                return Ok(status);
            }
            if since.elapsed() > within {
                return Err(LabError::DidNotExit {
                    within_s: within.as_secs(),
                });
            }
            std::thread::sleep(EXIT_POLL);
        }
    }
}

/// Copies a process's standard error into a file and sends each line to the returned receiver while that exists. The
/// pipe must be read until its end: a full pipe would block the process. It is read on a thread because reading a pipe
/// blocks, and `may` offers non-blocking reads only for its own sockets.
pub fn follow_log(log: ChildStderr, file: PathBuf) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        let options = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(file);
        let Ok(mut copy) = options else {
            return;
        };
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let _ = writeln!(copy, "{line}"); // a full disk does not end the run
            let _ = sender.send(line); // fails once the process listens: the receiver is dropped then
        }
    });
    lines
}
