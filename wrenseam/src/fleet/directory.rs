//! What one front end knows of the fleet's members: who is alive, who is gone, and everybody's record, with a
//! digest by which two members see at once whether they hold the same. No I/O; time is handed in.
mod member;
mod merge;

use member::Member;
pub use merge::MergeAction;

use super::identity::{mix, PeerId};
use super::member_digest::{member_digest_hash, part_of, short, Liveness, MemberDigest, PARTS};
use super::record::{Lifecycle, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// How long a member that is gone is remembered, in microseconds: a day. Nobody who missed its end for longer can
/// still tell of it (see `Swim::restart`), so that it does not come back by hearsay.
pub const GONE_FOR: Micros = 86_400_000_000;
/// Members gone that are remembered; beyond that those gone longest are forgotten.
pub const GONE_HELD: usize = 1024;

/// Repairs that a member may leave unanswered before it counts as one that knows no records.
const TRIES: u8 = 3;

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
        let (owner, stamp) = (self.own.owner, self.own.stamp);
        MemberDigest {
            owner,
            stamp,
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

    /// Takes a live member's part out of the digest, or puts it in.
    fn toggle(&mut self, member_digest: MemberDigest) {
        if !member_digest.liveness.is_gone() {
            self.parts[part_of(member_digest.owner)] ^= member_digest_hash(&member_digest);
        }
    }

    /// Changes what is held of a member, and the digest with it.
    fn change(&mut self, addr: SocketAddr, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get(&addr) else {
            return;
        };
        self.toggle(member.member_digest(addr));
        let Some(member) = self.members.get_mut(&addr) else {
            return;
        };
        change(member);
        let member_digest = member.member_digest(addr);
        self.toggle(member_digest);
    }

    /// Membership counts `id` alive since `now`.
    pub fn up(&mut self, now: Micros, id: PeerId) {
        if id.addr == self.own.owner {
            return;
        }
        self.lost.remove(&id.addr);
        self.members.entry(id.addr).or_insert(Member {
            incarnation: id.incarnation,
            liveness: Liveness::Down,
            since: now,
            record: None,
            leaving: false,
            unanswered: 0,
        });
        self.change(id.addr, |member| {
            let unanswered = if member.record.is_some() {
                0
            } else {
                member.unanswered
            };
            *member = Member {
                incarnation: id.incarnation,
                liveness: Liveness::Alive,
                since: now,
                record: member.record.take(),
                leaving: false,
                unanswered,
            };
        });
    }

    /// Membership replaced an incarnation by `id`, without a change of who is alive.
    pub fn update_incarnation(&mut self, id: PeerId) {
        self.change(id.addr, |member| {
            member.incarnation = member.incarnation.max(id.incarnation)
        });
    }

    /// Membership counts `id` out since `now`; how it went.
    pub fn gone(&mut self, now: Micros, id: PeerId) -> Liveness {
        let mut how = Liveness::Down;
        self.change(id.addr, |member| {
            let same = member.incarnation == id.incarnation;
            member.incarnation = id.incarnation;
            if same && (member.leaving || member.liveness == Liveness::Left) {
                how = Liveness::Left;
            }
            member.liveness = how;
            member.since = now;
        });
        how
    }

    /// A member told that it leaves: once membership counts it out, that is no failure.
    pub fn left(&mut self, id: PeerId) {
        let leaving = self
            .members
            .get_mut(&id.addr)
            .filter(|member| member.incarnation == id.incarnation);
        if let Some(member) = leaving {
            member.leaving = true;
        }
    }

    /// Whether there are members that know no records: front ends from before them.
    pub fn is_mixed(&self) -> bool {
        let alive = self
            .members
            .values()
            .filter(|member| !member.liveness.is_gone());
        alive
            .into_iter()
            .any(|member| member.record.is_none() && member.unanswered >= TRIES)
    }

    /// What is held of a member, or of this front end itself.
    pub fn member_digest(&self, addr: SocketAddr) -> Option<MemberDigest> {
        if addr == self.own.owner {
            return Some(self.own_digest());
        }
        self.members
            .get(&addr)
            .map(|member| member.member_digest(addr))
    }

    /// The record held of a member's present incarnation, or this front end's own.
    pub fn record(&self, addr: SocketAddr) -> Option<Record> {
        if addr == self.own.owner {
            return Some(self.own.clone());
        }
        let held = self.members.get(&addr)?.current()?;
        Some(Record {
            owner: addr,
            stamp: held.stamp,
            metadata: held.metadata.clone(),
        })
    }

    /// What is held of the live members in a set of parts, this front end among them.
    pub fn member_digests_in(&self, parts: u16) -> impl Iterator<Item = MemberDigest> + '_ {
        let own = std::iter::once(self.own_digest());
        let others = self
            .members
            .iter()
            .map(|(&addr, member)| member.member_digest(addr));
        let alive = own
            .chain(others)
            .filter(|member_digest| !member_digest.liveness.is_gone());
        alive.filter(move |member_digest| parts & (1 << part_of(member_digest.owner)) != 0)
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

    /// Members counted alive besides this front end.
    pub fn alive(&self) -> impl Iterator<Item = PeerId> + '_ {
        let alive = self
            .members
            .iter()
            .filter(|(_, member)| !member.liveness.is_gone());
        alive.map(|(&addr, member)| PeerId {
            addr,
            incarnation: member.incarnation,
        })
    }

    /// Members declared down, or forgotten unheard: where a part of the fleet may have been cut off.
    pub fn lost(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let down = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness == Liveness::Down);
        down.map(|(&addr, _)| addr).chain(self.lost.iter().copied())
    }

    /// Forgets all members and what they said, but for where they were.
    pub fn forget_all(&mut self) {
        let members = std::mem::take(&mut self.members);
        let lost = members
            .iter()
            .filter(|(_, member)| member.liveness != Liveness::Left);
        self.lost.extend(lost.map(|(&addr, _)| addr));
        while self.lost.len() > GONE_HELD {
            self.lost.pop_first();
        }
        self.parts = [0; PARTS];
        self.toggle(self.own_digest());
    }

    /// What a member is doing; one without a record (a front end from before records, or one just heard of) counts as
    /// ready.
    fn lifecycle(member: &Member) -> Lifecycle {
        member
            .current()
            .map_or(Lifecycle::Ready, |held| held.metadata.lifecycle)
    }

    /// Members besides this front end that take clients.
    pub fn ready(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let alive = self
            .members
            .iter()
            .filter(|(_, member)| !member.liveness.is_gone());
        alive
            .filter(|(_, member)| Self::lifecycle(member) == Lifecycle::Ready)
            .map(|(&addr, _)| addr)
    }

    /// Members besides this front end by lifecycle, in the order of [`Lifecycle::ALL`].
    pub fn by_lifecycle(&self) -> [usize; Lifecycle::ALL.len()] {
        let mut counts = [0; Lifecycle::ALL.len()];
        for member in self
            .members
            .values()
            .filter(|member| !member.liveness.is_gone())
        {
            counts[Self::lifecycle(member) as usize] += 1;
        }
        counts
    }

    /// Whether a member has answered a repair, or has not been tried often in vain: front ends from before records
    /// never answer.
    pub fn repairs(&self, addr: SocketAddr) -> bool {
        self.members
            .get(&addr)
            .is_some_and(|member| member.record.is_some() || member.unanswered < TRIES)
    }

    /// A repair was begun with this member.
    pub fn tried(&mut self, addr: SocketAddr) {
        if let Some(member) = self.members.get_mut(&addr) {
            member.unanswered = member.unanswered.saturating_add(1);
        }
    }

    /// Forgets members gone for longer than [`GONE_FOR`], and the oldest beyond [`GONE_HELD`]; who they were.
    pub fn forget_gone(&mut self, now: Micros) -> Vec<PeerId> {
        let mut gone: Vec<(Micros, PeerId)> = self
            .members
            .iter()
            .filter(|(_, member)| member.liveness.is_gone())
            .map(|(&addr, member)| {
                (
                    member.since,
                    PeerId {
                        addr,
                        incarnation: member.incarnation,
                    },
                )
            })
            .collect();
        gone.sort_unstable_by(|a, b| b.cmp(a));
        let kept = gone
            .iter()
            .take(GONE_HELD)
            .take_while(|(since, _)| now.saturating_sub(*since) < GONE_FOR)
            .count();
        let forgotten: Vec<PeerId> = gone.into_iter().skip(kept).map(|(_, id)| id).collect();
        forgotten.iter().for_each(|id| {
            self.members.remove(&id.addr);
        });
        forgotten
    }
}
