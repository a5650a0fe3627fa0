//! Anti-entropy between two members: which parts of the views to compare, what the other's member digests call for, and how
//! often to ask. No I/O; docs/fleet-view.md weighs it against other ways.
use super::directory::{Directory, MergeAction};
use super::identity::PeerId;
use super::member_digest::{short_hash, Liveness, MemberDigest, PARTS};
use super::message::MAX_BODY;
use super::record::Stamp;
use rand::{rngs::SmallRng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Hashes that fit a datagram.
const MAX_HASHES: usize = (MAX_BODY - 2) / 4;
/// Bytes of a member digest of an IPv6 member, the larger of the two.
const MEMBER_DIGEST_BYTES: usize = 36;
/// The part of a datagram that unmatched hashes take at the most.
const UNMATCHED_BYTES: usize = MAX_BODY / 3;
/// Member digests that surely fit a datagram, beside unmatched hashes.
const MAX_MEMBER_DIGESTS: usize = (MAX_BODY - UNMATCHED_BYTES - 3) / MEMBER_DIGEST_BYTES;

/// What is to be done about somebody's member digests.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergePlan {
    /// Members alive that are not known, or not in this incarnation.
    pub add: Vec<PeerId>,
    /// Members that told that they leave.
    pub left: Vec<PeerId>,
    /// Members alive here that the other holds as gone.
    pub check_liveness: Vec<PeerId>,
    /// Newer stamps of contents held.
    pub adopt_stamps: Vec<MemberDigest>,
    /// Members whose record is wanted.
    pub wanted: Vec<SocketAddr>,
    /// What is held here and newer than what the other holds.
    pub newer: Vec<MemberDigest>,
    /// A stamp that our own has to be larger than.
    pub refute_above: Option<Stamp>,
}

/// Compares somebody's member digests with what is held here.
pub fn compare(directory: &Directory, member_digests: &[MemberDigest]) -> MergePlan {
    let mut plan = MergePlan::default();
    member_digests
        .iter()
        .for_each(|member_digest| plan.add_action_for(directory, member_digest));
    plan
}

impl MergePlan {
    fn add_action_for(&mut self, directory: &Directory, member_digest: &MemberDigest) {
        let id = PeerId {
            addr: member_digest.owner,
            incarnation: member_digest.stamp.incarnation,
        };
        match directory.merge_action(member_digest) {
            MergeAction::NoChange => {}
            MergeAction::SendNewer => self
                .newer
                .extend(directory.member_digest(member_digest.owner)),
            MergeAction::AddMember => {
                self.add.push(id);
                if directory.has_content(member_digest) {
                    self.adopt_stamps.push(*member_digest);
                } else if member_digest.checksum != 0 {
                    self.wanted.push(member_digest.owner);
                }
            }
            MergeAction::FetchRecord => self.wanted.push(member_digest.owner),
            MergeAction::AdoptStamp => self.adopt_stamps.push(*member_digest),
            MergeAction::CheckLiveness => self.check_liveness.push(id),
            MergeAction::MarkLeft => self.left.push(id),
            MergeAction::Refute => {
                self.refute_above = self.refute_above.max(Some(refuted_stamp(member_digest)))
            }
        }
    }
}

/// The stamp that the owner's next has to be larger than: for one held as gone, all of that incarnation.
fn refuted_stamp(member_digest: &MemberDigest) -> Stamp {
    let version = if member_digest.liveness == Liveness::Alive {
        member_digest.stamp.version
    } else {
        u32::MAX
    };
    Stamp {
        version,
        ..member_digest.stamp
    }
}

/// The parts in which two views differ.
pub fn differing(local: &[u32; PARTS], remote: &[u32; PARTS]) -> u16 {
    let parts = local
        .iter()
        .zip(remote)
        .enumerate()
        .filter(|(_, (local, remote))| local != remote);
    parts.fold(0, |set, (part, _)| set | 1 << part)
}

