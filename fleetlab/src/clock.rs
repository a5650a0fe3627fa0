//! The run's time: it begins with the load, and is paused while the lab waits for a process that it has started.
//! On a busy machine eight starts, one after the other, can last longer than the load, which would be over before
//! they are up.
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The time of the run at a moment.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    /// Seconds of the run.
    pub seconds: f64,
    /// Whether it is paused.
    pub is_paused: bool,
}

/// How long the clock was paused.
struct Pauses {
    /// All pauses that are over.
    total: Duration,
    /// Since when it is paused now.
    since: Option<Instant>,
}

/// Seconds of the run, and real ones beside them.
pub struct Clock {
    start: Instant,
    pauses: Mutex<Pauses>,
}

impl Clock {
    /// A clock that is paused at 0 until it is resumed.
    pub fn paused() -> Clock {
        let start = Instant::now();
        Clock {
            start,
            pauses: Mutex::new(Pauses {
                total: Duration::ZERO,
                since: Some(start),
            }),
        }
    }

    fn pauses(&self) -> MutexGuard<'_, Pauses> {
        self.pauses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Goes on.
    pub fn resume(&self) {
        let mut pauses = self.pauses();
        if let Some(since) = pauses.since.take() {
            pauses.total += since.elapsed();
        }
    }

    /// Real seconds since it was made: what happens at workers goes by these.
    pub fn real_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The time of the run.
    pub fn now(&self) -> RunTime {
        let pauses = self.pauses();
        let at = pauses.since.unwrap_or_else(Instant::now);
        let ran = at
            .saturating_duration_since(self.start)
            .saturating_sub(pauses.total);
        RunTime {
            seconds: ran.as_secs_f64(),
            is_paused: pauses.since.is_some(),
        }
    }

    /// Is paused while `wait` lasts.
    pub fn pause_while<T>(&self, wait: impl FnOnce() -> T) -> T {
        self.pauses().since = Some(Instant::now());
        let result = wait();
        self.resume();
        result
    }
}
