//! Clients that send at full speed take turns.
use super::pause;
use may::sync::{Mutex, MutexGuard};
use std::sync::OnceLock;
use std::time::Duration;

/// Full reads in a row after which others have their turn: more than the largest request takes.
const FULL_READS: u32 = 16;
/// How long that is. A mere yield would run the same coroutine again before any other connection is looked at.
const TURN: Duration = Duration::from_micros(100);
/// Held by the one reader whose client may send at full speed now. Where each of several only waited for its time, the
/// next was ready before the one had read, and the scheduler never came to look at a socket.
static AT_FULL_SPEED: OnceLock<Mutex<()>> = OnceLock::new();

/// Counts reads of a client that sends at full speed.
#[derive(Default)]
pub struct Reads {
    full: u32,
    turn: Option<MutexGuard<'static, ()>>,
}

impl Reads {
    /// One read was made; `full` if it filled the ring, so that more may lie behind it.
    pub fn made(&mut self, full: bool) {
        if !full {
            (self.full, self.turn) = (0, None);
            return;
        }
        self.full += 1;
        if self.full < FULL_READS {
            return;
        }
        self.full = 0;
        if self.turn.is_some() {
            pause(TURN); // nobody else at full speed runs meanwhile, so all other connections are looked at
        }
        self.turn = None;
        self.turn = AT_FULL_SPEED.get_or_init(Mutex::default).lock().ok();
    }
}
