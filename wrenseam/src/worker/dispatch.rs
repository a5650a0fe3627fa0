//! Decides whether a queued attempt or order is still written. No sockets and no clock of its own here.
//!
//! A frame may wait in the queue of a connection that is not up yet, or behind a write that stalls. Meanwhile the core
//! may cancel the attempt, its client may disconnect, its time may run out, its connection may end, or the writer may
//! start it. All of them go through one atomic [`DispatchState`]: whoever changes it first has decided, and the others
//! learn so from the result of their own transition.
use super::AttemptLimits;
use crate::model::{ClientProbe, ClientState, Request};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often an attempt waits for the reader of its client's connection at the most, as the client may send without
/// end.
const MAX_CLIENT_INPUT_WAITS: u32 = 8;

/// How long the writer waits each time, so that the reader has its turn.
pub const CLIENT_INPUT_WAIT: Duration = Duration::from_millis(1);

/// The state of a dispatch.
///
/// | from | to | by |
/// | --- | --- | --- |
/// | `Waiting` | `Started` | the writer, right before the first byte |
/// | `Started` | `Waiting` | the writer, when not a byte could be written |
/// | `Waiting` | `Reclaimed` | the core, on a cancel or a timeout |
/// | `Waiting` | `Discarded` | the writer, when its client has gone or its time is up |
/// | `Waiting`, `Started` | `Ended` | the connection: it was answered, withheld, or the connection ended |
///
/// `Reclaimed`, `Discarded` and `Ended` are final. Exactly one caller makes the transition into a final state, and that
/// caller accounts for the end of the attempt. A dispatch that reaches `Reclaimed` or `Discarded` was never written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DispatchState {
    /// No byte is written, and none may be before it is started.
    Waiting,
    /// A byte may have been written; it may run.
    Started,
    /// The core took it back before it was started.
    Reclaimed,
    /// It was no longer wanted when its turn came.
    Discarded,
    /// Its connection's side ended it.
    Ended,
}

impl DispatchState {
    fn from_u8(value: u8) -> Self {
        match value {
            value if value == DispatchState::Waiting as u8 => DispatchState::Waiting,
            value if value == DispatchState::Started as u8 => DispatchState::Started,
            value if value == DispatchState::Reclaimed as u8 => DispatchState::Reclaimed,
            value if value == DispatchState::Discarded as u8 => DispatchState::Discarded,
            _ => DispatchState::Ended,
        }
    }

    fn is_final(self) -> bool {
        !matches!(self, DispatchState::Waiting | DispatchState::Started)
    }
}

/// A [`DispatchState`] that several threads change.
#[derive(Debug)]
struct AtomicDispatchState(AtomicU8);

impl AtomicDispatchState {
    fn new(state: DispatchState) -> Self {
        AtomicDispatchState(AtomicU8::new(state as u8))
    }

    fn load(&self) -> DispatchState {
        DispatchState::from_u8(self.0.load(Ordering::Acquire))
    }

    /// Changes `from` to `to`; false, and nothing changed, if it was in another state.
    fn transition(&self, from: DispatchState, to: DispatchState) -> bool {
        self.0
            .compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Changes to `Ended` unless the state was final; whether it did.
    fn end(&self) -> bool {
        let ended = |value| {
            let is_final = DispatchState::from_u8(value).is_final();
            (!is_final).then_some(DispatchState::Ended as u8)
        };
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, ended)
            .is_ok()
    }
}

/// What came of [`Dispatch::try_start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// It is started: write it now. Nobody can reclaim it any more.
    Started,
    /// It is discarded by this call: the caller reports it as not sent.
    Discarded,
    /// Whoever brought it to a final state before has accounted for it: nothing is written or reported.
    AlreadyFinal,
    /// Not decided yet: unread input of its client may be a cancellation. Ask again after [`CLIENT_INPUT_WAIT`].
    ClientInputUnread,
}

