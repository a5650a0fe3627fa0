//! The platform's binary frames: attempts, orders and cancels over shared connections to one worker.
mod codec;
mod connection;
pub mod liveness;
pub mod progress;
mod reader;
pub mod send_queue;
mod writer;

pub use codec::{encode, Decoder, Frame};

use super::dispatch::Dispatch;
use super::{AttemptLimits, CancelOutcome, ConnectionUsage, Transport};
use crate::limits::Limits;
use crate::model::{AttemptKey, Request};
use crate::net::{connection_number, spawn, DirectCalls, SystemCalls};
use crate::queue::CoreHandle;
use connection::{Command, Opening, State, What};
use liveness::probe_due;
use may::sync::mpsc::{channel, Sender};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::FunctionId;
use writer::Writer;

struct Link {
    commands: Sender<Command>,
    state: Arc<State>,
    used: Instant,
    /// When it was asked for a word that has not come.
    asked: Option<Instant>,
    /// For how long it has been mute since.
    mute: Duration,
    /// What was handed to it and may still be taken back.
    dispatches: HashMap<What, Arc<Dispatch>>,
    /// The ids of calls that it carried, and until when one of them may come again.
    carried: HashMap<u64, Instant>,
}

impl Link {
    /// Since when no byte went or came here that we know of.
    fn quiet_since(&self) -> Instant {
        let heard = self.state.table.lock().ok().and_then(|t| t.heard);
        heard.map_or(self.used, |h| h.max(self.used))
    }
}

/// The transport to one worker.
pub struct Frames {
    address: SocketAddr,
    limits: Arc<Limits>,
    reports: CoreHandle,
    calls: Arc<dyn SystemCalls>,
    links: Vec<Link>,
    /// When they were last looked at.
    pulsed: Option<Instant>,
}

impl Frames {
    /// No connection is opened before it is needed.
    pub fn new(address: SocketAddr, limits: Arc<Limits>, reports: CoreHandle) -> Self {
        let calls = Arc::new(DirectCalls);
        Frames {
            address,
            limits,
            reports,
            calls,
            links: Vec::new(),
            pulsed: None,
        }
    }

    /// Makes these system calls in place of the machine's.
    #[must_use]
    pub fn with_calls(self, calls: Arc<dyn SystemCalls>) -> Self {
        Frames { calls, ..self }
    }

    /// Whether a connection takes one more exchange. One that has lain idle for long is not taken even where the
    /// sweep has not closed it yet: the worker may be closing it just now.
    fn usable(&self, l: &Link) -> bool {
        let state = &l.state;
        let load = state.load.load(Ordering::Acquire);
        !state.broken.load(Ordering::Acquire)
            && !state.retired.load(Ordering::Acquire)
            && load < self.limits.streams
            && (load > 0 || l.quiet_since().elapsed() <= self.limits.worker_idle)
    }

    fn idle(l: &Link) -> bool {
        !l.state.broken.load(Ordering::Acquire) && l.state.load.load(Ordering::Acquire) == 0
    }

    /// A connection with room, a new one if need be. None that carried this id before: an answer to the first
    /// exchange under it that comes late, or twice, would be taken for the second's.
    fn link(&mut self, id: Option<u64>) -> &mut Link {
        let fresh = |l: &Link| id.is_none_or(|id| !l.carried.contains_key(&id));
        let at = self
            .links
            .iter()
            .position(|l| self.usable(l) && fresh(l))
            .unwrap_or_else(|| {
                let (commands, queue) = channel();
                let state = Arc::new(State::default());
                let (address, limits) = (self.address, self.limits.clone());
                let (reports, of, calls) =
                    (self.reports.clone(), state.clone(), self.calls.clone());
                let write = move || Writer::run(address, queue, of, limits, reports, calls);
                let started = spawn(self.limits.stack, write);
                if let Err(e) = started {
                    note!("worker {address}: no coroutine: {e}"); // the commands' timers end them
                }
                let (used, asked, mute) = (Instant::now(), None, Duration::ZERO);
                let (dispatches, carried) = (HashMap::new(), HashMap::new());
                self.links.push(Link {
                    commands,
                    state,
                    used,
                    asked,
                    mute,
                    dispatches,
                    carried,
                });
                self.links.len() - 1
            });
        self.links[at].used = Instant::now();
        &mut self.links[at]
    }

    fn give_up(&mut self, what: What) -> CancelOutcome {
        let Some((link, dispatch)) = self
            .links
            .iter_mut()
            .find_map(|l| Some((l.dispatches.remove(&what)?, l)))
            .map(|(t, l)| (l, t))
        else {
            return CancelOutcome::Unknown;
        };
        if dispatch.reclaim() {
            link.state.load.fetch_sub(1, Ordering::AcqRel);
            return CancelOutcome::NeverStarted;
        }
        let _ = link.commands.send(Command::Cancel(what)); // a writer that has ended has ended it too
        CancelOutcome::PendingConfirmation
    }

    fn open(&mut self, opening: Opening, until: Option<Instant>) {
        let (what, dispatch) = (opening.what, opening.dispatch.clone());
        let link = self.link(until.map(|_| opening.id));
        link.state.load.fetch_add(1, Ordering::AcqRel);
        link.dispatches.insert(what, dispatch);
        if let Some(until) = until {
            link.carried.insert(opening.id, until);
        }
        let _ = link.commands.send(Command::Open(opening)); // its timer ends it at last
    }
}

