//! Load summaries on foca's custom broadcasts, for front ends that take no part in the averaging.
use super::Swim;
use crate::fleet::summary::Summary;
use std::sync::PoisonError;
use wrenseam_policy::Micros;

impl Swim {
    /// No summary is wanted any more.
    pub fn stop_publishing(&mut self) {
        self.runtime.untrimmed = false;
    }

    /// Hands this front end's summary to be gossiped, with the next sequence number.
    pub fn publish(&mut self, now: Micros, mut summary: Summary) {
        self.at(now);
        self.runtime.untrimmed = true;
        self.published += 1;
        summary.origin = Some(self.own.addr);
        summary.seq = self.published;
        let _ = self.foca.add_broadcast(&summary.encode()); // only ever our own well-formed bytes
    }

    /// Whether a fresh summary is of a front end that takes no part in the averaging (see [`Summary::views`]).
    pub fn mixed(&self, now: Micros) -> bool {
        self.held
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .fresh(now)
            .any(|s| !s.views)
    }

    /// The fleet's pressure in thousandths (see [`Summaries::pressure`]), with ours at `own`.
    pub fn pressure(&self, now: Micros, own: u32) -> u32 {
        self.held
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .pressure(now, own)
    }

    /// Fresh summaries of peers.
    pub fn summaries(&self, now: Micros) -> Vec<Summary> {
        self.held
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .fresh(now)
            .copied()
            .collect()
    }
}
