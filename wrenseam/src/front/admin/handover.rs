//! Watches what the processes of one front end tell each other in `$TMPDIR`: the excluded ids, and which process is the
//! active one.
use super::exclusions::exclusions_path;
use super::file::{read_if_there, write_atomically};
use crate::front::messages::{handover_not_read, standby_changed, HandoverContent};
use crate::front::ListenerContext;
use crate::handover::Handover;
use crate::net::sleep;
use crate::queue::Message;
use std::path::PathBuf;
use std::time::Duration;

/// How often the files are read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The file that names the active process of a front end, and this process's part in the handover.
pub struct ActiveProcess {
    path: PathBuf,
    handover: Handover,
}

impl ActiveProcess {
    /// Names this process in the file of its front end: it is to send to workers in slow start in the place of the
    /// process before it.
    pub fn claim(front_end: &str, seed: u64) -> ActiveProcess {
        let name: String = front_end
            .chars()
            .filter(char::is_ascii_alphanumeric)
            .collect();
        let path = std::env::temp_dir().join(format!("wrenseam-process-{name}"));
        // One that cannot be read may name another process.
        let previous = read_if_there(&path).unwrap_or_else(|error| {
            log_limited!(
                "{}",
                handover_not_read(HandoverContent::ActiveProcess, &error)
            );
            Some(String::new())
        });
        let process = format!("{}-{seed:x}", std::process::id());
        let handover = Handover::new(process, previous.as_deref());
        write_atomically(&path, handover.process(), HandoverContent::ActiveProcess);
        ActiveProcess { path, handover }
    }

    /// Whether another process sends to workers in slow start now.
    pub fn is_standby(&self) -> bool {
        self.handover.is_standby()
    }

    /// Reads the file; whether this process is on standby now, where that has changed. One that cannot be read changes
    /// nothing.
    fn poll(&mut self) -> Option<bool> {
        let was_standby = self.is_standby();
        let active = match read_if_there(&self.path) {
            Ok(active) => active,
            Err(error) => {
                log_limited!(
                    "{}",
                    handover_not_read(HandoverContent::ActiveProcess, &error)
                );
                return None;
            }
        };
        let is_standby = self.handover.observe(active.as_deref());
        (is_standby != was_standby).then_some(is_standby)
    }
}

/// Hands the file's exclusions to the core at the start and whenever the file changes: a process that replaces another
/// keeps its exclusions. Tells the core, too, when this process becomes the active one or is replaced. Ends with the
/// core.
pub fn poll_handover_files(context: &ListenerContext, mut active_process: ActiveProcess) {
    let path = exclusions_path();
    let mut sent = None;
    loop {
        if let Some(is_standby) = active_process.poll() {
            log_limited!("{}", standby_changed(is_standby));
            let _ = context.core.send(Message::Standby(is_standby)); // seen below if the core has ended
        }
        let ids = match context.exclusion_commands.read_settled(&path) {
            Ok(ids) => ids.filter(|ids| sent.as_ref() != Some(ids)),
            Err(error) => {
                log_limited!("{}", handover_not_read(HandoverContent::Exclusions, &error));
                None
            }
        };
        if let Some(ids) = ids {
            let message = Message::Exclusions(ids.clone());
            if context.core.send(message).is_err() {
                return;
            }
            sent = Some(ids);
        }
        sleep(POLL_INTERVAL);
    }
}
