//! The state of each listed worker, and the table of all workers.
use crate::endpoint::{Endpoint, WorkerState};
use crate::index::{FunctionIndex, WorkerIndex};
use crate::rejections::Rejections;
use crate::slow_start::SendBucket;
use crate::types::{Micros, RequestId, WorkerId, SECOND};
use crate::worker_health::WorkerHealth;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};
use std::sync::Arc;

/// A load that takes more than this multiple of its usual time counts as slow.
pub(crate) const SLOW_LOAD_MULTIPLE: f64 = 2.0;
/// How long a worker's last load counts as recent.
pub(crate) const LAST_LOAD_LIFETIME: Micros = 2 * SECOND;

/// An attempt that has not ended; the order is by age, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OpenAttempt {
    pub(crate) sent_at: Micros,
    pub(crate) request: RequestId,
    pub(crate) attempt: usize,
}

/// The requests in flight at a worker, by its own report, or estimated from its answers where it sends none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    pub(crate) received_at: Micros,
    /// Requests of all front ends.
    pub(crate) in_flight: f64,
    /// This front end's attempts that were open at the worker when the report came.
    pub(crate) own_attempts: usize,
}

/// The last load that a worker completed, with its time relative to the usual one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastLoad {
    ended_at: Micros,
    /// Its time as a multiple of the usual time of such a load.
    slowdown: f64,
}

impl LastLoad {
    pub(crate) fn new(ended_at: Micros, slowdown: f64) -> Self {
        LastLoad { ended_at, slowdown }
    }

    pub(crate) fn is_recent(&self, now: Micros) -> bool {
        now < self.ended_at + LAST_LOAD_LIFETIME
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.slowdown > SLOW_LOAD_MULTIPLE
    }
}

/// A listed worker.
pub(crate) struct Worker {
    pub(crate) endpoint: Endpoint,
    pub(crate) health: WorkerHealth,
    pub(crate) rejections: Rejections,
    pub(crate) slow_start: SendBucket,
    pub(crate) load_report: Option<LoadReport>,
    pub(crate) last_load: LastLoad,
    /// Load orders that the worker has not answered.
    pub(crate) pending_loads: u32,
    /// The worker had no memory for a load and gets no other load order before this time.
    pub(crate) no_memory_until: Micros,
    /// This front end's attempts in flight at the worker.
    pub(crate) open_attempts: BTreeSet<OpenAttempt>,
    /// Functions that have a replica state at the worker.
    pub(crate) functions: BTreeSet<FunctionIndex>,
}

impl Worker {
    pub(crate) fn new(endpoint: Endpoint, now: Micros) -> Self {
        Worker {
            endpoint,
            health: WorkerHealth::new(now),
            rejections: Rejections::default(),
            slow_start: SendBucket::default(),
            load_report: None,
            last_load: LastLoad::new(0, 1.0),
            pending_loads: 0,
            no_memory_until: 0,
            open_attempts: BTreeSet::new(),
            functions: BTreeSet::new(),
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == WorkerState::Ready
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.endpoint.state == WorkerState::Gone
    }

    /// Resets the health, load report and slow start of the worker's previous process: a new one has started.
    pub(crate) fn process_started(&mut self) {
        self.health.process_started();
        self.load_report = None;
        self.slow_start.reset();
    }

    /// Records the requests in flight that the worker reported or that were estimated for it.
    pub(crate) fn report_load(&mut self, now: Micros, in_flight: f64) {
        self.load_report = Some(LoadReport {
            received_at: now,
            in_flight,
            own_attempts: self.open_attempts.len(),
        });
    }
}

/// All listed workers, and those that are gone whose positions have not been reused.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: Vec<Worker>,
    by_id: BTreeMap<WorkerId, WorkerIndex>,
    /// Workers that are ready; shared, so that callers can iterate over it while they change workers.
    ready: Arc<Vec<WorkerIndex>>,
    /// Maximum number of workers that were ever listed at a time.
    max_listed: usize,
}

impl Index<WorkerIndex> for WorkerTable {
    type Output = Worker;

    fn index(&self, index: WorkerIndex) -> &Worker {
        &self.workers[index.0]
    }
}

impl IndexMut<WorkerIndex> for WorkerTable {
    fn index_mut(&mut self, index: WorkerIndex) -> &mut Worker {
        &mut self.workers[index.0]
    }
}

impl WorkerTable {
    pub(crate) fn find(&self, id: &str) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    /// Number of workers that can be found by their id.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of positions in the table, including those of workers that are gone.
    pub(crate) fn positions(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn indexes(&self) -> impl Iterator<Item = WorkerIndex> {
        (0..self.workers.len()).map(WorkerIndex)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.iter_mut()
    }

    /// Workers that take new work, by the present endpoint list.
    pub(crate) fn ready(&self) -> Arc<Vec<WorkerIndex>> {
        Arc::clone(&self.ready)
    }

    /// Number of workers that take new work.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    pub(crate) fn max_listed(&self) -> usize {
        self.max_listed
    }

    /// Adds a worker at a new position.
    pub(crate) fn push(&mut self, worker: Worker) -> WorkerIndex {
        let index = WorkerIndex(self.workers.len());
        self.by_id.insert(worker.endpoint.worker.clone(), index);
        self.workers.push(worker);
        index
    }

    /// Reuses the position of a worker that is gone for another.
    pub(crate) fn replace(&mut self, index: WorkerIndex, worker: Worker) {
        self.by_id.remove(&self.workers[index.0].endpoint.worker);
        self.by_id.insert(worker.endpoint.worker.clone(), index);
        self.workers[index.0] = worker;
    }

    /// Recomputes the ready workers. To be called after each change of the endpoint list.
    pub(crate) fn list_changed(&mut self) {
        let ready = self.indexes().filter(|&index| self[index].is_ready());
        self.ready = Arc::new(ready.collect());
        let listed = self.iter().filter(|worker| !worker.is_gone()).count();
        self.max_listed = self.max_listed.max(listed);
    }
}
