//! Members whose liveness is being checked, because another member counts them as gone while they are alive here. No
//! I/O; time is handed in.
use super::identity::PeerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Checks at once; of further members the next repair reports again.
const MAX_CHECKS: usize = 24;
/// The pause between queries doubles up to this exponent.
const MAX_BACKOFF_EXPONENT: u32 = 2;

/// One member that is being checked.
#[derive(Clone, Copy, Debug)]
struct LivenessCheck {
    id: PeerId,
    began: Micros,
    query_at: Micros,
    queries: u32,
}

/// What is to be done about a member that is being checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckAction {
    /// It is to be queried.
    Query {
        /// The incarnation that is checked.
        id: PeerId,
        /// Whether it did not answer a query before: others may have a way to it.
        is_repeat: bool,
    },
    /// Its time to answer is up.
    Expired {
        /// The incarnation that is checked.
        id: PeerId,
        /// When it was first queried.
        began: Micros,
    },
}

/// The checks under way.
#[derive(Debug)]
pub struct LivenessChecks {
    checks: BTreeMap<SocketAddr, LivenessCheck>,
    query_pause: Micros,
    answer_within: Micros,
}

impl LivenessChecks {
    /// Queries are `query_pause` apart at first, then the pause doubles each time up to a limit; a member has
    /// `answer_within` to answer.
    pub fn new(query_pause: Micros, answer_within: Micros) -> LivenessChecks {
        LivenessChecks {
            checks: BTreeMap::new(),
            query_pause,
            answer_within,
        }
    }

    /// Another member counts `id` as gone, which is alive here.
    pub fn open(&mut self, now: Micros, id: PeerId) {
        let open = self.checks.get(&id.addr);
        if open.is_some_and(|check| check.id.incarnation >= id.incarnation) {
            return;
        }
        if open.is_none() && self.checks.len() >= MAX_CHECKS {
            return;
        }
        let check = LivenessCheck {
            id,
            began: now,
            query_at: now,
            queries: 0,
        };
        self.checks.insert(id.addr, check);
    }

    /// Ends the check of a member that is gone here too.
    pub fn member_gone(&mut self, id: PeerId) {
        self.checks.remove(&id.addr);
    }

    /// Ends the check of a member that is alive in a larger incarnation.
    pub fn member_alive(&mut self, id: PeerId) {
        let open = self.checks.get(&id.addr);
        if open.is_some_and(|check| check.id.incarnation < id.incarnation) {
            self.checks.remove(&id.addr);
        }
    }

    /// What is due at `now`.
    pub fn due(&mut self, now: Micros) -> Vec<CheckAction> {
        let mut actions = Vec::new();
        for check in self.checks.values_mut() {
            if now < check.query_at {
                continue;
            }
            actions.push(check.action(now, self.answer_within));
            let pause = self.query_pause << check.queries.min(MAX_BACKOFF_EXPONENT);
            check.query_at = now + pause;
            check.queries += 1;
        }
        actions
    }
}

impl LivenessCheck {
    fn action(&self, now: Micros, answer_within: Micros) -> CheckAction {
        if now.saturating_sub(self.began) >= answer_within {
            CheckAction::Expired {
                id: self.id,
                began: self.began,
            }
        } else {
            CheckAction::Query {
                id: self.id,
                is_repeat: self.queries > 0,
            }
        }
    }
}
