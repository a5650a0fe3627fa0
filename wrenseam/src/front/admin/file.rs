//! Files that a process leaves in `$TMPDIR` for the process that replaces it.
use crate::front::messages::{handover_not_written, HandoverContent};
use std::path::Path;

/// Writes a file as a whole, then renames it: the other process never reads half a file. `content` names it in the log.
pub(super) fn write_atomically(path: &Path, text: &str, content: HandoverContent) {
    let new = path.with_extension("new");
    if let Err(error) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path)) {
        note!("{}", handover_not_written(content, &error));
    }
}
