//! Exchanges: each is a frame sent to the worker and the response to it.
use super::super::dispatch::Dispatch;
use super::codec::EMPTY_FRAME_BYTES;
use super::keepalive::OldestExchange;
use crate::model::AttemptKey;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use wrenseam_policy::FunctionId;

/// The purpose of an exchange.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ExchangeKind {
    /// An attempt of a request.
    Attempt(AttemptKey),
    /// The load order with this number.
    Order(u64),
    /// The health check with this number.
    HealthCheck(u64),
    /// A keepalive probe, which the core does not know about.
    Probe,
}

impl ExchangeKind {
    /// Whether it only asks about the worker and requests no work.
    pub(super) fn is_check(self) -> bool {
        matches!(self, ExchangeKind::Probe | ExchangeKind::HealthCheck(_))
    }
}

/// A frame that is not in the ring yet. The core drops its bytes if it reclaims the exchange, as the writer may not get
/// to it for a while. Clones share one frame. The lock is held for a few instructions only, so it may block a coroutine's
/// thread.
#[derive(Clone)]
pub(super) struct PendingFrame(Arc<Mutex<Vec<u8>>>);

impl PendingFrame {
    pub(super) fn new(frame: Vec<u8>) -> Self {
        PendingFrame(Arc::new(Mutex::new(frame)))
    }

    /// Number of bytes; 0 if they were dropped or taken.
    pub(super) fn len(&self) -> usize {
        self.0.lock().map_or(0, |frame| frame.len())
    }

    /// Takes the bytes out; empty if they were dropped or taken.
    pub(super) fn take(&self) -> Vec<u8> {
        self.0
            .lock()
            .map(|mut frame| std::mem::take(&mut *frame))
            .unwrap_or_default()
    }
}

/// An exchange to open.
pub(super) struct NewExchange {
    pub(super) kind: ExchangeKind,
    /// The id that the worker sees.
    pub(super) id: u64,
    pub(super) function: FunctionId,
    pub(super) frame: PendingFrame,
    /// Whether it is not written once the worker drains.
    pub(super) withheld_on_drain: bool,
    pub(super) dispatch: Arc<Dispatch>,
}

/// Something for the writer to write. It is written in the order in which it was handed over.
pub(super) enum Outbound {
    /// The frame that opens an exchange.
    Open(NewExchange),
    /// The cancellation of an exchange, sent only if the exchange has been written.
    Cancel(ExchangeKind),
    /// A frame that gets no response.
    OneWay(Vec<u8>),
}

impl Outbound {
    /// The maximum number of bytes that it occupies in the ring.
    pub(super) fn len(&self) -> usize {
        match self {
            Outbound::Open(exchange) => exchange.frame.len(),
            Outbound::Cancel(_) => EMPTY_FRAME_BYTES,
            Outbound::OneWay(frame) => frame.len(),
        }
    }
}

/// A command to the writer.
pub(super) enum Command {
    /// Write something.
    Write(Outbound),
    /// Close the connection, unless something has been received on it since this time.
    CloseIfSilentSince(Instant),
}

/// An exchange whose frame is in the ring or whose response is awaited.
pub(super) struct Exchange {
    pub(super) kind: ExchangeKind,
    /// Position in the stream right after its frame.
    pub(super) frame_end: u64,
    pub(super) opened_at: Instant,
    pub(super) function: FunctionId,
    pub(super) dispatch: Arc<Dispatch>,
}

/// The open exchanges of a connection, by the id that the worker sees.
#[derive(Default)]
pub(super) struct ExchangeTable {
    pub(super) open: BTreeMap<u64, Exchange>,
    /// Whether the connection has ended: no further exchange is opened.
    pub(super) closed: bool,
    /// When a response was last read; `None` if none was.
    pub(super) last_response_at: Option<Instant>,
}

impl ExchangeTable {
    /// The oldest open exchange other than a check.
    pub(super) fn oldest(&self) -> Option<OldestExchange> {
        self.without_checks()
            .min_by_key(|exchange| exchange.opened_at)
            .map(|exchange| OldestExchange {
                opened_at: exchange.opened_at,
                function: exchange.function,
            })
    }

    /// Whether an exchange other than a check was opened since the last response.
    pub(super) fn opened_since_response(&self) -> bool {
        self.without_checks().any(|exchange| {
            self.last_response_at
                .is_none_or(|response_at| exchange.opened_at > response_at)
        })
    }

    /// The id of the open exchange with this purpose.
    pub(super) fn id_of(&self, kind: ExchangeKind) -> Option<u64> {
        self.open
            .iter()
            .find(|(_, exchange)| exchange.kind == kind)
            .map(|(&id, _)| id)
    }

    fn without_checks(&self) -> impl Iterator<Item = &Exchange> {
        self.open
            .values()
            .filter(|exchange| !exchange.kind.is_check())
    }
}
