//! Where many gateways share the workers: which calls can still end while their clients wait, by how long answers take
//! of late. No I/O: time is handed in.
//!
//! A client that waits less than that leaves before its answer, and comes again: what was sent for it is work
//! for nobody, at places where others' calls are turned away for it. It is refused at once instead, with advice.
use crate::controller::{SPANS, TRIALS, TRIAL_GAP};
use crate::interface::{Micros, RequestId};
use crate::state::Controller;

/// Answers that make a mean, and the most that count: they are spread so widely that of ten the mean is often wrong by
/// half, and a front end of many has few.
const COUNTED: (u32, u32) = (5, 20);
const KEPT: Micros = SPANS.1; // an older mean says nothing: whatever made answers slow may be over
const FAILED: u32 = 2; // a trial that came too late weighs two in time: two in three must be

/// How long the answers of a class take of late where no load is in the way: the mean of about the last twenty.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    mean: f64,
    answers: u32,
    last: Micros,
    /// When the next call may be sent against the mean, and how many were in vain, one after another.
    trial: Micros,
    vain: u32,
}

impl Pace {
    pub(crate) fn took(&mut self, now: Micros, elapsed: f64) {
        let answers = if now > self.last + KEPT {
            0
        } else {
            self.answers
        };
        self.answers = (answers + 1).min(COUNTED.1);
        self.mean += (elapsed - self.mean) / f64::from(self.answers);
        self.last = now;
    }

    /// Whether an answer is not likely to come within this time.
    fn beyond(&self, now: Micros, left: Micros) -> bool {
        self.answers >= COUNTED.0 && now <= self.last + KEPT && (left as f64) < self.mean
    }

    /// Whether a call may be sent against the mean now. Guards against never learning that its function is quicker
    /// than its class, or that answers are quick again; each in vain puts the next off.
    fn tries(&mut self, now: Micros) -> bool {
        let due = now >= self.trial;
        if due {
            self.vain += 1;
            self.trial = now + (TRIAL_GAP << self.vain.min(TRIALS));
        }
        due
    }
}

impl Controller {
    /// Whether a call's client leaves before an answer is likely: less is left than answers of its class take. A
    /// function whose calls were in time all the same has its calls sent for as long as they are.
    pub(crate) fn hopeless(&mut self, id: RequestId, left: Micros, now: Micros) -> bool {
        let many = self.many();
        let Some(r) = self.requests.get_mut(&id) else {
            return false;
        };
        let pace = &mut self.paces[r.class];
        // Few gateways see for themselves whether workers are crowded; where they are not, a try costs nobody.
        if !many || !pace.beyond(now, left) {
            return false;
        }
        r.risk = self.functions[r.function].quick > 0 || pace.tries(now);
        !r.risk
    }

    /// The end of a call that may have been sent against the mean, once.
    pub(crate) fn risked(&mut self, id: RequestId, in_time: bool) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let quick = &mut self.functions[r.function].quick;
        match (std::mem::take(&mut r.risk), in_time) {
            (false, _) => {}
            (true, true) => {
                *quick = (*quick + 1).min(COUNTED.1);
                self.paces[r.class].vain = 0;
            }
            (true, false) => *quick = quick.saturating_sub(FAILED),
        }
    }
}
