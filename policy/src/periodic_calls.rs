//! Detects functions that are called periodically (by a timer), and predicts the next call.
use crate::types::{Micros, SECOND};

/// Calls that follow each other within this time belong to one firing of the timer.
pub(crate) const FIRING_SPAN: Micros = SECOND;
/// Two intervals count as equal if they differ by less than the last one divided by this.
const EQUAL_DIVISOR: Micros = 16;

/// How certain the next call is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Confidence {
    /// No call is expected.
    #[default]
    None,
    /// Only one interval is known.
    Guessed,
    /// The last two intervals are equal.
    Confirmed,
}

/// The timer that calls a function, as inferred from its calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeriodicCalls {
    /// When the first call of the last firing came; 0 if there was none.
    last_firing: Micros,
    /// Interval between the last two firings; 0 if not known.
    period: Micros,
    confidence: Confidence,
    /// The firing after which a replica was ordered for the next one; 0 if none was.
    prefetched_after: Micros,
}

impl PeriodicCalls {
    /// Records a call that is not a retry; `last_call` is the time of the call before it.
    pub(crate) fn called(&mut self, now: Micros, last_call: Micros) {
        if now > last_call + FIRING_SPAN {
            self.fired(now);
        }
    }

    /// Records a firing. A first interval gives a guess; after a guess that failed, two equal intervals are needed.
    fn fired(&mut self, now: Micros) {
        if self.last_firing > 0 {
            let interval = now - self.last_firing;
            let is_first = self.period == 0;
            self.confidence = if interval.abs_diff(self.period) < interval / EQUAL_DIVISOR {
                Confidence::Confirmed
            } else if is_first {
                Confidence::Guessed
            } else {
                Confidence::None
            };
            self.period = interval;
        }
        self.last_firing = now;
    }

    pub(crate) fn confidence(&self) -> Confidence {
        self.confidence
    }

    /// Whether another call is expected.
    pub(crate) fn is_expected(&self) -> bool {
        self.confidence != Confidence::None
    }

    /// The time of the next call, if one is expected.
    pub(crate) fn next_due(&self) -> Micros {
        self.last_firing + self.period
    }

    /// Whether a replica has been ordered for the next call.
    pub(crate) fn is_prefetched(&self) -> bool {
        self.prefetched_after == self.last_firing
    }

    pub(crate) fn prefetched(&mut self) {
        self.prefetched_after = self.last_firing;
    }

    /// The load order for the next call failed: another one may be sent.
    pub(crate) fn prefetch_failed(&mut self) {
        self.prefetched_after = 0;
    }
}
