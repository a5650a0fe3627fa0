//! The table of open requests, indexed by the core's number and by the client's connection and tag.
use super::attempts::{Attempt, Attempts};
use crate::model::{AttemptKey, Client, Request};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use wrenseam_policy::Micros;

/// An accepted request, with the positions of its class and tenant in the settings.
pub struct OpenRequest {
    /// The request.
    pub request: Arc<Request>,
    /// The client connection that gets the answer.
    pub client: Arc<dyn Client>,
    /// The client's tag for it, unique among the connection's open requests.
    pub tag: u64,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings; `None` if the settings do not name it.
    pub tenant: Option<usize>,
}

/// A request that has just been closed: where its answer goes, and under which class and tenant it is counted.
pub struct ClosedRequest {
    /// The client connection that gets the answer.
    pub client: Arc<dyn Client>,
    /// The client's tag for the request.
    pub tag: u64,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings; `None` if the settings do not name it.
    pub tenant: Option<usize>,
}

struct Entry {
    open: OpenRequest,
    answered: bool,
    attempts: Attempts,
}

/// What identifies a request to its client: the connection's number and the client's tag.
type ClientKey = (u64, u64);

/// The open requests. A request is in `by_client` and `wire_ids` exactly while it is unanswered. Its entry stays until
/// it is answered or cancelled and its last attempt has ended.
#[derive(Default)]
pub struct RequestTable {
    entries: HashMap<u64, Entry>,
    by_client: BTreeMap<ClientKey, u64>,
    /// The ids that clients gave their unanswered requests, over all connections.
    wire_ids: HashSet<u64>,
}

impl RequestTable {
    /// Adds a request under the core's number.
    pub fn insert(&mut self, id: u64, open: OpenRequest) {
        self.by_client
            .insert((open.client.connection(), open.tag), id);
        self.wire_ids.insert(open.request.wire_id);
        let entry = Entry {
            open,
            answered: false,
            attempts: Attempts::default(),
        };
        self.entries.insert(id, entry);
    }

    /// The number of requests, including answered ones with open attempts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table holds no request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of unanswered requests.
    pub fn unanswered(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| !entry.answered)
            .count()
    }

    /// Whether there is an unanswered request to which its client gave this id.
    pub fn has_wire_id(&self, wire_id: u64) -> bool {
        self.wire_ids.contains(&wire_id)
    }

    /// The number of the request that this connection sent under this tag, while it is unanswered.
    pub fn find(&self, connection: u64, tag: u64) -> Option<u64> {
        self.by_client.get(&(connection, tag)).copied()
    }

    /// The numbers of all unanswered requests of this connection.
    pub fn of_connection(&self, connection: u64) -> Vec<u64> {
        self.by_client
            .range((connection, 0)..=(connection, u64::MAX))
            .map(|(_, &id)| id)
            .collect()
    }

    /// The request of this number.
    pub fn request(&self, id: u64) -> Option<&Arc<Request>> {
        self.entries.get(&id).map(|entry| &entry.open.request)
    }

    /// The position of the request's class in the settings.
    pub fn class(&self, id: u64) -> Option<usize> {
        self.entries.get(&id).map(|entry| entry.open.class)
    }

    /// Whether the request is answered or cancelled; also true for numbers that are not in the table.
    pub fn is_answered(&self, id: u64) -> bool {
        self.entries.get(&id).is_none_or(|entry| entry.answered)
    }

    /// Closes an unanswered request, because it is answered or cancelled. Returns `Some` only once for each request, so
    /// that at most one answer is sent. Attempts of which nothing has been written yet are no longer written.
    pub fn close(&mut self, id: u64) -> Option<ClosedRequest> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.answered)?;
        entry.answered = true;
        let open = &entry.open;
        open.request.client_gone.store(true, Ordering::Release);
        self.wire_ids.remove(&open.request.wire_id);
        self.by_client.remove(&(open.client.connection(), open.tag));
        Some(ClosedRequest {
            client: open.client.clone(),
            tag: open.tag,
            class: open.class,
            tenant: open.tenant,
        })
    }

    /// Removes the request if it is answered or cancelled and has no open attempt. Returns whether it was removed.
    pub fn remove_finished(&mut self, id: u64) -> bool {
        let finished = self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.answered && !entry.attempts.any_open());
        if finished {
            self.entries.remove(&id);
        }
        finished
    }

    /// Whether any attempt was started for the request.
    pub fn was_attempted(&self, id: u64) -> bool {
        self.entries
            .get(&id)
            .is_some_and(|entry| !entry.attempts.is_empty())
    }

    /// The number of attempts started for the request.
    pub fn attempts_made(&self, id: u64) -> usize {
        self.entries
            .get(&id)
            .map_or(0, |entry| entry.attempts.len())
    }

    /// Records a new open attempt; `None` if the request is not in the table.
    pub fn start_attempt(&mut self, id: u64, worker: String, now: Micros) -> Option<AttemptKey> {
        let entry = self.entries.get_mut(&id)?;
        Some(AttemptKey {
            request: id,
            attempt: entry.attempts.start(worker, now),
        })
    }

    /// The attempt, while it is open.
    pub fn open_attempt(&self, key: AttemptKey) -> Option<&Attempt> {
        self.entries.get(&key.request)?.attempts.open(key.attempt)
    }

    /// Records that the attempt was handed to a transport.
    pub fn mark_handed_over(&mut self, key: AttemptKey) {
        if let Some(entry) = self.entries.get_mut(&key.request) {
            entry.attempts.mark_handed_over(key.attempt);
        }
    }

    /// Closes an open attempt; `None` if it is not open.
    pub fn close_attempt(&mut self, key: AttemptKey) -> Option<&Attempt> {
        self.entries
            .get_mut(&key.request)?
            .attempts
            .close(key.attempt)
    }
}
