//! Who decides whether a call still goes out: no sockets and no clock of its own here.
//!
//! A call waits in the queue of a connection that comes up late, or behind a write that stalls. Meanwhile the core may
//! take it back (its time is up, the module calls it off), its client may leave, and the writer may begin it. All three
//! meet in one word of state: whoever changes it first has decided, and the others are told so.
use super::Terms;
use crate::core::{Presence, Request, Sight};
use std::collections::VecDeque;
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
    sight: Option<Arc<dyn Sight>>,
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
        let whole_by = terms.repeat_window.map(|window| now + Duration::from_micros(window));
        let until = now + Duration::from_micros(terms.budget);
        let until = whole_by.map_or(until, |by| by.min(until));
        Ticket::seen(request.gone.clone(), request.sight.clone(), (until, whole_by))
    }

    fn seen(
        gone: Arc<AtomicBool>, sight: Option<Arc<dyn Sight>>, (until, whole_by): (Instant, Option<Instant>),
    ) -> Arc<Ticket> {
        let (state, looks) = (AtomicU8::new(WAITS), AtomicU32::new(0));
        Arc::new(Ticket { state, gone, sight, looks, until, whole_by })
    }

    /// Whether what is not written whole by now must not be any more.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.whole_by.is_some_and(|by| now > by)
    }

    fn turn(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// The writer is about to write its first byte.
    pub fn begin(&self, now: Instant) -> Begin {
        let waits = self.state.load(Ordering::Acquire) == WAITS && !self.gone.load(Ordering::Acquire);
        // Guards workers from calls for nobody while the reader has had no turn: the process stood still, or input of
        // others came at full speed.
        match self.sight.as_ref().filter(|_| waits).map_or(Presence::Here, |s| s.presence()) {
            Presence::Here => {}
            Presence::Left => self.gone.store(true, Ordering::Release),
            Presence::Unread if self.looks.fetch_add(1, Ordering::AcqRel) < LOOKS => return Begin::Unread,
            Presence::Unread => {}
        }
        if self.gone.load(Ordering::Acquire) || now > self.until {
            return if self.turn(WAITS, BACK) { Begin::Void } else { Begin::Back };
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

/// A frame in the ring of a connection.
#[derive(Debug)]
pub struct Piece {
    /// Where in the stream it begins, and ends.
    pub begin: u64,
    /// The byte behind its last.
    pub end: u64,
    /// The id of the exchange that it opens; none for what is owed no answer.
    pub id: Option<u64>,
    /// Whether it may not go after a drain.
    pub bound: bool,
    /// Who decides on it.
    pub ticket: Option<Arc<Ticket>>,
    claimed: bool,
}

/// The frames in a connection's ring, in the order of the stream.
#[derive(Debug, Default)]
pub struct Line {
    pieces: VecDeque<Piece>,
    queued: u64,
}

/// Bytes to be cut out of the ring, and the exchange they would have opened.
#[derive(Debug, PartialEq)]
pub struct Cut {
    /// From which byte of the ring on.
    pub at: usize,
    /// How many.
    pub len: usize,
    /// The exchange.
    pub id: Option<u64>,
    /// Whether it ends here; else whoever took it back has ended it.
    pub ends: bool,
}

impl Line {
    /// A frame of so many bytes joins; where it ends in the stream.
    pub fn join(&mut self, len: usize, id: Option<u64>, bound: bool, ticket: Option<Arc<Ticket>>) -> u64 {
        let begin = self.queued;
        self.queued += len as u64;
        let end = self.queued;
        self.pieces.push_back(Piece { begin, end, id, bound, ticket, claimed: false });
        end
    }

    /// Where an exchange's frame ends in the stream.
    pub fn end(&self, id: u64) -> Option<u64> {
        self.pieces.iter().find(|p| p.id == Some(id)).map(|p| p.end)
    }

    /// So many bytes have been written in all: whole frames leave, what was not begun waits again.
    pub fn written(&mut self, written: u64) {
        while self.pieces.front().is_some_and(|p| p.end <= written) {
            self.pieces.pop_front();
        }
        for p in self.pieces.iter_mut().filter(|p| p.claimed && p.begin >= written) {
            p.claimed = false;
            if let Some(ticket) = &p.ticket {
                ticket.release();
            }
        }
    }

    /// Whether the frame that has been written in part must not come whole any more.
    pub fn is_overdue(&self, written: u64, now: Instant) -> bool {
        let begun = self.pieces.front().filter(|p| p.begin < written);
        begun.and_then(|p| p.ticket.as_ref()).is_some_and(|ticket| ticket.is_overdue(now))
    }

    /// Begins what may be written next: all, or (`one`) the first frame alone. What is no longer wanted is to be
    /// cut, in the order told. Tells how many bytes of the ring may be written once that is done; none though there are
    /// some if the first waits for its client's reader.
    pub fn claim(&mut self, written: u64, now: Instant, one: bool) -> (usize, Vec<Cut>) {
        let (mut cuts, mut at) = (Vec::new(), 0);
        while let Some(p) = self.pieces.get_mut(at).filter(|_| !(one && at > 0)) {
            let begun = p.begin < written || p.claimed;
            let go = match p.ticket.as_ref().filter(|_| !begun) {
                Some(ticket) => ticket.begin(now),
                None => Begin::Go,
            };
            if go == Begin::Unread {
                break;
            } else if go == Begin::Go {
                p.claimed = true;
                at += 1;
            } else {
                cuts.push(self.cut(at, written, go == Begin::Void));
            }
        }
        let to = at.checked_sub(1).and_then(|last| self.pieces.get(last)).map_or(written, |p| p.end);
        ((to - written) as usize, cuts)
    }

    /// Cuts what has not begun and fits, as it stands: those behind move up.
    pub fn cut_where(&mut self, written: u64, fits: impl Fn(&Piece) -> bool) -> Vec<Cut> {
        let mut cuts = Vec::new();
        let mut at = 0;
        while let Some(p) = self.pieces.get(at) {
            if p.begin >= written && fits(p) {
                let ends = p.ticket.as_ref().is_none_or(|t| t.end());
                cuts.push(self.cut(at, written, ends));
            } else {
                at += 1;
            }
        }
        cuts
    }

    fn cut(&mut self, at: usize, written: u64, ends: bool) -> Cut {
        let Some(p) = self.pieces.remove(at) else { return Cut { at: 0, len: 0, id: None, ends: false } };
        let len = p.end - p.begin;
        for behind in self.pieces.iter_mut().skip(at) {
            (behind.begin, behind.end) = (behind.begin - len, behind.end - len);
        }
        self.queued -= len;
        Cut { at: (p.begin - written) as usize, len: len as usize, id: p.id, ends }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn ticket() -> Arc<Ticket> {
        Ticket::new(Arc::default(), Instant::now() + Duration::from_secs(60))
    }

    /// Of two that cross, the first decides and the other is told.
    #[test]
    fn a_call_is_begun_or_taken_back_never_both() {
        let now = Instant::now();
        let (first, second) = (ticket(), ticket());
        assert!(first.take_back() && first.begin(now) == Begin::Back && !first.end());
        assert!(second.begin(now) == Begin::Go && !second.take_back() && second.end());
        let third = ticket();
        assert_eq!(third.begin(now), Begin::Go);
        third.release(); // no byte of it was written
        assert!(third.take_back());
    }

    /// A client that has left, or a time that is up, voids what has not begun.
    #[test]
    fn nothing_is_begun_for_a_client_that_left_or_after_its_time() {
        let (gone, now) = (Arc::new(AtomicBool::new(false)), Instant::now());
        let for_client = Ticket::new(gone.clone(), now + Duration::from_secs(60));
        gone.store(true, Ordering::Release);
        assert_eq!((for_client.begin(now), for_client.take_back()), (Begin::Void, false));
        let late = Ticket::new(Arc::default(), now);
        assert_eq!(late.begin(now + Duration::from_millis(1)), Begin::Void);
    }

    /// Frames 1, 2 (an unload, owed nothing) and 3 of ten bytes each, of which so many are written; then one is taken
    /// back, or all bound ones are withheld. What is cut, and where the last one ends now.
    #[rstest]
    #[case::none_begun(0, Some(1), vec![(0, Some(1))], 20)]
    #[case::begun_in_part(1, Some(1), vec![], 30)]
    #[case::behind_a_begun_one(4, Some(3), vec![(16, Some(3))], 20)]
    #[case::a_drain(4, None, vec![(16, Some(3))], 20)]
    #[case::a_drain_before_any(0, None, vec![(0, Some(1)), (10, Some(3))], 10)]
    fn what_is_not_begun_is_cut_and_the_rest_moves_up(
        #[case] written: u64, #[case] taken: Option<u64>, #[case] cuts: Vec<(usize, Option<u64>)>,
        #[case] end: u64,
    ) {
        let mut line = Line::default();
        for id in [Some(1), None, Some(3)] {
            line.join(10, id, id.is_some(), id.map(|_| ticket()));
        }
        line.written(written);
        let got = line.cut_where(written, |p| p.bound && taken.is_none_or(|t| p.id == Some(t)));
        assert_eq!(got.iter().map(|c| (c.at, c.id)).collect::<Vec<_>>(), cuts);
        assert!(got.iter().all(|c| c.ends && c.len == 10));
        assert_eq!(line.pieces.back().map(|p| p.end), Some(end));
    }

    /// While a write stalls only the next frame is claimed: those behind can still be taken back.
    #[test]
    fn a_stalled_write_holds_one_frame_at_the_most() {
        let (mut line, now) = (Line::default(), Instant::now());
        let tickets = [ticket(), ticket(), ticket()];
        for (n, t) in tickets.iter().enumerate() {
            line.join(10, Some(n as u64), true, Some(t.clone()));
        }
        assert_eq!(line.claim(0, now, false), (30, vec![]));
        line.written(0); // nothing could be written
        assert!(tickets[1].take_back());
        assert_eq!(line.claim(0, now, true), (10, vec![]));
        line.written(10);
        let cut = Cut { at: 0, len: 10, id: Some(1), ends: false };
        assert_eq!(line.claim(10, now, true), (10, vec![cut]));
    }
}
