//! Access to the files in `$TMPDIR` that a process leaves for the process that replaces it.
use crate::front::messages::{handover_not_written, HandoverContent};
use std::io;
use std::path::Path;

/// Writes a new file and renames it to `path`, so that the other process never reads an incomplete file. A failure is
/// logged; `content` names the file's content in the log line.
pub(super) fn write_atomically(path: &Path, text: &str, content: HandoverContent) {
    let new = path.with_extension("new");
    if let Err(error) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path)) {
        log_limited!("{}", handover_not_written(content, &error));
    }
}

/// Reads a file that another process may have written; `None` if it does not exist.
///
/// # Errors
/// The file cannot be read. Its content is unknown, so callers must not treat it as empty or missing.
pub(super) fn read_if_exists(path: &Path) -> io::Result<Option<String>> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
