//! The neutral words between fronts, core and transports. No wire shows here.
use crate::limits::Held;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{FunctionId, Micros, Outcome, WorkerState};

/// A body, opaque to the core. Transports carry it as it is, or wrap it for the other speech.
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
    /// How long the client waits, counted from `read_at`.
    pub wait: Micros,
    /// When its last byte was read.
    pub read_at: Instant,
    /// The idempotency key, in keyed classes.
    pub token: Option<String>,
    /// Whether the client repeats.
    pub retry: bool,
    /// Memory of a copy in MB; 0: not told.
    pub memory_mb: f64,
    /// Calls that a copy runs at a time; 0: not told.
    pub lanes: u32,
    /// Usual time of a load; 0: not told.
    pub load_time: Micros,
    /// The body.
    pub payload: Payload,
    /// The body's share of the bytes held.
    pub held: Option<Held>,
    /// Set by the front once its client has left: what has not begun to be sent on by then is not.
    pub gone: Arc<AtomicBool>,
    /// Its client's connection, where whoever begins an attempt may look whether it still stands.
    pub client_probe: Option<Arc<dyn ClientProbe>>,
}

/// What shows of a client on its connection, though its reader may not have run yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// It stands, and all that it sent has been read.
    Here,
    /// Something that it sent lies unread: it may give a request up.
    Unread,
    /// It has closed its connection.
    Left,
}

/// A client's connection as others may look at it.
pub trait ClientProbe: Send + Sync + std::fmt::Debug {
    /// What shows there now; never waits.
    fn presence(&self) -> ClientState;
}

/// The one final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// A worker's body.
    Served(Payload),
    /// Refused: trying again is harmless, after this wait.
    Refused {
        /// How long to stay away.
        wait: Micros,
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

/// Which attempt: the core's number of the request, and the attempt's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The core's number of the request.
    pub request: u64,
    /// The attempt, counted from 0.
    pub attempt: usize,
}

/// How an attempt ended, as its transport saw it.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether a copy stood loaded, where told.
    pub warm: Option<bool>,
    /// Requests of the function that the worker held, where told.
    pub crowd: Option<u32>,
    /// The body, with `Ok`.
    pub payload: Option<Payload>,
}

impl Report {
    /// An end without an answer.
    pub fn bare(outcome: Outcome) -> Self {
        Report {
            outcome,
            warm: None,
            crowd: None,
            payload: None,
        }
    }
}

/// The protocol that a worker speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speech {
    /// The platform's binary frames.
    Frames,
    /// KServe v2 over HTTP/1.1.
    Kserve,
}

/// One member of the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: WorkerState,
    /// Unix time of a late start; 0: long ago.
    pub started_at: Micros,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// Its cell, where told.
    pub cell: Option<u64>,
    /// What it speaks.
    pub speech: Speech,
}

/// What reaches the core's queue.
pub enum Message {
    /// A request, the client it is owed to and the client's tag for it.
    Request(Request, Arc<dyn Client>, u64),
    /// The client gave up this request of this connection; no answer is owed.
    Withdrawn(u64, u64),
    /// A client connection ended; nothing is owed there.
    Hangup(u64),
    /// An attempt ended.
    Ended(AttemptKey, Report),
    /// An order to load ended: its number, outcome and the copies that stand.
    Ordered(u64, Outcome, u32),
    /// News of the list of workers of one source; `full` lists replace what that source told.
    Members {
        /// Which source told.
        source: Speech,
        /// Whether this is the whole list.
        full: bool,
        /// The members.
        members: Vec<Member>,
    },
    /// Asks for a report of tenants, members and counts, as JSON.
    Inspect(may::sync::mpsc::Sender<String>),
    /// A front answered a request of this class at once, without the core.
    Tally(String, super::Ended),
    /// The whole set of excluded ids, as the processes of this front end keep it.
    Excluded(std::collections::BTreeSet<String>),
    /// Whether another process of this front end sends to cold workers in its place.
    Aside(bool),
    /// An operator's call, and where its one line of answer goes.
    Admin(Call, may::sync::mpsc::Sender<String>),
    /// News of the fleet from gossip.
    Fleet(crate::fleet::FleetNews),
}

/// What an operator asks at the door.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Readyz,
    /// The figures, one a line, then `END`.
    Telemetry,
    /// Leave the worker of this id out until it is included again.
    Exclude(String),
    /// Put the worker of this id back, as a new process.
    Include(String),
    /// Drain: say no to readiness, let client connections close once nothing is owed on them.
    Evacuate,
    /// Take clients again after a drain.
    Activate,
}
