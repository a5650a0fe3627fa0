//! The core's queue: the messages that the other parts of the process send, and the handle through which they do.
use crate::fleet::FleetStatus;
use crate::model::{
    AdminCommand, AdminReply, AttemptKey, AttemptReport, Client, DiscoveryContact, Endpoint,
    Request, RequestEnd, TransportProtocol,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::Outcome;

/// A message to the core.
pub enum Message {
    /// A request, the client that it is owed to and the client's tag for it.
    Request {
        /// The request.
        request: Request,
        /// Where its answer goes.
        client: Arc<dyn Client>,
        /// The client's tag for it: unique among its open requests on this connection.
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
    /// A front answered a request itself, without the core.
    AnsweredAtFront {
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
    /// A load order ended.
    LoadOrderEnded {
        /// The order's number.
        order: u64,
        /// How it ended.
        outcome: Outcome,
        /// Replicas that the worker holds.
        replicas: u32,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The check's number.
        check: u64,
        /// How it ended.
        result: HealthCheckResult,
    },
    /// A connection to a worker ended.
    WorkerConnectionEnded {
        /// The worker's address.
        address: SocketAddr,
        /// Whether it never stood, as the address refused it.
        refused: bool,
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
    /// The contact with the discovery service changed.
    DiscoveryContact(DiscoveryContact),
    /// The JSON of `/v1/state` is wanted: tenants, endpoints and counts.
    StateReport {
        /// Where it goes.
        reply: may::sync::mpsc::Sender<String>,
    },
    /// A command of the admin endpoint.
    Admin {
        /// The command.
        command: AdminCommand,
        /// Where the reply goes.
        reply: may::sync::mpsc::Sender<AdminReply>,
    },
    /// The complete set of excluded ids, as the processes of this front end share it in a file.
    Exclusions(BTreeSet<String>),
    /// Whether this process is on standby: another process of this front end sends to workers in slow start in its place.
    Standby(bool),
    /// The current state of the fleet, from gossip.
    Fleet(FleetStatus),
}

/// The core has ended, and the process with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the core has ended")]
pub struct CoreEnded;

/// The sending half of the core's queue. The core ends only with the process, so all methods but [`CoreHandle::send`]
/// drop their message without an error once it has ended.
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
    /// [`CoreEnded`] if the core has ended.
    pub fn send(&self, message: Message) -> Result<(), CoreEnded> {
        self.0.send(message).map_err(|_| CoreEnded)
    }

    /// A client sent a request.
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
    pub fn answered_at_front(&self, class: String, end: RequestEnd) {
        self.post(Message::AnsweredAtFront { class, end });
    }

    /// An attempt ended.
    pub fn attempt_ended(&self, key: AttemptKey, report: AttemptReport) {
        self.post(Message::AttemptEnded { key, report });
    }

    /// A load order ended.
    pub fn load_order_ended(&self, order: u64, outcome: Outcome, replicas: u32) {
        self.post(Message::LoadOrderEnded {
            order,
            outcome,
            replicas,
        });
    }

    /// A health check ended.
    pub fn health_check_ended(&self, check: u64, result: HealthCheckResult) {
        self.post(Message::HealthCheckEnded { check, result });
    }

    /// A connection to a worker ended.
    pub fn worker_connection_ended(&self, address: SocketAddr) {
        self.post(Message::WorkerConnectionEnded {
            address,
            refused: false,
        });
    }

    /// A worker's address refused a connection.
    pub fn worker_connection_refused(&self, address: SocketAddr) {
        self.post(Message::WorkerConnectionEnded {
            address,
            refused: true,
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

    /// The contact with the discovery service changed.
    pub fn discovery_contact(&self, contact: DiscoveryContact) {
        self.post(Message::DiscoveryContact(contact));
    }

    fn post(&self, message: Message) {
        let _ = self.0.send(message); // fails only once the core has ended, with the process
    }
}
