//! Which process of a front end sends to workers in slow start, where one process replaces another and both run for a
//! while. Both have the same place among the front ends, so both would send (docs/cold-workers.md). They share
//! `$TMPDIR`: each names itself in a file there as it starts, and the one named last is active. Decides only, without
//! I/O; `front::admin` reads and writes the file.

/// Polls of the file before a process that found another named there becomes active: by then the other has polled and
/// gone on standby, though its polls may be late by as much again.
const TAKEOVER_POLLS: u32 = 3;

/// One process's part in the handover.
#[derive(Debug)]
pub struct Handover {
    process: String,
    remaining_polls: u32,
    is_replaced: bool,
}

impl Handover {
    /// A process of this name starts, where `active` was named till now.
    pub fn new(process: String, active: Option<&str>) -> Handover {
        let replaces_another = active.is_some_and(|active| active != process);
        Handover {
            process,
            remaining_polls: if replaces_another { TAKEOVER_POLLS } else { 0 },
            is_replaced: false,
        }
    }

    /// Its name.
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Whether another process is active now.
    pub fn is_standby(&self) -> bool {
        self.is_replaced || self.remaining_polls > 0
    }

    /// The file was polled and names `active`, if any process; whether another process is active now.
    pub fn observe(&mut self, active: Option<&str>) -> bool {
        self.is_replaced = active.is_some_and(|active| active != self.process);
        self.remaining_polls = self.remaining_polls.saturating_sub(1);
        self.is_standby()
    }
}
