//! A client's request, the client connection that it came from, and its final answer.
use super::{RequestTimeline, RequestTrace};
use crate::memory_budget::MemoryReservation;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::{FunctionId, Micros};

/// The body of a request or an answer, which the core does not interpret. The variant states the protocol in which it
/// was received, by which the KServe v2 front and transport decide whether to wrap it in JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Raw bytes, from FastCGI or from the platform's binary frames.
    Bytes(Vec<u8>),
    /// A JSON body of KServe v2.
    Json(Vec<u8>),
}

impl Payload {
    /// The bytes of the body, whatever its protocol.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Payload::Bytes(bytes) | Payload::Json(bytes) => bytes,
        }
    }
}

/// A client's request, completely read.
#[derive(Debug)]
pub struct Request {
    /// The id that the client gave; workers see it too.
    pub wire_id: u64,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: String,
    /// The function that it calls.
    pub function: FunctionId,
    /// How long the client waits for the answer, counted from `received_at`.
    pub timeout: Micros,
    /// When its last byte was read.
    pub received_at: Instant,
    /// The idempotency key; `None` if the client sent none. Some classes require it.
    pub idempotency_key: Option<String>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Memory of one replica in MB; 0 if the client did not state it.
    pub memory_mb: f64,
    /// Requests that one replica runs at a time; 0 if the client did not state it.
    pub concurrency: u32,
    /// Usual time of a load of a replica; 0 if the client did not state it.
    pub load_time: Micros,
    /// The body.
    pub payload: Payload,
    /// The request's part of the memory budget, which is released when the request is dropped.
    pub reserved_bytes: Option<MemoryReservation>,
    /// Set once the client has disconnected or cancelled, or the request is closed: an attempt that has not started by
    /// then is not sent.
    pub client_gone: Arc<AtomicBool>,
    /// The client's connection, whose state is checked right before an attempt is written.
    pub client_probe: Option<Arc<dyn ClientProbe>>,
    /// When it passed each stage.
    pub timeline: Arc<RequestTimeline>,
}

impl Request {
    /// Whether the client has closed its connection, by the state of the connection itself.
    pub fn is_client_disconnected(&self) -> bool {
        let probe = self.client_probe.as_ref();
        probe.is_some_and(|probe| probe.state() == ClientState::Disconnected)
    }

    /// What a response to this request is traced by.
    pub fn trace(&self) -> RequestTrace {
        RequestTrace {
            wire_id: self.wire_id,
            timeout: Duration::from_micros(self.timeout),
            timeline: self.timeline.clone(),
        }
    }
}

/// The state of a client connection, determined from the socket itself, as the connection's reader may not have run
/// yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// Connected, and everything that the client sent has been handled.
    Connected,
    /// Connected, with input that is unread or not handled yet, which may be a cancellation.
    UnreadInput,
    /// The same, with input so old that a cancellation in it would be overdue.
    OverdueInput,
    /// The client has closed the connection.
    Disconnected,
}

/// A client connection whose current state can be checked.
pub trait ClientProbe: Send + Sync + std::fmt::Debug {
    /// The current state of the connection. Never blocks.
    fn state(&self) -> ClientState;
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// A worker served the request, with this body.
    Served(Payload),
    /// The request is rejected. A retry is safe.
    Rejected {
        /// How long the client should wait before a retry; 0 if that is not stated.
        retry_after: Micros,
    },
    /// The request failed. It may have run.
    Failed,
}

impl Answer {
    /// The end that a request with this answer is counted under.
    pub fn request_end(&self) -> RequestEnd {
        match self {
            Answer::Served(_) => RequestEnd::Completed,
            Answer::Rejected { .. } => RequestEnd::Rejected,
            Answer::Failed => RequestEnd::Failed,
        }
    }
}

/// A client connection of any front, to which answers are sent.
pub trait Client: Send + Sync {
    /// Queues the final answer to the request that the client sent under this tag.
    fn answer(&self, tag: u64, answer: Answer);
    /// The number of the connection, unique within the process.
    fn connection(&self) -> u64;
}

/// How a request ended. Log lines print the name of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A worker served it.
    Completed,
    /// It was rejected. A retry is safe.
    Rejected,
    /// It failed and may have run.
    Failed,
}
