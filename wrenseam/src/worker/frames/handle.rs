//! The core's side of one connection: what was handed to it, and whether it is still in use.
use super::super::dispatch::Dispatch;
use super::super::CancelOutcome;
use super::codec;
use super::connection::ConnectionState;
use super::exchange::{Command, ExchangeKind, NewExchange, Outbound};
use super::keepalive::{Keepalive, KeepaliveAction, Observation};
use crate::limits::Limits;
use crate::net::connection_number;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::FunctionId;

/// Ids of keepalive probes count down from here. Those of orders count down from the end of the range, and clients draw
/// theirs at random.
const FIRST_PROBE_ID: u64 = u64::MAX / 2;

/// One connection as the core sees it. Dropping it lets the writer close the connection.
pub(super) struct ConnectionHandle {
    commands: Sender<Command>,
    state: Arc<ConnectionState>,
    last_used_at: Instant,
    keepalive: Keepalive,
    /// The open exchanges that may still be reclaimed.
    dispatches: HashMap<ExchangeKind, Arc<Dispatch>>,
    /// The ids of calls that it carried, and until when one of them may be used again by its client.
    reserved_ids: HashMap<u64, Instant>,
}

impl ConnectionHandle {
    pub(super) fn new(commands: Sender<Command>, state: Arc<ConnectionState>) -> Self {
        ConnectionHandle {
            commands,
            state,
            last_used_at: Instant::now(),
            keepalive: Keepalive::default(),
            dispatches: HashMap::new(),
            reserved_ids: HashMap::new(),
        }
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.state.is_closed()
    }

    /// Whether it is established and carries nothing.
    pub(super) fn is_idle(&self) -> bool {
        !self.state.is_closed() && self.state.open_exchanges() == 0
    }

    /// Since when no byte went or came here that we know of.
    pub(super) fn quiet_since(&self) -> Instant {
        match self.state.last_answer_at() {
            Some(answer_at) => answer_at.max(self.last_used_at),
            None => self.last_used_at,
        }
    }

    /// Whether it takes one more exchange. A connection that has been idle for long is not taken even where the sweep
    /// has not closed it yet: the worker may be closing it just now.
    pub(super) fn is_usable(&self, limits: &Limits) -> bool {
        let open_exchanges = self.state.open_exchanges();
        !self.state.is_closed()
            && !self.state.is_draining()
            && open_exchanges < limits.max_streams_per_connection
            && (open_exchanges > 0 || self.quiet_since().elapsed() <= limits.worker_idle_timeout)
    }

    /// Whether it carried this id before, and it may be used again by its client.
    pub(super) fn has_reserved(&self, id: u64) -> bool {
        self.reserved_ids.contains_key(&id)
    }

    /// Keeps an id from being used again on this connection until then.
    pub(super) fn reserve_id(&mut self, id: u64, until: Instant) {
        self.reserved_ids.insert(id, until);
    }

    /// Notes that it has been chosen to carry something.
    pub(super) fn touch(&mut self) {
        self.last_used_at = Instant::now();
    }

    /// Hands an exchange over.
    pub(super) fn open(&mut self, exchange: NewExchange) {
        self.state.count_opened();
        self.dispatches
            .insert(exchange.kind, exchange.dispatch.clone());
        self.write(Outbound::Open(exchange));
    }

    /// Hands over what gets no answer, or needs none.
    pub(super) fn write(&self, outbound: Outbound) {
        // A writer that has ended has ended what is open; the core's timers end the rest.
        let _ = self.commands.send(Command::Write(outbound));
    }

    /// Cancels an exchange.
    pub(super) fn cancel(&mut self, kind: ExchangeKind) -> CancelOutcome {
        let Some(dispatch) = self.dispatches.remove(&kind) else {
            return CancelOutcome::Unknown;
        };
        if dispatch.reclaim() {
            self.state.count_ended();
            return CancelOutcome::NeverStarted;
        }
        self.write(Outbound::Cancel(kind));
        CancelOutcome::PendingConfirmation
    }

    /// The worker drains or is gone.
    pub(super) fn start_draining(&self) {
        self.state.start_draining();
    }

    /// Makes one keepalive check. `observed` is the time since the last one in which an answer could be noticed.
    pub(super) fn check_keepalive(&mut self, now: Instant, observed: Duration, limits: &Limits) {
        let Ok(table) = self.state.table.lock() else {
            return;
        };
        let observation = Observation {
            now,
            observed,
            last_answer_at: table.last_answer_at,
            oldest: table.oldest(),
            opened_since_answer: table.opened_since_answer(),
            probe_taken: self.state.is_probe_taken(),
        };
        drop(table);
        match self.keepalive.check(&observation, limits) {
            KeepaliveAction::None => {}
            KeepaliveAction::Probe(function) => {
                self.probe(function, now + limits.write_stall_timeout)
            }
            KeepaliveAction::CloseIfSilentSince(asked_at) => {
                let _ = self.commands.send(Command::CloseIfSilentSince(asked_at));
                // else it has ended
            }
        }
    }

    /// Asks how many replicas of a function there are, which has no effect and is answered at once.
    fn probe(&self, function: FunctionId, start_deadline: Instant) {
        let id = FIRST_PROBE_ID - connection_number();
        self.state.count_opened();
        self.state.set_probe_taken(false);
        self.write(Outbound::Open(NewExchange {
            kind: ExchangeKind::Probe,
            id,
            function,
            frame: codec::hold(id, function, 0),
            withheld_on_drain: false,
            dispatch: Dispatch::new(Arc::default(), start_deadline),
        }));
    }

    /// Forgets what has ended or expired. Returns whether the connection is still of use.
    pub(super) fn sweep(&mut self, now: Instant, limits: &Limits) -> bool {
        self.dispatches
            .retain(|_, dispatch| Arc::strong_count(dispatch) > 1);
        self.reserved_ids.retain(|_, until| *until > now);
        if self.state.is_closed() {
            return false;
        }
        if self.state.open_exchanges() > 0 {
            return true;
        }
        let is_expired = self.quiet_since().elapsed() > limits.worker_idle_timeout;
        !is_expired && !self.state.is_draining()
    }
}
