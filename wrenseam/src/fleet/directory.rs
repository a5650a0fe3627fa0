//! What one front end knows of the fleet's members: who is alive, who is gone, and everybody's record, with a
//! digest by which two members see at once whether they hold the same. No I/O; time is handed in.
mod member;
mod merge;

pub use merge::MergeAction;

use super::identity::{mix, PeerId};
use super::member_digest::{member_digest_hash, part_of, short, Liveness, MemberDigest, PARTS};
use super::record::{Lifecycle, Record};
use member::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// How long a member that is gone is remembered, in microseconds: a day. A front end that missed its end for longer can
/// no longer tell of it (see `Swim::restart`), so that it does not come back by hearsay.
pub const TOMBSTONE_TTL: Micros = 86_400_000_000;
/// Members gone that are remembered; beyond that those gone longest are forgotten.
pub const MAX_TOMBSTONES: usize = 1024;

/// A member that is gone, and since when: in order of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GoneMember {
    since: Micros,
    id: PeerId,
}

/// Members and their records.
pub struct Directory {
    own: Record,
    own_checksum: u32,
    members: BTreeMap<SocketAddr, Member>,
    /// Where there were members before [`Directory::forget_all`], that are not known again.
    lost: BTreeSet<SocketAddr>,
    /// Of each part, the live members' hashes as one.
    parts: [u64; PARTS],
}

impl Directory {
    /// A directory that knows only its own front end.
    pub fn new(own: Record) -> Directory {
        let own_checksum = own.metadata.checksum();
        let mut directory = Directory {
            own,
            own_checksum,
            members: BTreeMap::new(),
            lost: BTreeSet::new(),
            parts: [0; PARTS],
        };
        directory.toggle(directory.own_digest());
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

    /// Puts this front end's own record in place; its stamp is the caller's to raise.
    pub fn set_own(&mut self, own: Record) {
        self.toggle(self.own_digest());
        self.own_checksum = own.metadata.checksum();
        self.own = own;
        self.toggle(self.own_digest());
    }

    /// Takes a live member's hash out of the digest of its part, or puts it in.
    fn toggle(&mut self, member_digest: MemberDigest) {
        if !member_digest.liveness.is_gone() {
            self.parts[part_of(member_digest.owner)] ^= member_digest_hash(&member_digest);
        }
    }

    /// Changes what is known of a member, and the digest with it.
    fn change(&mut self, addr: SocketAddr, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(&addr) else {
            return;
        };
        let before = member.digest(addr);
        change(member);
        let after = member.digest(addr);
        self.toggle(before);
        self.toggle(after);
    }

    /// Membership counts `id` alive since `now`.
    pub fn mark_alive(&mut self, now: Micros, id: PeerId) {
        if id.addr == self.own.owner {
            return;
        }
        self.lost.remove(&id.addr);
        self.members
            .entry(id.addr)
            .or_insert_with(|| Member::new(id.incarnation, now));
        self.change(id.addr, |member| member.revive(id.incarnation, now));
    }

    /// Membership replaced an incarnation by `id`, without a change of who is alive.
    pub fn update_incarnation(&mut self, id: PeerId) {
        self.change(id.addr, |member| {
            member.incarnation = member.incarnation.max(id.incarnation);
        });
    }

    /// Membership counts `id` out since `now`; how it went.
    pub fn mark_gone(&mut self, now: Micros, id: PeerId) -> Liveness {
        let mut how = Liveness::Down;
        self.change(id.addr, |member| {
            how = member.end(id.incarnation, now);
        });
        how
    }

    /// A member said that it leaves: once membership counts it out, that is no failure.
    pub fn mark_leaving(&mut self, id: PeerId) {
        let member = self.members.get_mut(&id.addr);
        if let Some(member) = member.filter(|member| member.incarnation == id.incarnation) {
            member.leaving = true;
        }
    }

    /// Whether there are live members that know no records: front ends of an earlier version.
    pub fn is_mixed(&self) -> bool {
        self.live_members()
            .any(|(_, member)| !member.supports_records())
    }

    /// What is known of a member, or of this front end itself, in short.
    pub fn member_digest(&self, addr: SocketAddr) -> Option<MemberDigest> {
        if addr == self.own.owner {
            return Some(self.own_digest());
        }
        self.members.get(&addr).map(|member| member.digest(addr))
    }

    /// The record of a member's present incarnation, or this front end's own.
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

    /// The digests of the live members in a set of parts, this front end among them.
    pub fn member_digests_in(&self, parts: u16) -> impl Iterator<Item = MemberDigest> + '_ {
        let own = std::iter::once(self.own_digest());
        let others = self
            .live_members()
            .map(|(addr, member)| member.digest(addr));
        own.chain(others)
            .filter(move |member_digest| parts & (1 << part_of(member_digest.owner)) != 0)
    }

