//! The file of excluded worker ids, which the processes of one front end share.
use super::file::{read_if_exists, write_atomically, LockFile};
use super::AdminError;
use crate::file_lock::FileLockError;
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

/// Tracks the running commands that change the file. The core executes a command before the file has its change, so the
/// content of the file must not be applied while a command runs.
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

    /// Applies the change to the file, which no other command changes meanwhile, of this process or the other one. A file
    /// that cannot be read is left unchanged.
    ///
    /// # Errors
    /// Other commands had the file's lock all the time.
    fn apply_to(&self, path: &Path) -> Result<(), AdminError> {
        let lock_file = LockFile::open(path);
        let lock = match lock_file.as_ref().map(LockFile::lock) {
            Ok(Err(FileLockError::Held)) => return Err(AdminError::Busy),
            // Where files cannot be locked they are shared without.
            lock => lock,
        };
        match read_exclusions(path) {
            Ok(ids) => self.write_changed(path, ids),
            Err(error) => {
                log_limited!("{}", handover_not_read(HandoverContent::Exclusions, &error));
            }
        }
        drop(lock);
        Ok(())
    }

    fn write_changed(&self, path: &Path, mut ids: BTreeSet<String>) {
        let has_changed = match self {
            Change::Add(id) => ids.insert(id.clone()),
            Change::Remove(id) => ids.remove(id),
        };
        if has_changed {
            write_exclusions(path, &ids);
        }
    }
}

/// Executes an `exclude` or `include` command: `send` passes it to the core, then the file is changed, unless the core
/// does not know the worker. If the core does not reply in time the file is changed too, as a busy core still executes
/// the command. No poll of the file undoes the command in between: see [`ExclusionCommands`].
///
/// # Errors
/// Those of `send`, and [`AdminError::Busy`] if the file could not be locked in time.
pub fn update_exclusions(
    path: &Path,
    command: AdminCommand,
    send: impl FnOnce(AdminCommand) -> Result<AdminReply, AdminError>,
) -> Result<AdminReply, AdminError> {
    let change = Change::from_command(&command);
    let reply = send(command);
    if let (Some(change), false) = (change, matches!(reply, Ok(AdminReply::UnknownWorker(_)))) {
        change.apply_to(path)?;
    }
    reply
}
