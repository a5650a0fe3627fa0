//! The directory's entry of one member. No I/O.
use crate::fleet::member_digest::{Liveness, MemberDigest};
use crate::fleet::record::{Lifecycle, Metadata, Stamp};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Unanswered repairs after which a member without a known record counts as one that does not support records.
const MAX_UNANSWERED_REPAIRS: u8 = 3;

/// The replica of a member's record, under the newest stamp that its content is known to have.
#[derive(Clone, Debug)]
pub(super) struct RecordReplica {
    pub(super) stamp: Stamp,
    pub(super) metadata: Metadata,
    pub(super) checksum: u32,
}

/// A member other than this front end, live or gone.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) incarnation: u64,
    pub(super) liveness: Liveness,
    /// When it came up, or went down or left.
    pub(super) since: Micros,
    /// Its record, which may be of a former incarnation.
    pub(super) record: Option<RecordReplica>,
    /// Whether it announced that it leaves.
    pub(super) announced_leave: bool,
    /// Repairs begun with it since its record was last merged or it came up with a known record.
    pub(super) unanswered_repairs: u8,
}

impl Member {
    /// A member without a record, not alive yet.
    pub(super) fn new(incarnation: u64, now: Micros) -> Member {
        Member {
            incarnation,
            liveness: Liveness::Down,
            since: now,
            record: None,
            announced_leave: false,
            unanswered_repairs: 0,
        }
    }

    /// Records that it is alive in this incarnation.
    pub(super) fn mark_alive(&mut self, incarnation: u64, now: Micros) {
        self.incarnation = incarnation;
        self.liveness = Liveness::Alive;
        self.since = now;
        self.announced_leave = false;
        if self.record.is_some() {
            self.unanswered_repairs = 0;
        }
    }

    /// Records that this incarnation of it is gone. Returns whether it left or is down.
    pub(super) fn mark_gone(&mut self, incarnation: u64, now: Micros) -> Liveness {
        let is_same_incarnation = self.incarnation == incarnation;
        let announced_leave = self.announced_leave || self.liveness == Liveness::Left;
        self.incarnation = incarnation;
        self.since = now;
        self.liveness = if is_same_incarnation && announced_leave {
            Liveness::Left
        } else {
            Liveness::Down
        };
        self.liveness
    }

    /// The record of its present incarnation; `None` if none is known.
    pub(super) fn current_record(&self) -> Option<&RecordReplica> {
        self.record
            .as_ref()
            .filter(|replica| replica.stamp.incarnation == self.incarnation)
    }

    /// Its published state. Without a record, as of a front end of an earlier version or a member that has just come
    /// up, it counts as ready.
    pub(super) fn lifecycle(&self) -> Lifecycle {
        self.current_record()
            .map_or(Lifecycle::Ready, |replica| replica.metadata.lifecycle)
    }

    /// Whether it supports records, as far as known: a record of it is known, or it has not left too many repairs
    /// unanswered. Front ends of an earlier version never answer them.
    pub(super) fn supports_records(&self) -> bool {
        self.record.is_some() || self.unanswered_repairs < MAX_UNANSWERED_REPAIRS
    }

    /// The version and checksum of its present incarnation's record; zeros if none is known.
    pub(super) fn content(&self) -> RecordContent {
        self.current_record()
            .map_or(RecordContent::default(), |replica| RecordContent {
                version: replica.stamp.version,
                checksum: replica.checksum,
            })
    }

    /// Its digest, for the member at `owner`.
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

/// Orders the records of one incarnation: the larger version is newer. On equal versions the larger checksum wins, so
/// that all members keep the same record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RecordContent {
    pub(super) version: u32,
    pub(super) checksum: u32,
}
