//! Liveness checks: a member that is alive here but gone according to another member is queried before it is declared
//! down. No I/O; the caller passes the time.
use super::identity::PeerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// The most concurrent checks. Further members are not checked now; the next repair reports them again.
const MAX_CHECKS: usize = 24;
/// How many times the pause between queries doubles at most.
const MAX_PAUSE_DOUBLINGS: u32 = 2;

/// The check of one member.
#[derive(Clone, Copy, Debug)]
struct LivenessCheck {
    id: PeerId,
    started_at: Micros,
    /// When the next query is due.
    next_query_at: Micros,
    /// Queries sent so far.
    queries: u32,
}

/// What the caller has to do for a check that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckAction {
    /// Query the member.
    Query {
        /// The member, and the incarnation that is checked.
        id: PeerId,
        /// Whether an earlier query had no reply: the query also goes through relays, which may still reach the member.
        is_retry: bool,
    },
    /// Declare the member down, unless there is evidence that it is alive: its reply timeout has passed.
    Expired {
        /// The member, and the incarnation that is checked.
        id: PeerId,
        /// When the check began, with the first query.
        started_at: Micros,
    },
}

/// All checks under way, one per member at most.
#[derive(Debug)]
pub struct LivenessChecks {
    checks: BTreeMap<SocketAddr, LivenessCheck>,
    query_pause: Micros,
    reply_timeout: Micros,
}

impl LivenessChecks {
    /// No checks. `query_pause` is the first pause between the queries of a check, which then doubles up to a limit;
    /// `reply_timeout` is the time that a member has to answer. Both are in microseconds.
    pub fn new(query_pause: Micros, reply_timeout: Micros) -> LivenessChecks {
        LivenessChecks {
            checks: BTreeMap::new(),
            query_pause,
            reply_timeout,
        }
    }

    /// Begins a check of `id`, which another member counts as gone, unless this or a later incarnation is being checked
    /// or there are too many checks.
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
            started_at: now,
            next_query_at: now,
            queries: 0,
        };
        self.checks.insert(id.addr, check);
    }

    /// Ends the check of a member that is now gone here too.
    pub fn member_gone(&mut self, id: PeerId) {
        self.checks.remove(&id.addr);
    }

    /// Ends the check of a member if `id` is a larger incarnation of it than the one that is checked.
    pub fn member_alive(&mut self, id: PeerId) {
        let open = self.checks.get(&id.addr);
        if open.is_some_and(|check| check.id.incarnation < id.incarnation) {
            self.checks.remove(&id.addr);
        }
    }

    /// What has to be done at `now`; each check's next action is scheduled.
    pub fn due(&mut self, now: Micros) -> Vec<CheckAction> {
        let mut actions = Vec::new();
        for check in self.checks.values_mut() {
            if now < check.next_query_at {
                continue;
            }
            actions.push(check.action(now, self.reply_timeout));
            let pause = self.query_pause << check.queries.min(MAX_PAUSE_DOUBLINGS);
            check.next_query_at = now + pause;
            check.queries += 1;
        }
        actions
    }
}

impl LivenessCheck {
    fn action(&self, now: Micros, reply_timeout: Micros) -> CheckAction {
        if now.saturating_sub(self.started_at) >= reply_timeout {
            CheckAction::Expired {
                id: self.id,
                started_at: self.started_at,
            }
        } else {
            CheckAction::Query {
                id: self.id,
                is_retry: self.queries > 0,
            }
        }
    }
}
