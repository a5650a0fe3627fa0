//! What a gateway remembers: plain records, read and written by `control.rs` alone. Nothing is decided here.
use crate::controller::{CROWD, DEFAULT_SPAN, LOAD_CAP, LONGEST, QUESTIONS, TRIALS, TRIAL_GAP};
use crate::deadline_admission::Pace;
use crate::interface::*;
use crate::retry::Placement;
use crate::slow_start;
use crate::zone_health::Zones;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Weight of an answer in a worker's share of errors, and the share beyond which it fails: two in a row tell, one does not.
const ERRED: f64 = 0.3;
const FAILS: f64 = 0.45;
/// Calls of a function not served yet that may be counted later: as many as a window of the ration holds of one.
const UNEARNED: usize = 64;
const NOTED: Micros = 500_000; // how long a note of others' calls is believed

/// An order to a worker that is out, and since when.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Order {
    Ask(Micros),
    Hold(Micros),
}

/// What is believed of one function at one worker: copies and until when, our requests and others' there,
/// the order that is out, calls sent to load it, and whether its slot was given away in the LRL order.
#[derive(Default)]
pub(crate) struct Copy {
    pub(crate) count: u32,
    pub(crate) expires: Micros,
    pub(crate) seen: Micros,
    pub(crate) ours: u32,
    pub(crate) others: (Micros, u32),
    pub(crate) order: Option<Order>,
    pub(crate) asked: Option<Micros>,
    pub(crate) cold_sends: u32,
    pub(crate) spoken_for: bool,
}

#[derive(Default)]
pub(crate) struct Function {
    pub(crate) id: FunctionId,
    pub(crate) class: usize,
    pub(crate) memory: f64,
    pub(crate) lanes: u32,
    pub(crate) load_time: f64,
    pub(crate) service: f64,
    pub(crate) calls: f64,
    pub(crate) last_call: Micros,
    pub(crate) last_lost: Micros,
    pub(crate) proven: bool,
    /// Its calls that were answered in time though answers of its class take longer, less those that were not.
    pub(crate) quick: u32,
    /// When its calls came while it was not proven: they earn loads once it is.
    pub(crate) unearned: VecDeque<Micros>,
    /// Orders and questions about it, never served here, that ended in errors one after another, and when last.
    pub(crate) errors: (u32, Micros),
    /// The last firing, its distance from the one before, and whether the next is expected at the same: 1, or 2
    /// where it came so before.
    pub(crate) fired: Micros,
    pub(crate) period: Micros,
    pub(crate) steady: u8,
    /// The firing after which a copy was ordered for the next.
    pub(crate) foreseen: Micros,
    pub(crate) at: BTreeMap<usize, Copy>,
    /// Places that its calls are spread over, where many gateways share the workers; 0: not known.
    pub(crate) width: f64,
    pub(crate) places: Vec<usize>,
    pub(crate) held: VecDeque<RequestId>,
}

impl Function {
    /// A firing: calls after a pause. One distance alone makes an expectation; after one that failed, two alike.
    pub(crate) fn fires(&mut self, now: Micros) {
        let (gap, first) = (now - self.fired, self.period == 0);
        if self.fired > 0 {
            self.steady = if gap.abs_diff(self.period) < gap / 16 {
                2
            } else {
                u8::from(first)
            };
            self.period = gap;
        }
        self.fired = now;
    }

    /// An order or a question came back; `unknown` if a worker may not know the function at all.
    pub(crate) fn erred(&mut self, unknown: bool, now: Micros) {
        self.errors = if unknown {
            (self.errors.0 + 1, now)
        } else {
            (0, 0)
        };
    }
}

