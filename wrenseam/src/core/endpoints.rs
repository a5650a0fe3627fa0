//! Endpoint updates: what a change of the endpoint lists does to workers and policy, and whether a worker can get one
//! more connection.
use super::log_lines::LogLine;
use super::readiness::ids;
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
    /// Applies an update of one source's endpoint list. The front end is ready from the first update on.
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

    /// Carries out changes of the endpoint list: at the workers' transports, and in the policy's list.
    pub(super) fn apply_changes(&mut self, changes: Vec<Change>) {
        for change in &changes {
            eprintln!("{}", LogLine::EndpointChanged(&change.endpoint));
        }
        self.apply_readiness_changes(changes);
    }

    /// The same for changes that were logged as what they are.
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
        self.workers.update(endpoint, change.action, || {
            transport(
                protocol,
                address,
                &self.limits,
                &self.reports,
                &self.system_calls,
            )
        });
    }

    /// The endpoint as the policy knows it, with positions in the settings in place of names.
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

    /// Whether a worker's transport has a connection or may open one; see [`super::tables::WorkerTable::make_room`].
    pub(super) fn make_room(&mut self, worker: &str) -> bool {
        let clients = self.process_state.clients.load(Ordering::Acquire);
        self.workers
            .make_room(worker, self.connection_pool(), clients)
    }

    /// How many connections to workers there may be.
    pub(super) fn connection_pool(&self) -> PoolLimit {
        PoolLimit::new(self.limits.descriptors, RESERVED_DESCRIPTORS)
    }
}
