//! The file of excluded ids, which the processes of one front end share.
use super::file::write_atomically;
use super::AdminError;
use crate::front::messages::HandoverContent;
use crate::model::{AdminCommand, AdminReply};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The file's name in `$TMPDIR`, which a replacing process shares.
const FILE_NAME: &str = "wrenseam-excluded";

/// Where the processes of this front end keep the excluded ids.
pub fn exclusions_path() -> PathBuf {
    std::env::temp_dir().join(FILE_NAME)
}

/// The excluded ids in the file; none if there is none.
pub fn read_exclusions(path: &Path) -> BTreeSet<String> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .map(str::to_owned)
        .collect()
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

    /// Changes the file; whether it differs now.
    fn apply_to(&self, path: &Path) -> bool {
        let mut ids = read_exclusions(path);
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
