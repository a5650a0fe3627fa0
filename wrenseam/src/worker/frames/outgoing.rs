//! The outgoing side of one connection: what waits, what is in the ring, and what is removed before a byte of it is
//! written. No sockets.
use super::super::dispatch::CLIENT_INPUT_WAIT;
use super::codec;
use super::connection::ConnectionState;
use super::exchange::{Exchange, ExchangeKind, NewExchange, Outbound};
use super::send_queue::{ClaimScope, Cut, QueuedFrame, SendQueue};
use super::writer::WriteError;
use crate::model::{AttemptKey, AttemptReport};
use crate::queue::CoreHandle;
use crate::ring::Ring;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::Outcome;

/// Whether the frame of a cancelled exchange was already being written.
enum Withdrawn {
    /// A byte of it is written: the worker must be notified, with this id.
    Written(u64),
    /// No byte of it was or will be written.
    Cut,
}

/// Something that is not in the ring yet.
struct Waiting {
    outbound: Outbound,
    /// Whether its client had unread input when that was checked last.
    is_held: bool,
}

impl Waiting {
    /// Whether it must be held back. One that is held already is checked again only if a check is due.
    fn must_be_held(&mut self, is_check_due: bool) -> bool {
        if let Outbound::Open(exchange) = &self.outbound {
            if !self.is_held || is_check_due {
                self.is_held = exchange.dispatch.must_wait_for_client_reader();
            }
        }
        self.is_held
    }
}

/// The outgoing side of one connection.
pub(super) struct Outgoing {
    state: Arc<ConnectionState>,
    reports: CoreHandle,
    /// The frames and cancellations that are not in the ring yet, oldest first.
    waiting: VecDeque<Waiting>,
    /// When the clients of frames that are held back are checked again.
    next_client_check: Instant,
    /// The frames in the ring.
    queue: SendQueue,
    ring: Ring,
}

impl Outgoing {
    pub(super) fn new(state: Arc<ConnectionState>, reports: CoreHandle, max_bytes: usize) -> Self {
        Outgoing {
            state,
            reports,
            waiting: VecDeque::new(),
            next_client_check: Instant::now(),
            queue: SendQueue::default(),
            ring: Ring::new(max_bytes),
        }
    }

    /// Appends something to be written.
    pub(super) fn push(&mut self, outbound: Outbound) {
        if let Outbound::Open(exchange) = &outbound {
            if exchange.kind == ExchangeKind::Probe {
                self.state.set_writer_has_probe(true);
            }
        }
        self.waiting.push_back(Waiting {
            outbound,
            is_held: false,
        });
    }

    /// Whether nothing waits to be moved into the ring.
    pub(super) fn has_nothing_waiting(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether all that waits to be moved into the ring is held back for the readers of its clients.
    pub(super) fn holds_all_waiting(&self) -> bool {
        self.waiting.iter().all(|waiting| waiting.is_held)
    }

    /// Whether the ring is empty.
    pub(super) fn is_ring_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Moves what waits into the ring, as far as whole frames fit. A frame whose client has unread input is held back for
    /// a while, and those behind it pass it: the client may send without end.
    ///
    /// # Errors
    ///
    /// A frame does not fit into the empty ring, or the exchange table is poisoned.
    pub(super) fn fill_ring(&mut self) -> Result<(), WriteError> {
        let now = Instant::now();
        let is_check_due = now >= self.next_client_check;
        if is_check_due {
            self.next_client_check = now + CLIENT_INPUT_WAIT;
        }
        let mut position = 0;
        while let Some(next) = self.waiting.get_mut(position) {
            if next.must_be_held(is_check_due) {
                position += 1;
                continue;
            }
            let len = next.outbound.len();
            if len > self.ring.free() {
                if self.ring.is_empty() {
                    return Err(WriteError::FrameTooLarge(len));
                }
                return Ok(());
            }
            let Some(next) = self.waiting.remove(position) else {
                return Ok(());
            };
            match next.outbound {
                Outbound::Open(exchange) => self.open(exchange)?,
                Outbound::Cancel(kind) => self.cancel(kind),
                Outbound::OneWay(frame) => self.push_one_way(&frame, None),
            }
        }
        Ok(())
    }

    /// Claims the frames that may be written next, and removes those that must not be written. Returns how many bytes
    /// of the ring may be written.
    pub(super) fn claim(&mut self, written: u64, scope: ClaimScope) -> usize {
        let claim = self.queue.claim(written, Instant::now(), scope);
        self.remove_cuts(claim.cuts, Outcome::NotSent);
        claim.writable
    }

    /// The next bytes to write, at most `writable` of them.
    pub(super) fn next_bytes(&self, writable: usize) -> &[u8] {
        let front = self.ring.front();
        &front[..writable.min(front.len())]
    }

    /// Records that `count` more bytes have been written, `written` in total. Reports the attempts whose cancellation
    /// is now complete.
    pub(super) fn advance(&mut self, count: usize, written: u64) {
        self.ring.consume(count);
        for key in self.queue.advance(written) {
            self.report_cancelled(key);
        }
    }

    /// Records that no byte could be written, and reverts the claims.
    pub(super) fn revert_claims(&mut self, written: u64) {
        self.queue.advance(written);
    }

    /// Whether a retry has been written in part and must not be completed, as its write deadline has passed.
    pub(super) fn is_past_write_deadline(&self, written: u64) -> bool {
        self.queue.is_past_write_deadline(written, Instant::now())
    }

    /// Called while the worker drains: ends the exchanges that a draining worker must not get, except those of whose
    /// frame a byte is written.
    pub(super) fn withhold_for_drain(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            match &waiting.outbound {
                Outbound::Open(exchange) if exchange.withheld_on_drain => {
                    self.end_unwritten(exchange, Outcome::NotSent);
                }
                _ => self.waiting.push_back(waiting),
            }
        }
        let written = self.state.progress.bytes();
        let cuts = self
            .queue
            .cut_where(written, |frame| frame.withheld_on_drain);
        self.remove_cuts(cuts, Outcome::NotSent);
    }

