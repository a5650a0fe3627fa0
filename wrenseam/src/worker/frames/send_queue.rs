//! The frames that wait to be written to one connection, in the order of its stream: which may be begun, and which are
//! cut out again. No sockets, and time is an argument.
use super::super::dispatch::{Dispatch, StartResult};
use crate::model::AttemptKey;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

/// A frame that is to be written.
#[derive(Debug, Default)]
pub struct QueuedFrame {
    /// Its bytes.
    pub len: usize,
    /// The id of the exchange that it opens; none for what is owed no answer.
    pub id: Option<u64>,
    /// Whether it may not go after a drain.
    pub bound: bool,
    /// Who decides on it.
    pub dispatch: Option<Arc<Dispatch>>,
    /// The attempt that it gives up.
    pub confirms: Option<AttemptKey>,
}

/// A frame in the ring of a connection.
#[derive(Debug)]
struct Piece {
    /// Where in the stream it begins.
    begin: u64,
    /// The byte behind its last.
    end: u64,
    frame: QueuedFrame,
    claimed: bool,
}

/// The frames in a connection's ring, in the order of the stream.
#[derive(Debug, Default)]
pub struct SendQueue {
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

impl SendQueue {
    /// A frame joins behind the others; where it ends in the stream.
    pub fn join(&mut self, frame: QueuedFrame) -> u64 {
        let begin = self.queued;
        self.queued += frame.len as u64;
        self.pieces.push_back(Piece {
            begin,
            end: self.queued,
            frame,
            claimed: false,
        });
        self.queued
    }

    /// Where an exchange's frame ends in the stream.
    pub fn end(&self, id: u64) -> Option<u64> {
        self.pieces
            .iter()
            .find(|p| p.frame.id == Some(id))
            .map(|p| p.end)
    }

    /// So many bytes have been written in all: whole frames leave, what was not begun waits again. Tells the attempts
    /// that have been given up by that.
    pub fn written(&mut self, written: u64) -> Vec<AttemptKey> {
        let mut confirmed = Vec::new();
        while let Some(whole) = self.pieces.pop_front_if(|p| p.end <= written) {
            confirmed.extend(whole.frame.confirms);
        }
        for p in self
            .pieces
            .iter_mut()
            .filter(|p| p.claimed && p.begin >= written)
        {
            p.claimed = false;
            if let Some(dispatch) = &p.frame.dispatch {
                dispatch.revert_start();
            }
        }
        confirmed
    }

    /// The attempts that were to be given up by what is still queued.
    pub fn take_confirmations(&mut self) -> impl Iterator<Item = AttemptKey> + use<> {
        std::mem::take(&mut self.pieces)
            .into_iter()
            .filter_map(|p| p.frame.confirms)
    }

    /// Whether the frame that has been written in part must not come whole any more.
    pub fn is_overdue(&self, written: u64, now: Instant) -> bool {
        let begun = self.pieces.front().filter(|p| p.begin < written);
        begun
            .and_then(|p| p.frame.dispatch.as_ref())
            .is_some_and(|dispatch| dispatch.is_past_write_deadline(now))
    }

    /// Begins what may be written next: all, or (`one`) the first frame alone. What is no longer wanted is to be
    /// cut, in the order told. Tells how many bytes of the ring may be written once that is done; none though there are
    /// some if the first waits for its client's reader.
    pub fn claim(&mut self, written: u64, now: Instant, one: bool) -> (usize, Vec<Cut>) {
        let (mut cuts, mut at) = (Vec::new(), 0);
        while let Some(p) = self.pieces.get_mut(at).filter(|_| !(one && at > 0)) {
            let begun = p.begin < written || p.claimed;
            let go = match p.frame.dispatch.as_ref().filter(|_| !begun) {
                Some(dispatch) => dispatch.try_start(now),
                None => StartResult::Started,
            };
            if go == StartResult::ClientInputUnread {
                break;
            } else if go == StartResult::Started {
                p.claimed = true;
                at += 1;
            } else {
                cuts.push(self.cut(at, written, go == StartResult::Discarded));
            }
        }
        let to = at
            .checked_sub(1)
            .and_then(|last| self.pieces.get(last))
            .map_or(written, |p| p.end);
        ((to - written) as usize, cuts)
    }

    /// Cuts what has not begun and fits, as it stands: those behind move up.
    pub fn cut_where(&mut self, written: u64, fits: impl Fn(&QueuedFrame) -> bool) -> Vec<Cut> {
        let mut cuts = Vec::new();
        let mut at = 0;
        while let Some(p) = self.pieces.get(at) {
            if p.begin >= written && fits(&p.frame) {
                let ends = p.frame.dispatch.as_ref().is_none_or(|t| t.end());
                cuts.push(self.cut(at, written, ends));
            } else {
                at += 1;
            }
        }
        cuts
    }

    fn cut(&mut self, at: usize, written: u64, ends: bool) -> Cut {
        let Some(p) = self.pieces.remove(at) else {
            return Cut {
                at: 0,
                len: 0,
                id: None,
                ends: false,
            };
        };
        let len = p.end - p.begin;
        for behind in self.pieces.iter_mut().skip(at) {
            (behind.begin, behind.end) = (behind.begin - len, behind.end - len);
        }
        self.queued -= len;
        Cut {
            at: (p.begin - written) as usize,
            len: len as usize,
            id: p.frame.id,
            ends,
        }
    }
}
