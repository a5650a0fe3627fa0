//! The view that one front end has of the fleet: live members, tombstones of gone members, and the members' records. A
//! digest shows two members whether their views are the same. No I/O; the caller passes the time.
mod member;
mod merge;

pub use merge::MergeAction;

use super::identity::{mix, PeerId};
use super::member_digest::{
    fold_to_u32, member_digest_hash, part_of, Liveness, MemberDigest, PARTS,
};
use super::record::{Lifecycle, Record};
use member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// How long the tombstone of a gone member is kept, in microseconds: one day. A front end that did not learn of the
/// member's end for that long has dropped its view (see `Swim::restart`), so that it cannot report the member as alive
/// again.
pub const TOMBSTONE_TTL: Micros = 86_400_000_000;
/// The most tombstones kept; when there are more, the oldest are removed.
pub const MAX_TOMBSTONES: usize = 1024;

/// A gone member and when it went; ordered by that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Tombstone {
    since: Micros,
    id: PeerId,
}

/// This front end's record, and the other members with their records.
pub struct Directory {
    own: Record,
    own_checksum: u32,
    /// The other members, live and gone, by gossip address.
    members: BTreeMap<SocketAddr, Member>,
    /// The addresses of members dropped by [`Directory::forget_all`] that have not been alive since.
    lost: BTreeSet<SocketAddr>,
    /// For each part of the view, the XOR of the hashes of its live members, this front end included.
    parts: [u64; PARTS],
}

impl Directory {
    /// A directory without other members.
    pub fn new(own: Record) -> Directory {
        let own_checksum = own.metadata.checksum();
        let mut directory = Directory {
            own,
            own_checksum,
            members: BTreeMap::new(),
            lost: BTreeSet::new(),
            parts: [0; PARTS],
        };
        directory.toggle_hash(directory.own_digest());
        directory
    }

