//! Fair scheduling of reads: clients that send at full speed must not keep the scheduler's only thread to themselves.
use super::sleep;
use may::sync::{Mutex, MutexGuard};
use std::sync::OnceLock;
use std::time::Duration;

/// After this many consecutive reads that filled the ring, other connections get their turn. The largest request takes
/// fewer reads.
const MAX_FULL_READS: u32 = 16;
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
    /// calling coroutine.
    pub fn record(&mut self, filled: bool) {
        if !filled {
            self.full_reads = 0;
            self.turn = None;
            return;
        }
        self.full_reads += 1;
        if self.full_reads < MAX_FULL_READS {
            return;
        }
        self.full_reads = 0;
        if self.turn.is_some() {
            sleep(YIELD_PAUSE); // still holds the lock: no other full-speed reader runs, so all sockets are polled
        }
        self.turn = None;
        self.turn = FULL_SPEED_READER.get_or_init(Mutex::default).lock().ok();
    }
}
