//! The frames that wait to be written to one connection, in the order of its stream: which may be started, and which
//! are cut out again. No sockets; the time is an argument.
use super::super::dispatch::{Dispatch, StartResult};
use crate::model::AttemptKey;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

/// A frame to write.
#[derive(Debug, Default)]
pub struct QueuedFrame {
    /// Length in bytes.
    pub len: usize,
    /// The id of the exchange that it opens; `None` for a frame that gets no response.
    pub id: Option<u64>,
    /// Whether it is not written once its worker drains.
    pub withheld_on_drain: bool,
    /// Decides whether it may still be written; `None` if it always may.
    pub dispatch: Option<Arc<Dispatch>>,
    /// The attempt that it cancels, if it is a cancellation.
    pub cancels: Option<AttemptKey>,
}

/// A frame in the ring of a connection.
#[derive(Debug)]
struct PlacedFrame {
    /// Position of its first byte in the stream.
    start: u64,
    /// Position in the stream right after its last byte.
    end: u64,
    frame: QueuedFrame,
    /// Whether it has been claimed for writing. The claim is reverted if no byte of it could be written.
    claimed: bool,
}

impl PlacedFrame {
    /// Whether no byte of it is among the first `written` bytes of the stream.
    fn is_unwritten(&self, written: u64) -> bool {
        self.start >= written
    }
}

/// The bytes of one frame, to be cut out of the ring.
#[derive(Debug, PartialEq)]
pub struct Cut {
    /// Position in the ring of the first byte.
    pub at: usize,
    /// Number of bytes.
    pub len: usize,
    /// The exchange that the frame would have opened; `None` for a frame that gets no response.
    pub id: Option<u64>,
    /// Whether this cut ends the exchange. If not, whoever reclaimed it accounts for its end.
    pub ends_exchange: bool,
}

/// Which frames a claim may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimScope {
    /// All frames that wait.
    AllFrames,
    /// Only the next frame, as writes stall: the frames behind it can still be reclaimed.
    NextFrame,
}

/// The result of a claim: what may be written next.
#[derive(Debug, PartialEq)]
pub struct Claim {
    /// How many bytes of the ring may be written once the cuts are made. It is 0 while the first frame waits for the
    /// reader of its client's connection, even though the ring is not empty.
    pub writable: usize,
    /// Frames that must not be written, to be cut out in this order.
    pub cuts: Vec<Cut>,
}

/// The frames in a connection's ring, in the order of the stream.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<PlacedFrame>,
    /// Position in the stream right after the last frame.
    end: u64,
}

impl SendQueue {
    /// Appends a frame. Returns the position in the stream right after its last byte.
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

    /// Position in the stream right after the frame that opens this exchange; `None` if it is not in the ring.
    pub fn end_of(&self, id: u64) -> Option<u64> {
        self.frames
            .iter()
            .find(|placed| placed.frame.id == Some(id))
            .map(|placed| placed.end)
    }

    /// Updates the queue: `written` bytes of the stream have been written in total. Removes the frames that are
    /// complete, and reverts the claims on frames of which no byte is written. Returns the attempts whose cancellation
    /// is now complete.
    pub fn advance(&mut self, written: u64) -> Vec<AttemptKey> {
        let mut cancelled = Vec::new();
        while let Some(complete) = self.frames.pop_front_if(|placed| placed.end <= written) {
            cancelled.extend(complete.frame.cancels);
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
        cancelled
    }

    /// Empties the queue. Returns the attempts whose cancellation was in it.
    pub fn take_cancellations(&mut self) -> impl Iterator<Item = AttemptKey> + use<> {
        std::mem::take(&mut self.frames)
            .into_iter()
            .filter_map(|placed| placed.frame.cancels)
    }

    /// Whether a frame has been written in part and its write deadline has passed.
    pub fn is_past_write_deadline(&self, written: u64, now: Instant) -> bool {
        self.frames
            .front()
            .filter(|placed| !placed.is_unwritten(written))
            .and_then(|placed| placed.frame.dispatch.as_ref())
            .is_some_and(|dispatch| dispatch.is_past_write_deadline(now))
    }

    /// Claims the frames that may be written next, and cuts those that must not be written.
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

    /// Ends and cuts the frames that match and of which no byte is written. The frames behind them move up.
    pub fn cut_where(&mut self, written: u64, matches: impl Fn(&QueuedFrame) -> bool) -> Vec<Cut> {
        let mut cuts = Vec::new();
        let mut index = 0;
        while let Some(placed) = self.frames.get(index) {
            if !placed.is_unwritten(written) || !matches(&placed.frame) {
                index += 1;
                continue;
            }
            let ends_exchange = match &placed.frame.dispatch {
                Some(dispatch) => dispatch.end(),
                None => true,
            };
            cuts.extend(self.cut(index, written, ends_exchange));
        }
        cuts
    }

    fn cut(&mut self, index: usize, written: u64, ends_exchange: bool) -> Option<Cut> {
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
            ends_exchange,
        })
    }
}
