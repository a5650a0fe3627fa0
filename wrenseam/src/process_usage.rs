//! What the operating system says this process uses: resident memory and file descriptors.
use std::fs;

/// The kernel's report on the memory of the calling process.
const STATUS_FILE: &str = "/proc/self/status";
/// Name of the line in [`STATUS_FILE`] that states the resident memory, in KiB.
const RESIDENT_MEMORY: &str = "VmRSS:";
/// Holds an entry for each open file descriptor of the calling process.
const DESCRIPTOR_FOLDER: &str = "/proc/self/fd";

/// Resident memory of this process, in KiB; `None` if the system does not tell.
pub fn resident_kib() -> Option<u64> {
    let status = fs::read_to_string(STATUS_FILE).ok()?;
    parse_resident_kib(&status)
}

/// The resident memory that the text of the status file states, in KiB; `None` if it states none.
pub fn parse_resident_kib(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_MEMORY))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Number of open file descriptors of this process; `None` if the system does not tell.
pub fn open_descriptors() -> Option<usize> {
    let entries = fs::read_dir(DESCRIPTOR_FOLDER).ok()?;
    Some(entries.count().saturating_sub(1)) // the folder itself is open while it is read
}
