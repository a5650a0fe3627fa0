//! The types shared by fronts, core, transports and discovery. They depend on none of these and on no wire protocol.
pub mod admin;
pub mod attempt;
pub mod discovery_contact;
pub mod endpoint;
pub mod request;
pub mod timeline;

pub use admin::{AdminCommand, AdminReply};
pub use attempt::{AttemptKey, AttemptReport};
pub use discovery_contact::DiscoveryContact;
pub use endpoint::{Endpoint, TransportProtocol};
pub use request::{Answer, Client, ClientProbe, ClientState, Payload, Request, RequestEnd};
pub use timeline::{LateAnswer, Milestone, RequestTimeline, RequestTrace, StageDurations};
