//! Listed workers: what is known of each, and the table of them.
use crate::endpoint::{Endpoint, WorkerState};
use crate::index::{FunctionIndex, WorkerIndex};
use crate::rejections::Rejections;
use crate::slow_start::Account;
use crate::types::{Micros, RequestId, WorkerId, SECOND};
use crate::worker_health::WorkerHealth;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};
use std::sync::Arc;

/// A load that takes this multiple of its usual time is slow.
pub(crate) const SLOW_LOAD_MULTIPLE: f64 = 2.0;
/// How long a worker's last load tells how it loads.
pub(crate) const LAST_LOAD_LIFETIME: Micros = 2 * SECOND;

/// An attempt that has not ended, in the order of age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OpenAttempt {
    pub(crate) sent_at: Micros,
    pub(crate) request: RequestId,
    pub(crate) attempt: usize,
}

/// The requests in flight at a worker by its own report, or by what stands for one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    pub(crate) received_at: Micros,
    pub(crate) in_flight: f64,
    /// This front end's attempts that were open there then.
    pub(crate) own_attempts: usize,
}

/// How a worker's last load went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastLoad {
    ended_at: Micros,
    /// The multiple of the usual time that it took.
    multiple: f64,
}

impl LastLoad {
    pub(crate) fn new(ended_at: Micros, multiple: f64) -> Self {
        LastLoad { ended_at, multiple }
    }

    pub(crate) fn is_recent(&self, now: Micros) -> bool {
        now < self.ended_at + LAST_LOAD_LIFETIME
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.multiple > SLOW_LOAD_MULTIPLE
    }
}

/// A listed worker.
pub(crate) struct Worker {
    pub(crate) endpoint: Endpoint,
    pub(crate) health: WorkerHealth,
    pub(crate) rejections: Rejections,
    pub(crate) slow_start: Account,
    pub(crate) load_report: Option<LoadReport>,
    pub(crate) last_load: LastLoad,
    /// Orders to load that it has not answered.
    pub(crate) pending_loads: u32,
    /// It had no memory for a load, and is not asked for another until then.
    pub(crate) no_memory_until: Micros,
    /// This front end's attempts there.
    pub(crate) open_attempts: BTreeSet<OpenAttempt>,
    /// Functions of which something is known there.
    pub(crate) functions: BTreeSet<FunctionIndex>,
}

impl Worker {
    pub(crate) fn new(endpoint: Endpoint, now: Micros) -> Self {
        Worker {
            endpoint,
            health: WorkerHealth::new(now),
            rejections: Rejections::default(),
            slow_start: Account::default(),
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

    /// The process is new: past health says nothing, and nothing is saved up for it.
    pub(crate) fn process_started(&mut self) {
        self.health.process_started();
        self.load_report = None;
        self.slow_start.reset();
    }

    /// The worker reported the requests that it has in flight.
    pub(crate) fn report_load(&mut self, now: Micros, in_flight: f64) {
        self.load_report = Some(LoadReport {
            received_at: now,
            in_flight,
            own_attempts: self.open_attempts.len(),
        });
    }
}

/// All workers that are listed, and those that are gone until their positions are taken.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: Vec<Worker>,
    by_id: BTreeMap<WorkerId, WorkerIndex>,
    /// Shared, so that it can be walked while workers change.
    ready: Arc<Vec<WorkerIndex>>,
    /// The most workers listed at a time.
    most_listed: usize,
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

    /// Workers that can be found by their id.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Positions in the table, including those of workers that are gone.
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

    /// Workers that take new work, as the endpoint list has them now.
    pub(crate) fn ready(&self) -> Arc<Vec<WorkerIndex>> {
        Arc::clone(&self.ready)
    }

    /// How many workers take new work.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    pub(crate) fn most_listed(&self) -> usize {
        self.most_listed
    }

    /// Adds a worker at a new position.
    pub(crate) fn push(&mut self, worker: Worker) -> WorkerIndex {
        let index = WorkerIndex(self.workers.len());
        self.by_id.insert(worker.endpoint.worker.clone(), index);
        self.workers.push(worker);
        index
    }

    /// Gives the position of a worker that is gone to another.
    pub(crate) fn replace(&mut self, index: WorkerIndex, worker: Worker) {
        self.by_id.remove(&self.workers[index.0].endpoint.worker);
        self.by_id.insert(worker.endpoint.worker.clone(), index);
        self.workers[index.0] = worker;
    }

    /// The endpoint list has been taken over: works out which workers are ready.
    pub(crate) fn list_changed(&mut self) {
        let ready = self.indexes().filter(|&index| self[index].is_ready());
        self.ready = Arc::new(ready.collect());
        let listed = self.iter().filter(|worker| !worker.is_gone()).count();
        self.most_listed = self.most_listed.max(listed);
    }
}
