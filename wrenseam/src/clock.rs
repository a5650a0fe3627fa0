//! The clock of policy and gossip: Unix time, read once at the start and then advanced by the monotonic clock.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wrenseam_policy::Micros;

/// A clock that never goes back. It gives Unix time, as workers' start times are Unix times, but it ignores adjustments
/// of the system clock after its start.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Unix time at the start of the clock.
    started_at: Micros,
    /// The start of the clock by the monotonic clock.
    start: Instant,
}

impl Clock {
    /// A clock that starts at the current Unix time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: since_epoch.as_micros() as Micros,
            start: Instant::now(),
        }
    }

    /// Converts an instant to Unix time in microseconds. Instants before the start count as the start.
    pub fn at(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.start);
        self.started_at + elapsed.as_micros() as Micros
    }

    /// Converts a time of this clock to an instant. Times before the start count as the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.started_at))
    }

    /// The current time, as Unix time in microseconds.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
}
