//! The limit on connections to workers, and which ones are closed when there are too many. No sockets and no clock
//! here.
//!
//! Clients and workers share the file descriptors of one process. There may be hundreds of workers, and a front end
//! seldom has attempts for all of them at once. So idle connections are kept while descriptors are plentiful, and those
//! that have been idle longest are closed when descriptors run short.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Descriptors of a connection to a client or a worker: one for each direction.
pub const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// Divisor of the descriptor limit that gives the descriptors that are reserved for workers, however many connections
/// clients have.
const WORKER_RESERVE_DIVISOR: usize = 8;

/// Divisor of the descriptor limit that gives the descriptors that stay free for clients that connect meanwhile and for
/// connections that are being closed.
const SPARE_DIVISOR: usize = 16;

/// Counts the worker connections of a process whose descriptors are open, including those that are being closed.
#[derive(Clone, Debug, Default)]
pub struct ConnectionGauge(Arc<AtomicUsize>);

impl ConnectionGauge {
    /// The number of connections that are counted.
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Counts a connection until the returned value is dropped.
    pub fn count(&self) -> CountedConnection {
        self.0.fetch_add(1, Ordering::AcqRel);
        CountedConnection(self.0.clone())
    }
}

/// A connection that a [`ConnectionGauge`] counts. Dropped once the connection's descriptors are closed.
#[derive(Debug)]
pub struct CountedConnection(Arc<AtomicUsize>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The limit on worker connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimit {
    /// Most connections of clients and workers together.
    total: usize,
    /// Worker connections that may be open however many connections clients have.
    reserved: usize,
    /// Connections that are left free.
    spare: usize,
}

/// The connections that a process has and wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open worker connections.
    pub open: usize,
    /// Worker connections that are about to be opened.
    pub additional: usize,
    /// Open client connections.
    pub clients: usize,
}

/// An idle connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection<W, T> {
    /// The worker that the connection leads to.
    pub worker: W,
    /// When the connection became idle.
    pub idle_since: T,
}

impl PoolLimit {
    /// The limit for a process with this many descriptors, of which `reserved_descriptors` are kept for other use.
    pub fn new(descriptors: usize, reserved_descriptors: usize) -> PoolLimit {
        let shared = descriptors.saturating_sub(reserved_descriptors);
        let reserved = descriptors / WORKER_RESERVE_DIVISOR / DESCRIPTORS_PER_CONNECTION;
        PoolLimit {
            total: shared / DESCRIPTORS_PER_CONNECTION,
            reserved: reserved.max(1),
            spare: descriptors / SPARE_DIVISOR / DESCRIPTORS_PER_CONNECTION,
        }
    }

    /// How many worker connections may be open beside this many client connections.
    pub fn max_connections(&self, clients: usize) -> usize {
        let free = self.total.saturating_sub(clients + self.spare);
        free.max(self.reserved)
    }

    /// Whether the descriptors allow another worker connection beside `open` ones, some of which may be closing, and
    /// this many client connections. The spare ones may be used too.
    pub fn allows_another(&self, open: usize, clients: usize) -> bool {
        open < self.total.saturating_sub(clients).max(self.reserved)
    }

    /// How many of the open worker connections must be closed before the additional ones may be opened.
    pub fn excess(&self, counts: ConnectionCounts) -> usize {
        let wanted = counts.open + counts.additional;
        wanted.saturating_sub(self.max_connections(counts.clients))
    }
}

/// The workers of the `count` connections that have been idle longest.
pub fn longest_idle<W, T: Ord>(mut idle: Vec<IdleConnection<W, T>>, count: usize) -> Vec<W> {
    idle.sort_by(|first, second| first.idle_since.cmp(&second.idle_since));
    idle.truncate(count);
    idle.into_iter()
        .map(|connection| connection.worker)
        .collect()
}