/// A listed worker: our attempts out by age, its last report, and how it has done of late.
pub(crate) struct Worker {
    pub(crate) entry: Endpoint,
    pub(crate) out: BTreeSet<(Micros, RequestId, usize)>,
    pub(crate) holds: BTreeSet<usize>,
    pub(crate) report: Option<(Micros, f64, usize)>,
    pub(crate) heard: Micros,
    pub(crate) health: f64,
    pub(crate) dead: bool,
    pub(crate) slow: bool,
    /// Share of errors among its answers of late, and how many came since the last good one.
    pub(crate) errors: (f64, u32),
    pub(crate) next_trial: Micros,
    /// Questions that brought it no life, one after another.
    pub(crate) trials: u32,
    pub(crate) reset: Micros,
    pub(crate) doubted: bool,
    pub(crate) full_until: Micros,
    /// Until when, and how long, calls of a tenant and class stay away after they were turned away.
    pub(crate) blocks: BTreeMap<(Option<usize>, usize), (Micros, Micros)>,
    pub(crate) orders_out: u32,
    /// When its last load ended, and the multiple of the usual time that it took.
    pub(crate) load_pace: (Micros, f64),
    /// What may be sent to it while it is cold.
    pub(crate) cold: slow_start::Account,
}

#[derive(Clone, Default)]
pub(crate) struct Attempt {
    pub(crate) worker: usize,
    pub(crate) sent: Micros,
    pub(crate) expected: f64,
    pub(crate) open: bool,
    pub(crate) may_have_run: bool,
    /// It was answered that the function is not loaded there.
    pub(crate) missed: bool,
    pub(crate) cold: bool,
    pub(crate) ours_then: u32,
    pub(crate) called_off: bool,
    /// Where its worker stood when it was sent.
    pub(crate) placement: Placement,
}

pub(crate) struct Request {
    pub(crate) function: usize,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) arrived: Micros,
    pub(crate) ends: Micros,
    pub(crate) retry: bool,
    pub(crate) lost: bool,
    pub(crate) done: bool,
    pub(crate) errors: u32,
    /// It was sent though answers of its class take longer than its client waits.
    pub(crate) risk: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Worker {
    pub(crate) fn new(entry: Endpoint, now: Micros) -> Self {
        Worker {
            entry,
            heard: now,
            health: 1.0,
            out: BTreeSet::new(),
            holds: BTreeSet::new(),
            report: None,
            dead: false,
            slow: false,
            errors: (0.0, 0),
            next_trial: 0,
            trials: 0,
            reset: 0,
            doubted: false,
            full_until: 0,
            blocks: BTreeMap::new(),
            orders_out: 0,
            load_pace: (0, 1.0),
            cold: slow_start::Account::default(),
        }
    }

    /// Takes back that its connection was lost, and what that alone added to its health figure.
    pub(crate) fn revive(&mut self, most: f64) {
        self.trials = 0;
        if std::mem::take(&mut self.dead) | std::mem::take(&mut self.doubted) {
            self.health = self.health.min(most);
            self.slow = false;
        }
    }

    /// It answered with an error, or not in time. Errors in a row put its next trial off ever longer: it looks idle.
    pub(crate) fn erred(&mut self, error: bool, now: Micros) {
        if error {
            self.errors = (
                self.errors.0 + ERRED * (1.0 - self.errors.0),
                self.errors.1 + 1,
            );
            self.next_trial = self
                .next_trial
                .max(now + (TRIAL_GAP << (self.errors.1 - 1).min(TRIALS)));
        }
    }

    /// It answered a call.
    pub(crate) fn served(&mut self) {
        self.errors = (self.errors.0 * (1.0 - ERRED), 0);
    }

    /// Whether it fails most of what it gets.
    pub(crate) fn fails(&self) -> bool {
        self.errors.0 > FAILS
    }

    /// Whether a lost or broken connection leaves open what it holds.
    pub(crate) fn in_doubt(&self) -> bool {
        self.dead || self.doubted
    }

    pub(crate) fn ready(&self) -> bool {
        self.entry.state == WorkerState::Ready
    }
}

impl Copy {
    pub(crate) fn warm(&self, now: Micros) -> bool {
        self.count > 0 && (self.expires > now || self.ours > 0)
    }

    /// Lanes not taken by our requests, nor by others' where a recent note told of them.
    pub(crate) fn free(&self, now: Micros, lanes: u32) -> bool {
        let others = if now < self.others.0 + NOTED {
            self.others.1
        } else {
            0
        };
        self.ours + others < self.count.saturating_mul(lanes)
    }

