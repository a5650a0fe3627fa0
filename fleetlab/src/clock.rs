//! The run's time: it begins with the load, and stands still while the lab waits for a process that it has started.
//! On a busy machine eight starts, one after the other, can last longer than the load, which would be over before
//! they are up.
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Seconds of the run, and real ones beside them.
pub struct Clock {
    start: Instant,
    /// How long it has stood still so far, and since when it does so now.
    held: Mutex<(Duration, Option<Instant>)>,
}

impl Clock {
    /// A clock that stands at 0 until it is told to go on.
    pub fn stopped() -> Clock {
        let start = Instant::now();
        Clock {
            start,
            held: Mutex::new((Duration::ZERO, Some(start))),
        }
    }

    /// Goes on.
    pub fn go_on(&self) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let stood = held
            .1
            .take()
            .map_or(Duration::ZERO, |since| since.elapsed());
        held.0 += stood;
    }

    /// Real seconds since it was made: what happens at workers goes by these.
    pub fn real_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Seconds of the run, and whether it stands still.
    pub fn now(&self) -> (f64, bool) {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let at = held.1.unwrap_or_else(Instant::now);
        (
            at.saturating_duration_since(self.start)
                .saturating_sub(held.0)
                .as_secs_f64(),
            held.1.is_some(),
        )
    }

    /// Stands still while `wait` lasts.
    pub fn held<T>(&self, wait: impl FnOnce() -> T) -> T {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).1 = Some(Instant::now());
        let done = wait();
        self.go_on();
        done
    }
}
