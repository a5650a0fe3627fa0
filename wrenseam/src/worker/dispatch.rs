//! Decides whether a queued attempt or load order is still written. No sockets; the time is an argument.
//!
//! A frame or request may wait for its connection to be established, or behind a write that stalls. Meanwhile the core
//! may cancel the attempt, its client may disconnect, its time may run out, its connection may end, or the writer may
//! start it. All of these are transitions of one atomic [`DispatchState`]: the first one decides, and the others learn
//! from the result of their own transition that they came too late.
use super::AttemptLimits;
use crate::model::{ClientProbe, ClientState, Milestone, Request, RequestTimeline};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the start of an attempt waits for the reader of its client's connection. Bounded, as the client may send
/// without end.
const MAX_CLIENT_INPUT_WAITS: u32 = 32;

/// How long the writer waits each time, so that the reader of the client's connection can run.
pub const CLIENT_INPUT_WAIT: Duration = Duration::from_millis(1);

/// The state of a dispatch.
///
/// | from | to | by |
/// | --- | --- | --- |
/// | `Waiting` | `Started` | the writer, right before the first byte |
/// | `Started` | `Waiting` | the writer, when no byte could be written |
/// | `Waiting` | `Reclaimed` | the core, on a cancel or a timeout |
/// | `Waiting` | `Discarded` | the writer, when its client has gone or may have, or its start deadline has passed |
/// | `Waiting`, `Started` | `Ended` | the connection, when it ends, reads the response or removes the unwritten frame |
///
/// `Reclaimed`, `Discarded` and `Ended` are final. Exactly one caller makes the transition into a final state, and that
/// caller accounts for the end of the attempt. An unwritten frame is removed if its worker drains, if the core cancels
/// it, or if its id is in use. A dispatch that reaches `Reclaimed` or `Discarded` was never written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DispatchState {
    /// No byte is written, and none may be written before the dispatch is started.
    Waiting,
    /// A byte may have been written, so the attempt may run.
    Started,
    /// The core took the dispatch back before it was started.
    Reclaimed,
    /// The writer dropped it instead of starting it, as its client had gone or may have, or its start deadline had passed.
    Discarded,
    /// The connection ended it: the response was read, its unwritten frame was removed, or the connection itself ended.
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

    /// Changes `from` to `to`. Returns false, with nothing changed, if the state was another.
    fn transition(&self, from: DispatchState, to: DispatchState) -> bool {
        self.0
            .compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Changes any state that is not final to `Ended`. Returns whether it did.
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

/// The result of [`Dispatch::try_start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The dispatch is started: write it now. It can no longer be reclaimed.
    Started,
    /// This call discarded the dispatch: the caller reports it as not sent.
    Discarded,
    /// The dispatch was in a final state before, and whoever made that transition accounts for it: write and report
    /// nothing.
    AlreadyFinal,
    /// Undecided: the client has unread input, which may be a cancellation. Try again after [`CLIENT_INPUT_WAIT`].
    ClientInputUnread,
}

/// What the state of the client's connection means for the start of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientCheck {
    /// It decides nothing.
    Proceed,
    /// The reader of the connection must run first.
    Wait,
    /// The reader is so late that the client may have cancelled long ago: nothing is started for it.
    ReaderOverdue,
}

/// One attempt or load order on its way to a worker.
#[derive(Debug)]
pub struct Dispatch {
    state: AtomicDispatchState,
    /// Set once the client has left.
    client_gone: Arc<AtomicBool>,
    /// Checks the state of the client's connection even before its reader has run. `None` if there is no client.
    client_probe: Option<Arc<dyn ClientProbe>>,
    /// How often the start has waited for the reader of the client's connection.
    client_input_waits: AtomicU32,
    /// The dispatch is not started after this.
    start_deadline: Instant,
    /// It must be completely written by then; see [`AttemptLimits::write_deadline`].
    write_deadline: Option<Instant>,
    /// The timeline of the request; `None` for load orders and checks.
    timeline: Option<Arc<RequestTimeline>>,
}

impl Dispatch {
    /// A dispatch whose client sets `client_gone` when it leaves.
    pub fn new(client_gone: Arc<AtomicBool>, start_deadline: Instant) -> Arc<Dispatch> {
        Arc::new(Dispatch {
            state: AtomicDispatchState::new(DispatchState::Waiting),
            client_gone,
            client_probe: None,
            client_input_waits: AtomicU32::new(0),
            start_deadline,
            write_deadline: None,
            timeline: None,
        })
    }

