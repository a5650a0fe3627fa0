//! Who decides whether a call still goes out: no sockets and no clock of its own here.
//!
//! A call waits in the queue of a connection that comes up late, or behind a write that stalls. Meanwhile the core may
//! take it back (its time is up, the module calls it off), its client may leave, and the writer may begin it. All three
//! meet in one word of state: whoever changes it first has decided, and the others are told so.
use super::Terms;
use crate::model::{ClientProbe, ClientState, Request};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const WAITS: u8 = 0;
const BEGUN: u8 = 1;
const BACK: u8 = 2;
/// How often a call waits for its client's reader at the most, should input without end lie there.
const LOOKS: u32 = 8;
/// How long it waits each time: the reader's turn comes meanwhile.
pub const LOOK_AGAIN: Duration = Duration::from_millis(1);

/// One call or order on its way to a worker.
#[derive(Debug)]
pub struct Ticket {
    state: AtomicU8,
    /// Set once the client it is for has left.
    gone: Arc<AtomicBool>,
    /// Where that shows before anyone has read it.
    client_probe: Option<Arc<dyn ClientProbe>>,
    /// How often its client's input lay unread.
    looks: AtomicU32,
    /// Not begun later than this.
    until: Instant,
    /// Not written whole later than this: a repeat that arrives later is not dropped by its worker.
    whole_by: Option<Instant>,
}

/// What the writer may do with it.
#[derive(Debug, PartialEq, Eq)]
pub enum Begin {
    /// Write it: nobody can take it back any more.
    Go,
    /// It is no longer wanted; the writer reports it as never sent.
    Void,
    /// It was taken back, and has been accounted for.
    Back,
    /// Not yet: what its client sent lies unread, and may give it up. Its reader first.
    Unread,
}

impl Ticket {
    /// A call for a client that sets `gone` when it leaves, to be begun by `until`.
    pub fn new(gone: Arc<AtomicBool>, until: Instant) -> Arc<Ticket> {
        Ticket::seen(gone, None, (until, None))
    }

    /// A call for this request, sent at `now`.
    pub fn call(request: &Request, terms: Terms, now: Instant) -> Arc<Ticket> {
        let whole_by = terms.whole_by;
        let until = now + Duration::from_micros(terms.budget);
        let until = whole_by.map_or(until, |by| by.min(until));
        Ticket::seen(
            request.client_gone.clone(),
            request.client_probe.clone(),
            (until, whole_by),
        )
    }

    fn seen(
        gone: Arc<AtomicBool>,
        client_probe: Option<Arc<dyn ClientProbe>>,
        (until, whole_by): (Instant, Option<Instant>),
    ) -> Arc<Ticket> {
        let (state, looks) = (AtomicU8::new(WAITS), AtomicU32::new(0));
        Arc::new(Ticket {
            state,
            gone,
            client_probe,
            looks,
            until,
            whole_by,
        })
    }

    /// Whether what is not written whole by now must not be any more.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.whole_by.is_some_and(|by| now > by)
    }

    fn turn(&self, from: u8, to: u8) -> bool {
        self.state
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// The writer is about to write its first byte.
    pub fn begin(&self, now: Instant) -> Begin {
        let waits =
            self.state.load(Ordering::Acquire) == WAITS && !self.gone.load(Ordering::Acquire);
        // Guards workers from calls for nobody while the reader has had no turn: the process stood still, or input of
        // others came at full speed.
        match self
            .client_probe
            .as_ref()
            .filter(|_| waits)
            .map_or(ClientState::Connected, |s| s.state())
        {
            ClientState::Connected => {}
            ClientState::Disconnected => self.gone.store(true, Ordering::Release),
            ClientState::UnreadInput if self.looks.fetch_add(1, Ordering::AcqRel) < LOOKS => {
                return Begin::Unread
            }
            ClientState::UnreadInput => {}
        }
        if self.gone.load(Ordering::Acquire) || now > self.until {
            return if self.turn(WAITS, BACK) {
                Begin::Void
            } else {
                Begin::Back
            };
        }
        if self.turn(WAITS, BEGUN) {
            Begin::Go
        } else {
            Begin::Back
        }
    }

    /// The writer could not write a byte of it: it waits again.
    pub fn release(&self) {
        self.turn(BEGUN, WAITS);
    }

    /// Takes it back. True proves that no byte of it was or will be written, and the caller accounts for its end.
    pub fn take_back(&self) -> bool {
        self.turn(WAITS, BACK)
    }

    /// The connection's side ends it. False if it was taken back, and so has ended already.
    pub fn end(&self) -> bool {
        self.state.swap(BACK, Ordering::AcqRel) != BACK
    }
}
