//! Applies changes of the endpoint lists to the workers' transports and to the policy, and checks whether a worker may
//! get one more connection.
use super::log_lines::LogLine;
use super::readiness::ids;
use super::resources::no_connection;
use super::Core;
use crate::discovery::membership::Change;
use crate::limits::RESERVED_DESCRIPTORS;
use crate::model::{Endpoint, TransportProtocol};
use crate::worker::pool::PoolLimit;
use crate::worker::transport;
use std::sync::atomic::Ordering;
use wrenseam_policy::json::position;
use wrenseam_policy::Event;

impl Core {
    /// Applies an update of one source's endpoint list. The first update makes the front end ready.
    pub(super) fn update_endpoints(
        &mut self,
        source: TransportProtocol,
        complete: bool,
        endpoints: Vec<Endpoint>,
    ) {
        let mut changed = ids(&endpoints);
        let changes = self.membership.apply(source, complete, endpoints);
        changed.extend(ids(changes.iter().map(|change| &change.endpoint)));
        self.sync_leases(source, &changed);
        self.apply_changes(changes);
        self.process_state.ready.store(true, Ordering::Release);
    }

    /// Logs changes of the endpoint list and applies them to the workers' transports and to the policy's list.
    pub(super) fn apply_changes(&mut self, changes: Vec<Change>) {
        for change in &changes {
            log_line!("{}", LogLine::EndpointChanged(&change.endpoint));
        }
        self.apply_readiness_changes(changes);
    }

    /// Applies changes to the workers' transports and to the policy's list, without a log line. The caller has logged
    /// each as a suspension or its end.
    pub(super) fn apply_readiness_changes(&mut self, changes: Vec<Change>) {
        let mut endpoints = Vec::with_capacity(changes.len());
        for change in changes {
            endpoints.push(self.policy_endpoint(&change.endpoint));
            self.apply_change(change);
        }
        if !endpoints.is_empty() {
            self.events.push_back(Event::EndpointUpdate {
                complete: false,
                endpoints,
            });
        }
    }

    fn apply_change(&mut self, change: Change) {
        let endpoint = change.endpoint;
        let address = endpoint.address;
        let protocol = endpoint.protocol;
        let gauge = self.workers.gauge();
        self.workers.update(endpoint, change.action, || {
            transport(
                protocol,
                address,
                &self.limits,
                &self.reports,
                &self.system_calls,
                &gauge,
            )
        });
    }

    /// The endpoint in the policy's form, with positions in place of the names of zone and kind.
    fn policy_endpoint(&mut self, endpoint: &Endpoint) -> wrenseam_policy::Endpoint {
        wrenseam_policy::Endpoint {
            worker: endpoint.id.clone(),
            state: endpoint.state,
            started_at: endpoint.started_at,
            zone: self.zones.position(&endpoint.zone),
            kind: position(&self.settings.kinds, Some(&endpoint.kind)),
            cell: endpoint.cell,
        }
    }

    /// Whether an exchange with this worker has a connection to use or may open one; `call` is the id of a call. See
    /// [`super::tables::WorkerTable::ensure_connection_available`].
    pub(super) fn ensure_connection_available(&mut self, worker: &str, call: Option<u64>) -> bool {
        let clients = self
            .process_state
            .client_connections
            .load(Ordering::Acquire);
        let pool_limit = self.pool_limit();
        let is_available = self
            .workers
            .ensure_connection_available(worker, call, pool_limit, clients);
        if !is_available {
            let open = self.workers.connections();
            let limit = pool_limit.max_connections(clients);
            log_limited!("{}", no_connection(worker, open, limit));
        }
        is_available
    }

    /// The limit on connections to workers, from the process's limit on descriptors.
    pub(super) fn pool_limit(&self) -> PoolLimit {
        let further_discovery_connections = self.limits.discovery.max_connections - 1;
        let reserved = RESERVED_DESCRIPTORS + further_discovery_connections;
        PoolLimit::new(self.limits.descriptors, reserved)
    }
}
