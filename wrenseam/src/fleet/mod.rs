//! What the fleet of front ends decides together, without I/O: membership by SWIM ([`swim`]), the load
//! summaries it gossips ([`summary`]), the retry budget shared by the fleet ([`budget`]) and shedding by
//! class in common ([`shed`]). The sockets are in `crate::gossip`; docs/fleet.md has the design.
pub mod budget;
pub mod shed;
pub mod summary;
pub mod swim;

pub use budget::{FleetSize, RetryBudget, Spent};
pub use shed::Shedder;
pub use summary::{Summaries, Summary};
pub use swim::{PeerEvent, PeerId, Swim, SwimSettings};
