//! What a member digest or a record from another member changes in the directory. No I/O.
use super::member::{RecordContent, RecordReplica};
use super::Directory;
use crate::fleet::member_digest::{Liveness, MemberDigest};
use crate::fleet::record::Record;
use std::cmp::Ordering;

/// What follows from another member's digest of a member. Only the owner writes a record, so the larger
/// (incarnation, version) wins, and among equal incarnations gone wins over alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeAction {
    /// Both know the same, or neither has anything that the other needs.
    NoChange,
    /// Ours is newer: the other gets it.
    SendNewer,
    /// A member, or an incarnation of it, that is not known here.
    AddMember,
    /// A newer record of a known incarnation.
    FetchRecord,
    /// A newer stamp on the content known here.
    AdoptStamp,
    /// The other counts as gone a member that is alive here: the member itself is queried first.
    CheckLiveness,
    /// The member said that it leaves.
    MarkLeft,
    /// The digest says of us what we did not publish, or counts our incarnation as gone: a larger stamp refutes it.
    Refute,
}

impl Directory {
    /// What follows from another member's digest of a member.
    pub fn merge_action(&self, remote: &MemberDigest) -> MergeAction {
        if remote.owner == self.own.owner {
            return self.own_merge_action(remote);
        }
        let is_remote_gone = remote.liveness.is_gone();
        let Some(local) = self.member_digest(remote.owner) else {
            return if is_remote_gone {
                MergeAction::NoChange
            } else {
                MergeAction::AddMember
            };
        };
        let is_local_gone = local.liveness.is_gone();
        if is_local_gone && is_remote_gone {
            return MergeAction::NoChange;
        }
        match remote.stamp.incarnation.cmp(&local.stamp.incarnation) {
            Ordering::Less => MergeAction::SendNewer,
            _ if remote.liveness == Liveness::Left => MergeAction::MarkLeft,
            _ if is_remote_gone => MergeAction::CheckLiveness,
            Ordering::Greater => MergeAction::AddMember,
            Ordering::Equal if is_local_gone => MergeAction::SendNewer,
            Ordering::Equal => self.record_merge_action(&local, remote),
        }
    }

    /// The digest is of ourselves.
    fn own_merge_action(&self, remote: &MemberDigest) -> MergeAction {
        let own = self.own_digest();
        let is_gone =
            remote.liveness.is_gone() && remote.stamp.incarnation >= own.stamp.incarnation;
        let is_foreign_content = remote.stamp == own.stamp && remote.checksum != own.checksum;
        if is_gone || is_foreign_content || remote.stamp > own.stamp {
            MergeAction::Refute
        } else if remote.stamp < own.stamp {
            MergeAction::SendNewer
        } else {
            MergeAction::NoChange
        }
    }

    /// Both count the same incarnation alive.
    fn record_merge_action(&self, local: &MemberDigest, remote: &MemberDigest) -> MergeAction {
        match content_of(remote).cmp(&content_of(local)) {
            Ordering::Equal => MergeAction::NoChange,
            Ordering::Less => MergeAction::SendNewer,
            Ordering::Greater if self.has_content(remote) => MergeAction::AdoptStamp,
            Ordering::Greater => MergeAction::FetchRecord,
        }
    }

    /// Whether the content that a member digest is of is known here, if under an older stamp.
    pub fn has_content(&self, remote: &MemberDigest) -> bool {
        let member = self.members.get(&remote.owner);
        let replica = member.and_then(|member| member.record.as_ref());
        remote.checksum != 0 && replica.is_some_and(|replica| replica.checksum == remote.checksum)
    }

    /// Takes a newer stamp for the content known here; the caller has found that it is to be taken.
    pub fn adopt_stamp(&mut self, remote: &MemberDigest) {
        let stamp = remote.stamp;
        self.change(remote.owner, |member| {
            let replica = member.record.as_mut();
            if let Some(replica) = replica.filter(|replica| replica.stamp < stamp) {
                replica.stamp = stamp;
            }
        });
    }

    /// Takes a member's record unless the one known is as new; whether it was taken. Its incarnation has to be the
    /// one that membership counts.
    pub fn merge_record(&mut self, record: Record) -> bool {
        let Some(member) = self.members.get(&record.owner) else {
            return false;
        };
        let content = RecordContent {
            version: record.stamp.version,
            checksum: record.metadata.checksum(),
        };
        let is_present_incarnation = member.incarnation == record.stamp.incarnation;
        if !is_present_incarnation || content <= member.content() {
            return false;
        }
        let replica = RecordReplica {
            stamp: record.stamp,
            metadata: record.metadata,
            checksum: content.checksum,
        };
        self.change(record.owner, |member| {
            member.record = Some(replica);
            member.unanswered_repairs = 0;
        });
        true
    }
}

fn content_of(member_digest: &MemberDigest) -> RecordContent {
    RecordContent {
        version: member_digest.stamp.version,
        checksum: member_digest.checksum,
    }
}
