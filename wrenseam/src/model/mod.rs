//! The vocabulary shared by fronts, core, transports and discovery. No wire protocol shows here, and nothing here
//! depends on those parts.
pub mod admin;
pub mod attempt;
pub mod endpoint;
pub mod request;

pub use admin::{AdminCommand, AdminReply};
pub use attempt::{AttemptKey, AttemptReport};
pub use endpoint::{Endpoint, TransportProtocol};
pub use request::{Answer, Client, ClientProbe, ClientState, Payload, Request, RequestEnd};