    pub(crate) fn holding(&self) -> bool {
        matches!(self.order, Some(Order::Hold(_)))
    }

    /// Whether something of ours is out there, so that the record must stay.
    pub(crate) fn in_use(&self) -> bool {
        self.ours > 0 || self.order.is_some() || self.cold_sends > 0
    }

    pub(crate) fn loading(&self) -> bool {
        self.holding() && self.count == 0 || self.cold_sends > 0
    }
}

/// The decision module of one gateway.
#[derive(Default)]
pub struct Controller {
    pub(crate) set: Settings,
    pub(crate) rng: Option<Pcg32>,
    pub(crate) ticks: u32,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_ids: BTreeMap<WorkerId, usize>,
    pub(crate) functions: Vec<Function>,
    pub(crate) function_ids: BTreeMap<FunctionId, usize>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) ready: Vec<usize>,
    pub(crate) zones: Zones,
    pub(crate) cold: slow_start::Rule,
    /// The most workers listed at a time.
    pub(crate) most_listed: usize,
    pub(crate) waiting: BTreeSet<usize>,
    pub(crate) spare: Vec<usize>,
    pub(crate) latest: usize,
    pub(crate) reports: bool,
    pub(crate) surveyed: Micros,
    pub(crate) last_event: Micros,
    pub(crate) woke: Micros,
    pub(crate) logged: Micros,
    pub(crate) instances: f64,
    pub(crate) fade: f64,
    pub(crate) least_star: f64,
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) ordered: VecDeque<Micros>,
    pub(crate) loads_out: u32,
    pub(crate) load_cap: f64,
    pub(crate) most_loads: f64,
    pub(crate) load_failed: Micros,
    pub(crate) class_service: Vec<f64>,
    pub(crate) tenant_rate: Vec<f64>,
    pub(crate) busy: f64,
    pub(crate) mean_held: f64,
    pub(crate) median_health: f64,
    pub(crate) distrust: bool,
    pub(crate) work_rate: f64,
    pub(crate) work_done: f64,
    pub(crate) served_rate: f64,
    pub(crate) served: f64,
    pub(crate) answer_time: f64,
    pub(crate) surveys: f64,
    pub(crate) backlog: f64,
    pub(crate) retries: f64,
    pub(crate) last_reset: Micros,
    pub(crate) questions: f64,
    /// How long answers take of late, by class.
    pub(crate) paces: Vec<Pace>,
}

impl Controller {
    /// Whether the module keeps calls away from this worker now, as it holds it for dead: for the front end's
    /// figures. Workers it does not know are not avoided by choice.
    pub fn is_ejected(&self, worker: &str) -> bool {
        self.worker_ids
            .get(worker)
            .is_some_and(|&w| self.workers[w].dead)
    }

