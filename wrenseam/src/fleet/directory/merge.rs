//! What a member digest or a record from another member changes in the directory. No I/O.
use super::member::HeldRecord;
use super::Directory;
use crate::fleet::member_digest::{Liveness, MemberDigest};
use crate::fleet::record::Record;

/// What a member digest or record means against what is held here. Only the owner writes a record, so the larger
/// (incarnation, version) wins, and among equal incarnations gone wins over alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeAction {
    /// Both hold the same, or neither has anything that the other needs.
    NoChange,
    /// Ours is newer: the other is to be told.
    SendNewer,
    /// A member, or an incarnation of it, that is not known here.
    AddMember,
    /// A newer record of a known incarnation.
    FetchRecord,
    /// A newer stamp on the content held here.
    AdoptStamp,
    /// The other holds as gone who is alive here: the member itself is asked first.
    CheckLiveness,
    /// The member told that it leaves.
    MarkLeft,
    /// Somebody holds of us what we did not say, or holds our incarnation as gone: a larger stamp is needed.
    Refute,
}

impl Directory {
    /// Weighs what somebody holds of a member against what is held here.
    pub fn merge_action(&self, member_digest: &MemberDigest) -> MergeAction {
        if member_digest.owner == self.own.owner {
            return self.own_merge_action(member_digest);
        }
        let Some(local) = self.member_digest(member_digest.owner) else {
            return if member_digest.liveness.is_gone() {
                MergeAction::NoChange
            } else {
                MergeAction::AddMember
            };
        };
        let (local_gone, remote_gone) =
            (local.liveness.is_gone(), member_digest.liveness.is_gone());
        match (
            member_digest
                .stamp
                .incarnation
                .cmp(&local.stamp.incarnation),
            local_gone,
            remote_gone,
        ) {
            (_, true, true) => MergeAction::NoChange,
            (std::cmp::Ordering::Less, _, _) => MergeAction::SendNewer,
            (std::cmp::Ordering::Greater, _, false) => MergeAction::AddMember,
            (_, false, true) if member_digest.liveness == Liveness::Left => MergeAction::MarkLeft,
            (_, false, true) => MergeAction::CheckLiveness,
            (std::cmp::Ordering::Equal, true, false) => MergeAction::SendNewer,
            (std::cmp::Ordering::Equal, false, false) => {
                self.record_merge_action(&local, member_digest)
            }
        }
    }

    fn own_merge_action(&self, member_digest: &MemberDigest) -> MergeAction {
        let own = self.own_digest();
        let gone = member_digest.liveness.is_gone()
            && member_digest.stamp.incarnation >= own.stamp.incarnation;
        let not_ours = member_digest.stamp == own.stamp && member_digest.checksum != own.checksum;
        match () {
            () if gone || member_digest.stamp > own.stamp || not_ours => MergeAction::Refute,
            () if member_digest.stamp < own.stamp => MergeAction::SendNewer,
            () => MergeAction::NoChange,
        }
    }

    /// Both hold the same incarnation alive.
    fn record_merge_action(
        &self,
        local: &MemberDigest,
        member_digest: &MemberDigest,
    ) -> MergeAction {
        let order = (member_digest.stamp.version, member_digest.checksum)
            .cmp(&(local.stamp.version, local.checksum));
        match order {
            std::cmp::Ordering::Equal => MergeAction::NoChange,
            std::cmp::Ordering::Less => MergeAction::SendNewer,
            std::cmp::Ordering::Greater if self.has_content(member_digest) => {
                MergeAction::AdoptStamp
            }
            std::cmp::Ordering::Greater => MergeAction::FetchRecord,
        }
    }

    /// Whether the content that a member digest is of is held, if under an older stamp.
    pub fn has_content(&self, member_digest: &MemberDigest) -> bool {
        let held = self
            .members
            .get(&member_digest.owner)
            .and_then(|member| member.record.as_ref());
        member_digest.checksum != 0
            && held.is_some_and(|held| held.checksum == member_digest.checksum)
    }

    /// Takes a newer stamp for the content held; the caller has weighed it.
    pub fn adopt_stamp(&mut self, member_digest: &MemberDigest) {
        let stamp = member_digest.stamp;
        self.change(member_digest.owner, |member| {
            if let Some(held) = member.record.as_mut().filter(|held| held.stamp < stamp) {
                held.stamp = stamp;
            }
        });
    }

    /// Takes a member's record unless what is held is as new; whether it was taken. Its incarnation has to be the
    /// one that membership counts.
    pub fn merge_record(&mut self, record: Record) -> bool {
        let checksum = record.metadata.checksum();
        let newer = self.members.get(&record.owner).is_some_and(|member| {
            let (version, held) = member
                .current()
                .map_or((0, 0), |h| (h.stamp.version, h.checksum));
            member.incarnation == record.stamp.incarnation
                && (record.stamp.version, checksum) > (version, held)
        });
        if newer {
            let held = HeldRecord {
                stamp: record.stamp,
                metadata: record.metadata,
                checksum,
            };
            self.change(record.owner, |member| {
                member.record = Some(held);
                member.unanswered = 0;
            });
        }
        newer
    }
}
