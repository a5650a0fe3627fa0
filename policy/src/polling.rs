//! Where a worker without the function answers a call with a miss: the call itself asks, at no price, and is served
//! at once where a copy stands or waits where one is being loaded. No I/O.
use crate::controller::{ASK_AGAIN, ASK_WAIT};
use crate::interface::{Micros, RequestId};
use crate::state::Controller;

/// First places of the common draw that a call tries before a load is ordered: others order theirs there. Two of six
/// attempts at the most, so that enough are left for when the load is done.
const SCOUTED: usize = 2;

/// What a call whose function is known to stand nowhere does next.
pub(crate) enum Scout {
    /// It goes to this worker.
    Send(usize),
    /// Another call of the function is out and will tell.
    Wait,
    /// Calls cannot ask here; questions can.
    Ask,
    /// Nothing stands at the places where others would have it: a load is due.
    Load,
}

impl Controller {
    pub(crate) fn scout(&mut self, f: usize, id: RequestId, now: Micros) -> Scout {
        // Where calls load what is missing none is sent to ask; nor where nobody else draws the same places, or so
        // many do that each sees too little to know which of them is warm.
        if self.set.load_on_demand || self.set.front_ends <= 1 || self.many() {
            return Scout::Ask;
        }
        let (class, all) = (self.functions[f].class, self.places(f));
        let open =
            |&w: &usize| self.usable(w, class, now) && !self.suspect(w) && self.allowed(id, w, now);
        let places: Vec<usize> = all.into_iter().filter(open).take(SCOUTED).collect();
        for w in places {
            let c = self.copy(f, w);
            match c.asked {
                // It has been out for longer than an answer takes: a copy is being loaded there, or it queues.
                Some(t) if c.ours > 0 && now >= t + ASK_WAIT => return Scout::Send(w),
                Some(_) if c.ours > 0 => return Scout::Wait,
                Some(t) if now < t + ASK_AGAIN => {}
                _ if c.holding() => {}
                _ => {
                    c.asked = Some(now);
                    return Scout::Send(w);
                }
            }
        }
        Scout::Load
    }
}
