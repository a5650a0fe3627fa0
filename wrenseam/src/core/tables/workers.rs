//! The listed workers with their transports, and the limit on the number of connections to all of them.
use crate::discovery::membership::ConnectionAction;
use crate::model::{AttemptKey, Endpoint};
use crate::worker::pool::{
    longest_idle, ConnectionCounts, ConnectionGauge, IdleConnection, PoolLimit,
};
use crate::worker::{CancelOutcome, Transport};
use std::collections::btree_map::{BTreeMap, Entry};
use wrenseam_policy::{FunctionId, WorkerState};

struct Worker {
    endpoint: Endpoint,
    transport: Box<dyn Transport>,
    /// Transports to its earlier addresses. They get no new attempts. Each stays until it has no connection left, so
    /// that attempts that are open there can still be cancelled.
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

    /// Cancels an attempt on whichever transport it was sent.
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

/// The workers, by id. A worker that is gone stays in the table until its last connection has closed.
#[derive(Default)]
pub struct WorkerTable {
    workers: BTreeMap<String, Worker>,
    gauge: ConnectionGauge,
}

impl WorkerTable {
    /// Counts the connections of all transports that share it.
    pub fn gauge(&self) -> ConnectionGauge {
        self.gauge.clone()
    }

    /// The endpoints of all workers, ordered by id.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.workers.values().map(|worker| &worker.endpoint)
    }

    /// Adds or changes a worker. `connect` creates its transport if the worker is new or `action` requires a new one.
    pub fn update(
        &mut self,
        endpoint: Endpoint,
        action: ConnectionAction,
        connect: impl FnOnce() -> Box<dyn Transport>,
    ) {
        match self.workers.entry(endpoint.id.clone()) {
            Entry::Occupied(mut worker) => worker.get_mut().update(endpoint, action, connect),
            Entry::Vacant(slot) => {
                slot.insert(Worker::new(endpoint, connect()));
            }
        }
    }

    /// The transport of a worker in any state.
    pub fn transport(&mut self, worker: &str) -> Option<&mut dyn Transport> {
        let worker = self.workers.get_mut(worker)?;
        Some(worker.transport.as_mut())
    }

    /// The transport of a worker that may get new work.
    pub fn ready_transport(&mut self, worker: &str) -> Option<&mut dyn Transport> {
        let worker = self.workers.get_mut(worker)?;
        (worker.endpoint.state == WorkerState::Ready).then_some(worker.transport.as_mut())
    }

    /// Cancels an attempt at a worker.
    pub fn cancel(&mut self, worker: &str, key: AttemptKey) -> CancelOutcome {
        self.workers
            .get_mut(worker)
            .map_or(CancelOutcome::Unknown, |worker| worker.cancel(key))
    }

    /// Stops waiting for the response to a load order, on whichever transport it was sent.
    pub fn abandon_load_order(&mut self, worker: &str, order: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            for transport in worker.transports_mut() {
                transport.abandon_order(order);
            }
        }
    }

    /// Stops waiting for the response to a health check, on whichever transport it was sent.
    pub fn abandon_health_check(&mut self, worker: &str, check: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            for transport in worker.transports_mut() {
                transport.abandon_health_check(check);
            }
        }
    }

    /// Orders a worker to unload its idle replicas of a function.
    pub fn unload(&mut self, worker: &str, function: FunctionId) {
        if let Some(transport) = self.transport(worker) {
            transport.unload(function);
        }
    }

    /// Makes the keepalive check: probes the connections on which responses are overdue, and closes those on which a
    /// probe is not answered.
    pub fn check_keepalive(&mut self) {
        for worker in self.workers.values_mut() {
            for transport in worker.transports_mut() {
                transport.check_keepalive();
            }
        }
    }

    /// Closes connections past their idle timeout.
    pub fn close_idle_connections(&mut self) {
        for worker in self.workers.values_mut() {
            worker.close_idle_connections();
        }
    }

    /// Removes the workers that are gone and have no connection left, and returns their ids.
    pub fn remove_gone(&mut self) -> Vec<String> {
        let mut removed = Vec::new();
        self.workers.retain(|id, worker| {
            let keep = worker.endpoint.state != WorkerState::Gone || !worker.is_idle();
            if !keep {
                removed.push(id.clone());
            }
            keep
        });
        removed
    }

    /// Whether an exchange with this worker has a connection to use or may open one, with `clients` client connections
    /// open. `call` is the id of a call, `None` for other exchanges. If descriptors are short, the connections that have
    /// been idle longest are closed to allow it, whichever workers they lead to.
    pub fn ensure_connection_available(
        &mut self,
        worker: &str,
        call: Option<u64>,
        pool_limit: PoolLimit,
        clients: usize,
    ) -> bool {
        let needs_connection = self.workers.get(worker).is_some_and(|worker| {
            let transport = &worker.transport;
            call.map_or_else(
                || transport.connections().next_attempt_opens,
                |id| transport.call_opens_connection(id),
            )
        });
        !needs_connection
            || self.trim_idle_connections(1, pool_limit, clients)
                && pool_limit.allows_another(self.gauge.open(), clients)
    }

    /// Closes the connections that have been idle longest until `more` may be opened, with `clients` client connections
    /// open. Returns false if too few are idle for that.
    pub fn trim_idle_connections(
        &mut self,
        more: usize,
        pool_limit: PoolLimit,
        clients: usize,
    ) -> bool {
        let excess = pool_limit.excess(ConnectionCounts {
            open: self.connections(),
            additional: more,
            clients,
        });
        if excess == 0 {
            return true;
        }
        let idle = self
            .workers
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
    pub fn connections(&self) -> usize {
        self.workers
            .values()
            .flat_map(Worker::transports)
            .map(|transport| transport.connections().open)
            .sum()
    }
}
