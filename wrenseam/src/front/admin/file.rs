//! Files that a process leaves in `$TMPDIR` for the process that replaces it.
use crate::front::messages::{handover_not_written, HandoverContent};
use std::io;
use std::path::Path;

/// Writes a file as a whole, then renames it: the other process never reads half a file. `content` names it in the log.
pub(super) fn write_atomically(path: &Path, text: &str, content: HandoverContent) {
    let new = path.with_extension("new");
    if let Err(error) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path)) {
        log_limited!("{}", handover_not_written(content, &error));
    }
}

/// Reads a file that another process may leave; `None` if there is none.
///
/// # Errors
/// What it holds is not known: it does not count as empty.
pub(super) fn read_if_there(path: &Path) -> io::Result<Option<String>> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
