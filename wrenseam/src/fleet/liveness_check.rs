//! Members that are to be asked whether they are there: those whom somebody else holds as gone. No I/O; time is
//! handed in.
use super::identity::PeerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Members asked about at once; of others that are disputed the next repair tells again.
const HELD: usize = 24;

#[derive(Clone, Copy, Debug)]
struct LivenessCheck {
    id: PeerId,
    began: Micros,
    ask_at: Micros,
    asked: u32,
}

/// What is to be done about a disputed member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckAction {
    /// It is to be asked.
    Query {
        /// The incarnation that is disputed.
        id: PeerId,
        /// Whether it was asked before in vain: others may have a way to it.
        again: bool,
    },
    /// Its time to answer is up.
    Expired {
        /// The incarnation that is disputed.
        id: PeerId,
        /// When it was first asked.
        began: Micros,
    },
}

/// The disputes under way.
#[derive(Debug)]
pub struct LivenessChecks {
    held: BTreeMap<SocketAddr, LivenessCheck>,
    every: Micros,
    answer_within: Micros,
}

impl LivenessChecks {
    /// Each is asked about `every` so often at first, then half as often each time, and has so long to answer.
    pub fn new(every: Micros, answer_within: Micros) -> LivenessChecks {
        LivenessChecks {
            held: BTreeMap::new(),
            every,
            answer_within,
        }
    }

    /// Somebody holds `id` as gone, which is alive here.
    pub fn open(&mut self, now: Micros, id: PeerId) {
        if self
            .held
            .get(&id.addr)
            .is_some_and(|held| held.id.incarnation >= id.incarnation)
        {
            return;
        }
        if self.held.len() < HELD || self.held.contains_key(&id.addr) {
            self.held.insert(
                id.addr,
                LivenessCheck {
                    id,
                    began: now,
                    ask_at: now,
                    asked: 0,
                },
            );
        }
    }

    /// Ends the dispute about a member that is alive in a larger incarnation, or is gone here too.
    pub fn sync_directory(&mut self, id: PeerId, gone: bool) {
        if self
            .held
            .get(&id.addr)
            .is_some_and(|held| gone || held.id.incarnation < id.incarnation)
        {
            self.held.remove(&id.addr);
        }
    }

    /// What is due at `now`.
    pub fn due(&mut self, now: Micros) -> Vec<CheckAction> {
        let mut steps = Vec::new();
        for dispute in self
            .held
            .values_mut()
            .filter(|dispute| now >= dispute.ask_at)
        {
            if now.saturating_sub(dispute.began) >= self.answer_within {
                steps.push(CheckAction::Expired {
                    id: dispute.id,
                    began: dispute.began,
                });
            } else {
                steps.push(CheckAction::Query {
                    id: dispute.id,
                    again: dispute.asked > 0,
                });
            }
            dispute.ask_at = now + (self.every << dispute.asked.min(2));
            dispute.asked += 1;
        }
        steps
    }
}
