//! The one thread that owns the decision module. Fronts, transports and the roster reach it through its
//! queue only; it knows requests, attempts, outcomes and members, and no wire.
mod clock;
mod fleet;
mod operate;
mod telemetry;
mod timers;
mod types;

pub use clock::Clock;
pub use fleet::Gate;
pub use telemetry::{Ended, Gauges, Tally};
pub use types::*;

use crate::fleet::Lifecycle;
use crate::limits::Limits;
use crate::membership::{Change, Duty, Membership};
use crate::net::{DirectCalls, SystemCalls};
use crate::worker::{pool, transport, GiveUp, Reports, Terms, Transport};
use bramblepath::json::position;
use bramblepath::{
    Action, Controller, Effect, Entry, Event, Micros, Outcome, Settings, WorkerState, ZoneNames,
};
use miniserde::json::{self, Number, Object, Value};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Instant;
use timers::{Due, Timers};

const SWEEP: Micros = 1_000_000; // period in which idle connections are looked for

const LATE: Micros = 20_000; // more than an answer's margin: worth a line in the log

/// What other parts may read of the core without asking it.
#[derive(Default)]
pub struct Shared {
    /// Requests taken and not answered.
    pub open: AtomicUsize,
    /// Whether the core runs and has been told the list of workers.
    pub ready: AtomicBool,
    /// Whether the front end drains: readiness says no, client connections close once idle.
    pub draining: Arc<AtomicBool>,
    /// Whether the process is about to end: new requests on kept connections are refused at once.
    pub stopping: AtomicBool,
    /// Client connections held.
    pub clients: Arc<AtomicUsize>,
    /// A digest of the configuration in force.
    pub config_digest: AtomicU64,
    /// Whether the process is about to end and the fleet is to be told.
    pub leaving: AtomicBool,
    /// Whether the fleet has been told.
    pub left: AtomicBool,
    /// This front end's load summary for the fleet, as the core last wrote it.
    pub summary: std::sync::Mutex<crate::fleet::Summary>,
}

impl Shared {
    /// What this front end is doing, for the fleet.
    pub fn lifecycle(&self) -> Lifecycle {
        match () {
            () if self.leaving.load(Ordering::Acquire) => Lifecycle::Leaving,
            () if self.draining.load(Ordering::Acquire) => Lifecycle::Draining,
            () if self.ready.load(Ordering::Acquire) => Lifecycle::Ready,
            () => Lifecycle::Starting,
        }
    }

    /// Whether the front end takes clients: the list is told and it does not drain. What `/healthz` says.
    pub fn taking(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.load(Ordering::Acquire)
    }
}

struct Attempt {
    worker: String,
    sent: Micros,
    open: bool,
    /// Whether its transport took it: it counts as written unless it ends as not wholly written.
    carried: bool,
}

/// A request from its arrival until its answer is given and all its attempts have ended.
struct Open {
    request: Arc<Request>,
    client: Arc<dyn Client>,
    tag: u64,
    tenant: Option<usize>,
    class: usize,
    answered: bool,
    attempts: Vec<Attempt>,
}

struct Peer {
    member: Member,
    transport: Box<dyn Transport>,
    /// The ways to where it stood before: they take nothing new, and stay until what is open there has ended.
    former: Vec<Box<dyn Transport>>,
}

impl Peer {
    fn each(&mut self) -> impl Iterator<Item = &mut Box<dyn Transport>> {
        std::iter::once(&mut self.transport).chain(&mut self.former)
    }

    /// Gives an attempt up, wherever it is.
    fn cancel(&mut self, key: AttemptKey) -> GiveUp {
        self.each().map(|t| t.cancel(key)).fold(GiveUp::Unknown, |found, told| match told {
            GiveUp::Unknown => found,
            told => told,
        })
    }

    fn is_idle(&self) -> bool {
        self.transport.is_idle() && self.former.iter().all(|t| t.is_idle())
    }

    fn sweep(&mut self) {
        self.each().for_each(|t| t.sweep());
        self.former.retain(|t| !t.is_idle());
    }
}

#[derive(Clone, Default)]
struct Counts {
    asked: u64,
    served: u64,
    refused: u64,
    failed: u64,
    withdrawn: u64,
}

