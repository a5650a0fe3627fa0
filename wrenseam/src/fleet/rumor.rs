//! Rumor mongering: records that have just changed, and in how many rounds each is still to be passed on. No I/O.
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Members that a rumor goes to in a round.
pub const FANOUT: usize = 3;
/// Rounds in which a record is passed on: of the members not reached so, one in 400 at random, repair takes care.
const ROUNDS: u8 = 2;
/// Rounds in which our own record is passed on.
const OWN_ROUNDS: u8 = ROUNDS + 1;
/// Records passed on at once: beyond these (a zone returns, regions heal) repair is cheaper, which sends no member what
/// it has.
const MAX_QUEUED: usize = 12;

/// The members whose records are to be passed on.
#[derive(Debug, Default)]
pub struct RumorQueue {
    rounds_left: BTreeMap<SocketAddr, u8>,
}

impl RumorQueue {
    /// This member's record is to be passed on; whether there was capacity for it.
    pub fn push(&mut self, owner: SocketAddr) -> bool {
        let has_capacity = self.rounds_left.len() < MAX_QUEUED;
        if !has_capacity && !self.rounds_left.contains_key(&owner) {
            return false;
        }
        self.rounds_left.insert(owner, ROUNDS);
        true
    }

    /// Our own record is to be passed on, whatever else is queued.
    pub fn push_own(&mut self, owner: SocketAddr) {
        self.rounds_left.insert(owner, OWN_ROUNDS);
    }

    /// Whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.rounds_left.is_empty()
    }

    /// The members whose records are passed on in this round; each has one round less from then on.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let owners = self.rounds_left.keys().copied().collect();
        self.rounds_left.retain(|_, rounds_left| {
            *rounds_left -= 1;
            *rounds_left > 0
        });
        owners
    }
}
