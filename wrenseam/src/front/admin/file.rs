//! Files that a process leaves in `$TMPDIR` for the process that replaces it.
use std::path::Path;

/// Writes a file as a whole, then renames it: the other process never reads half a file. `content` names it in the log.
pub(super) fn write_atomically(path: &Path, text: &str, content: &str) {
    let new = path.with_extension("new");
    if let Err(error) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path)) {
        note!("admin: {content} not kept for a replacing process: {error}");
    }
}
