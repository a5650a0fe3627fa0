//! Records that have just changed, and how often each is still to be passed on. No I/O.
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Members that a rumor goes to in a round.
pub const FANOUT: usize = 3;
/// Rounds in which a record is passed on: of those not reached so, one in 400 at random, repair takes care.
const ROUNDS: u8 = 2;
/// Records passed on at once: beyond these (a zone returns, regions heal) repair is cheaper, which sends nobody what
/// it has.
const HELD: usize = 12;

/// What is to be passed on.
#[derive(Debug, Default)]
pub struct RumorQueue {
    rounds: BTreeMap<SocketAddr, u8>,
}

impl RumorQueue {
    /// This member's record is to be passed on; whether there was room.
    pub fn add(&mut self, owner: SocketAddr) -> bool {
        let room = self.rounds.len() < HELD || self.rounds.contains_key(&owner);
        if room {
            self.rounds.insert(owner, ROUNDS);
        }
        room
    }

    /// Passes this member's record on, whatever else is held: it is our own.
    pub fn add_own(&mut self, owner: SocketAddr) {
        self.rounds.insert(owner, ROUNDS + 1);
    }

    /// Whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }

    /// Those to be passed on in this round, and one round less is left for each.
    pub fn round(&mut self) -> Vec<SocketAddr> {
        let owners = self.rounds.keys().copied().collect();
        self.rounds.retain(|_, left| {
            *left -= 1;
            *left > 0
        });
        owners
    }
}
