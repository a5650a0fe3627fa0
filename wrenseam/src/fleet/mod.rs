//! What the fleet of front ends decides together, without I/O. From the ground up:
//!
//! - [`identity`]: who a peer is, and the header that all datagrams share;
//! - [`record`], [`member_digest`], [`directory`]: what each member publishes about itself, its short form, and what
//!   is known of all members;
//! - [`message`], [`repair`], [`rumor`], [`liveness_check`]: how the directories are kept the same everywhere, by
//!   anti-entropy and rumor mongering;
//! - [`detector`], [`swim`]: failure detection and membership; [`members`]: membership and records as one;
//! - [`average`]: the mean pressure at bounded cost; [`summary`]: loads for front ends that know no averaging;
//! - [`traffic`]: the byte budget; [`node`], [`status`]: one front end's gossip as a whole, and its view of the fleet;
//! - [`budget`], [`shed`]: the retry budget that the fleet shares, and load shedding by class.
//!
//! The sockets are in the module `gossip`; docs/fleet.md and docs/fleet-view.md have the design.
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
