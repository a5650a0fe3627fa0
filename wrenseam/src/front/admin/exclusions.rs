//! The file of excluded ids, which the processes of one front end share.
use super::file::{read_if_there, write_atomically};
use super::AdminError;
use crate::front::messages::{handover_not_read, HandoverContent};
use crate::model::{AdminCommand, AdminReply};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The file's name in `$TMPDIR`, which a replacing process shares.
const FILE_NAME: &str = "wrenseam-excluded";

/// Where the processes of this front end keep the excluded ids.
pub fn exclusions_path() -> PathBuf {
    std::env::temp_dir().join(FILE_NAME)
}

/// The excluded ids in the file; none if there is none.
///
/// # Errors
/// The file cannot be read: which ids are excluded is not known.
pub fn read_exclusions(path: &Path) -> io::Result<BTreeSet<String>> {
    let text = read_if_there(path)?.unwrap_or_default();
    let lines = text.lines().map(str::trim);
    let ids = lines.filter(|line| !line.is_empty());
    Ok(ids.map(str::to_owned).collect())
}

/// The commands that change the file. One for an id that no worker has is reversed once the core has answered: what the
/// file holds until then is not to be acted on.
#[derive(Clone, Debug, Default)]
pub struct ExclusionCommands(Arc<CommandCounts>);

#[derive(Debug, Default)]
struct CommandCounts {
    begun: AtomicU64,
    ended: AtomicU64,
}

/// A command that has not ended. It ends when this is dropped.
pub struct RunningCommand(Arc<CommandCounts>);

impl ExclusionCommands {
    /// A command begins.
    #[must_use]
    pub fn begin(&self) -> RunningCommand {
        self.0.begun.fetch_add(1, Ordering::AcqRel);
        RunningCommand(self.0.clone())
    }

    /// The ids in the file, unless a command is or was running meanwhile.
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

/// A change of the excluded ids.
#[derive(Clone)]
enum Change {
    Add(String),
    Remove(String),
}

impl Change {
    /// The change that a command asks for, if any.
    fn of(command: &AdminCommand) -> Option<Change> {
        match command {
            AdminCommand::Exclude(id) => Some(Change::Add(id.clone())),
            AdminCommand::Include(id) => Some(Change::Remove(id.clone())),
            _ => None,
        }
    }

    fn reverse(self) -> Change {
        match self {
            Change::Add(id) => Change::Remove(id),
            Change::Remove(id) => Change::Add(id),
        }
    }

    /// Changes the file; whether it differs now. One that cannot be read stays as it is.
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

/// Carries out an exclude or include: the file first, so that no poll of it undoes the command, then the core by `ask`.
/// Only a change for an id that no worker has is reversed, and nothing else with it: commands come at the same time,
/// and a core that is busy still does what it was asked.
///
/// # Errors
/// Those of `ask`.
pub fn update_exclusions(
    path: &Path,
    command: AdminCommand,
    ask: impl FnOnce(AdminCommand) -> Result<AdminReply, AdminError>,
) -> Result<AdminReply, AdminError> {
    let change = Change::of(&command).filter(|change| change.apply_to(path));
    let reply = ask(command);
    if let (Some(change), Ok(AdminReply::UnknownWorker(_))) = (change, &reply) {
        change.reverse().apply_to(path);
    }
    reply
}
