//! A process of the program: its end, its signals, and its log.
use crate::error::LabError;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, ExitStatus};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// How often a process that is to end is looked at.
const EXIT_POLL: Duration = Duration::from_millis(2);

/// A child that ends with its owner.
pub struct Process(Option<Child>);

impl Drop for Process {
    /// A caller that waits for the lab's output would else wait for what it leaves running, should it end by an error.
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Owns a child that was started.
    pub fn new(child: Child) -> Process {
        Process(Some(child))
    }

    /// Whether the lab has not ended it.
    pub fn is_started(&self) -> bool {
        self.0.is_some()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = self.0.as_mut() else {
            return false;
        };
        child.try_wait().ok().flatten().is_none()
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill(); // it may have ended already
            let _ = child.wait();
        }
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// It does not run, or the system refuses.
    pub fn signal(&self, signal: Signal) -> Result<(), LabError> {
        let child = self.0.as_ref().ok_or(LabError::ProcessEnded)?;
        let pid = Pid::from_raw(child.id() as i32);
        kill(pid, signal).map_err(|source| LabError::Signal { signal, source })
    }

    /// Shuts it down gracefully by SIGTERM, and waits for its exit.
    ///
    /// # Errors
    /// It does not end within `within`, or not with success.
    pub fn terminate(&mut self, within: Duration) -> Result<(), LabError> {
        self.signal(Signal::SIGTERM)?;
        let status = self.wait_for_exit(within)?;
        self.0 = None;
        if !status.success() {
            return Err(LabError::EndedBadly(status));
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
                return Err(LabError::DidNotEnd {
                    within_s: within.as_secs(),
                });
            }
            std::thread::sleep(EXIT_POLL);
        }
    }
}

/// Copies a process's log into a file, so that its pipe never fills, and passes each line on for as long as there is a
/// receiver; a thread, for a pipe blocks and is no socket of may's.
pub fn follow(log: ChildStderr, file: PathBuf) -> Receiver<String> {
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
            let _ = writeln!(copy, "{line}"); // a disk that is full ends no run
            let _ = sender.send(line); // there is no receiver any more once the process listens
        }
    });
    lines
}