impl Transport for Frames {
    fn send(&mut self, key: AttemptKey, request: &Arc<Request>, limits: AttemptLimits) {
        let (id, function) = (request.wire_id, request.function);
        let frame = codec::call(request, limits);
        let dispatch = Dispatch::for_attempt(request, limits, Instant::now());
        let what = What::Attempt(key);
        // Its id may come again as long as its client waits, and answers to it a little longer.
        let until =
            request.received_at + Duration::from_micros(request.timeout) + self.limits.late_answer;
        self.open(
            Opening {
                what,
                id,
                function,
                frame,
                bound: true,
                dispatch,
            },
            Some(until),
        );
    }

    fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        self.give_up(What::Attempt(key))
    }

    fn abandon_order(&mut self, order: u64) {
        self.give_up(What::Order(order));
    }

    fn is_idle(&self) -> bool {
        self.links.is_empty()
    }

    fn order(&mut self, order: u64, function: FunctionId, copies: u32) {
        // Orders' ids come from the far end of the range, away from chance: clients draw theirs at random.
        let id = u64::MAX - order;
        let frame = codec::hold(id, function, copies);
        // Guards the ration: it counts an order when it arrives, and several that a late connection held back would
        // arrive in one span.
        let dispatch = Dispatch::new(
            Arc::default(),
            Instant::now() + self.limits.connect + self.limits.write_check,
        );
        let what = What::Order(order);
        self.open(
            Opening {
                what,
                id,
                function,
                frame,
                bound: copies > 0,
                dispatch,
            },
            None,
        );
    }

    fn unload(&mut self, function: FunctionId) {
        let frame = codec::unload(function);
        let _ = self.link(None).commands.send(Command::Plain(frame)); // owed no answer
    }

    fn drain(&mut self) {
        self.links
            .iter()
            .for_each(|l| l.state.retired.store(true, Ordering::Release));
    }

    /// Guards calls from a connection that stays open and carries nothing any more: what is open there would
    /// wait for its full time, and new calls would join it. A question of no effect shows whether it lives. Only the
    /// time counts as silence in which we looked, and the writer had the question: a busy machine may hold either up.
    fn check_keepalive(&mut self) {
        if self.links.is_empty() {
            self.pulsed = None; // most of ten thousand workers: no look at a clock for each
            return;
        }
        let (limits, now) = (self.limits.clone(), Instant::now());
        let looked = Duration::from_micros(2 * limits.link_check);
        let looked = self
            .pulsed
            .replace(now)
            .map_or(Duration::ZERO, |last| (now - last).min(looked));
        for link in self
            .links
            .iter_mut()
            .filter(|l| !l.state.broken.load(Ordering::Acquire))
        {
            let Ok(table) = link.state.table.lock() else {
                continue;
            };
            let open = || table.open.values().filter(|e| e.what != What::Probe);
            let oldest = open()
                .min_by_key(|e| e.since)
                .map(|e| (e.since, e.function));
            let heard = table.heard;
            let new = open().any(|e| heard.is_none_or(|h| e.since > h));
            drop(table);
            match (link.asked, oldest) {
                (Some(asked), _) if heard.is_some_and(|h| h >= asked) => link.asked = None,
                (Some(asked), _) => {
                    if link.state.asking.load(Ordering::Acquire) {
                        link.mute += looked;
                    }
                    if link.mute > limits.link_answer {
                        let _ = link.commands.send(Command::Close(asked));
                    }
                }
                (None, Some((since, function))) => {
                    let quiet = heard.map_or(since, |h| h.max(since)).elapsed();
                    if probe_due(new, quiet, since.elapsed(), &limits) {
                        let (id, what) = (u64::MAX / 2 - connection_number(), What::Probe);
                        link.state.load.fetch_add(1, Ordering::AcqRel);
                        let frame = codec::hold(id, function, 0);
                        let dispatch = Dispatch::new(Arc::default(), now + limits.write_stall);
                        let opening = Opening {
                            what,
                            id,
                            function,
                            frame,
                            bound: false,
                            dispatch,
                        };
                        link.state.asking.store(false, Ordering::Release);
                        (link.asked, link.mute) = (Some(now), Duration::ZERO);
                        let _ = link.commands.send(Command::Open(opening));
                    }
                }
                _ => {}
            }
        }
    }

    fn sweep(&mut self) {
        let (idle, now) = (self.limits.worker_idle, Instant::now());
        // Dropping the sender lets the writer close. Guards against a send that crosses the worker's own close.
        self.links.retain_mut(|l| {
            l.dispatches.retain(|_, t| Arc::strong_count(t) > 1);
            l.carried.retain(|_, until| *until > now);
            let quiet = l.state.load.load(Ordering::Acquire) == 0;
            let old = quiet && l.quiet_since().elapsed() > idle
                || l.state.retired.load(Ordering::Acquire);
            !(l.state.broken.load(Ordering::Acquire) || quiet && old)
        });
    }

    fn connections(&self) -> ConnectionUsage {
        let open = self
            .links
            .iter()
            .filter(|l| !l.state.broken.load(Ordering::Acquire))
            .count();
        ConnectionUsage {
            open,
            next_attempt_opens: !self.links.iter().any(|l| self.usable(l)),
        }
    }

    fn idle_since(&self) -> Option<Instant> {
        self.links
            .iter()
            .filter(|l| Frames::idle(l))
            .map(Link::quiet_since)
            .min()
    }

    fn close_idle(&mut self) {
        let idle = self
            .links
            .iter()
            .enumerate()
            .filter(|(_, l)| Frames::idle(l));
        if let Some((at, _)) = idle.min_by_key(|(_, l)| l.quiet_since()) {
            self.links.swap_remove(at); // dropping the sender lets the writer close
        }
    }
}
