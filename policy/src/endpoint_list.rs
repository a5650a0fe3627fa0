//! Applies changes of the endpoint list.
use crate::endpoint::{Endpoint, WorkerState};
use crate::index::WorkerIndex;
use crate::replica::ReplicaState;
use crate::state::State;
use crate::types::Micros;
use crate::worker::Worker;
use std::collections::BTreeSet;

/// The workers that a change of the list affects.
#[derive(Debug, Default)]
struct ListChanges {
    /// Workers that the change names.
    named: BTreeSet<WorkerIndex>,
    /// Workers with a new process.
    started: Vec<WorkerIndex>,
    /// Workers that have nothing loaded any more: restarted, or gone.
    unloaded: Vec<WorkerIndex>,
    /// Positions below this are taken. Adding ten thousand workers would be quadratic if each searched all positions.
    first_free: usize,
}

impl State {
    /// Applies a change of the endpoint list. A `complete` one replaces the list: workers that it does not name are
    /// gone.
    pub(crate) fn update_endpoints(
        &mut self,
        now: Micros,
        complete: bool,
        endpoints: Vec<Endpoint>,
    ) {
        let mut changes = ListChanges::default();
        for endpoint in endpoints {
            match self.workers.find(&endpoint.worker) {
                Some(worker) => self.update_worker(worker, endpoint, &mut changes),
                None if endpoint.state != WorkerState::Gone => {
                    self.add_worker(endpoint, now, &mut changes);
                }
                None => {}
            }
        }
        if complete {
            self.remove_unnamed_workers(&mut changes);
        }
        self.workers.list_changed();
        for worker in changes.started {
            self.workers[worker].process_started();
            self.zones.recovered(self.workers[worker].endpoint.zone);
        }
        for worker in changes.unloaded {
            self.invalidate_replicas(worker);
        }
    }

    fn add_worker(&mut self, endpoint: Endpoint, now: Micros, changes: &mut ListChanges) {
        let free = (changes.first_free..self.workers.positions())
            .map(WorkerIndex)
            .find(|&worker| self.is_position_free(worker));
        let worker = Worker::new(endpoint, now);
        let index = match free {
            Some(index) => {
                self.invalidate_replicas(index);
                self.workers.replace(index, worker);
                self.functions.invalidate_preferred_workers();
                index
            }
            None => self.workers.push(worker),
        };
        changes.first_free = index.0 + 1;
        changes.named.insert(index);
        changes.started.push(index);
    }

    /// Whether a position may be reused: its worker is gone and nothing refers to it. Reuse keeps the tables from
    /// growing with the number of workers that ever existed.
    fn is_position_free(&self, index: WorkerIndex) -> bool {
        let worker = &self.workers[index];
        let is_in_use = worker.functions.iter().any(|&function| {
            self.replica(function, index)
                .is_some_and(ReplicaState::is_in_use)
        });
        worker.is_gone()
            && worker.open_attempts.is_empty()
            && !is_in_use
            && !self.requests.has_attempts_at(index)
    }

    /// Applies a listed worker's new entry. A start time of 0 (not stated) leaves the known one.
    fn update_worker(&mut self, index: WorkerIndex, endpoint: Endpoint, changes: &mut ListChanges) {
        changes.named.insert(index);
        let known = &mut self.workers[index].endpoint;
        let has_restarted = endpoint.started_at != 0 && endpoint.started_at != known.started_at;
        let is_gone = endpoint.state == WorkerState::Gone;
        let started_at = if has_restarted {
            endpoint.started_at
        } else {
            known.started_at
        };
        *known = Endpoint {
            started_at,
            ..endpoint
        };
        if has_restarted {
            changes.started.push(index);
        }
        if has_restarted || is_gone {
            changes.unloaded.push(index);
        }
    }

    fn remove_unnamed_workers(&mut self, changes: &mut ListChanges) {
        for index in self.workers.indexes() {
            if !changes.named.contains(&index) {
                self.workers[index].endpoint.state = WorkerState::Gone;
                changes.unloaded.push(index);
            }
        }
    }
}
