//! The file of excluded worker ids, which the processes of one front end share.
use super::file::{read_if_exists, write_atomically};
use super::AdminError;
use crate::front::messages::{handover_not_read, HandoverContent};
use crate::model::{AdminCommand, AdminReply};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The file's name in `$TMPDIR`, which a process shares with its successor.
const FILE_NAME: &str = "wrenseam-excluded";

/// The path of the file that the processes of this front end share.
pub fn exclusions_path() -> PathBuf {
    std::env::temp_dir().join(FILE_NAME)
}

/// Reads the excluded ids from the file; empty if there is no file.
///
/// # Errors
/// The file cannot be read, so it is not known which ids are excluded.
pub fn read_exclusions(path: &Path) -> io::Result<BTreeSet<String>> {
    let text = read_if_exists(path)?.unwrap_or_default();
    let lines = text.lines().map(str::trim);
    let ids = lines.filter(|line| !line.is_empty());
    Ok(ids.map(str::to_owned).collect())
}

/// Tracks the running commands that change the file. A command for an unknown worker id is reverted once the core has
/// replied, so the content of the file must not be applied while a command runs.
#[derive(Clone, Debug, Default)]
pub struct ExclusionCommands(Arc<CommandCounts>);

/// The numbers of commands that have begun and ended since the process started.
#[derive(Debug, Default)]
struct CommandCounts {
    begun: AtomicU64,
    ended: AtomicU64,
}

/// A command that is running. It counts as ended when this is dropped.
pub struct RunningCommand(Arc<CommandCounts>);

impl ExclusionCommands {
    /// Counts a command as running until the result is dropped.
    #[must_use]
    pub fn begin(&self) -> RunningCommand {
        self.0.begun.fetch_add(1, Ordering::AcqRel);
        RunningCommand(self.0.clone())
    }

    /// Reads the ids from the file; `None` if a command was running at any time during the read.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn read_settled(&self, path: &Path) -> io::Result<Option<BTreeSet<String>>> {
        let ended = self.0.ended.load(Ordering::Acquire);
        let ids = read_exclusions(path)?;
        let is_settled = self.0.begun.load(Ordering::Acquire) == ended;
        Ok(is_settled.then_some(ids))
    }
}

impl Drop for RunningCommand {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::AcqRel);
    }
}

/// Writes the file; a failure is logged.
pub fn write_exclusions(path: &Path, ids: &BTreeSet<String>) {
    let text: String = ids.iter().map(|id| format!("{id}\n")).collect();
    write_atomically(path, &text, HandoverContent::Exclusions);
}

/// A change of the set of excluded ids.
#[derive(Clone)]
enum Change {
    Add(String),
    Remove(String),
}

impl Change {
    /// The change that a command requests; `None` if it is another kind of command.
    fn from_command(command: &AdminCommand) -> Option<Change> {
        match command {
            AdminCommand::Exclude(id) => Some(Change::Add(id.clone())),
            AdminCommand::Include(id) => Some(Change::Remove(id.clone())),
            _ => None,
        }
    }

    /// The change that undoes this one.
    fn reversed(self) -> Change {
        match self {
            Change::Add(id) => Change::Remove(id),
            Change::Remove(id) => Change::Add(id),
        }
    }

    /// Applies the change to the file. Returns whether its content changed. A file that cannot be read is left
    /// unchanged.
    fn apply_to(&self, path: &Path) -> bool {
        let mut ids = match read_exclusions(path) {
            Ok(ids) => ids,
            Err(error) => {
                log_limited!("{}", handover_not_read(HandoverContent::Exclusions, &error));
                return false;
            }
        };
        let has_changed = match self {
            Change::Add(id) => ids.insert(id.clone()),
            Change::Remove(id) => ids.remove(id),
        };
        if has_changed {
            write_exclusions(path, &ids);
        }
        has_changed
    }
}

/// Executes an `exclude` or `include` command. The file is changed first, so that no poll of the file undoes the
/// command. Then `send` passes the command to the core. If the core does not know the worker, this change alone is
/// reverted, as concurrent commands may have made others. If the core does not reply in time the change stays, as a
/// busy core still executes the command.
///
/// # Errors
/// Those of `send`.
pub fn update_exclusions(
    path: &Path,
    command: AdminCommand,
    send: impl FnOnce(AdminCommand) -> Result<AdminReply, AdminError>,
) -> Result<AdminReply, AdminError> {
    let change = Change::from_command(&command).filter(|change| change.apply_to(path));
    let reply = send(command);
    if let (Some(change), Ok(AdminReply::UnknownWorker(_))) = (change, &reply) {
        change.reversed().apply_to(path);
    }
    reply
}
