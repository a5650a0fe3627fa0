//! The core's queue: the messages that other parts of the process send to the core, and the handle to send them.
use crate::fleet::FleetStatus;
use crate::model::{
    AdminCommand, AdminReply, AttemptKey, AttemptReport, Client, DiscoveryContact, Endpoint,
    Request, RequestEnd, TransportProtocol,
};
use may::sync::Semphore;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use wrenseam_policy::readiness_lease::HealthCheckResult;
use wrenseam_policy::Outcome;

/// A message to the core.
pub enum Message {
    /// A client sent a request.
    Request {
        /// The request.
        request: Request,
        /// The client connection that gets the answer.
        client: Arc<dyn Client>,
        /// The client's tag for the request, unique among the open requests of the connection.
        tag: u64,
        /// Its place in the queue, which is free again once the core has handled the request.
        place: Option<QueuePlace>,
    },
    /// A client cancelled a request, which then gets no answer.
    RequestCancelled {
        /// The number of the client's connection.
        connection: u64,
        /// The client's tag for the request.
        tag: u64,
    },
    /// A client connection closed. Its requests get no answer.
    ClientDisconnected {
        /// The number of the connection.
        connection: u64,
    },
    /// A front answered a request without passing it to the core, which only counts it.
    AnsweredAtFront {
        /// The name of the request's class.
        class: String,
        /// How it ended.
        end: RequestEnd,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
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
        /// The number of replicas that the worker holds, as its response states; 0 if there was none.
        replicas: u32,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The check's number.
        check: u64,
        /// How it ended.
        result: HealthCheckResult,
    },
    /// A connection to a worker ended, or was refused.
    WorkerConnectionEnded {
        /// The worker's address.
        address: SocketAddr,
        /// Whether the connection was never established because the address refused it.
        refused: bool,
    },
    /// One source's endpoint list changed.
    EndpointUpdate {
        /// The source, identified by the protocol of its workers.
        source: TransportProtocol,
        /// Whether this is the source's complete list, which replaces its previous one.
        complete: bool,
        /// The endpoints of the complete list, or those that changed.
        endpoints: Vec<Endpoint>,
    },
    /// The discovery service confirmed the endpoint list, or contact with it was lost.
    DiscoveryContact(DiscoveryContact),
    /// A request for the JSON of `/v1/state`: tenants, endpoints and counts.
    StateReport {
        /// Where the JSON text is sent.
        reply: may::sync::mpsc::Sender<String>,
    },
    /// A command of the admin endpoint.
    Admin {
        /// The command.
        command: AdminCommand,
        /// Where the reply is sent.
        reply: may::sync::mpsc::Sender<AdminReply>,
    },
    /// The complete set of excluded worker ids, from the file that the processes of this front end share.
    Exclusions(BTreeSet<String>),
    /// Whether this process is on standby: another process of this front end is the one that sends to workers in slow
    /// start.
    Standby(bool),
    /// The current status of the fleet, from gossip.
    Fleet(FleetStatus),
}

/// The core has ended, which it does only when the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the core has ended")]
pub struct CoreEnded;

/// Most requests that are in the queue at a time. Further ones wait for a place in their fronts, in the order in which
/// they asked for it, so that each connection has one request before another gets its second.
const MAX_QUEUED_REQUESTS: usize = 16;

/// A place for a request in the core's queue.
pub struct QueuePlace(Arc<Semphore>);

impl QueuePlace {
    /// Takes a place, and waits for it if none is free.
    fn take(places: &Arc<Semphore>) -> QueuePlace {
        places.wait();
        QueuePlace(places.clone())
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.0.post();
    }
}

/// The sending half of the core's queue. All methods but [`CoreHandle::send`] silently drop the message if the core has
/// ended, as the process then ends too.
#[derive(Clone)]
pub struct CoreHandle {
    sender: Sender<Message>,
    /// The places for requests that are free.
    places: Arc<Semphore>,
}

impl CoreHandle {
    /// A handle to the core that receives from this channel.
    pub fn new(sender: Sender<Message>) -> Self {
        CoreHandle {
            sender,
            places: Arc::new(Semphore::new(MAX_QUEUED_REQUESTS)),
        }
    }

    /// Sends any message.
    ///
    /// # Errors
    ///
    /// [`CoreEnded`] if the core has ended.
    pub fn send(&self, message: Message) -> Result<(), CoreEnded> {
        self.sender.send(message).map_err(|_| CoreEnded)
    }

    /// Reports that a client sent a request, once there is a place for it in the queue, unless the client has left by
    /// then. `tag` is unique among the open requests of the client's connection.
    pub fn request(&self, request: Request, client: Arc<dyn Client>, tag: u64) {
        let place = QueuePlace::take(&self.places);
        if request.is_client_disconnected() {
            return;
        }
        self.post(Message::Request {
            request,
            client,
            tag,
            place: Some(place),
        });
    }

    /// Reports that a client cancelled a request, identified by the connection's number and the client's tag.
    pub fn request_cancelled(&self, connection: u64, tag: u64) {
        self.post(Message::RequestCancelled { connection, tag });
    }

    /// Reports that the client connection of this number closed.
    pub fn client_disconnected(&self, connection: u64) {
        self.post(Message::ClientDisconnected { connection });
    }

    /// Reports that a front answered a request of this class without passing it to the core.
    pub fn answered_at_front(&self, class: String, end: RequestEnd) {
        self.post(Message::AnsweredAtFront { class, end });
    }

    /// Reports that an attempt ended.
    pub fn attempt_ended(&self, key: AttemptKey, report: AttemptReport) {
        self.post(Message::AttemptEnded { key, report });
    }

    /// Reports that the load order of this number ended, and how many replicas the worker holds.
    pub fn load_order_ended(&self, order: u64, outcome: Outcome, replicas: u32) {
        self.post(Message::LoadOrderEnded {
            order,
            outcome,
            replicas,
        });
    }

    /// Reports that the health check of this number ended.
    pub fn health_check_ended(&self, check: u64, result: HealthCheckResult) {
        self.post(Message::HealthCheckEnded { check, result });
    }

    /// Reports that a connection to the worker at this address ended.
    pub fn worker_connection_ended(&self, address: SocketAddr) {
        self.post(Message::WorkerConnectionEnded {
            address,
            refused: false,
        });
    }

    /// Reports that a worker's address refused a connection.
    pub fn worker_connection_refused(&self, address: SocketAddr) {
        self.post(Message::WorkerConnectionEnded {
            address,
            refused: true,
        });
    }

    /// Reports a change of one source's endpoint list; `complete` if `endpoints` is the whole list.
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

    /// Reports that the discovery service confirmed the endpoint list, or that contact with it was lost.
    pub fn discovery_contact(&self, contact: DiscoveryContact) {
        self.post(Message::DiscoveryContact(contact));
    }

    fn post(&self, message: Message) {
        let _ = self.sender.send(message); // fails only if the core has ended, and then the process ends
    }
}
