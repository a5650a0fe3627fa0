//! A front end without sockets: the decision module before stand-in workers, on simulated time. All that it counts is
//! the same in every run of a shape and seed; only what the clock measures is not.
mod counts;
mod plan;
mod popularity;
mod shape;

pub use counts::{Counts, Spent};
use plan::{Due, Todo};
pub use popularity::Popularity;
pub use shape::Shape;

use allocation_counter::{measure, AllocationInfo};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;
use wrenseam_policy::{
    Action, AttemptResult, Controller, Event, Micros, NewRequest, Outcome, RequestId, Settings,
    WorkerId, WorkerState,
};

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;
/// Calls start here, so that a start told as 0 is long ago.
pub const START: Micros = 1_000 * SEC;
const AWAY: Micros = 250 * MS; // a connection to a worker that is not there counts as failed after this

fn name(worker: usize) -> WorkerId {
    format!("s-{worker:08x}")
}

fn number(worker: &str) -> usize {
    usize::from_str_radix(&worker[2..], 16).expect("named by us")
}

struct Call {
    function: usize,
    arrived: Micros,
    first: bool,
    attempts: usize,
}

/// One front end.
pub struct Front {
    pub shape: Shape,
    controller: Controller,
    popularity: Rc<Popularity>,
    pub now: Micros,
    rng: Pcg64Mcg,
    due: BTreeMap<(Micros, u64), Due>,
    serial: u64,
    out: Vec<Action>,
    todo: Vec<Todo>,
    calls: BTreeMap<RequestId, Call>,
    ends: BTreeMap<(RequestId, usize), (Micros, u64)>,
    /// Until when a copy that we caused stands.
    warm: BTreeMap<(usize, usize), Micros>,
    met: BTreeSet<usize>,
    /// The workers of the list, and those that are gone without a word.
    listed: Vec<usize>,
    next_worker: usize,
    away: BTreeSet<usize>,
    /// Workers at which nobody else's calls keep a copy, as they came back empty.
    emptied: BTreeSet<usize>,
    gone: Option<usize>,
    pub counts: Counts,
    pub spent: Spent,
    /// Time from arrival to the attempt that was served, of first calls of a function.
    pub waits: Vec<Micros>,
    /// When an attempt went to whom, and when an order or question did, where asked for.
    pub log: Option<Vec<(Micros, usize, bool)>>,
}

impl Front {
    /// A front end that has just started and has been told of all workers.
    pub fn new(shape: &Shape) -> Front {
        Front::at(shape, &Rc::new(Popularity::new(shape)), 0, START)
    }