/// One attempt or order on its way to a worker.
#[derive(Debug)]
pub struct Dispatch {
    state: AtomicDispatchState,
    /// Set once the client that it is for has gone.
    client_gone: Arc<AtomicBool>,
    /// Shows the state of the client's connection before its reader has run.
    client_probe: Option<Arc<dyn ClientProbe>>,
    /// How often it waited for the reader of its client's connection.
    client_input_waits: AtomicU32,
    /// It is not started later than this.
    start_deadline: Instant,
    /// It must be written completely by then; see [`AttemptLimits::write_deadline`].
    write_deadline: Option<Instant>,
}

impl Dispatch {
    /// A dispatch for a client that sets `client_gone` when it leaves.
    pub fn new(client_gone: Arc<AtomicBool>, start_deadline: Instant) -> Arc<Dispatch> {
        Arc::new(Dispatch {
            state: AtomicDispatchState::new(DispatchState::Waiting),
            client_gone,
            client_probe: None,
            client_input_waits: AtomicU32::new(0),
            start_deadline,
            write_deadline: None,
        })
    }

    /// The dispatch of an attempt at this request, sent at `now`.
    pub fn for_attempt(request: &Request, limits: AttemptLimits, now: Instant) -> Arc<Dispatch> {
        let answer_deadline = now + Duration::from_micros(limits.answer_timeout);
        let start_deadline = [limits.write_deadline, limits.start_deadline]
            .into_iter()
            .flatten()
            .fold(answer_deadline, Instant::min);
        Arc::new(Dispatch {
            state: AtomicDispatchState::new(DispatchState::Waiting),
            client_gone: request.client_gone.clone(),
            client_probe: request.client_probe.clone(),
            client_input_waits: AtomicU32::new(0),
            start_deadline,
            write_deadline: limits.write_deadline,
        })
    }

    /// Its current state.
    pub fn state(&self) -> DispatchState {
        self.state.load()
    }

    /// Whether what has not been written completely by now must not be any more.
    pub fn is_past_write_deadline(&self, now: Instant) -> bool {
        self.write_deadline.is_some_and(|deadline| now > deadline)
    }

    /// The writer is about to write the first byte.
    pub fn try_start(&self, now: Instant) -> StartResult {
        if self.must_wait_for_client_reader() {
            return StartResult::ClientInputUnread;
        }
        if self.is_client_gone() || now > self.start_deadline {
            return self.settle(DispatchState::Discarded, StartResult::Discarded);
        }
        self.settle(DispatchState::Started, StartResult::Started)
    }

    /// Leaves `Waiting` for `state`, or tells that it has been decided before.
    fn settle(&self, state: DispatchState, result: StartResult) -> StartResult {
        if self.state.transition(DispatchState::Waiting, state) {
            result
        } else {
            StartResult::AlreadyFinal
        }
    }

    fn is_client_gone(&self) -> bool {
        self.client_gone.load(Ordering::Acquire)
    }

    /// Looks at the client's own connection, as its reader may not have run: the process was stopped, or input of other
    /// clients came at full speed. Marks a client that has disconnected as gone.
    fn must_wait_for_client_reader(&self) -> bool {
        if self.state.load() != DispatchState::Waiting || self.is_client_gone() {
            return false;
        }
        let Some(probe) = &self.client_probe else {
            return false;
        };
        match probe.state() {
            ClientState::Connected => false,
            ClientState::Disconnected => {
                self.client_gone.store(true, Ordering::Release);
                false
            }
            ClientState::UnreadInput => {
                let waits = self.client_input_waits.fetch_add(1, Ordering::AcqRel);
                waits < MAX_CLIENT_INPUT_WAITS
            }
        }
    }

    /// The writer could not write a byte of what it started: it waits again.
    pub fn revert_start(&self) {
        self.state
            .transition(DispatchState::Started, DispatchState::Waiting);
    }

    /// The core takes it back. True proves that no byte of it was or will be written, and the caller accounts for its
    /// end; false if it was started or ended before.
    pub fn reclaim(&self) -> bool {
        self.state
            .transition(DispatchState::Waiting, DispatchState::Reclaimed)
    }

    /// The connection's side ends it. True if the caller accounts for its end; false if it had ended before.
    pub fn end(&self) -> bool {
        self.state.end()
    }
}
