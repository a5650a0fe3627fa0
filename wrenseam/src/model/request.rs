//! A client's request, the client that it is owed to, and its one final answer.
use crate::memory_budget::MemoryReservation;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{FunctionId, Micros};

/// A body, opaque to the core. Transports carry it as it is, or wrap it for the other protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Bytes of the platform's protocol.
    Bytes(Vec<u8>),
    /// A JSON body of KServe v2.
    Json(Vec<u8>),
}

impl Payload {
    /// The bytes as they stand.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Payload::Bytes(b) | Payload::Json(b) => b,
        }
    }
}

/// A client's request, read whole.
#[derive(Debug)]
pub struct Request {
    /// The id that the client gave and workers see.
    pub wire_id: u64,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: String,
    /// The function it calls.
    pub function: FunctionId,
    /// How long the client waits, counted from `received_at`.
    pub timeout: Micros,
    /// When its last byte was read.
    pub received_at: Instant,
    /// The idempotency key, in keyed classes.
    pub idempotency_key: Option<String>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Memory of one replica in MB; 0: not stated.
    pub memory_mb: f64,
    /// Requests that one replica runs at a time; 0: not stated.
    pub concurrency: u32,
    /// Usual time of a load; 0: not stated.
    pub load_time: Micros,
    /// The body.
    pub payload: Payload,
    /// The body's part of the memory budget, returned when the request is dropped.
    pub reserved_bytes: Option<MemoryReservation>,
    /// Set by the front once its client has gone: an attempt that has not begun by then is not sent.
    pub client_gone: Arc<AtomicBool>,
    /// Its client's connection, where whoever begins an attempt may look whether it still stands.
    pub client_probe: Option<Arc<dyn ClientProbe>>,
}

/// What shows of a client on its connection, though its reader may not have run yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// It is connected, and all that it sent has been read.
    Connected,
    /// Something that it sent is unread: it may be a cancellation.
    UnreadInput,
    /// It has closed its connection.
    Disconnected,
}

/// A client's connection as others may look at it.
pub trait ClientProbe: Send + Sync + std::fmt::Debug {
    /// The state of the connection now; never blocks.
    fn state(&self) -> ClientState;
}

/// The one final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// A worker's body.
    Served(Payload),
    /// Refused: trying again is harmless, after this wait.
    Rejected {
        /// How long to wait before a retry.
        retry_after: Micros,
    },
    /// Failed: nothing is promised.
    Failed,
}

/// Where an answer goes: a client connection of some front.
pub trait Client: Send + Sync {
    /// Hands over the final answer to the request that was given in under this tag.
    fn answer(&self, tag: u64, answer: Answer);
    /// Which connection this is, unique in the program.
    fn connection(&self) -> u64;
}

/// How a request ended, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served.
    Completed,
    /// Rejected: a retry is harmless.
    Rejected,
    /// Failed.
    Failed,
}
