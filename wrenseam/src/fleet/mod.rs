//! The protocols and decisions that front ends share as a fleet, without I/O. From the bottom layer up:
//!
//! - [`identity`]: the identity of a peer, and the header of all datagrams;
//! - [`record`], [`member_digest`], [`directory`]: the record that each member publishes about itself, its digest, and
//!   the table of all known members;
//! - [`message`], [`repair`], [`rumor`], [`liveness_check`]: replication of the directory by anti-entropy repair and
//!   rumor mongering;
//! - [`detector`], [`swim`]: failure detection and membership; [`members`]: membership and records combined;
//! - [`average`]: the fleet's mean pressure by pairwise averaging with a bounded number of neighbours; [`summary`]:
//!   load summaries for front ends of versions without averaging;
//! - [`traffic`]: the byte budget; [`node`], [`status`]: all of these combined for one front end, and its view of the
//!   fleet;
//! - [`budget`], [`shed`]: the retry budget shared by the fleet, and load shedding by class.
//!
//! The module `gossip` has the socket. docs/fleet.md and docs/fleet-view.md describe the design.
pub mod average;
pub mod budget;
pub mod detector;
pub mod directory;
pub mod identity;
pub mod liveness_check;
pub mod member_digest;
pub mod members;
pub mod message;
pub mod node;
pub mod record;
pub mod repair;
pub mod rumor;
pub mod shed;
pub mod status;
pub mod summary;
pub mod swim;
pub mod traffic;

pub use average::Average;
pub use budget::{BudgetUsage, FleetSize, RetryBudget};
pub use identity::PeerId;
pub use node::{Node, NodeSettings};
pub use record::{Lifecycle, Metadata};
pub use shed::Shedder;
pub use status::FleetStatus;
pub use summary::{Summaries, Summary};
pub use swim::{PeerEvent, Swim, SwimSettings, TimedPeerEvent};
