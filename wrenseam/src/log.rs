//! Lines of the log that others can cause: so many a second of each kind, then a count of what was left out.
use std::fmt::Arguments;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines of one kind that are written a second at the most.
const LINES_PER_SECOND: u64 = 5;

/// One kind of line, by the place in the code that writes it.
#[derive(Default)]
pub struct RateLimitedLine {
    /// The Unix second in which the last of the kind came.
    second: AtomicU64,
    /// How many came in it.
    count: AtomicU64,
}

impl RateLimitedLine {
    /// A kind of which nothing has been written yet.
    pub const fn new() -> Self {
        RateLimitedLine {
            second: AtomicU64::new(0),
            count: AtomicU64::new(0),
        }
    }

    /// Writes the line, unless there were many of its kind within this second. Guards against clients and
    /// workers that cause a line at full speed: whoever reads the log slowly would hold the program up.
    pub fn write(&self, text: Arguments) {
        let second = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_secs());
        if let Some(line) = self.admit(second, text) {
            eprintln!("{line}");
        }
    }

    /// The line as it is to be written in this second, if it is.
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

/// Writes a line to the log that a client, a worker or the board can cause; see [`RateLimitedLine`].
#[macro_export]
macro_rules! log_limited {
    ($($text:tt)*) => {{
        static LINE: $crate::log::RateLimitedLine = $crate::log::RateLimitedLine::new();
        LINE.write(format_args!($($text)*))
    }};
}
