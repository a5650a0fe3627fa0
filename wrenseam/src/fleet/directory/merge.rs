//! Merges member digests and records from other members into the directory. No I/O.
use super::member::{RecordContent, RecordReplica};
use super::Directory;
use crate::fleet::member_digest::{Liveness, MemberDigest};
use crate::fleet::record::Record;
use std::cmp::Ordering;

/// What to do with another member's digest of a member. As only its owner writes a record, the larger stamp
/// (incarnation, version) wins; for the same incarnation, gone wins over alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeAction {
    /// Nothing: both know the same, or neither has anything that the other needs.
    NoChange,
    /// Send our digest, which is newer.
    SendNewer,
    /// Add the member, or its incarnation, which is not known here.
    AddMember,
    /// Fetch the record, which is a newer one of an incarnation known here.
    FetchRecord,
    /// Adopt the stamp, which is a newer one for the record content known here.
    AdoptStamp,
    /// Query the member, which is alive here but gone for the other member.
    CheckLiveness,
    /// Count the member as gone; it announced that it leaves.
    MarkLeft,
    /// Publish our record under a larger stamp: the digest contradicts what we published, or counts our incarnation as
    /// gone.
    Refute,
}

impl Directory {
    /// What to do with another member's digest of a member.
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

    /// What to do with another member's digest of this front end.
    fn own_merge_action(&self, remote: &MemberDigest) -> MergeAction {
        let own = self.own_digest();
        let is_gone =
            remote.liveness.is_gone() && remote.stamp.incarnation >= own.stamp.incarnation;
        let has_other_content = remote.stamp == own.stamp && remote.checksum != own.checksum;
        if is_gone || has_other_content || remote.stamp > own.stamp {
            MergeAction::Refute
        } else if remote.stamp < own.stamp {
            MergeAction::SendNewer
        } else {
            MergeAction::NoChange
        }
    }

    /// What to do with another member's digest of a member that is alive in the same incarnation for both.
    fn record_merge_action(&self, local: &MemberDigest, remote: &MemberDigest) -> MergeAction {
        match content_of(remote).cmp(&content_of(local)) {
            Ordering::Equal => MergeAction::NoChange,
            Ordering::Less => MergeAction::SendNewer,
            Ordering::Greater if self.has_content(remote) => MergeAction::AdoptStamp,
            Ordering::Greater => MergeAction::FetchRecord,
        }
    }

    /// Whether the record content that a digest describes is known here, possibly under an older stamp.
    pub fn has_content(&self, remote: &MemberDigest) -> bool {
        let member = self.members.get(&remote.owner);
        let replica = member.and_then(|member| member.record.as_ref());
        remote.checksum != 0 && replica.is_some_and(|replica| replica.checksum == remote.checksum)
    }

    /// Applies a digest's stamp to the record known here, if it is newer. The caller has checked that the content is
    /// the same.
    pub fn adopt_stamp(&mut self, remote: &MemberDigest) {
        let stamp = remote.stamp;
        self.update_member(remote.owner, |member| {
            let replica = member.record.as_mut();
            if let Some(replica) = replica.filter(|replica| replica.stamp < stamp) {
                replica.stamp = stamp;
            }
        });
    }

    /// Stores a member's record if it is newer than the one known and of the incarnation that membership counts.
    /// Returns whether it was stored.
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
        self.update_member(record.owner, |member| {
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
