//! A process of the program: its end, its signals, and its log.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStderr};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// A child that ends with whoever holds it.
pub struct Process(Option<Child>);

impl Drop for Process {
    /// Whoever waits for the lab's output would else wait for what it leaves running, should it end by an error.
    fn drop(&mut self) {
        self.end();
    }
}

impl Process {
    /// Holds a child that was started.
    pub fn new(child: Child) -> Process {
        Process(Some(child))
    }

    /// Whether it has been started and not ended by the lab.
    pub fn is_held(&self) -> bool {
        self.0.is_some()
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        self.0
            .as_mut()
            .is_some_and(|child| child.try_wait().ok().flatten().is_none())
    }

    /// Ends it at once, as a crash would.
    pub fn end(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill(); // it may have ended already
            let _ = child.wait();
        }
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// It does not run, or the system refuses.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        let child = self.0.as_ref().ok_or("the process has ended")?;
        kill(Pid::from_raw(child.id() as i32), signal).map_err(|e| format!("{signal}: {e}"))
    }

    /// Has it end in order by SIGTERM, and waits for its exit.
    ///
    /// # Errors
    /// It does not end within `within`, or not with success.
    pub fn leave(&mut self, within: Duration) -> Result<(), String> {
        self.signal(Signal::SIGTERM)?;
        let child = self.0.as_mut().ok_or("the process has ended")?;
        let since = Instant::now();
        let status = loop {
            if let Some(status) = child.try_wait().map_err(|e| e.to_string())? {
                break status;
            }
            if since.elapsed() > within {
                return Err(format!(
                    "the process did not end in {} s after SIGTERM",
                    within.as_secs()
                ));
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        self.0 = None;
        if status.success() {
            Ok(())
        } else {
            Err(format!("the process ended with {status} after SIGTERM"))
        }
    }
}

/// Copies a process's log into a file, so that its pipe never fills, and hands on each line for as long as anybody
/// listens; a thread, for a pipe blocks and is no socket of may's.
pub fn follow(log: ChildStderr, file: PathBuf) -> Receiver<String> {
    let (told, lines) = channel();
    std::thread::spawn(move || {
        let Ok(mut out) = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(file)
        else {
            return;
        };
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let _ = writeln!(out, "{line}");
            let _ = told.send(line); // nobody listens any more once it stands
        }
    });
    lines
}
