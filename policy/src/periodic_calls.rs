//! Functions that are called on a timer: the last calls' distance, and when the next is expected.
use crate::types::{Micros, SECOND};

/// Calls closer than this belong to one firing of the timer.
pub(crate) const FIRING: Micros = SECOND;
/// Two distances are alike where they differ by less than this part.
const LIKENESS: Micros = 16;

/// How sure the next call is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Confidence {
    /// No call is expected.
    #[default]
    None,
    /// One distance was seen.
    Guessed,
    /// Two distances alike were seen.
    Confirmed,
}

/// The timer of one function, as its calls show it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeriodicCalls {
    last_firing: Micros,
    /// Distance of the last firing from the one before; 0: not known.
    period: Micros,
    confidence: Confidence,
    /// The firing after which a replica was ordered for the next.
    prefetched_after: Micros,
}

impl PeriodicCalls {
    /// A call came that is no retry; `last_call` is when the one before came.
    pub(crate) fn called(&mut self, now: Micros, last_call: Micros) {
        if now > last_call + FIRING {
            self.fired(now);
        }
    }

    /// One distance alone makes a guess; after a guess that failed, two alike are needed.
    fn fired(&mut self, now: Micros) {
        if self.last_firing > 0 {
            let distance = now - self.last_firing;
            let is_first = self.period == 0;
            self.confidence = if distance.abs_diff(self.period) < distance / LIKENESS {
                Confidence::Confirmed
            } else if is_first {
                Confidence::Guessed
            } else {
                Confidence::None
            };
            self.period = distance;
        }
        self.last_firing = now;
    }

    pub(crate) fn confidence(&self) -> Confidence {
        self.confidence
    }

    /// Whether a further call is expected.
    pub(crate) fn is_expected(&self) -> bool {
        self.confidence != Confidence::None
    }

    /// When the next call is expected.
    pub(crate) fn next_due(&self) -> Micros {
        self.last_firing + self.period
    }

    /// Whether a replica was ordered for the next call.
    pub(crate) fn is_prefetched(&self) -> bool {
        self.prefetched_after == self.last_firing
    }

    pub(crate) fn prefetched(&mut self) {
        self.prefetched_after = self.last_firing;
    }

    /// The order did not bring a replica: it is to be repeated in time.
    pub(crate) fn prefetch_failed(&mut self) {
        self.prefetched_after = 0;
    }
}
