//! The frames that wait to be written to one connection, in the order of its stream: which may be started, and which
//! are cut out again. No sockets, and time is an argument.
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
    /// The id of the exchange that it opens; none for a frame that gets no answer.
    pub id: Option<u64>,
    /// Whether it is withheld once its worker drains.
    pub withheld_on_drain: bool,
    /// Decides whether it is still written.
    pub dispatch: Option<Arc<Dispatch>>,
    /// The attempt whose cancellation it carries.
    pub confirms: Option<AttemptKey>,
}

/// A frame in the ring of a connection.
#[derive(Debug)]
struct PlacedFrame {
    /// Position in the stream of its first byte.
    start: u64,
    /// Position in the stream behind its last byte.
    end: u64,
    frame: QueuedFrame,
    /// Whether it has been started, and no byte of it is known to be written.
    claimed: bool,
}

impl PlacedFrame {
    /// Whether no byte of it is among the `written` ones.
    fn is_unwritten(&self, written: u64) -> bool {
        self.start >= written
    }
}

/// Bytes to be cut out of the ring, and the exchange they would have opened.
#[derive(Debug, PartialEq)]
pub struct Cut {
    /// Position in the ring of the first one.
    pub at: usize,
    /// How many.
    pub len: usize,
    /// The exchange.
    pub id: Option<u64>,
    /// Whether it ends by this cut; else whoever reclaimed it has accounted for its end.
    pub ends: bool,
}

/// Which frames a claim may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimScope {
    /// All that wait.
    AllFrames,
    /// The next one alone, as writes stall: those behind it can still be reclaimed.
    NextFrame,
}

/// What may be written next.
#[derive(Debug, PartialEq)]
pub struct Claim {
    /// Bytes of the ring that may be written once the cuts are made. 0, though there are some, while the first frame
    /// waits for the reader of its client's connection.
    pub writable: usize,
    /// What is no longer wanted, to be cut in this order.
    pub cuts: Vec<Cut>,
}

/// The frames in a connection's ring, in the order of the stream.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<PlacedFrame>,
    /// Position in the stream behind the last frame.
    end: u64,
}

impl SendQueue {
    /// Appends a frame. Returns the position in the stream behind its last byte.
    pub fn push(&mut self, frame: QueuedFrame) -> u64 {
        let start = self.end;
        self.end += frame.len as u64;
        self.frames.push_back(PlacedFrame {
            start,
            end: self.end,
            frame,
            claimed: false,
        });
        self.end
    }

    /// Position in the stream behind the frame that opens an exchange.
    pub fn end_of(&self, id: u64) -> Option<u64> {
        self.frames
            .iter()
            .find(|placed| placed.frame.id == Some(id))
            .map(|placed| placed.end)
    }

    /// Takes note of the bytes written in all: complete frames leave, and what was claimed but not written waits again.
    /// Returns the attempts whose cancellation has been written by that.
    pub fn advance(&mut self, written: u64) -> Vec<AttemptKey> {
        let mut confirmed = Vec::new();
        while let Some(complete) = self.frames.pop_front_if(|placed| placed.end <= written) {
            confirmed.extend(complete.frame.confirms);
        }
        for placed in &mut self.frames {
            if !placed.claimed || !placed.is_unwritten(written) {
                continue;
            }
            placed.claimed = false;
            if let Some(dispatch) = &placed.frame.dispatch {
                dispatch.revert_start();
            }
        }
        confirmed
    }

    /// Empties the queue. Returns the attempts whose cancellation was still in it.
    pub fn take_confirmations(&mut self) -> impl Iterator<Item = AttemptKey> + use<> {
        std::mem::take(&mut self.frames)
            .into_iter()
            .filter_map(|placed| placed.frame.confirms)
    }

    /// Whether a frame has been written in part and is past its write deadline.
    pub fn is_past_write_deadline(&self, written: u64, now: Instant) -> bool {
        self.frames
            .front()
            .filter(|placed| !placed.is_unwritten(written))
            .and_then(|placed| placed.frame.dispatch.as_ref())
            .is_some_and(|dispatch| dispatch.is_past_write_deadline(now))
    }

    /// Starts what may be written next.
    pub fn claim(&mut self, written: u64, now: Instant, scope: ClaimScope) -> Claim {
        let mut cuts = Vec::new();
        let mut index = 0;
        let mut writable_end = written;
        while let Some(placed) = self.frames.get_mut(index) {
            if scope == ClaimScope::NextFrame && index > 0 {
                break;
            }
            let is_started = placed.claimed || !placed.is_unwritten(written);
            let start = match &placed.frame.dispatch {
                Some(dispatch) if !is_started => dispatch.try_start(now),
                _ => StartResult::Started,
            };
            match start {
                StartResult::Started => {
                    placed.claimed = true;
                    writable_end = placed.end;
                    index += 1;
                }
                StartResult::ClientInputUnread => break,
                StartResult::Discarded => cuts.extend(self.cut(index, written, true)),
                StartResult::AlreadyFinal => cuts.extend(self.cut(index, written, false)),
            }
        }
        Claim {
            writable: (writable_end - written) as usize,
            cuts,
        }
    }

    /// Ends and cuts the frames that match and of which no byte is written: those behind them move up.
    pub fn cut_where(&mut self, written: u64, matches: impl Fn(&QueuedFrame) -> bool) -> Vec<Cut> {
        let mut cuts = Vec::new();
        let mut index = 0;
        while let Some(placed) = self.frames.get(index) {
            if !placed.is_unwritten(written) || !matches(&placed.frame) {
                index += 1;
                continue;
            }
            let ends = match &placed.frame.dispatch {
                Some(dispatch) => dispatch.end(),
                None => true,
            };
            cuts.extend(self.cut(index, written, ends));
        }
        cuts
    }

    fn cut(&mut self, index: usize, written: u64, ends: bool) -> Option<Cut> {
        let removed = self.frames.remove(index)?;
        let len = removed.end - removed.start;
        for behind in self.frames.iter_mut().skip(index) {
            behind.start -= len;
            behind.end -= len;
        }
        self.end -= len;
        Some(Cut {
            at: (removed.start - written) as usize,
            len: len as usize,
            id: removed.frame.id,
            ends,
        })
    }
}
