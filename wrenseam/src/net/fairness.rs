//! Fair scheduling of reads and writes: clients that send at full speed must not keep the scheduler's only thread to
//! themselves. The scheduler polls sockets only when no coroutine is ready, so the reader and the writer of such a client
//! must both pause.
use super::sleep;
use may::sync::{Mutex, MutexGuard};
use std::sync::OnceLock;
use std::time::Duration;

/// After this many consecutive reads that filled the ring, other connections get their turn. The largest request takes
/// fewer reads.
const MAX_FULL_READS: u32 = 16;
/// After this many responses that were written without waiting for the next one, other connections get their turn.
const MAX_WRITES: u32 = 16;
/// Length of the pause in which other connections get their turn. After a mere yield the scheduler would run the same
/// coroutine again before it polls any socket.
const YIELD_PAUSE: Duration = Duration::from_micros(100);
/// Held by the one reader that currently reads at full speed. When several such readers only paused, without this lock,
/// one of them was always ready again before another had finished reading, and the scheduler never polled its sockets.
static FULL_SPEED_READER: OnceLock<Mutex<()>> = OnceLock::new();

/// Counts the reads of one connection and pauses its reader when others must get their turn.
#[derive(Default)]
pub struct ReadFairness {
    full_reads: u32,
    turn: Option<MutexGuard<'static, ()>>,
}

impl ReadFairness {
    /// Records one read. `filled` tells that it filled the ring, so that more input may be waiting. May pause the
    /// calling coroutine; returns whether it did.
    pub fn record(&mut self, filled: bool) -> bool {
        if !filled {
            self.full_reads = 0;
            self.turn = None;
            return false;
        }
        self.full_reads += 1;
        if self.full_reads < MAX_FULL_READS {
            return false;
        }
        self.full_reads = 0;
        if self.turn.is_some() {
            sleep(YIELD_PAUSE); // still holds the lock: no other full-speed reader runs, so all sockets are polled
        }
        self.turn = None;
        self.turn = FULL_SPEED_READER.get_or_init(Mutex::default).lock().ok();
        true
    }
}

/// Counts the responses that one connection's writer writes without waiting, and pauses it when others must get their
/// turn.
#[derive(Default)]
pub(super) struct WriteFairness {
    writes: u32,
}

impl WriteFairness {
    /// Records that the writer had to wait for a response.
    pub(super) fn record_wait(&mut self) {
        self.writes = 0;
    }

    /// Records a written response. May pause the calling coroutine.
    pub(super) fn record_write(&mut self) {
        self.writes += 1;
        if self.writes >= MAX_WRITES {
            self.writes = 0;
            sleep(YIELD_PAUSE);
        }
    }
}