/// The owner thread's state.
pub struct Core {
    controller: Controller,
    settings: Settings,
    limits: Arc<Limits>,
    clock: Clock,
    queue: Receiver<Message>,
    reports: Reports,
    shared: Arc<Shared>,
    last: u64,
    /// When connections to workers were last looked at.
    pulsed: Micros,
    requests: HashMap<u64, Open>,
    by_client: BTreeMap<(u64, u64), u64>,
    /// The ids that clients gave, of requests that are owed an answer.
    wire_ids: HashSet<u64>,
    members: Membership,
    peers: BTreeMap<String, Peer>,
    orders: HashMap<u64, (String, u64, Micros)>,
    timers: Timers,
    events: VecDeque<Event>,
    counts: Vec<Counts>,
    tally: Tally,
    /// The fleet's bounds, where the fleet is on.
    gate: Option<Gate>,
    /// The system calls on connections to workers.
    calls: Arc<dyn SystemCalls>,
    /// The zones that the settings and the lists have named.
    zones: ZoneNames,
}

impl Core {
    /// A core that knows nothing yet.
    pub fn new(
        settings: Settings, seed: u64, limits: Arc<Limits>, queue: Receiver<Message>, reports: Reports,
        shared: Arc<Shared>,
    ) -> Self {
        let counts = vec![Counts::default(); settings.tenants.len() + 1];
        let tally = Tally::new(settings.classes.len());
        Core {
            controller: Controller::new(settings.clone(), seed),
            zones: ZoneNames::new(&settings.zones),
            settings,
            limits,
            clock: Clock::start(),
            queue,
            reports,
            shared,
            last: 0,
            pulsed: 0,
            requests: HashMap::new(),
            by_client: BTreeMap::new(),
            wire_ids: HashSet::new(),
            members: Membership::default(),
            peers: BTreeMap::new(),
            orders: HashMap::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            counts,
            tally,
            gate: None,
            calls: Arc::new(DirectCalls),
        }
    }

    /// Applies the fleet's bounds from now on.
    pub fn with_gate(mut self, gate: Gate) -> Self {
        self.gate = Some(gate);
        self
    }

    /// Makes these system calls on connections to workers in place of the machine's.
    #[must_use]
    pub fn with_calls(self, calls: Arc<dyn SystemCalls>) -> Self {
        Core { calls, ..self }
    }

