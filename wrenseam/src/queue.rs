//! The core's queue: what other parts tell the core, and the handle through which they do.
use crate::fleet::FleetNews;
use crate::model::{
    AdminCommand, AdminReply, AttemptKey, AttemptReport, Client, Endpoint, Request, RequestEnd,
    TransportProtocol,
};
use std::collections::BTreeSet;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use wrenseam_policy::Outcome;

/// What reaches the core.
pub enum Message {
    /// A request, the client that it is owed to and the client's tag for it.
    Request {
        /// The request.
        request: Request,
        /// Where its answer goes.
        client: Arc<dyn Client>,
        /// What the client calls it by.
        tag: u64,
    },
    /// The client cancelled this request; no answer is owed.
    RequestCancelled {
        /// The client's connection.
        connection: u64,
        /// The client's tag for the request.
        tag: u64,
    },
    /// A client connection ended; nothing is owed there.
    ClientDisconnected {
        /// Which connection.
        connection: u64,
    },
    /// A front answered a request at once, without the core.
    EndedAtFront {
        /// Name of the request's class.
        class: String,
        /// How it ended.
        end: RequestEnd,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which attempt.
        key: AttemptKey,
        /// How it ended.
        report: AttemptReport,
    },
    /// An order to load ended.
    LoadOrderEnded {
        /// The order's number.
        order: u64,
        /// How it ended.
        outcome: Outcome,
        /// Replicas that stand loaded.
        replicas: u32,
    },
    /// A change of the endpoint list of one source.
    EndpointUpdate {
        /// Which source.
        source: TransportProtocol,
        /// Whether this is the complete list, which replaces what the source listed before.
        complete: bool,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A report of tenants, endpoints and counts is wanted, as JSON.
    Inspect {
        /// Where it goes.
        reply: may::sync::mpsc::Sender<String>,
    },
    /// An operator's command.
    Admin {
        /// The command.
        command: AdminCommand,
        /// Where the reply goes.
        reply: may::sync::mpsc::Sender<AdminReply>,
    },
    /// The complete set of excluded ids, as the processes of this front end keep it.
    Exclusions(BTreeSet<String>),
    /// Whether another process of this front end sends to workers in slow start in its place.
    Standby(bool),
    /// The fleet's state as gossip has it now.
    Fleet(FleetNews),
}

/// The core has ended, and the process with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the core has ended")]
pub struct CoreEnded;

/// The sending half of the core's queue. Messages are dropped without an error once the core has ended, as it ends
/// only with the process, except where a caller waits for a reply.
#[derive(Clone)]
pub struct CoreHandle(Sender<Message>);

impl CoreHandle {
    /// A handle to the core that reads the other half of this channel.
    pub fn new(sender: Sender<Message>) -> Self {
        CoreHandle(sender)
    }

    /// Sends any message.
    ///
    /// # Errors
    ///
    /// [`CoreEnded`] if nobody reads the queue any more.
    pub fn send(&self, message: Message) -> Result<(), CoreEnded> {
        self.0.send(message).map_err(|_| CoreEnded)
    }

    /// Hands over a request.
    pub fn request(&self, request: Request, client: Arc<dyn Client>, tag: u64) {
        self.post(Message::Request {
            request,
            client,
            tag,
        });
    }

    /// A client cancelled a request.
    pub fn request_cancelled(&self, connection: u64, tag: u64) {
        self.post(Message::RequestCancelled { connection, tag });
    }

    /// A client's connection ended.
    pub fn client_disconnected(&self, connection: u64) {
        self.post(Message::ClientDisconnected { connection });
    }

    /// A front answered a request of this class itself.
    pub fn ended_at_front(&self, class: String, end: RequestEnd) {
        self.post(Message::EndedAtFront { class, end });
    }

    /// An attempt ended.
    pub fn attempt_ended(&self, key: AttemptKey, report: AttemptReport) {
        self.post(Message::AttemptEnded { key, report });
    }

    /// An order to load ended.
    pub fn load_order_ended(&self, order: u64, outcome: Outcome, replicas: u32) {
        self.post(Message::LoadOrderEnded {
            order,
            outcome,
            replicas,
        });
    }

    /// A source's endpoint list changed.
    pub fn endpoint_update(
        &self,
        source: TransportProtocol,
        complete: bool,
        endpoints: Vec<Endpoint>,
    ) {
        self.post(Message::EndpointUpdate {
            source,
            complete,
            endpoints,
        });
    }

    fn post(&self, message: Message) {
        let _ = self.0.send(message); // the core only ends with the process
    }
}
