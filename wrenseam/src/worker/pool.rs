//! How many connections to workers may be open, and which ones are closed when there are too many: no sockets and no
//! clock here.
//!
//! Clients and workers share the file descriptors of one process. There may be hundreds of workers, and a front end has
//! seldom an attempt for each; so a connection is kept while descriptors are plenty, and the one that has been idle
//! longest is closed when they run short.

/// Descriptors that a connection to a client or a worker takes: one a direction.
pub const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// The part of all descriptors that workers may use whatever the clients take.
const RESERVED_PART: usize = 8;

/// The part of all descriptors that is left free for clients that connect meanwhile, and for connections that are being
/// closed.
const SPARE_PART: usize = 16;

/// The bound on worker connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimit {
    /// Connections of clients and workers together.
    total: usize,
    /// Worker connections that may be open whatever the clients take.
    reserved: usize,
    /// Connections left free.
    spare: usize,
}

/// The connections that a process has and wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Worker connections that are open.
    pub open: usize,
    /// Worker connections that are to be opened.
    pub additional: usize,
    /// Client connections.
    pub clients: usize,
}

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection<W, T> {
    /// Its worker.
    pub worker: W,
    /// Since when it is idle.
    pub idle_since: T,
}

impl PoolLimit {
    /// The bound under a limit of descriptors, of which `reserved_descriptors` are kept for other use.
    pub fn new(descriptors: usize, reserved_descriptors: usize) -> PoolLimit {
        let shared = descriptors.saturating_sub(reserved_descriptors);
        let reserved = descriptors / RESERVED_PART / DESCRIPTORS_PER_CONNECTION;
        PoolLimit {
            total: shared / DESCRIPTORS_PER_CONNECTION,
            reserved: reserved.max(1),
            spare: descriptors / SPARE_PART / DESCRIPTORS_PER_CONNECTION,
        }
    }

    /// Worker connections that may be open beside so many clients.
    pub fn max_connections(&self, clients: usize) -> usize {
        let free = self.total.saturating_sub(clients + self.spare);
        free.max(self.reserved)
    }

    /// How many of the open worker connections are to be closed so that the additional ones may be opened.
    pub fn excess(&self, counts: ConnectionCounts) -> usize {
        let wanted = counts.open + counts.additional;
        wanted.saturating_sub(self.max_connections(counts.clients))
    }
}

/// The workers whose connections are closed: those of the `count` connections that have been idle longest.
pub fn longest_idle<W, T: Ord>(mut idle: Vec<IdleConnection<W, T>>, count: usize) -> Vec<W> {
    idle.sort_by(|first, second| first.idle_since.cmp(&second.idle_since));
    idle.truncate(count);
    idle.into_iter()
        .map(|connection| connection.worker)
        .collect()
}