    /// The dispatch of an attempt of this request, sent at `now`.
    pub fn for_attempt(request: &Request, limits: AttemptLimits, now: Instant) -> Arc<Dispatch> {
        let response_deadline = now + Duration::from_micros(limits.response_timeout);
        let start_deadline = [limits.write_deadline, limits.start_deadline]
            .into_iter()
            .flatten()
            .fold(response_deadline, Instant::min);
        Arc::new(Dispatch {
            state: AtomicDispatchState::new(DispatchState::Waiting),
            client_gone: request.client_gone.clone(),
            client_probe: request.client_probe.clone(),
            client_input_waits: AtomicU32::new(0),
            start_deadline,
            write_deadline: limits.write_deadline,
            timeline: Some(request.timeline.clone()),
        })
    }

    /// The current state.
    pub fn state(&self) -> DispatchState {
        self.state.load()
    }

    /// Whether the write deadline has passed: what is not completely written by now must never be.
    pub fn is_past_write_deadline(&self, now: Instant) -> bool {
        self.write_deadline.is_some_and(|deadline| now > deadline)
    }

    /// Decides, right before the writer writes the first byte, whether it may.
    pub fn try_start(&self, now: Instant) -> StartResult {
        match self.check_client() {
            ClientCheck::Wait => return StartResult::ClientInputUnread,
            ClientCheck::ReaderOverdue => {
                return self.settle(DispatchState::Discarded, StartResult::Discarded);
            }
            ClientCheck::Proceed => {}
        }
        if self.is_client_gone() || now > self.start_deadline {
            return self.settle(DispatchState::Discarded, StartResult::Discarded);
        }
        let started = self.settle(DispatchState::Started, StartResult::Started);
        if let (StartResult::Started, Some(timeline)) = (started, &self.timeline) {
            timeline.reach(Milestone::AttemptStarted, now);
        }
        started
    }

    /// Changes `Waiting` to `state`. Returns `AlreadyFinal` if another transition came first.
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

    /// Whether the start must wait for the reader of the client's connection.
    pub(super) fn must_wait_for_client_reader(&self) -> bool {
        self.check_client() == ClientCheck::Wait
    }

    /// Checks the client's connection itself, as its reader may not have run: the process may have been stopped, or
    /// input of other clients may keep the scheduler busy. Marks a disconnected client as gone.
    fn check_client(&self) -> ClientCheck {
        if self.state.load() != DispatchState::Waiting || self.is_client_gone() {
            return ClientCheck::Proceed;
        }
        let Some(probe) = &self.client_probe else {
            return ClientCheck::Proceed;
        };
        match probe.state() {
            ClientState::Connected => ClientCheck::Proceed,
            ClientState::Disconnected => {
                self.client_gone.store(true, Ordering::Release);
                ClientCheck::Proceed
            }
            ClientState::UnreadInput => self.wait_or(ClientCheck::Proceed),
            ClientState::OverdueInput => self.wait_or(ClientCheck::ReaderOverdue),
        }
    }

    /// Waits for the reader, or returns `otherwise` after [`MAX_CLIENT_INPUT_WAITS`].
    fn wait_or(&self, otherwise: ClientCheck) -> ClientCheck {
        let waits = self.client_input_waits.fetch_add(1, Ordering::AcqRel);
        if waits < MAX_CLIENT_INPUT_WAITS {
            ClientCheck::Wait
        } else {
            otherwise
        }
    }

    /// Puts a started dispatch back to `Waiting`, as no byte of it could be written.
    pub fn revert_start(&self) {
        self.state
            .transition(DispatchState::Started, DispatchState::Waiting);
    }

    /// The core takes the dispatch back. True proves that no byte of it was or will be written, and the caller accounts
    /// for its end. False if it was started or had ended before.
    pub fn reclaim(&self) -> bool {
        self.state
            .transition(DispatchState::Waiting, DispatchState::Reclaimed)
    }

    /// Ends the dispatch on behalf of its connection. True if the caller must account for its end, false if it had
    /// ended before.
    pub fn end(&self) -> bool {
        self.state.end()
    }
}
