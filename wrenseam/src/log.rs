//! The log, which is standard error, and the rate limit for lines that clients, workers or the discovery service can
//! cause: a few lines per second of each kind, then a count of the lines left out.
use std::fmt::Arguments;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Writes a line to standard error. One that cannot be written is lost: its reader may have gone, and `eprintln!` would
/// panic.
pub fn write_line(text: Arguments) {
    let line = format!("{text}\n");
    let _ = std::io::stderr().write_all(line.as_bytes());
}

/// The most lines of one kind that are written in one second.
const LINES_PER_SECOND: u64 = 5;

/// The rate limit of one kind of line. Each place in the code that writes such lines has its own.
#[derive(Default)]
pub struct RateLimitedLine {
    /// The Unix second of the last line of this kind, written or not.
    second: AtomicU64,
    /// Lines of this kind in that second, including those not written.
    count: AtomicU64,
}

impl RateLimitedLine {
    /// A rate limit under which nothing has been written yet.
    pub const fn new() -> Self {
        RateLimitedLine {
            second: AtomicU64::new(0),
            count: AtomicU64::new(0),
        }
    }

    /// Writes the line to standard error, unless the limit of its kind for this second is reached. A client or worker
    /// may cause lines at a high rate, and a write blocks the program while the reader of the log falls behind.
    pub fn write(&self, text: Arguments) {
        let second = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_secs());
        if let Some(line) = self.admit(second, text) {
            write_line(format_args!("{line}"));
        }
    }

    /// The text to write for this line in the Unix second `second`; `None` if the line is left out. The first line of a
    /// new second states how many were left out before.
    pub fn admit(&self, second: u64, text: Arguments) -> Option<String> {
        let mut suppressed = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            suppressed = self
                .count
                .swap(0, Ordering::Relaxed)
                .saturating_sub(LINES_PER_SECOND);
        }
        if self.count.fetch_add(1, Ordering::Relaxed) >= LINES_PER_SECOND {
            return None;
        }
        if suppressed == 0 {
            return Some(text.to_string());
        }
        Some(format!(
            "{text} ({suppressed} more such lines were left out)"
        ))
    }
}

/// Writes a log line. The arguments are those of `format!`.
#[macro_export]
macro_rules! log_line {
    ($($text:tt)*) => {
        $crate::log::write_line(format_args!($($text)*))
    };
}

/// Writes a log line that a client, a worker or the discovery service can cause, limited in rate for each place of use;
/// see [`RateLimitedLine`](crate::log::RateLimitedLine). The arguments are those of `format!`.
#[macro_export]
macro_rules! log_limited {
    ($($text:tt)*) => {{
        static LINE: $crate::log::RateLimitedLine = $crate::log::RateLimitedLine::new();
        LINE.write(format_args!($($text)*))
    }};
}
