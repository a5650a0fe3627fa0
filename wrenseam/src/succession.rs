//! Which process of a front end sends to cold workers, where one replaces another beside it. Both have the same number, so
//! both would use its seats (docs/cold-workers.md). They share `$TMPDIR`: each names itself there as it starts, and the one
//! named last has the seats. Decides only; whoever looks at the file does the rest.

/// Looks at the file before a process that found another named there takes the seats: the other has looked and
/// stood aside meanwhile, though its looks come late by as much again.
const LOOKS: u32 = 3;

/// One process's part in it.
#[derive(Debug)]
pub struct Succession {
    own: String,
    waits: u32,
    replaced: bool,
}

impl Succession {
    /// A process of this name starts, where `before` was named till now.
    pub fn new(own: String, before: Option<&str>) -> Succession {
        let waits = if before.is_some_and(|b| b != own) {
            LOOKS
        } else {
            0
        };
        Succession {
            own,
            waits,
            replaced: false,
        }
    }

    /// Its name.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Whether it leaves the seats to another now.
    pub fn aside(&self) -> bool {
        self.replaced || self.waits > 0
    }

    /// It has looked who is named, if anyone; whether it leaves the seats to another now.
    pub fn looked(&mut self, named: Option<&str>) -> bool {
        self.replaced = named.is_some_and(|n| n != self.own);
        self.waits = self.waits.saturating_sub(1);
        self.aside()
    }
}
