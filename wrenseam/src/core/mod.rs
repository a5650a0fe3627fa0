//! The one thread that owns the decision module. Fronts, transports and the roster reach it through its
//! queue only; it knows requests, attempts, outcomes and members, and no wire.
mod attempts;
mod fleet;
mod inspect;
mod operate;
mod peers;
mod requests;
mod telemetry;
mod timers;

pub use fleet::Gate;
pub use telemetry::{Gauges, Tally};

use crate::clock::Clock;
use crate::discovery::membership::Membership;
use crate::limits::Limits;
use crate::model::{Answer, AttemptKey, AttemptReport, Client, Request};
use crate::net::{DirectCalls, SystemCalls};
use crate::process_state::ProcessState;
use crate::queue::{CoreHandle, Message};
use crate::worker::CancelOutcome;
use peers::Peer;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use timers::{Due, Timers};
use wrenseam_policy::{
    Action, Controller, Event, Micros, Outcome, Settings, WorkerState, ZoneNames,
};

const SWEEP: Micros = 1_000_000; // period in which idle connections are looked for

const LATE: Micros = 20_000; // more than an answer's margin: worth a line in the log

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
    reports: CoreHandle,
    shared: Arc<ProcessState>,
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
        settings: Settings,
        seed: u64,
        limits: Arc<Limits>,
        queue: Receiver<Message>,
        reports: CoreHandle,
        shared: Arc<ProcessState>,
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
        self.timers
            .set(self.clock.now() + self.limits.link_check, Due::Pulse);
        loop {
            match self.queue.recv_timeout(self.timers.wait(self.clock.now())) {
                Ok(message) => {
                    self.take(message);
                    // What else has come in is taken before timers: an answer that is here beats its time-out.
                    for _ in 0..256 {
                        let Ok(message) = self.queue.try_recv() else {
                            break;
                        };
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
                note!(
                    "core: ran {} ms late, {} requests open",
                    late / 1000,
                    self.requests.len()
                );
            }
            while let Some(due) = self.timers.due(self.clock.now()) {
                self.due(due);
                self.decide();
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request {
                request,
                client,
                tag,
            } => self.request(request, client, tag),
            Message::RequestCancelled { connection, tag } => {
                if let Some(&id) = self.by_client.get(&(connection, tag)) {
                    self.withdrawn(id);
                }
            }
            Message::ClientDisconnected { connection } => {
                let of = (connection, 0)..=(connection, u64::MAX);
                let ids: Vec<u64> = self.by_client.range(of).map(|(_, &id)| id).collect();
                ids.into_iter().for_each(|id| self.withdrawn(id));
            }
            Message::AttemptEnded { key, report } => self.ended(key, report),
            Message::LoadOrderEnded {
                order,
                outcome,
                replicas: copies,
            } => self.ordered(order, outcome, copies),
            Message::EndpointUpdate {
                source,
                complete,
                endpoints,
            } => self.update_endpoints(source, complete, endpoints),
            Message::Inspect { reply } => {
                let _ = reply.send(self.inspect()); // who asked may have left
            }
            Message::EndedAtFront { class, end: how } => {
                let class = self.settings.class(&class);
                self.tally.ended(class, how);
            }
            Message::Exclusions(set) => {
                let changes = self.members.hand_over(set, self.clock.now());
                self.apply(changes);
            }
            Message::Standby(aside) => self.controller.set_standby(aside),
            Message::Admin {
                command: call,
                reply,
            } => {
                let _ = reply.send(self.call(call)); // who asked may have left
            }
            Message::Fleet(news) => {
                let (now, open) = (self.clock.now(), self.requests.len());
                if let Some(gate) = self.gate.as_mut() {
                    gate.news(now, news);
                    let summary = gate.summary(now, open);
                    *self
                        .shared
                        .summary
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner) = summary;
                }
            }
        }
        self.decide();
    }

    fn ordered(&mut self, order: u64, outcome: Outcome, count: u32) {
        let Some((worker, function, since)) = self.orders.remove(&order) else {
            return;
        };
        let elapsed = self.clock.now().saturating_sub(since);
        self.events.push_back(Event::LoadOrderEnded {
            worker,
            function,
            replicas: count,
            outcome,
            elapsed,
        });
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer { token }),
            Due::Attempt(key) => {
                // Guards against workers that vanish without a word: our own clock ends what is out there.
                let open = self
                    .requests
                    .get(&key.request)
                    .and_then(|o| o.attempts.get(key.attempt));
                if let Some(attempt) = open.filter(|a| a.open) {
                    let peer = self.peers.get_mut(&attempt.worker);
                    // What was taken back in time has not run: its class may allow more.
                    let given_up = peer.map_or(CancelOutcome::Unknown, |p| p.cancel(key));
                    let never_ran = given_up == CancelOutcome::NeverStarted;
                    let outcome = if never_ran {
                        Outcome::ConnectFailed
                    } else {
                        Outcome::Timeout
                    };
                    self.ended(key, AttemptReport::without_payload(outcome));
                }
            }
            Due::Order(order) => {
                // Guards connections: one that waits for the answer to a lost order would never be idle.
                let worker = self.orders.get(&order).map(|o| &o.0);
                if let Some(peer) = worker.and_then(|w| self.peers.get_mut(w)) {
                    peer.each().for_each(|t| t.abandon_order(order));
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
                    self.peers
                        .values_mut()
                        .flat_map(Peer::each)
                        .for_each(|t| t.check_keepalive());
                    self.trim(0);
                }
                self.pulsed = now;
                self.timers.set(now + every, Due::Pulse);
            }
            Due::Sweep => {
                self.peers.values_mut().for_each(Peer::sweep);
                // Guards memory: workers are replaced by new ones all day long.
                let here = |p: &Peer| p.endpoint.state != WorkerState::Gone || !p.is_idle();
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
            Action::Send {
                id,
                worker,
                timeout,
                retry_window: window,
            } => {
                // Counted from the decision: this thread may have stood still since.
                let whole_by =
                    window.map(|window| self.clock.instant(decided.saturating_add(window)));
                self.send(now, id, worker, (timeout, whole_by));
            }
            Action::Cancel { id, attempt } => self.cancel(AttemptKey {
                request: id,
                attempt,
            }),
            Action::Reject { id, retry_after } => {
                self.answer(id, Answer::Rejected { retry_after });
                self.forget(id);
            }
            Action::Fail { id } => {
                self.answer(id, Answer::Failed);
                self.forget(id);
            }
            Action::Timer { delay, token } => self
                .timers
                .set(now.saturating_add(delay), Due::Module(token)),
            Action::Load {
                worker,
                function,
                replicas: count,
            } => {
                self.last += 1;
                let order = self.last;
                self.orders.insert(order, (worker.clone(), function, now));
                // Guards rule 3 whatever the module thinks: no order to load goes to a worker that drains.
                let may = |p: &&mut Peer| p.endpoint.state == WorkerState::Ready || count == 0;
                let room = self.room(&worker);
                match self.peers.get_mut(&worker).filter(may) {
                    Some(_) if !room => self.reports.load_order_ended(order, Outcome::Rejected, 0),
                    Some(peer) => peer.transport.order(order, function, count),
                    None => self
                        .reports
                        .load_order_ended(order, Outcome::ConnectFailed, 0),
                }
                self.timers.set(now + self.limits.order, Due::Order(order));
            }
            Action::Unload { worker, function } => {
                if let Some(peer) = self.peers.get_mut(&worker) {
                    peer.transport.unload(function);
                }
            }
            Action::Log { text } => note!("module: {text}"),
            Action::WatchEndpoints => {} // the board tells by itself
        }
    }
}