    /// Runs until every sender of the queue is gone.
    pub fn run(mut self) {
        self.timers.set(self.clock.now() + SWEEP, Due::Sweep);
        self.timers.set(self.clock.now() + self.limits.link_check, Due::Pulse);
        loop {
            match self.queue.recv_timeout(self.timers.wait(self.clock.now())) {
                Ok(message) => {
                    self.take(message);
                    // What else has come in is taken before timers: an answer that is here beats its time-out.
                    for _ in 0..256 {
                        let Ok(message) = self.queue.try_recv() else { break };
                        self.take(message);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            let late = self.timers.late(now);
            if late > LATE {
                // Tells a starved machine from a fault of ours: answers owed in that time may have come late.
                note!("core: ran {} ms late, {} requests open", late / 1000, self.requests.len());
            }
            while let Some(due) = self.timers.due(self.clock.now()) {
                self.due(due);
                self.decide();
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request(request, client, tag) => self.request(request, client, tag),
            Message::Withdrawn(connection, tag) => {
                if let Some(&id) = self.by_client.get(&(connection, tag)) {
                    self.withdrawn(id);
                }
            }
            Message::Hangup(connection) => {
                let of = (connection, 0)..=(connection, u64::MAX);
                let ids: Vec<u64> = self.by_client.range(of).map(|(_, &id)| id).collect();
                ids.into_iter().for_each(|id| self.withdrawn(id));
            }
            Message::Ended(key, report) => self.ended(key, report),
            Message::Ordered(order, outcome, copies) => self.ordered(order, outcome, copies),
            Message::Members { source, full, members } => self.members(source, full, members),
            Message::Inspect(reply) => {
                let _ = reply.send(self.inspect()); // who asked may have left
            }
            Message::Tally(class, how) => {
                let class = self.settings.class(&class);
                self.tally.ended(class, how);
            }
            Message::Excluded(set) => {
                let changes = self.members.hand_over(set, self.clock.now());
                self.apply(changes);
            }
            Message::Aside(aside) => self.controller.stand_aside(aside),
            Message::Admin(call, reply) => {
                let _ = reply.send(self.call(call)); // who asked may have left
            }
            Message::Fleet(news) => {
                let (now, open) = (self.clock.now(), self.requests.len());
                if let Some(gate) = self.gate.as_mut() {
                    gate.news(now, news);
                    let summary = gate.summary(now, open);
                    *self.shared.summary.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = summary;
                }
            }
        }
        self.decide();
    }

    fn request(&mut self, request: Request, client: Arc<dyn Client>, tag: u64) {
        let class = self.settings.class(&request.class);
        let tenant = self.settings.tenant(&request.tenant);
        let known = self.settings.classes.get(class);
        // Guards keyed work: without its key no worker could drop a repeat.
        let keyed = known.is_some_and(|c| c.effect == Effect::Keyed);
        let fault = match () {
            () if known.is_none() => Some("unknown class"),
            () if tenant.is_none() && !self.settings.tenants.is_empty() => Some("unknown tenant"),
            () if keyed && request.token.is_none() => Some("keyed class without a key"),
            // Guards the one that is open: a worker would be asked for two bodies under one id.
            () if self.wire_ids.contains(&request.wire_id) => Some("a request of this id is open"),
            () => None,
        };
        if let Some(fault) = fault {
            note!("request {:016x}: failed, {fault}", request.wire_id);
            self.tally.ended(class, Ended::Failed);
            return client.answer(tag, Answer::Failed);
        }
        let now = self.clock.now();
        if let Some(wait) = self.gate.as_mut().and_then(|g| g.sheds(now, class)) {
            // Shed in common with the fleet: answered at once, with when to come back.
            self.tally.ended(class, Ended::Rejected);
            self.count(tenant).asked += 1;
            return client.answer(tag, Answer::Refused { wait });
        }
        self.last += 1;
        let id = self.last;
        let left = self.left(now, &request);
        self.events.push_back(Event::Request {
            id,
            class,
            tenant,
            function: request.function,
            left,
            memory_mb: request.memory_mb,
            lanes: request.lanes,
            load_time: request.load_time,
            retry: request.retry,
        });
        self.by_client.insert((client.connection(), tag), id);
        self.wire_ids.insert(request.wire_id);
        self.shared.open.fetch_add(1, Ordering::AcqRel);
        self.count(tenant).asked += 1;
        // The module ends each request in time; this guards the promise should it not.
        self.timers.set(now.saturating_add(left), Due::Request(id));
        let (request, answered, attempts) = (Arc::new(request), false, Vec::new());
        self.requests.insert(id, Open { request, client, tag, tenant, class, answered, attempts });
    }

    /// What is left of a client's wait, less what its answer may need. Guards against answers lost to a
    /// machine that stands still for some tens of milliseconds just before a client leaves.
    fn left(&self, now: Micros, request: &Request) -> Micros {
        let past = now.saturating_sub(self.clock.at(request.read_at));
        request.wait.saturating_sub(past + self.limits.margin(request.wait))
    }

    fn count(&mut self, tenant: Option<usize>) -> &mut Counts {
        let last = self.counts.len() - 1;
        &mut self.counts[tenant.unwrap_or(last).min(last)]
    }

    fn withdrawn(&mut self, id: u64) {
        if self.close(id).is_some() {
            self.events.push_back(Event::Withdrawn { id });
            self.decide();
            self.forget(id);
        }
    }

    /// Ends what is owed for a request; `None` if that was over already.
    fn close(&mut self, id: u64) -> Option<(Arc<dyn Client>, u64, Option<usize>)> {
        let open = self.requests.get_mut(&id).filter(|o| !o.answered)?;
        open.answered = true;
        // What of it still waits to be written is for nobody.
        open.request.gone.store(true, Ordering::Release);
        let (client, tag, tenant) = (open.client.clone(), open.tag, open.tenant);
        self.wire_ids.remove(&open.request.wire_id);
        self.by_client.remove(&(client.connection(), tag));
        Some((client, tag, tenant))
    }

    /// The one final answer; a second one goes nowhere.
    fn answer(&mut self, id: u64, answer: Answer) {
        let class = self.requests.get(&id).map_or(usize::MAX, |o| o.class);
        let Some((client, tag, tenant)) = self.close(id) else { return };
        let counts = self.count(tenant);
        let how = match &answer {
            Answer::Served(_) => (counts.served += 1, Ended::Completed).1,
            Answer::Refused { .. } => (counts.refused += 1, Ended::Rejected).1,
            Answer::Failed => (counts.failed += 1, Ended::Failed).1,
        };
        self.tally.ended(class, how);
        client.answer(tag, answer);
    }

    /// Drops a request's record once nothing of it is open.
    fn forget(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|o| o.answered && !o.attempts.iter().any(|a| a.open)) {
            self.requests.remove(&id);
            self.shared.open.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// An attempt ended, and the module hears of it at once.
    fn ended(&mut self, key: AttemptKey, report: Report) {
        self.end(key, report);
        self.decide();
        self.forget(key.request);
    }

    /// The end of an attempt, once: reports of an attempt that has ended already are dropped. The module hears
    /// of it as its next event.
    fn end(&mut self, key: AttemptKey, report: Report) {
        let (id, attempt) = (key.request, key.attempt);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt).filter(|a| a.open) else { return };
        out.open = false;
        if out.carried && matches!(report.outcome, Outcome::ConnectFailed | Outcome::Moot) {
            self.tally.unsent();
        }
        let elapsed = self.clock.now().saturating_sub(out.sent);
        let Report { outcome, warm, crowd, payload } = report;
        if let (Outcome::Ok, Some(payload)) = (outcome, payload) {
            self.answer(id, Answer::Served(payload));
        }
        let (closed, inflight) = (self.requests.get(&id).is_none_or(|o| o.answered), None);
        self.events.push_back(Event::Outcome {
            id,
            attempt,
            outcome,
            elapsed,
            closed,
            warm,
            crowd,
            inflight,
        });
    }

    fn ordered(&mut self, order: u64, outcome: Outcome, count: u32) {
        let Some((worker, function, since)) = self.orders.remove(&order) else { return };
        let elapsed = self.clock.now().saturating_sub(since);
        self.events.push_back(Event::Loaded { worker, function, count, outcome, elapsed });
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer { token }),
            Due::Attempt(key) => {
                // Guards against workers that vanish without a word: our own clock ends what is out there.
                let open = self.requests.get(&key.request).and_then(|o| o.attempts.get(key.attempt));
                if let Some(attempt) = open.filter(|a| a.open) {
                    let peer = self.peers.get_mut(&attempt.worker);
                    // What was taken back in time has not run: its class may allow more.
                    let given_up = peer.map_or(GiveUp::Unknown, |p| p.cancel(key));
                    let never_ran = given_up == GiveUp::NeverBegun;
                    let outcome = if never_ran { Outcome::ConnectFailed } else { Outcome::Timeout };
                    self.ended(key, Report::bare(outcome));
                }
            }
            Due::Order(order) => {
                // Guards connections: one that waits for the answer to a lost order would never be idle.
                let worker = self.orders.get(&order).map(|o| &o.0);
                if let Some(peer) = worker.and_then(|w| self.peers.get_mut(w)) {
                    peer.each().for_each(|t| t.lapse(order));
                }
                self.ordered(order, Outcome::Timeout, 0);
            }
            Due::Request(id) => {
                self.answer(id, Answer::Failed);
                self.forget(id);
            }
            Due::Pulse => {
                let (now, every) = (self.clock.now(), self.limits.link_check);
                // Guards sound connections from our own stand-still: what came meanwhile is not read yet.
                if now < self.pulsed + 2 * every {
                    self.peers.values_mut().flat_map(Peer::each).for_each(|t| t.pulse());
                    self.trim(0);
                }
                self.pulsed = now;
                self.timers.set(now + every, Due::Pulse);
            }
            Due::Sweep => {
                self.peers.values_mut().for_each(Peer::sweep);
                // Guards memory: workers are replaced by new ones all day long.
                let here = |p: &Peer| p.member.state != WorkerState::Gone || !p.is_idle();
                self.peers.retain(|id, p| {
                    let here = here(p);
                    if !here {
                        self.members.forget(id);
                    }
                    here
                });
                self.timers.set(self.clock.now() + SWEEP, Due::Sweep);
            }
        }
    }

    /// Hands the events to the module and carries out what it decides, until nothing is left.
    fn decide(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let decided = self.clock.now();
            self.controller.handle(decided, event, &mut actions);
            for action in actions.drain(..) {
                self.act(decided, action);
            }
        }
    }

    fn act(&mut self, decided: Micros, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Send { id, worker, timeout, window } => {
                // Counted from the decision: this thread may have stood still since.
                let whole_by = window.map(|window| self.clock.instant(decided.saturating_add(window)));
                self.send(now, id, worker, (timeout, whole_by));
            }
            Action::Cancel { id, attempt } => self.cancel(AttemptKey { request: id, attempt }),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Refused { wait: retry_after });
                self.forget(id);
            }
            Action::Fail { id } => {
                self.answer(id, Answer::Failed);
                self.forget(id);
            }
            Action::Timer { delay, token } => self.timers.set(now.saturating_add(delay), Due::Module(token)),
            Action::Load { worker, function, count } => {
                self.last += 1;
                let order = self.last;
                self.orders.insert(order, (worker.clone(), function, now));
                // Guards rule 3 whatever the module thinks: no order to load goes to a worker that drains.
                let may = |p: &&mut Peer| p.member.state == WorkerState::Ready || count == 0;
                let room = self.room(&worker);
                match self.peers.get_mut(&worker).filter(may) {
                    Some(_) if !room => self.reports.ordered(order, Outcome::Full, 0),
                    Some(peer) => peer.transport.order(order, function, count),
                    None => self.reports.ordered(order, Outcome::ConnectFailed, 0),
                }
                self.timers.set(now + self.limits.order, Due::Order(order));
            }
            Action::Drop { worker, function } => {
                if let Some(peer) = self.peers.get_mut(&worker) {
                    peer.transport.unload(function);
                }
            }
            Action::Log { text } => note!("module: {text}"),
            Action::Watch => {} // the board tells by itself
        }
    }

    /// Calls an attempt off. While its request is owed an answer it stays open until its worker has been told: what the
    /// module sends in its place must not be out beside it.
    fn cancel(&mut self, key: AttemptKey) {
        let Some(open) = self.requests.get(&key.request) else { return };
        let Some(attempt) = open.attempts.get(key.attempt).filter(|a| a.open) else { return };
        let owed = !open.answered;
        let peer = self.peers.get_mut(&attempt.worker);
        let outcome = match peer.map_or(GiveUp::Unknown, |p| p.cancel(key)) {
            GiveUp::NeverBegun => Outcome::Moot,
            GiveUp::Pending if owed => return, // its report follows; its time-out should that stay out
            GiveUp::Pending | GiveUp::Unknown => Outcome::Cancelled,
        };
        self.end(key, Report::bare(outcome));
        self.forget(key.request);
    }

    /// Whether a call to this worker finds a connection or may open one: where descriptors run short, the
    /// connections idle longest close for it, whoever they lead to.
    fn room(&mut self, worker: &str) -> bool {
        if !self.peers.get(worker).is_some_and(|p| p.transport.connections().1) {
            return true;
        }
        self.trim(1)
    }

    /// Closes idle connections until `more` may be opened; false if too many are in use.
    fn trim(&mut self, more: usize) -> bool {
        let clients = self.shared.clients.load(Ordering::Acquire);
        let each = self.peers.values_mut().flat_map(Peer::each);
        let open: usize = each.map(|t| t.connections().0).sum();
        let over = self.limits.pool.over(open, more, clients);
        if over == 0 {
            return true;
        }
        let idle = self.peers.iter().filter_map(|(id, p)| Some((id.clone(), p.transport.idle_since()?)));
        let closed = pool::longest_idle(idle.collect(), over);
        for id in &closed {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.transport.close_idle();
            }
        }
        closed.len() == over
    }

    fn send(&mut self, now: Micros, id: u64, worker: String, (timeout, whole_by): (Micros, Option<Instant>)) {
        let room = self.room(&worker);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let key = AttemptKey { request: id, attempt: open.attempts.len() };
        let request = open.request.clone();
        let left = self.left(now, &request);
        let budget = if timeout == 0 { left } else { timeout.min(left) };
        let Some(open) = self.requests.get_mut(&id) else { return };
        let extra = !open.attempts.is_empty();
        // The fleet's retry budget: an extra attempt that it refuses is moot, as one to a worker that is not.
        let allowed = self.gate.as_mut().is_none_or(|g| g.attempt(now, extra));
        open.attempts.push(Attempt { worker: worker.clone(), sent: now, open: true, carried: false });
        let ready = |p: &&mut Peer| p.member.state == WorkerState::Ready;
        match self.peers.get_mut(&worker).filter(ready) {
            // Nothing ran, and this worker is left alone for a while.
            Some(_) if !room => self.end(key, Report::bare(Outcome::Full)),
            // (A client that left is known to its front before it is told here.)
            Some(peer) if !open.request.gone.load(Ordering::Acquire) && budget > 0 && allowed => {
                peer.transport.send(key, &open.request, Terms { budget, whole_by });
                if let Some(attempt) = open.attempts.last_mut() {
                    attempt.carried = true;
                }
                self.tally.sent();
                self.timers.set(now.saturating_add(budget), Due::Attempt(key));
            }
            _ => {
                self.end(key, Report::bare(Outcome::Moot));
                self.forget(id);
            }
        }
    }

    fn members(&mut self, source: Speech, full: bool, members: Vec<Member>) {
        let changes = self.members.take(source, full, members);
        self.apply(changes);
        self.shared.ready.store(true, Ordering::Release);
    }

    /// Carries out changes of members: their connections, and the module's list.
    fn apply(&mut self, changes: Vec<Change>) {
        let mut entries = Vec::new();
        for Change { member, duty } in changes {
            entries.push(Entry {
                worker: member.id.clone(),
                state: member.state,
                started_at: member.started_at,
                zone: self.zones.position(&member.zone),
                kind: position(&self.settings.kinds, Some(&member.kind)),
                cell: member.cell,
            });
            eprintln!("member {}: {:?} at {}", member.id, member.state, member.address);
            let mut former = Vec::new();
            if let Some(mut peer) = self.peers.remove(&member.id) {
                if duty != Duty::Keep {
                    peer.transport.retire();
                }
                if duty != Duty::Reach {
                    peer.member = member;
                    self.peers.insert(peer.member.id.clone(), peer);
                    continue;
                }
                // What is open at its former place ends there, and cancels find it.
                former = peer.former;
                former.push(peer.transport);
            }
            let to = transport(member.speech, member.address, &self.limits, &self.reports, &self.calls);
            self.peers.insert(member.id.clone(), Peer { member, transport: to, former });
        }
        if !entries.is_empty() {
            self.events.push_back(Event::Members { full: false, entries });
        }
    }

    /// Tenants with their quotas and counts, members and open requests, as JSON.
    fn inspect(&self) -> String {
        let object = |fields: Vec<(&str, Value)>| {
            Value::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect::<Object>())
        };
        let count = |n: u64| Value::Number(Number::U64(n));
        let tenants = self.counts.iter().enumerate().map(|(t, c)| {
            let told = self.settings.tenants.get(t);
            object(vec![
                ("name", Value::String(told.map_or("(unknown)", |t| &t.name).to_owned())),
                ("quota_per_s", Value::Number(Number::F64(told.map_or(0.0, |t| t.quota_per_s)))),
                ("asked", count(c.asked)),
                ("served", count(c.served)),
                ("refused", count(c.refused)),
                ("failed", count(c.failed)),
                ("withdrawn", count(c.withdrawn)),
            ])
        });
        let endpoints = self.peers.values().map(|p| {
            object(vec![
                ("name", Value::String(p.member.id.clone())),
                ("address", Value::String(p.member.address.to_string())),
                ("state", Value::String(format!("{:?}", p.member.state).to_lowercase())),
                ("zone", Value::String(p.member.zone.clone())),
                ("speech", Value::String(format!("{:?}", p.member.speech).to_lowercase())),
            ])
        });
        let fields = vec![
            ("tenants", Value::Array(tenants.collect())),
            ("endpoints", Value::Array(endpoints.collect())),
            ("open_requests", count(self.requests.len() as u64)),
        ];
        json::to_string(&object(fields))
    }
}
