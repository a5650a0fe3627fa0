//! The clock of policy and gossip: the Unix time at its start, advanced by the monotonic clock.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wrenseam_policy::Micros;

/// A clock that never goes back. Its epoch is Unix time, as workers' start times are given in Unix time; later steps of
/// the wall clock do not show.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Unix time at the start.
    started_at: Micros,
    /// The same moment on the monotonic clock.
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

    /// The time of an instant. Instants before the start count as the start.
    pub fn at(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.start);
        self.started_at + elapsed.as_micros() as Micros
    }

    /// The instant of a time. Times before the start count as the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.started_at))
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
}
