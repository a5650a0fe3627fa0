//! The module's clock: Unix microseconds at the start, then monotonic time.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wrenseam_policy::Micros;

/// A clock that shares the epoch of the list's start times and never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as Micros);
        Clock {
            unix,
            start: Instant::now(),
        }
    }

    /// An instant on this clock.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant of a time on this clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
}
