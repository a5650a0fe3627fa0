//! Lines of the log that others can cause: so many a second of each kind, then a count of what was left out.
use std::fmt::Arguments;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const A_SECOND: u64 = 5;

/// One kind of line, by the place in the code that writes it.
#[derive(Default)]
pub struct Line {
    second: AtomicU64,
    count: AtomicU64,
}

impl Line {
    /// A kind of which nothing has been written yet.
    pub const fn new() -> Self {
        Line {
            second: AtomicU64::new(0),
            count: AtomicU64::new(0),
        }
    }

    /// Writes the line, unless there were many of its kind within this second. Guards against clients and
    /// workers that cause a line at full speed: whoever reads the log slowly would hold the program up.
    pub fn write(&self, text: Arguments) {
        let second = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_secs());
        if let Some(line) = self.admit(second, text) {
            eprintln!("{line}");
        }
    }

    /// The line as it is to be written in this second, if it is.
    pub fn admit(&self, second: u64, text: Arguments) -> Option<String> {
        let mut left_out = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            left_out = self
                .count
                .swap(0, Ordering::Relaxed)
                .saturating_sub(A_SECOND);
        }
        if self.count.fetch_add(1, Ordering::Relaxed) >= A_SECOND {
            return None;
        }
        Some(match left_out {
            0 => text.to_string(),
            n => format!("{text} ({n} more such lines were left out)"),
        })
    }
}

/// Writes a line to the log that a client, a worker or the board can cause; see [`Line`].
#[macro_export]
macro_rules! note {
    ($($text:tt)*) => {{
        static LINE: $crate::log::Line = $crate::log::Line::new();
        LINE.write(format_args!($($text)*))
    }};
}