    /// This front end's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    fn own_digest(&self) -> MemberDigest {
        MemberDigest {
            owner: self.own.owner,
            stamp: self.own.stamp,
            liveness: Liveness::Alive,
            checksum: self.own_checksum,
        }
    }

    /// Replaces this front end's own record; the caller has to raise its stamp.
    pub fn set_own(&mut self, own: Record) {
        self.toggle_hash(self.own_digest());
        self.own_checksum = own.metadata.checksum();
        self.own = own;
        self.toggle_hash(self.own_digest());
    }

    /// Adds a live member's hash to its part of the view, or removes it if it was added before.
    fn toggle_hash(&mut self, member_digest: MemberDigest) {
        if !member_digest.liveness.is_gone() {
            self.parts[part_of(member_digest.owner)] ^= member_digest_hash(&member_digest);
        }
    }

    /// Applies `change` to a known member and updates the view's digest.
    fn update_member(&mut self, addr: SocketAddr, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(&addr) else {
            return;
        };
        let before = member.digest(addr);
        change(member);
        let after = member.digest(addr);
        self.toggle_hash(before);
        self.toggle_hash(after);
    }

    /// Records that membership counts `id` as alive since `now`; adds it if it is not known.
    pub fn mark_alive(&mut self, now: Micros, id: PeerId) {
        if id.addr == self.own.owner {
            return;
        }
        self.lost.remove(&id.addr);
        self.members
            .entry(id.addr)
            .or_insert_with(|| Member::new(id.incarnation, now));
        self.update_member(id.addr, |member| member.mark_alive(id.incarnation, now));
    }

    /// Records that a live member has adopted the larger incarnation `id`.
    pub fn update_incarnation(&mut self, id: PeerId) {
        self.update_member(id.addr, |member| {
            member.incarnation = member.incarnation.max(id.incarnation);
        });
    }

    /// Records that membership counts `id` as gone since `now`. Returns whether it left or is down.
    pub fn mark_gone(&mut self, now: Micros, id: PeerId) -> Liveness {
        let mut liveness = Liveness::Down;
        self.update_member(id.addr, |member| {
            liveness = member.mark_gone(id.incarnation, now);
        });
        liveness
    }

    /// Records that a member announced that it leaves: when membership then counts it as gone, it has left and not
    /// failed.
    pub fn mark_leaving(&mut self, id: PeerId) {
        let member = self.members.get_mut(&id.addr);
        if let Some(member) = member.filter(|member| member.incarnation == id.incarnation) {
            member.announced_leave = true;
        }
    }

    /// Whether there are live members that do not support records: front ends of an earlier version.
    pub fn is_mixed(&self) -> bool {
        self.live_members()
            .any(|(_, member)| !member.supports_records())
    }

    /// The digest of a member, live or gone, or of this front end itself; `None` if it is not known.
    pub fn member_digest(&self, addr: SocketAddr) -> Option<MemberDigest> {
        if addr == self.own.owner {
            return Some(self.own_digest());
        }
        self.members.get(&addr).map(|member| member.digest(addr))
    }

    /// The record of a member's present incarnation, or of this front end; `None` if it is not known.
    pub fn record(&self, addr: SocketAddr) -> Option<Record> {
        if addr == self.own.owner {
            return Some(self.own.clone());
        }
        let replica = self.members.get(&addr)?.current_record()?;
        Some(Record {
            owner: addr,
            stamp: replica.stamp,
            metadata: replica.metadata.clone(),
        })
    }

    /// The digests of the live members, this front end included, in a set of parts (one bit for each part).
    pub fn member_digests_in(&self, parts: u16) -> impl Iterator<Item = MemberDigest> + '_ {
        let own = std::iter::once(self.own_digest());
        let others = self
            .live_members()
            .map(|(addr, member)| member.digest(addr));
        own.chain(others)
            .filter(move |member_digest| parts & (1 << part_of(member_digest.owner)) != 0)
    }

    /// The digest of the whole view: of all live members' incarnations and records.
    pub fn digest(&self) -> u64 {
        self.parts
            .iter()
            .fold(0, |digest, &part| mix(digest ^ part))
    }

    /// The digest of each part of the view.
    pub fn part_digests(&self) -> [u32; PARTS] {
        self.parts.map(fold_to_u32)
    }

    fn live_members(&self) -> impl Iterator<Item = (SocketAddr, &Member)> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| !member.liveness.is_gone())
            .map(|(&addr, member)| (addr, member))
    }

    /// The live members other than this front end.
    pub fn alive(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.live_members().map(|(addr, member)| PeerId {
            addr,
            incarnation: member.incarnation,
        })
    }

    /// The live members with which repairs are begun and to which rumors are sent: those that support records.
    pub fn repair_partners(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.live_members()
            .filter(|(_, member)| member.supports_records())
            .map(|(addr, _)| addr)
    }

    /// The addresses of members that are down, or were dropped by [`Directory::forget_all`]: a part of the fleet may be
    /// there that was cut off from this one.
    pub fn lost(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let down = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness == Liveness::Down);
        down.map(|(&addr, _)| addr).chain(self.lost.iter().copied())
    }

    /// The members other than this front end that accept clients.
    pub fn ready(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.live_members()
            .filter(|(_, member)| member.lifecycle() == Lifecycle::Ready)
            .map(|(addr, _)| addr)
    }

    /// The numbers of live members other than this front end by lifecycle, in the order of [`Lifecycle::ALL`].
    pub fn by_lifecycle(&self) -> [usize; Lifecycle::ALL.len()] {
        let mut counts = [0; Lifecycle::ALL.len()];
        for (_, member) in self.live_members() {
            counts[member.lifecycle().index()] += 1;
        }
        counts
    }

    /// Counts a repair begun with this member as unanswered, until a record of it is merged.
    pub fn repair_started(&mut self, addr: SocketAddr) {
        if let Some(member) = self.members.get_mut(&addr) {
            member.unanswered_repairs = member.unanswered_repairs.saturating_add(1);
        }
    }

    /// Drops all members and their records. Only the addresses of those that have not left are kept.
    pub fn forget_all(&mut self) {
        let members = std::mem::take(&mut self.members);
        let lost = members
            .iter()
            .filter(|(_, member)| member.liveness != Liveness::Left);
        self.lost.extend(lost.map(|(&addr, _)| addr));
        while self.lost.len() > MAX_TOMBSTONES {
            self.lost.pop_first();
        }
        self.parts = [0; PARTS];
        self.toggle_hash(self.own_digest());
    }

    /// Removes tombstones older than [`TOMBSTONE_TTL`], and the oldest beyond [`MAX_TOMBSTONES`]. Returns the members
    /// removed.
    pub fn expire_tombstones(&mut self, now: Micros) -> Vec<PeerId> {
        let mut tombstones = self.tombstones();
        tombstones.sort_unstable_by(|earlier, later| later.cmp(earlier));
        let kept = tombstones
            .iter()
            .take(MAX_TOMBSTONES)
            .take_while(|tombstone| now.saturating_sub(tombstone.since) < TOMBSTONE_TTL)
            .count();
        let expired = tombstones.split_off(kept);
        for tombstone in &expired {
            self.members.remove(&tombstone.id.addr);
        }
        expired.into_iter().map(|tombstone| tombstone.id).collect()
    }

    fn tombstones(&self) -> Vec<Tombstone> {
        let gone = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness.is_gone());
        gone.map(|(&addr, member)| Tombstone {
            since: member.since,
            id: PeerId {
                addr,
                incarnation: member.incarnation,
            },
        })
        .collect()
    }
}