    /// Called once the connection has ended. That completes the cancellations that were in the ring; the frames that
    /// wait were never written.
    pub(super) fn end_all(&mut self) {
        for key in self.queue.take_cancellations() {
            self.report_cancelled(key);
        }
        for waiting in std::mem::take(&mut self.waiting) {
            self.end_after_close(waiting.outbound);
        }
    }

    /// Ends an exchange that is handed over after the connection has ended.
    pub(super) fn end_after_close(&self, outbound: Outbound) {
        if let Outbound::Open(exchange) = outbound {
            self.end_unwritten(&exchange, Outcome::ConnectFailed);
        }
    }

    fn end_unwritten(&self, exchange: &NewExchange, outcome: Outcome) {
        if exchange.dispatch.end() {
            self.state.report_end(&self.reports, exchange.kind, outcome);
        }
    }

    /// Adds an exchange to the table and its frame to the ring.
    fn open(&mut self, exchange: NewExchange) -> Result<(), WriteError> {
        let frame = exchange.frame.take();
        if frame.is_empty() {
            return Ok(()); // reclaimed, and accounted for by the core
        }
        let Ok(mut table) = self.state.table.lock() else {
            return Err(WriteError::Poisoned);
        };
        if table.closed || table.open.contains_key(&exchange.id) {
            // Responses to two exchanges with one id could not be told apart, so the later exchange is not sent.
            drop(table);
            self.end_unwritten(&exchange, Outcome::ConnectFailed);
            return Ok(());
        }
        let frame_end = self.queue.push(QueuedFrame {
            len: frame.len(),
            id: Some(exchange.id),
            withheld_on_drain: exchange.withheld_on_drain,
            dispatch: Some(exchange.dispatch.clone()),
            cancels: None,
        });
        let opened = Exchange {
            kind: exchange.kind,
            frame_end,
            opened_at: Instant::now(),
            function: exchange.function,
            dispatch: exchange.dispatch,
        };
        table.open.insert(exchange.id, opened);
        self.ring.push(&frame);
        Ok(())
    }

    /// Adds a frame that gets no response to the ring. The attempt that it `cancels` has ended once the frame is
    /// written.
    fn push_one_way(&mut self, frame: &[u8], cancels: Option<AttemptKey>) {
        self.queue.push(QueuedFrame {
            len: frame.len(),
            cancels,
            ..QueuedFrame::default()
        });
        self.ring.push(frame);
    }

    /// Cancels an exchange. The worker is notified only of a cancelled attempt: it carries out a load order whether or
    /// not the front end waits for the response.
    fn cancel(&mut self, kind: ExchangeKind) {
        let withdrawn = self.withdraw(kind);
        let ExchangeKind::Attempt(key) = kind else {
            return;
        };
        match withdrawn {
            Some(Withdrawn::Written(id)) => self.push_one_way(&codec::cancel(id), Some(key)),
            Some(Withdrawn::Cut) => {
                let report = AttemptReport::without_payload(Outcome::NotSent);
                self.reports.attempt_ended(key, report);
            }
            None => {}
        }
    }

    /// Removes an open exchange from the table, and its frame from the ring if no byte of it is written. `None` if the
    /// exchange has already ended.
    fn withdraw(&mut self, kind: ExchangeKind) -> Option<Withdrawn> {
        let id = self.state.table.lock().ok()?.id_of(kind)?;
        let written = self.state.progress.bytes();
        let mut cuts = self.queue.cut_where(written, |frame| frame.id == Some(id));
        self.state.count_ended();
        if cuts.is_empty() {
            self.state.table.lock().ok()?.open.remove(&id);
            return Some(Withdrawn::Written(id));
        }
        for cut in &mut cuts {
            cut.ends_exchange = false; // the caller accounts for its end
        }
        self.remove_cuts(cuts, Outcome::NotSent);
        Some(Withdrawn::Cut)
    }

    /// Cuts frames out of the ring of which no byte is written, and reports the exchanges that end with them.
    fn remove_cuts(&mut self, cuts: Vec<Cut>, outcome: Outcome) {
        if cuts.is_empty() {
            return;
        }
        let Ok(mut table) = self.state.table.lock() else {
            return;
        };
        let mut ended = Vec::new();
        for cut in cuts {
            self.ring.remove_range(cut.at, cut.len);
            let exchange = cut.id.and_then(|id| table.open.remove(&id));
            if let Some(exchange) = exchange.filter(|_| cut.ends_exchange) {
                ended.push(exchange.kind);
            }
        }
        for (&id, exchange) in &mut table.open {
            // The frames behind the cuts have moved up.
            if let Some(frame_end) = self.queue.end_of(id) {
                exchange.frame_end = frame_end;
            }
        }
        drop(table);
        for kind in ended {
            self.state.report_end(&self.reports, kind, outcome);
        }
    }

    fn report_cancelled(&self, key: AttemptKey) {
        let report = AttemptReport::without_payload(Outcome::Cancelled);
        self.reports.attempt_ended(key, report);
    }
}