    /// The same for the front end of this number at this time.
    pub fn at(shape: &Shape, popularity: &Rc<Popularity>, index: u32, now: Micros) -> Front {
        let seed = shape
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(u64::from(index));
        let room = 256 + 4 * shape.workers; // never grows, as its growth would count as the module's
        let mut controller = None;
        let held = measure(|| {
            let settings = Settings {
                front_end_index: Some(index),
                ..shape.settings()
            };
            controller = Some(Controller::new(settings, seed));
        });
        let controller = controller.expect("made by the closure");
        let mut front = Front {
            controller,
            popularity: popularity.clone(),
            shape: shape.clone(),
            now,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            due: BTreeMap::new(),
            serial: 0,
            out: Vec::with_capacity(room),
            todo: Vec::with_capacity(room),
            calls: BTreeMap::new(),
            ends: BTreeMap::new(),
            warm: BTreeMap::new(),
            met: BTreeSet::new(),
            listed: (0..shape.workers).collect(),
            next_worker: shape.workers,
            away: BTreeSet::new(),
            emptied: BTreeSet::new(),
            gone: None,
            counts: Counts::default(),
            spent: Spent::default(),
            waits: Vec::new(),
            log: None,
        };
        front.counts.held = held.bytes_current;
        let listed = front.listed.clone();
        front.list(true, &listed, WorkerState::Ready, 0);
        if shape.calls > 0.0 {
            let first = front.pause(shape.calls);
            front.plan(first, Due::Call);
        }
        if shape.changes > 0.0 {
            front.plan((SEC as f64 / shape.changes) as Micros, Due::Change);
        }
        front
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn pause(&mut self, rate: f64) -> Micros {
        (-(1.0 - self.chance()).ln() / rate * SEC as f64) as Micros
    }

    fn plan(&mut self, after: Micros, due: Due) -> (Micros, u64) {
        self.serial += 1;
        self.due.insert((self.now + after, self.serial), due);
        (self.now + after, self.serial)
    }

    /// Tells the module of these workers.
    pub fn list(&mut self, full: bool, workers: &[usize], state: WorkerState, started_at: Micros) {
        let shape = self.shape.clone();
        let entries = || {
            workers
                .iter()
                .map(|&n| shape.entry(n, state, started_at))
                .collect()
        };
        self.feed(|| Event::EndpointUpdate {
            complete: full,
            endpoints: entries(),
        });
    }

    /// The workers whose machines are silent from now on, or no more.
    pub fn lose(&mut self, workers: &[usize]) {
        self.away.extend(workers);
        self.emptied.extend(workers);
        let lost: BTreeSet<usize> = workers.iter().copied().collect();
        self.warm.retain(|&(_, w), _| !lost.contains(&w));
    }

    pub fn back(&mut self, workers: &[usize]) {
        workers.iter().for_each(|w| {
            self.away.remove(w);
        });
    }

    pub fn workers(&self) -> &[usize] {
        &self.listed
    }

    /// Lets this span pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((&(at, serial), &due)) =
            self.due.first_key_value().filter(|(k, _)| k.0 < end)
        {
            self.due.remove(&(at, serial));
            self.now = at;
            self.happen(due);
        }
        self.now = end;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Timer(token) => self.feed(|| Event::Timer { token }),
            Due::Call => self.call(),
            Due::Change => self.change(),
            Due::End {
                id,
                attempt,
                outcome,
                since,
                warm,
            } => {
                self.ends.remove(&(id, attempt));
                let closed = outcome == Outcome::Ok;
                let first = if closed {
                    self.calls.remove(&id).filter(|c| c.first)
                } else {
                    None
                };
                self.waits.extend(first.map(|c| since - c.arrived));
                let elapsed = self.now - since;
                let (crowd, inflight) = (Some(0), Some(2.0));
                self.feed(|| {
                    Event::AttemptEnded(AttemptResult {
                        id,
                        attempt,
                        outcome,
                        elapsed,
                        request_closed: closed,
                        replica_loaded: warm,
                        queue_depth: crowd,
                        in_flight: inflight,
                    })
                });
            }
            Due::Answer {
                worker,
                function,
                count,
                outcome,
                since,
            } => {
                let elapsed = self.now - since;
                if count > 0 {
                    let until = self.now + self.shape.keep;
                    self.warm.insert((function as usize, worker), until);
                }
                self.feed(|| Event::LoadOrderEnded {
                    worker: name(worker),
                    function,
                    replicas: count,
                    outcome,
                    elapsed,
                });
            }
        }
    }

    fn call(&mut self) {
        let next = self.pause(self.shape.calls);
        self.plan(next, Due::Call);
        let (chance, mark) = (self.chance(), self.rng.next_u64());
        let n = self.popularity.draw(chance);
        self.counts.calls += 1;
        let id = self.counts.calls;
        let first = self.met.insert(n);
        self.counts.first += u64::from(first);
        self.calls.insert(
            id,
            Call {
                function: n,
                arrived: self.now,
                first,
                attempts: 0,
            },
        );
        let (class, tenant) = ((mark % 2) as usize, Some((mark >> 8) as usize % 5));
        let (left, load_time) = (4 * SEC, self.shape.load);
        let (memory_mb, lanes, retry, function) = (500.0, 4, false, n as u64);
        self.feed(|| {
            Event::Request(NewRequest {
                id,
                class,
                tenant,
                function,
                time_left: left,
                memory_mb,
                concurrency: lanes,
                load_time,
                retry,
            })
        });
    }

    fn change(&mut self) {
        self.plan((SEC as f64 / self.shape.changes) as Micros, Due::Change);
        if self.gone.take().is_some() {
            let w = self.next_worker;
            self.next_worker += 1;
            self.listed.push(w);
            let now = self.now;
            return self.list(false, &[w], WorkerState::Ready, now);
        }
        let at = self.rng.next_u64() as usize % self.listed.len();
        let w = self.listed.swap_remove(at);
        self.gone = Some(w);
        self.list(false, &[w], WorkerState::Gone, 0);
    }

    /// Whether a copy stands there: ours, or by the calls of the others, which go where ours go.
    fn stands(&mut self, function: usize, worker: usize) -> bool {
        if self
            .warm
            .get(&(function, worker))
            .is_some_and(|&t| t > self.now)
        {
            return true;
        }
        let peers = f64::from(self.shape.front_ends.saturating_sub(1));
        let others = if self.shape.others && !self.emptied.contains(&worker) {
            self.shape.calls * peers
        } else {
            0.0
        };
        let rate = others * self.popularity.part(function) * self.shape.keep as f64 / SEC as f64;
        self.chance() < 1.0 - (-rate).exp()
    }

    /// Gives the module an event and does what it asks for. What it allocates and frees is counted, with
    /// the event made for it and what it asks for let go.
    fn feed(&mut self, event: impl FnOnce() -> Event) {
        let (mut slot, mut took, mut inside) = (0, 0, AllocationInfo::default());
        let all = measure(|| {
            let event = event();
            slot = match event {
                Event::Request(_) => 0,
                Event::AttemptEnded(_) => 1,
                Event::Timer { .. } | Event::RequestCancelled { .. } => 2,
                Event::EndpointUpdate { .. } => 3,
                Event::LoadOrderEnded { .. } => 4,
            };
            let (controller, out, now) = (&mut self.controller, &mut self.out, self.now);
            inside = measure(|| {
                let start = Instant::now();
                controller.handle(now, event, out);
                took = start.elapsed().as_nanos() as u64;
            });
            self.todo.extend(self.out.drain(..).map(Todo::from));
        });
        let s = &mut self.spent;
        *[
            &mut s.request,
            &mut s.outcome,
            &mut s.timer,
            &mut s.members,
            &mut s.loaded,
        ][slot] += took;
        self.spent.longest = self.spent.longest.max(took);
        self.counts.events += 1;
        self.counts.allocations += inside.count_total;
        self.counts.allocated += inside.bytes_total;
        self.counts.held += all.bytes_current;
        let todo = std::mem::take(&mut self.todo);
        todo.iter().for_each(|t| self.act(*t));
        self.todo = todo;
        self.todo.clear();
    }

    fn act(&mut self, todo: Todo) {
        match todo {
            Todo::Send(id, w) => self.attempt(id, w),
            Todo::Cancel(id, attempt) => {
                self.counts.cancels += 1;
                if let Some(key) = self.ends.remove(&(id, attempt)) {
                    if let Some(Due::End { since, .. }) = self.due.remove(&key) {
                        let end = Due::End {
                            id,
                            attempt,
                            outcome: Outcome::Cancelled,
                            since,
                            warm: None,
                        };
                        let key = self.plan(0, end);
                        self.ends.insert((id, attempt), key);
                    }
                }
            }
            Todo::Refuse(id) => {
                self.counts.refused += 1;
                let first = self.calls.remove(&id).is_some_and(|c| c.first);
                self.counts.first_refused += u64::from(first);
            }
            Todo::Fail(id) => {
                self.counts.failed += 1;
                self.calls.remove(&id);
            }
            Todo::Timer(delay, token) => {
                self.plan(delay, Due::Timer(token));
            }
            Todo::Load(worker, function, wanted) => {
                let since = self.now;
                let f = function as usize;
                self.log
                    .iter_mut()
                    .for_each(|l| l.push((since, worker, false)));
                if wanted > 0 {
                    self.counts.orders += 1
                } else {
                    self.counts.questions += 1
                }
                if self.away.contains(&worker) {
                    let (count, outcome) = (0, Outcome::ConnectFailed);
                    self.plan(
                        AWAY,
                        Due::Answer {
                            worker,
                            function,
                            count,
                            outcome,
                            since,
                        },
                    );
                    return;
                }
                let stands = self.stands(f, worker);
                let took = if wanted > 0 && !stands {
                    self.shape.load
                } else {
                    0
                } + MS;
                let count = if wanted > 0 {
                    wanted
                } else {
                    u32::from(stands)
                };
                self.plan(
                    took,
                    Due::Answer {
                        worker,
                        function,
                        count,
                        outcome: Outcome::Ok,
                        since,
                    },
                );
            }
            Todo::Drop(worker, function) => {
                self.counts.drops += 1;
                self.warm.remove(&(function as usize, worker));
            }
            Todo::Other => {}
        }
    }

    fn attempt(&mut self, id: RequestId, w: usize) {
        self.counts.sends += 1;
        let now = self.now;
        self.log.iter_mut().for_each(|l| l.push((now, w, true)));
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (f, attempt, since) = (call.function, call.attempts, self.now);
        call.attempts += 1;
        if self.away.contains(&w) {
            self.counts.nobody += 1;
            let end = Due::End {
                id,
                attempt,
                outcome: Outcome::ConnectFailed,
                since,
                warm: None,
            };
            let key = self.plan(AWAY, end);
            self.ends.insert((id, attempt), key);
            return;
        }
        let stands = self.stands(f, w);
        let miss = !stands && !self.shape.load_on_demand;
        self.counts.cold += u64::from(!stands);
        let service = (25.0 + 50.0 * self.chance()) as Micros * MS;
        let load = if stands { 0 } else { self.shape.load };
        let (outcome, took) = if miss {
            (Outcome::NotLoaded, MS)
        } else {
            (Outcome::Ok, MS + service + load)
        };
        if !miss {
            self.warm.insert((f, w), self.now + took + self.shape.keep);
        }
        let key = self.plan(
            took,
            Due::End {
                id,
                attempt,
                outcome,
                since,
                warm: (!miss).then_some(stands),
            },
        );
        self.ends.insert((id, attempt), key);
    }
}

impl Front {
    /// Functions that this front end has called.
    pub fn met(&self) -> usize {
        self.met.len()
    }
}
