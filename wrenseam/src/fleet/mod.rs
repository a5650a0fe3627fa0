//! What the fleet of front ends decides together, without I/O: membership by SWIM ([`swim`]), the mean pressure
//! of bounded cost ([`average`]), both as one ([`node`]), the load summaries for front ends from before the averaging
//! ([`summary`]), the retry budget shared by the fleet ([`budget`]) and shedding by class in common ([`shed`]).
//! The sockets are in `crate::gossip`; docs/fleet.md and docs/fleet-view.md have the design.
pub mod average;
pub mod budget;
pub mod identity;
pub mod node;
pub mod shed;
pub mod summary;
pub mod swim;

pub use average::Average;
pub use budget::{FleetSize, RetryBudget, Spent};
pub use identity::PeerId;
pub use node::{FleetNews, Node, NodeSettings};
pub use shed::Shedder;
pub use summary::{Summaries, Summary};
pub use swim::{PeerEvent, Swim, SwimSettings};
