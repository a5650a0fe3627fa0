//! What the directory knows of one member. No I/O.
use crate::fleet::member_digest::{Liveness, MemberDigest};
use crate::fleet::record::{Lifecycle, Metadata, Stamp};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Repairs that a member may leave unanswered before it counts as one that knows no records.
const MAX_UNANSWERED_REPAIRS: u8 = 3;

/// The replica of a member's record, and the newest stamp under which its content is known to stand.
#[derive(Clone, Debug)]
pub(super) struct RecordReplica {
    pub(super) stamp: Stamp,
    pub(super) metadata: Metadata,
    pub(super) checksum: u32,
}

/// One member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) incarnation: u64,
    pub(super) liveness: Liveness,
    /// Since when it is alive, or gone.
    pub(super) since: Micros,
    /// Its record, be it of its present incarnation or of a former one.
    pub(super) record: Option<RecordReplica>,
    /// Whether it said that it leaves.
    pub(super) leaving: bool,
    /// Repairs begun with it in a row that it did not answer in any way.
    pub(super) unanswered_repairs: u8,
}

impl Member {
    /// A member of which nothing is known but that there is this incarnation; not counted alive yet.
    pub(super) fn new(incarnation: u64, now: Micros) -> Member {
        Member {
            incarnation,
            liveness: Liveness::Down,
            since: now,
            record: None,
            leaving: false,
            unanswered_repairs: 0,
        }
    }

    /// It is alive in this incarnation.
    pub(super) fn revive(&mut self, incarnation: u64, now: Micros) {
        self.incarnation = incarnation;
        self.liveness = Liveness::Alive;
        self.since = now;
        self.leaving = false;
        if self.record.is_some() {
            self.unanswered_repairs = 0;
        }
    }

    /// This incarnation of it is gone; how it went.
    pub(super) fn end(&mut self, incarnation: u64, now: Micros) -> Liveness {
        let is_same = self.incarnation == incarnation;
        let said_so = self.leaving || self.liveness == Liveness::Left;
        self.incarnation = incarnation;
        self.since = now;
        self.liveness = if is_same && said_so {
            Liveness::Left
        } else {
            Liveness::Down
        };
        self.liveness
    }

    /// The record of its present incarnation.
    pub(super) fn current_record(&self) -> Option<&RecordReplica> {
        self.record
            .as_ref()
            .filter(|replica| replica.stamp.incarnation == self.incarnation)
    }

    /// What it is doing; without a record (a front end of an earlier version, or one just heard of) it counts as ready.
    pub(super) fn lifecycle(&self) -> Lifecycle {
        self.current_record()
            .map_or(Lifecycle::Ready, |replica| replica.metadata.lifecycle)
    }

    /// Whether it has a record, or has not left too many repairs unanswered: front ends of an earlier version never
    /// answer.
    pub(super) fn supports_records(&self) -> bool {
        self.record.is_some() || self.unanswered_repairs < MAX_UNANSWERED_REPAIRS
    }

    /// The version and checksum of its record; zeros for none.
    pub(super) fn content(&self) -> RecordContent {
        self.current_record()
            .map_or(RecordContent::default(), |replica| RecordContent {
                version: replica.stamp.version,
                checksum: replica.checksum,
            })
    }

    /// All this in short, of the member at `owner`.
    pub(super) fn digest(&self, owner: SocketAddr) -> MemberDigest {
        let content = self.content();
        MemberDigest {
            owner,
            stamp: Stamp {
                incarnation: self.incarnation,
                version: content.version,
            },
            liveness: self.liveness,
            checksum: content.checksum,
        }
    }
}

/// Which content a record of one incarnation has: the larger version is newer, and the checksum breaks a tie the same
/// way everywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RecordContent {
    pub(super) version: u32,
    pub(super) checksum: u32,
}
