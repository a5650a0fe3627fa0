//! Turns among clients that send at full speed, so that none keeps the scheduler's one thread.
use super::sleep;
use may::sync::{Mutex, MutexGuard};
use std::sync::OnceLock;
use std::time::Duration;

/// Full reads in a row after which others have their turn: more than the largest request takes.
const FULL_READS: u32 = 16;
/// How long that is. A mere yield would run the same coroutine again before any other connection is looked at.
const TURN: Duration = Duration::from_micros(100);
/// Held by the one reader whose client may send at full speed now. Where each of several only waited for its time, the
/// next was ready before the one had read, and the scheduler never came to look at a socket.
static FULL_SPEED: OnceLock<Mutex<()>> = OnceLock::new();

/// Counts the reads of one connection.
#[derive(Default)]
pub struct ReadFairness {
    full_reads: u32,
    turn: Option<MutexGuard<'static, ()>>,
}

impl ReadFairness {
    /// One read was made; it `filled` the ring if more may lie behind it.
    pub fn record(&mut self, filled: bool) {
        if !filled {
            self.full_reads = 0;
            self.turn = None;
            return;
        }
        self.full_reads += 1;
        if self.full_reads < FULL_READS {
            return;
        }
        self.full_reads = 0;
        if self.turn.is_some() {
            sleep(TURN); // no other reader at full speed runs meanwhile, so all other connections are looked at
        }
        self.turn = None;
        self.turn = FULL_SPEED.get_or_init(Mutex::default).lock().ok();
    }
}