/// So many of the differing parts, from a random one on, that their hashes fit a datagram, at least one; and the hashes.
pub fn hashes(directory: &Directory, differing: u16, rng: &mut SmallRng) -> (u16, Vec<u32>) {
    let start = rng.random_range(0..PARTS);
    let (mut chosen, mut hashes) = (0u16, Vec::new());
    for part in (0..PARTS).map(|i| (start + i) % PARTS) {
        let bit = 1u16 << part;
        if differing & bit == 0 {
            continue;
        }
        let more: Vec<u32> = directory
            .member_digests_in(bit)
            .map(|member_digest| short_hash(&member_digest))
            .collect();
        if chosen != 0 && hashes.len() + more.len() > MAX_HASHES {
            break;
        }
        chosen |= bit;
        hashes.extend(more);
    }
    hashes.truncate(MAX_HASHES);
    (chosen, hashes)
}

/// What is held in these parts and is not among the other's hashes, and which of those are of nothing held here.
pub fn mismatches(
    directory: &Directory,
    parts: u16,
    remote: &[u32],
    rng: &mut SmallRng,
) -> (Vec<MemberDigest>, Vec<u32>) {
    let remote_hashes: BTreeSet<u32> = remote.iter().copied().collect();
    let (matched, mut member_digests): (Vec<MemberDigest>, Vec<MemberDigest>) = directory
        .member_digests_in(parts)
        .partition(|member_digest| remote_hashes.contains(&short_hash(member_digest)));
    let matched: BTreeSet<u32> = matched.iter().map(short_hash).collect();
    let mut unmatched: Vec<u32> = remote_hashes.difference(&matched).copied().collect();
    keep_some(&mut member_digests, MAX_MEMBER_DIGESTS, rng);
    keep_some(&mut unmatched, UNMATCHED_BYTES / 4, rng);
    (member_digests, unmatched)
}

/// What is held of the members of these hashes, but for those that the other has named.
pub fn member_digests_of(
    directory: &Directory,
    hashes: &[u32],
    named: &[MemberDigest],
) -> Vec<MemberDigest> {
    let named: BTreeSet<SocketAddr> = named
        .iter()
        .map(|member_digest| member_digest.owner)
        .collect();
    let held: BTreeMap<u32, MemberDigest> = directory
        .member_digests_in(u16::MAX)
        .map(|member_digest| (short_hash(&member_digest), member_digest))
        .collect();
    let wanted = hashes.iter().filter_map(|hash| held.get(hash));
    wanted
        .filter(|member_digest| !named.contains(&member_digest.owner))
        .copied()
        .collect()
}

/// Member digests in parts that each fit a datagram.
pub fn in_datagrams(
    member_digests: &[MemberDigest],
) -> impl Iterator<Item = Vec<MemberDigest>> + '_ {
    member_digests
        .chunks(MAX_MEMBER_DIGESTS)
        .map(<[MemberDigest]>::to_vec)
}

/// Keeps so many at random: what is left out is plan by the next repair, and not by all the same.
fn keep_some<T>(items: &mut Vec<T>, most: usize, rng: &mut SmallRng) {
    if items.len() > most {
        for i in 0..most {
            let other = rng.random_range(i..items.len());
            items.swap(i, other);
        }
        items.truncate(most);
    }
}

/// When the next repair is begun: each probe period while views agree, four times as often while they differ.
#[derive(Debug)]
pub struct RepairSchedule {
    probe: Micros,
    next_at: Micros,
    /// Until when views count as differing.
    busy_until: Micros,
}

impl RepairSchedule {
    /// A pace by the probe period, begun at a random time in the first.
    pub fn new(probe: Micros, rng: &mut SmallRng) -> RepairSchedule {
        RepairSchedule {
            probe,
            next_at: rng.random_range(0..probe.max(1)),
            busy_until: 0,
        }
    }

    /// When [`RepairSchedule::is_due`] is wanted next.
    pub fn next(&self) -> Micros {
        self.next_at
    }

    /// Whether a repair is to be begun now; if so, the one after it is set, out of step with those of others.
    pub fn is_due(&mut self, now: Micros, rng: &mut SmallRng) -> bool {
        if now < self.next_at {
            return false;
        }
        let period = if now < self.busy_until {
            self.probe / 4
        } else {
            self.probe
        };
        self.next_at = now + period / 2 + rng.random_range(0..=period);
        true
    }

    /// A view was plan to differ, or has just changed.
    pub fn views_differ(&mut self, now: Micros) {
        self.busy_until = now + 2 * self.probe;
        self.next_at = self.next_at.min(now + self.probe / 4);
    }
}
