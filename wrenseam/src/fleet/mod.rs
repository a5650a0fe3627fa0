//! What the fleet of front ends decides together, without I/O. From the ground up:
//!
//! - [`identity`]: who a peer is, the header of all datagrams;
//! - [`record`], [`directory`]: what each member says of itself, and what is known of all;
//! - [`message`], [`repair`], [`rumor`], [`liveness_check`]: how these are kept the same everywhere;
//! - [`detector`], [`swim`]: who is alive; [`members`]: membership and records as one;
//! - [`average`]: the mean pressure at bounded cost; [`summary`]: loads for front ends from before it;
//! - [`traffic`]: the budget of bytes; [`node`]: one front end's gossip as a whole;
//! - [`budget`], [`shed`]: the retry budget shared by the fleet, and shedding by class in common.
//!
//! The sockets are in `crate::gossip`; docs/fleet.md and docs/fleet-view.md have the design.
pub mod average;
pub mod budget;
pub mod detector;
pub mod directory;
pub mod identity;
pub mod liveness_check;
pub mod members;
pub mod message;
pub mod node;
pub mod record;
pub mod repair;
pub mod rumor;
pub mod shed;
pub mod summary;
pub mod swim;
pub mod traffic;

pub use average::Average;
pub use budget::{BudgetUsage, FleetSize, RetryBudget};
pub use identity::PeerId;
pub use node::{FleetStatus, Node, NodeSettings};
pub use record::{Lifecycle, Metadata};
pub use shed::Shedder;
pub use summary::{Summaries, Summary};
pub use swim::{PeerEvent, Swim, SwimSettings};
