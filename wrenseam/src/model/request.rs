//! A client's request, the client that is owed its answer, and that one final answer.
use crate::memory_budget::MemoryReservation;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{FunctionId, Micros};

/// A body, opaque to the core. A transport of its own protocol carries it unchanged; another one wraps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Bytes of the platform's protocol.
    Bytes(Vec<u8>),
    /// A JSON body of KServe v2.
    Json(Vec<u8>),
}

impl Payload {
    /// The bytes, unwrapped.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Payload::Bytes(bytes) | Payload::Json(bytes) => bytes,
        }
    }
}

/// A client's request, read whole.
#[derive(Debug)]
pub struct Request {
    /// The id that the client gave; workers see it too.
    pub wire_id: u64,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: String,
    /// The function it calls.
    pub function: FunctionId,
    /// How long the client waits, counted from `received_at`.
    pub timeout: Micros,
    /// When its last byte was read.
    pub received_at: Instant,
    /// The idempotency key, which classes with keys need.
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
    /// Its client's connection, for a last look at its state before an attempt is written.
    pub client_probe: Option<Arc<dyn ClientProbe>>,
}

/// The state of a client connection, as the socket shows it though its reader may not have run yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// Connected, and everything that the client sent has been read.
    Connected,
    /// Connected, with unread input: it may be a cancellation.
    UnreadInput,
    /// The client has closed the connection.
    Disconnected,
}

/// A client connection whose state can be looked at.
pub trait ClientProbe: Send + Sync + std::fmt::Debug {
    /// The state of the connection now; never blocks.
    fn state(&self) -> ClientState;
}

/// The one final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// A worker's body.
    Served(Payload),
    /// Rejected: a retry is harmless.
    Rejected {
        /// The advised wait before a retry; 0: none.
        retry_after: Micros,
    },
    /// Failed: it may or may not have run.
    Failed,
}

impl Answer {
    /// How a request with this answer is counted.
    pub fn request_end(&self) -> RequestEnd {
        match self {
            Answer::Served(_) => RequestEnd::Completed,
            Answer::Rejected { .. } => RequestEnd::Rejected,
            Answer::Failed => RequestEnd::Failed,
        }
    }
}

/// Where an answer goes: a client connection of some front.
pub trait Client: Send + Sync {
    /// Hands over the final answer to the request that was sent under this tag.
    fn answer(&self, tag: u64, answer: Answer);
    /// The number of the connection, unique in the process.
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