    /// The digest of the whole view: who is alive, of which incarnation, with which record.
    pub fn digest(&self) -> u64 {
        self.parts
            .iter()
            .fold(0, |digest, &part| mix(digest ^ part))
    }

    /// The view's digests by part.
    pub fn part_digests(&self) -> [u32; PARTS] {
        self.parts.map(short)
    }

    fn live_members(&self) -> impl Iterator<Item = (SocketAddr, &Member)> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| !member.liveness.is_gone())
            .map(|(&addr, member)| (addr, member))
    }

    /// Members counted alive besides this front end.
    pub fn alive(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.live_members().map(|(addr, member)| PeerId {
            addr,
            incarnation: member.incarnation,
        })
    }

    /// Live members that take part in repair: all but those that do not seem to know records.
    pub fn repair_partners(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.live_members()
            .filter(|(_, member)| member.supports_records())
            .map(|(addr, _)| addr)
    }

    /// Members declared down, or forgotten unheard: where a part of the fleet may have been cut off.
    pub fn lost(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let down = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness == Liveness::Down);
        down.map(|(&addr, _)| addr).chain(self.lost.iter().copied())
    }

    /// Members besides this front end that accept clients.
    pub fn ready(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.live_members()
            .filter(|(_, member)| member.lifecycle() == Lifecycle::Ready)
            .map(|(addr, _)| addr)
    }

    /// Members besides this front end by lifecycle, in the order of [`Lifecycle::ALL`].
    pub fn by_lifecycle(&self) -> [usize; Lifecycle::ALL.len()] {
        let mut counts = [0; Lifecycle::ALL.len()];
        for (_, member) in self.live_members() {
            counts[member.lifecycle().index()] += 1;
        }
        counts
    }

    /// A repair was begun with this member.
    pub fn repair_started(&mut self, addr: SocketAddr) {
        if let Some(member) = self.members.get_mut(&addr) {
            member.unanswered_repairs = member.unanswered_repairs.saturating_add(1);
        }
    }

    /// Forgets all members and their records, but for where they were.
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
        self.toggle(self.own_digest());
    }

    /// Forgets members gone for longer than [`TOMBSTONE_TTL`], and the oldest beyond [`MAX_TOMBSTONES`]; who they were.
    pub fn expire_tombstones(&mut self, now: Micros) -> Vec<PeerId> {
        let mut gone = self.gone_members();
        gone.sort_unstable_by(|earlier, later| later.cmp(earlier));
        let remembered = gone
            .iter()
            .take(MAX_TOMBSTONES)
            .take_while(|member| now.saturating_sub(member.since) < TOMBSTONE_TTL)
            .count();
        let forgotten = gone.split_off(remembered);
        for member in &forgotten {
            self.members.remove(&member.id.addr);
        }
        forgotten.into_iter().map(|member| member.id).collect()
    }

    fn gone_members(&self) -> Vec<GoneMember> {
        let gone = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness.is_gone());
        gone.map(|(&addr, member)| GoneMember {
            since: member.since,
            id: PeerId {
                addr,
                incarnation: member.incarnation,
            },
        })
        .collect()
    }
}
