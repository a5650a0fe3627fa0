//! Decides which process of a front end sends to workers in slow start while one process replaces another and both run.
//!
//! Workers in slow start are divided among the front ends (docs/cold-workers.md). Both processes belong to the same
//! front end, so both would send to the same workers. They share `$TMPDIR`: each process writes its name into a file
//! there when it starts, and the last one named is active. No I/O here; `front::admin` reads and writes the file.

/// The number of polls after which a process that found another one named in the file becomes active. By then the other
/// process has polled the file and gone on standby, even if its polls are up to one interval late.
const TAKEOVER_POLLS: u32 = 3;

/// The handover as one process sees it.
#[derive(Debug)]
pub struct Handover {
    /// The name of this process.
    process: String,
    /// Polls before this process may become active.
    remaining_polls: u32,
    /// Whether the last poll found another process named in the file.
    is_replaced: bool,
}

impl Handover {
    /// The handover of a process that starts under this name. `active` is the process named in the file so far; `None`
    /// if there is no file.
    pub fn new(process: String, active: Option<&str>) -> Handover {
        let replaces_another = active.is_some_and(|active| active != process);
        Handover {
            process,
            remaining_polls: if replaces_another { TAKEOVER_POLLS } else { 0 },
            is_replaced: false,
        }
    }

    /// The name of this process.
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Whether this process is on standby and sends nothing to workers in slow start.
    pub fn is_standby(&self) -> bool {
        self.is_replaced || self.remaining_polls > 0
    }

    /// Applies the result of a poll, in which the file named the process `active`; `None` if there is no file. Returns
    /// whether this process is on standby now.
    pub fn observe(&mut self, active: Option<&str>) -> bool {
        self.is_replaced = active.is_some_and(|active| active != self.process);
        self.remaining_polls = self.remaining_polls.saturating_sub(1);
        self.is_standby()
    }
}
