//! The clock of a run. It starts with the load and is paused while the lab waits for restarted front ends to listen: on
//! a busy machine, eight starts one after the other can take longer than the load, which would then end before the
//! front ends are up.
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A reading of the run's clock.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    /// Seconds since the start of the load, pauses not counted.
    pub seconds: f64,
    /// Whether the clock is paused, so that `seconds` does not change.
    pub is_paused: bool,
}

/// The pauses of the clock.
struct Pauses {
    /// Total duration of the pauses that have ended.
    total: Duration,
    /// Start of the present pause; `None` while the clock runs.
    paused_since: Option<Instant>,
}

/// The clock of a run, which can be paused; also tells the time since its creation, pauses included.
pub struct Clock {
    start: Instant,
    pauses: Mutex<Pauses>,
}

impl Clock {
    /// Creates a clock that is paused at 0 until [`Clock::resume`].
    pub fn paused() -> Clock {
        let start = Instant::now();
        Clock {
            start,
            pauses: Mutex::new(Pauses {
                total: Duration::ZERO,
                paused_since: Some(start),
            }),
        }
    }

    fn pauses(&self) -> MutexGuard<'_, Pauses> {
        self.pauses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the present pause; no effect if the clock runs.
    pub fn resume(&self) {
        let mut pauses = self.pauses();
        if let Some(paused_since) = pauses.paused_since.take() {
            pauses.total += paused_since.elapsed();
        }
    }

    /// Seconds since the clock was created, pauses included. Workers' starts and the calls to cold workers are timed
    /// with it: front ends' slow start does not pause with the run.
    pub fn elapsed_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Reads the clock.
    pub fn now(&self) -> RunTime {
        let pauses = self.pauses();
        let at = pauses.paused_since.unwrap_or_else(Instant::now);
        let ran = at
            .saturating_duration_since(self.start)
            .saturating_sub(pauses.total);
        RunTime {
            seconds: ran.as_secs_f64(),
            is_paused: pauses.paused_since.is_some(),
        }
    }

    /// Pauses the clock while `wait` runs.
    pub fn pause_while<T>(&self, wait: impl FnOnce() -> T) -> T {
        self.pauses().paused_since = Some(Instant::now());
        let result = wait();
        self.resume();
        result
    }
}