    /// A gateway that knows nothing yet; `seed` starts its random numbers.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // An unknown class is taken for an unsafe one without an aim or worth; absurd figures are clamped.
        let (effect, group, window, worth) = (Idempotency::NotIdempotent, KeyScope::Cell, 0, 0.0);
        let name = String::new();
        settings.classes.push(ClassSettings {
            name,
            idempotency: effect,
            key_scope: group,
            key_memory: window,
            latency_objective: LONGEST,
            priority_weight: worth,
        });
        for c in &mut settings.classes {
            c.latency_objective = if c.latency_objective > 0 {
                c.latency_objective.min(LONGEST)
            } else {
                LONGEST
            };
            c.key_memory = c.key_memory.min(LONGEST);
        }
        settings.max_attempts = settings.max_attempts.wrapping_sub(1).saturating_add(1); // 0: no limit
        let spans = [
            &mut settings.load_budget_window,
            &mut settings.overload_window,
            &mut settings.keep_alive,
        ];
        spans.into_iter().for_each(|s| *s = (*s).min(LONGEST));
        let most_loads =
            (LOAD_CAP.3 / f64::from(settings.front_ends.max(1))).clamp(LOAD_CAP.1, LOAD_CAP.2);
        Controller {
            rng: Some(Pcg32::seed_from_u64(seed)),
            class_service: settings
                .classes
                .iter()
                .map(|c| c.latency_objective.min(DEFAULT_SPAN) as f64 / 4.0)
                .collect(),
            tenant_rate: vec![0.0; settings.tenants.len()],
            paces: vec![Pace::default(); settings.classes.len()],
            mean_held: CROWD,
            load_cap: most_loads / 2.0,
            most_loads,
            retries: 5.0,
            questions: QUESTIONS.1,
            cold: slow_start::Rule::new(&settings),
            set: settings,
            ..Controller::default()
        }
    }

    /// Forgets all copies at a worker: its process died, restarted or left.
    pub(crate) fn void(&mut self, w: usize) {
        for f in std::mem::take(&mut self.workers[w].holds) {
            let Some(c) = self.functions[f].at.get_mut(&w) else {
                continue;
            };
            (c.count, c.expires, c.asked) = (0, 0, None);
            if c.in_use() {
                self.workers[w].holds.insert(f);
            } else {
                self.functions[f].at.remove(&w);
            }
        }
    }

    /// What is believed of a function at a worker, noted in both indexes.
    pub(crate) fn copy(&mut self, f: usize, w: usize) -> &mut Copy {
        self.workers[w].holds.insert(f);
        self.functions[f].at.entry(w).or_default()
    }

    /// The slot of a function; true if it is new.
    pub(crate) fn slot(&mut self, id: FunctionId) -> (usize, bool) {
        if let Some(&f) = self.function_ids.get(&id) {
            return (f, false);
        }
        let f = self.spare.pop().unwrap_or(self.functions.len());
        if f == self.functions.len() {
            self.functions.push(Function::default());
        }
        self.function_ids.insert(id, f);
        (f, true)
    }

    /// Forgets the functions not called since then of which nothing is out, so that nothing grows with the past.
    pub(crate) fn forget(&mut self, before: Micros) {
        for f in 0..self.functions.len() {
            let g = &self.functions[f];
            let used =
                !g.held.is_empty() || g.at.values().any(Copy::in_use) || g.last_call > before;
            if used || self.function_ids.get(&g.id) != Some(&f) {
                continue;
            }
            self.function_ids.remove(&g.id);
            for w in std::mem::take(&mut self.functions[f]).at.into_keys() {
                self.workers[w].holds.remove(&f);
            }
            self.spare.push(f);
        }
    }

    /// The mean aim of the classes told, in microseconds.
    pub(crate) fn mean_aim(&self) -> f64 {
        let told = &self.set.classes[..self.set.classes.len() - 1];
        told.iter().map(|c| c.latency_objective as f64).sum::<f64>() / told.len().max(1) as f64
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.rng.as_mut().map_or(0, |r| u64::from(r.next_u32()))
    }

    pub(crate) fn pick(&mut self, from: &[usize]) -> Option<usize> {
        from.get(((self.random() * from.len() as u64) >> 32) as usize)
            .copied()
    }

    pub(crate) fn order(&self, f: usize, w: usize, count: u32) -> Action {
        Action::Load {
            worker: self.workers[w].entry.worker.clone(),
            function: self.functions[f].id,
            replicas: count,
        }
    }

    /// A place for a new worker: that of one that is gone, once nothing refers to it, so that nothing grows
    /// with the workers there ever were.
    fn seat(&mut self, e: Endpoint, now: Micros, from: &mut usize) -> usize {
        let named = |w: usize| {
            self.requests
                .values()
                .any(|r| r.attempts.iter().any(|a| a.worker == w))
        };
        let left = |&w: &usize| {
            let (worker, functions) = (&self.workers[w], &self.functions);
            let used = |f: &usize| functions[*f].at.get(&w).is_some_and(Copy::in_use);
            let quiet = worker.out.is_empty() && !worker.holds.iter().any(used);
            worker.entry.state == WorkerState::Gone && quiet && !named(w)
        };
        let w = (*from..self.workers.len())
            .find(left)
            .unwrap_or(self.workers.len());
        *from = w + 1;
        let id = e.worker.clone();
        if w < self.workers.len() {
            self.void(w);
            self.worker_ids.remove(&self.workers[w].entry.worker);
            self.workers[w] = Worker::new(e, now);
            self.functions.iter_mut().for_each(|f| f.places.clear()); // the order of the places is another
        } else {
            self.workers.push(Worker::new(e, now));
        }
        self.worker_ids.insert(id, w);
        w
    }

    /// Takes over news of the list. Returns the workers whose process is new, and those that hold nothing now.
    pub(crate) fn listed(
        &mut self,
        now: Micros,
        full: bool,
        entries: Vec<Endpoint>,
    ) -> (Vec<usize>, Vec<usize>) {
        let (mut seen, mut started, mut emptied) = (BTreeSet::new(), Vec::new(), Vec::new());
        let mut free = 0; // places before are taken: ten thousand new workers do not each look at all
        for e in entries {
            let Some(&w) = self.worker_ids.get(&e.worker) else {
                if e.state != WorkerState::Gone {
                    let w = self.seat(e, now, &mut free);
                    seen.insert(w);
                    started.push(w);
                }
                continue;
            };
            seen.insert(w);
            let known = &mut self.workers[w].entry;
            let restarted = e.started_at != known.started_at && e.started_at != 0;
            let started_at = if restarted {
                e.started_at
            } else {
                known.started_at
            };
            let gone = e.state == WorkerState::Gone;
            *known = Endpoint { started_at, ..e };
            started.extend(restarted.then_some(w));
            emptied.extend((restarted || gone).then_some(w));
        }
        for w in (0..self.workers.len()).filter(|w| full && !seen.contains(w)) {
            self.workers[w].entry.state = WorkerState::Gone;
            emptied.push(w);
        }
        self.ready = (0..self.workers.len())
            .filter(|&w| self.workers[w].ready())
            .collect();
        let listed = self
            .workers
            .iter()
            .filter(|w| w.entry.state != WorkerState::Gone)
            .count();
        self.most_listed = self.most_listed.max(listed);
        (started, emptied)
    }

    /// Memory in MB that the copies believed or loading at a worker take.
    pub(crate) fn memory_used(&self, w: usize, now: Micros) -> f64 {
        let held = |&f: &usize| {
            let (function, c) = (&self.functions[f], self.functions[f].at.get(&w));
            c.map_or(0.0, |c| {
                let standing = if c.warm(now) { f64::from(c.count) } else { 0.0 };
                function.memory * standing.max(f64::from(u8::from(c.loading())))
            })
        };
        self.workers[w].holds.iter().map(held).sum()
    }

    pub(crate) fn hold(
        &mut self,
        f: usize,
        w: usize,
        count: u32,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        self.copy(f, w).order = Some(Order::Hold(now));
        self.ordered.push_back(now);
        self.workers[w].orders_out += 1;
        self.loads_out += 1;
        out.push(self.order(f, w, count));
    }

    /// Has the copies of a function unloaded that lie idle, wherever they are believed.
    pub(crate) fn drop_idle(&mut self, f: usize, now: Micros, out: &mut Vec<Action>) {
        let function = &mut self.functions[f];
        for (&w, c) in function
            .at
            .iter_mut()
            .filter(|(_, c)| c.warm(now) && c.ours == 0 && c.order.is_none())
        {
            c.count = 0;
            let worker = self.workers[w].entry.worker.clone();
            out.push(Action::Unload {
                worker,
                function: function.id,
            });
        }
    }

    /// Records an attempt that goes out; `cold` if it is to load the function, `expected` its likely time.
    pub(crate) fn sent(&mut self, now: Micros, id: RequestId, w: usize, cold: bool, expected: f64) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let function = &mut self.functions[r.function];
        function.held.retain(|&h| h != id);
        let c = function.at.entry(w).or_default();
        (c.ours, c.spoken_for) = (c.ours + 1, false);
        c.cold_sends += u32::from(cold);
        self.loads_out += u32::from(cold);
        let (worker, open, may_have_run, called_off, ours_then) = (w, true, true, false, c.ours);
        let missed = false;
        let sent = now;
        let placement = Placement::of(&self.workers[w].entry);
        r.attempts.push(Attempt {
            worker,
            sent,
            expected,
            open,
            may_have_run,
            missed,
            cold,
            ours_then,
            called_off,
            placement,
        });
        self.workers[w].holds.insert(r.function);
        self.workers[w].out.insert((now, id, r.attempts.len() - 1));
    }

    /// All workers in the function's order of a draw, highest first; made anew when workers were added.
    pub(crate) fn places(&mut self, f: usize) -> Vec<usize> {
        let (id, workers) = (self.functions[f].id, &self.workers);
        if self.functions[f].places.len() != workers.len() {
            let mut places: Vec<usize> = (0..workers.len()).collect();
            places.sort_by_cached_key(|&w| std::cmp::Reverse(draw(id, &workers[w].entry.worker)));
            self.functions[f].places = places;
        }
        self.functions[f].places.clone()
    }

    /// A call was taken: it earns its part of a load if some worker knows its function.
    pub(crate) fn took(&mut self, f: usize, now: Micros) {
        let g = &mut self.functions[f];
        if g.proven {
            return self.taken.push_back(now);
        }
        g.unearned.push_back(now);
        if g.unearned.len() > UNEARNED {
            g.unearned.pop_front();
        }
    }

    /// A function was served: what its calls would have earned before is earned now. Guards a process that has just
    /// started, to which every function is new, from having no loads to give.
    pub(crate) fn proved(&mut self, id: RequestId, f: usize) {
        self.risked(id, true);
        self.functions[f].proven = true;
        for t in std::mem::take(&mut self.functions[f].unearned) {
            let at = self.taken.partition_point(|&other| other <= t);
            self.taken.insert(at, t);
        }
    }

    /// A client took a request back. It earns no load either: some clients do that to hundreds at once.
    pub(crate) fn withdrawn(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let arrived = self.requests.get(&id).map(|r| r.arrived);
        if let (Some(r), Some(t)) = (self.requests.get(&id), arrived) {
            self.functions[r.function].unearned.retain(|&u| u != t);
        }
        if let Some(at) = self.taken.iter().rposition(|&t| Some(t) == arrived) {
            self.taken.remove(at);
        }
        self.close(id, out);
    }

    /// Ends a request's record, or leaves it until its attempts have ended; those still out are called off.
    pub(crate) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.risked(id, false);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.done = true;
        self.functions[r.function].held.retain(|&h| h != id);
        for (n, a) in r.attempts.iter_mut().enumerate() {
            if a.open && self.set.cancellation && !a.called_off {
                a.called_off = true;
                out.push(Action::Cancel { id, attempt: n });
            }
        }
        if !r.attempts.iter().any(|a| a.open) {
            self.requests.remove(&id);
        }
    }

    /// Requests held for one function, or for all.
    pub(crate) fn held(&mut self, only: Option<usize>) -> Vec<RequestId> {
        let functions = &self.functions;
        self.waiting.retain(|&f| !functions[f].held.is_empty());
        let of = self
            .waiting
            .iter()
            .filter(|&&f| only.is_none_or(|o| o == f));
        of.flat_map(|&f| functions[f].held.iter().copied())
            .collect()
    }

    /// Ready workers believed warm for a function, and our requests in flight for it.
    pub(crate) fn counts(&self, function: &Function, now: Micros) -> (usize, f64) {
        let warm = |(w, c): &(&usize, &Copy)| c.warm(now) && self.workers[**w].ready();
        let flying = function.at.values().map(|c| c.ours).sum::<u32>();
        (function.at.iter().filter(warm).count(), f64::from(flying))
    }
}

/// A place in an order of workers that looks random and is the same at every gateway.
pub(crate) fn draw(function: FunctionId, worker: &str) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    let h = worker.bytes().fold(function ^ 0xcbf2_9ce4_8422_2325, mix);
    (h ^ (h >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (h >> 32)
}
