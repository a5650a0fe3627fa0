//! What the directory holds of one member. No I/O.
use crate::fleet::member_digest::{Liveness, MemberDigest};
use crate::fleet::record::{Metadata, Stamp};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// A record held of a member, and the stamp under which it is known to hold.
#[derive(Clone, Debug)]
pub(super) struct HeldRecord {
    pub(super) stamp: Stamp,
    pub(super) metadata: Metadata,
    pub(super) checksum: u32,
}

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) incarnation: u64,
    pub(super) liveness: Liveness,
    pub(super) since: Micros,
    pub(super) record: Option<HeldRecord>,
    /// Whether it told that it leaves.
    pub(super) leaving: bool,
    /// Repairs begun with it in a row that it did not answer in any way.
    pub(super) unanswered: u8,
}

impl Member {
    /// The record of its present incarnation.
    pub(super) fn current(&self) -> Option<&HeldRecord> {
        self.record
            .as_ref()
            .filter(|held| held.stamp.incarnation == self.incarnation)
    }

    pub(super) fn member_digest(&self, owner: SocketAddr) -> MemberDigest {
        let (version, checksum) = self
            .current()
            .map_or((0, 0), |held| (held.stamp.version, held.checksum));
        let stamp = Stamp {
            incarnation: self.incarnation,
            version,
        };
        MemberDigest {
            owner,
            stamp,
            liveness: self.liveness,
            checksum,
        }
    }
}
