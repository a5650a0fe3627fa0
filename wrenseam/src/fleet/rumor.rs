//! Rumor mongering: the queue of records that have just changed, with the rounds in which each is still sent. No I/O.
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Random members that rumors are sent to in a round.
pub const FANOUT: usize = 3;
/// Rounds in which a member sends a record that was new to it. By chance this misses one member in 400, which gets the
/// record by repair.
const ROUNDS: u8 = 2;
/// Rounds in which a member sends its own record after a change.
const OWN_ROUNDS: u8 = ROUNDS + 1;
/// The most records of other members in the queue. When more change at once, such as when a zone returns or a network
/// partition heals, repair is cheaper, since it sends no member a record that it has.
const MAX_QUEUED: usize = 12;

/// The queue of members whose records are sent in the next rounds.
#[derive(Debug, Default)]
pub struct RumorQueue {
    /// The number of rounds in which the record of each member is still sent.
    rounds_left: BTreeMap<SocketAddr, u8>,
}

impl RumorQueue {
    /// Queues the record of `owner` for the full number of rounds. Returns false if the queue is full.
    pub fn push(&mut self, owner: SocketAddr) -> bool {
        let has_capacity = self.rounds_left.len() < MAX_QUEUED;
        if !has_capacity && !self.rounds_left.contains_key(&owner) {
            return false;
        }
        self.rounds_left.insert(owner, ROUNDS);
        true
    }

    /// Queues our own record, also when the queue is full.
    pub fn push_own(&mut self, owner: SocketAddr) {
        self.rounds_left.insert(owner, OWN_ROUNDS);
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.rounds_left.is_empty()
    }

    /// The members whose records are sent in this round; each then has one round less left.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let owners = self.rounds_left.keys().copied().collect();
        self.rounds_left.retain(|_, rounds_left| {
            *rounds_left -= 1;
            *rounds_left > 0
        });
        owners
    }
}
