//! Polls the files in `$TMPDIR` through which the processes of one front end share the excluded worker ids and the name
//! of the active process.
use super::exclusions::exclusions_path;
use super::file::{read_if_exists, write_atomically};
use crate::front::messages::{handover_not_read, standby_changed, HandoverContent};
use crate::front::ListenerContext;
use crate::handover::Handover;
use crate::net::sleep;
use crate::process_files::shared_path;
use crate::queue::Message;
use std::path::PathBuf;
use std::time::Duration;

/// Interval at which the files are read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The file that names the active process of a front end, and the handover as this process sees it.
pub struct ActiveProcess {
    path: PathBuf,
    handover: Handover,
}

impl ActiveProcess {
    /// Names this process in the file as the active one, so that it replaces the process named there so far in sending
    /// to workers in slow start.
    pub fn claim(front_end: &str, seed: u64) -> ActiveProcess {
        let path = shared_path("process", front_end);
        // A file that cannot be read may name another process, so it counts as if it did.
        let previous = read_if_exists(&path).unwrap_or_else(|error| {
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

    /// Whether this process is on standby and sends nothing to workers in slow start.
    pub fn is_standby(&self) -> bool {
        self.handover.is_standby()
    }

    /// Reads the file. Returns whether this process is on standby now; `None` if that has not changed. A file that
    /// cannot be read changes nothing.
    fn poll(&mut self) -> Option<bool> {
        let was_standby = self.is_standby();
        let active = match read_if_exists(&self.path) {
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

/// Polls the files. Sends the excluded ids to the core at the start and whenever they change, so that a process that
/// replaces another keeps its exclusions, and reports to the core when this process becomes active or is replaced.
/// Returns when a change of the excluded ids cannot be sent because the core has ended.
pub fn poll_handover_files(context: &ListenerContext, mut active_process: ActiveProcess) {
    let path = exclusions_path();
    let mut sent = None;
    loop {
        if let Some(is_standby) = active_process.poll() {
            log_limited!("{}", standby_changed(is_standby));
            let _ = context.core.send(Message::Standby(is_standby)); // fails only if the core has ended
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
