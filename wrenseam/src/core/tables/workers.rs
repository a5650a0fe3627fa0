//! The listed workers with the transports that lead to them, and the bound on connections over all of them.
use crate::discovery::membership::ConnectionAction;
use crate::model::{AttemptKey, Endpoint};
use crate::worker::pool::{longest_idle, ConnectionCounts, IdleConnection, PoolLimit};
use crate::worker::{CancelOutcome, Transport};
use std::collections::btree_map::{BTreeMap, Entry};
use wrenseam_policy::{FunctionId, WorkerState};

struct Worker {
    endpoint: Endpoint,
    transport: Box<dyn Transport>,
    /// Transports to its earlier addresses. They get no new attempts and stay until what is open there has ended, so
    /// that cancellations still reach it.
    former_transports: Vec<Box<dyn Transport>>,
}

impl Worker {
    fn new(endpoint: Endpoint, transport: Box<dyn Transport>) -> Self {
        Worker {
            endpoint,
            transport,
            former_transports: Vec::new(),
        }
    }

    fn transports(&self) -> impl Iterator<Item = &dyn Transport> {
        let former = self.former_transports.iter().map(Box::as_ref);
        std::iter::once(self.transport.as_ref()).chain(former)
    }

    fn transports_mut(&mut self) -> impl Iterator<Item = &mut Box<dyn Transport>> {
        std::iter::once(&mut self.transport).chain(&mut self.former_transports)
    }

    fn update(
        &mut self,
        endpoint: Endpoint,
        action: ConnectionAction,
        connect: impl FnOnce() -> Box<dyn Transport>,
    ) {
        if action != ConnectionAction::Keep {
            self.transport.drain();
        }
        if action == ConnectionAction::Connect {
            let former = std::mem::replace(&mut self.transport, connect());
            self.former_transports.push(former);
        }
        self.endpoint = endpoint;
    }

    /// Cancels an attempt at whichever transport holds it.
    fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        let mut result = CancelOutcome::Unknown;
        for transport in self.transports_mut() {
            let cancelled = transport.cancel(key);
            if cancelled != CancelOutcome::Unknown {
                result = cancelled;
            }
        }
        result
    }

    fn is_idle(&self) -> bool {
        self.transports().all(|transport| transport.is_idle())
    }

    fn close_idle_connections(&mut self) {
        for transport in self.transports_mut() {
            transport.sweep();
        }
        self.former_transports
            .retain(|transport| !transport.is_idle());
    }
}

/// The workers by id. A worker that is gone stays until its last connection has closed.
#[derive(Default)]
pub struct WorkerTable(BTreeMap<String, Worker>);

impl WorkerTable {
    /// The endpoints of all workers, ordered by id.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.0.values().map(|worker| &worker.endpoint)
    }

    /// Adds or changes a worker; `connect` makes its transport where `action` asks for a new one.
    pub fn update(
        &mut self,
        endpoint: Endpoint,
        action: ConnectionAction,
        connect: impl FnOnce() -> Box<dyn Transport>,
    ) {
        match self.0.entry(endpoint.id.clone()) {
            Entry::Occupied(mut worker) => worker.get_mut().update(endpoint, action, connect),
            Entry::Vacant(slot) => {
                slot.insert(Worker::new(endpoint, connect()));
            }
        }
    }

    /// The transport of a worker, whatever the worker's state.
    pub fn transport(&mut self, worker: &str) -> Option<&mut dyn Transport> {
        let worker = self.0.get_mut(worker)?;
        Some(worker.transport.as_mut())
    }

    /// The transport of a worker that may get new work.
    pub fn ready_transport(&mut self, worker: &str) -> Option<&mut dyn Transport> {
        let worker = self.0.get_mut(worker)?;
        (worker.endpoint.state == WorkerState::Ready).then_some(worker.transport.as_mut())
    }

    /// Cancels an attempt at a worker.
    pub fn cancel(&mut self, worker: &str, key: AttemptKey) -> CancelOutcome {
        self.0
            .get_mut(worker)
            .map_or(CancelOutcome::Unknown, |worker| worker.cancel(key))
    }

    /// Stops waiting for the answer to a load order, at whichever transport it went to.
    pub fn abandon_load_order(&mut self, worker: &str, order: u64) {
        if let Some(worker) = self.0.get_mut(worker) {
            for transport in worker.transports_mut() {
                transport.abandon_order(order);
            }
        }
    }

    /// Stops waiting for the answer to a health check, at whichever transport it went to.
    pub fn abandon_health_check(&mut self, worker: &str, check: u64) {
        if let Some(worker) = self.0.get_mut(worker) {
            for transport in worker.transports_mut() {
                transport.abandon_health_check(check);
            }
        }
    }

    /// Has a worker unload the idle replicas of a function.
    pub fn unload(&mut self, worker: &str, function: FunctionId) {
        if let Some(transport) = self.transport(worker) {
            transport.unload(function);
        }
    }

    /// Looks whether the connections on which answers are awaited still respond.
    pub fn check_liveness(&mut self) {
        for worker in self.0.values_mut() {
            for transport in worker.transports_mut() {
                transport.check_keepalive();
            }
        }
    }

    /// Closes connections past their idle timeout.
    pub fn close_idle_connections(&mut self) {
        for worker in self.0.values_mut() {
            worker.close_idle_connections();
        }
    }

    /// Removes the workers that are gone and have no connection left; their ids.
    pub fn remove_gone(&mut self) -> Vec<String> {
        let mut removed = Vec::new();
        self.0.retain(|id, worker| {
            let keep = worker.endpoint.state != WorkerState::Gone || !worker.is_idle();
            if !keep {
                removed.push(id.clone());
            }
            keep
        });
        removed
    }

    /// Whether an attempt at this worker finds a connection or may open one, beside so many client connections. Where
    /// descriptors run short, the connections idle longest are closed for it, whichever worker they lead to.
    pub fn make_room(&mut self, worker: &str, pool: PoolLimit, clients: usize) -> bool {
        let needs_connection = self
            .0
            .get(worker)
            .is_some_and(|worker| worker.transport.connections().next_attempt_opens);
        !needs_connection || self.trim(1, pool, clients)
    }

    /// Closes the connections idle longest until `more` may be opened; false if too many are in use.
    pub fn trim(&mut self, more: usize, pool: PoolLimit, clients: usize) -> bool {
        let excess = pool.excess(ConnectionCounts {
            open: self.connections(),
            additional: more,
            clients,
        });
        if excess == 0 {
            return true;
        }
        let idle = self
            .0
            .iter()
            .filter_map(|(id, worker)| {
                Some(IdleConnection {
                    worker: id.clone(),
                    idle_since: worker.transport.idle_since()?,
                })
            })
            .collect();
        let closing = longest_idle(idle, excess);
        for id in &closing {
            if let Some(transport) = self.transport(id) {
                transport.close_idle();
            }
        }
        closing.len() == excess
    }

    /// Connections to workers that are established or being established.
    fn connections(&self) -> usize {
        self.0
            .values()
            .flat_map(Worker::transports)
            .map(|transport| transport.connections().open)
            .sum()
    }
}
