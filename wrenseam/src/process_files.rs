//! The files in `$TMPDIR` that belong to one front end: its processes share them when one replaces another.
use std::path::PathBuf;

/// The path of the file of this kind, for the front end of this name.
pub fn shared_path(kind: &str, front_end: &str) -> PathBuf {
    let name: String = front_end
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .collect();
    std::env::temp_dir().join(format!("wrenseam-{kind}-{name}"))
}
