//! Anti-entropy repair between two members: which parts of the views to compare, what the other's member digests call
//! for, and how often to begin one. No I/O; docs/fleet-view.md weighs it against other ways.
use super::directory::{Directory, MergeAction};
use super::identity::PeerId;
use super::member_digest::{short_hash, Liveness, MemberDigest, PARTS};
use super::message::MAX_BODY_BYTES;
use super::record::Stamp;
use rand::{rngs::SmallRng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Bytes of a hash on the wire.
const HASH_BYTES: usize = 4;
/// Hashes that fit a datagram, beside the set of parts.
const MAX_HASHES: usize = (MAX_BODY_BYTES - 2) / HASH_BYTES;
/// Bytes of a member digest of an IPv6 member, the larger of the two.
const MEMBER_DIGEST_BYTES: usize = 36;
/// The part of a datagram that unmatched hashes take at the most.
const UNMATCHED_BYTES: usize = MAX_BODY_BYTES / 3;
/// Member digests that surely fit a datagram, beside unmatched hashes.
const MAX_MEMBER_DIGESTS: usize = (MAX_BODY_BYTES - UNMATCHED_BYTES - 3) / MEMBER_DIGEST_BYTES;

/// What another member's digests call for.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergePlan {
    /// Members alive that are not known, or not in this incarnation.
    pub add: Vec<PeerId>,
    /// Members that said that they leave.
    pub left: Vec<PeerId>,
    /// Members alive here that the other counts as gone.
    pub check_liveness: Vec<PeerId>,
    /// Newer stamps of contents known here.
    pub adopt_stamps: Vec<MemberDigest>,
    /// Members whose record is wanted.
    pub wanted: Vec<SocketAddr>,
    /// What is known here and newer than what the other knows.
    pub newer: Vec<MemberDigest>,
    /// A stamp that our own has to be larger than.
    pub refute_above: Option<Stamp>,
}

/// Compares another member's digests with what is known here.
pub fn compare(directory: &Directory, member_digests: &[MemberDigest]) -> MergePlan {
    let mut plan = MergePlan::default();
    for member_digest in member_digests {
        plan.add_action_for(directory, member_digest);
    }
    plan
}

impl MergePlan {
    fn add_action_for(&mut self, directory: &Directory, remote: &MemberDigest) {
        let id = PeerId {
            addr: remote.owner,
            incarnation: remote.stamp.incarnation,
        };
        match directory.merge_action(remote) {
            MergeAction::NoChange => {}
            MergeAction::SendNewer => self.newer.extend(directory.member_digest(remote.owner)),
            MergeAction::AddMember => {
                self.add.push(id);
                if directory.has_content(remote) {
                    self.adopt_stamps.push(*remote);
                } else if remote.checksum != 0 {
                    self.wanted.push(remote.owner);
                }
            }
            MergeAction::FetchRecord => self.wanted.push(remote.owner),
            MergeAction::AdoptStamp => self.adopt_stamps.push(*remote),
            MergeAction::CheckLiveness => self.check_liveness.push(id),
            MergeAction::MarkLeft => self.left.push(id),
            MergeAction::Refute => {
                self.refute_above = self.refute_above.max(Some(refuted_stamp(remote)));
            }
        }
    }
}

/// The stamp that the owner's next has to be larger than: for one counted as gone, all of that incarnation.
fn refuted_stamp(remote: &MemberDigest) -> Stamp {
    let version = if remote.liveness == Liveness::Alive {
        remote.stamp.version
    } else {
        u32::MAX
    };
    Stamp {
        version,
        ..remote.stamp
    }
}

/// The set of parts in which two views differ, a bit each.
pub fn differing_parts(local: &[u32; PARTS], remote: &[u32; PARTS]) -> u16 {
    let mut differing = 0;
    for (part, (local, remote)) in local.iter().zip(remote).enumerate() {
        if local != remote {
            differing |= 1 << part;
        }
    }
    differing
}

/// The hashes of the members in some parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartHashes {
    /// The parts, a bit each.
    pub parts: u16,
    /// The hashes of all members in them.
    pub hashes: Vec<u32>,
}

/// The hashes of so many of the differing parts, from a random one on, that they fit a datagram; at least one part.
pub fn part_hashes(directory: &Directory, differing: u16, rng: &mut SmallRng) -> PartHashes {
    let start = rng.random_range(0..PARTS);
    let mut parts = 0u16;
    let mut hashes = Vec::new();
    for part in (0..PARTS).map(|offset| (start + offset) % PARTS) {
        let bit = 1u16 << part;
        if differing & bit == 0 {
            continue;
        }
        let in_part = directory.member_digests_in(bit);
        let more: Vec<u32> = in_part
            .map(|member_digest| short_hash(&member_digest))
            .collect();
        if parts != 0 && hashes.len() + more.len() > MAX_HASHES {
            break;
        }
        parts |= bit;
        hashes.extend(more);
    }
    hashes.truncate(MAX_HASHES);
    PartHashes { parts, hashes }
}

/// Where another member's hashes and what is known here do not match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatches {
    /// What is known here and is not among the other's hashes.
    pub member_digests: Vec<MemberDigest>,
    /// The other's hashes that are of nothing known here.
    pub unmatched: Vec<u32>,
}

/// What in these parts does not match the other's hashes, as far as it fits a datagram.
pub fn mismatches(
    directory: &Directory,
    parts: u16,
    remote: &[u32],
    rng: &mut SmallRng,
) -> Mismatches {
    let remote_hashes: BTreeSet<u32> = remote.iter().copied().collect();
    let (matched, mut member_digests): (Vec<MemberDigest>, Vec<MemberDigest>) = directory
        .member_digests_in(parts)
        .partition(|member_digest| remote_hashes.contains(&short_hash(member_digest)));
    let matched: BTreeSet<u32> = matched.iter().map(short_hash).collect();
    let mut unmatched: Vec<u32> = remote_hashes.difference(&matched).copied().collect();
    sample(&mut member_digests, MAX_MEMBER_DIGESTS, rng);
    sample(&mut unmatched, UNMATCHED_BYTES / HASH_BYTES, rng);
    Mismatches {
        member_digests,
        unmatched,
    }
}

/// The digests of the members of these hashes, but for those that the other has named.
pub fn member_digests_of(
    directory: &Directory,
    hashes: &[u32],
    named: &[MemberDigest],
) -> Vec<MemberDigest> {
    let named: BTreeSet<SocketAddr> = named
        .iter()
        .map(|member_digest| member_digest.owner)
        .collect();
    let by_hash: BTreeMap<u32, MemberDigest> = directory
        .member_digests_in(u16::MAX)
        .map(|member_digest| (short_hash(&member_digest), member_digest))
        .collect();
    let wanted = hashes.iter().filter_map(|hash| by_hash.get(hash));
    wanted
        .filter(|member_digest| !named.contains(&member_digest.owner))
        .copied()
        .collect()
}

/// Member digests in batches that each fit a datagram.
pub fn datagram_batches(
    member_digests: &[MemberDigest],
) -> impl Iterator<Item = Vec<MemberDigest>> + '_ {
    member_digests
        .chunks(MAX_MEMBER_DIGESTS)
        .map(<[MemberDigest]>::to_vec)
}

/// Leaves `most` of these at random: what is left out is found by the next repair, and not by all the same.
fn sample<T>(items: &mut Vec<T>, most: usize, rng: &mut SmallRng) {
    if items.len() <= most {
        return;
    }
    for index in 0..most {
        let other = rng.random_range(index..items.len());
        items.swap(index, other);
    }
    items.truncate(most);
}

/// How many times as often a repair is begun while views differ.
const DIFFERING_SPEEDUP: Micros = 4;
/// Probe periods for which views count as differing after they were found to.
const DIFFERING_PROBES: Micros = 2;

/// When the next repair is begun: each probe period while views agree, more often while they differ.
#[derive(Debug)]
pub struct RepairSchedule {
    probe: Micros,
    next_at: Micros,
    /// Until when views count as differing.
    differing_until: Micros,
}

impl RepairSchedule {
    /// A schedule by the probe period, begun at a random time in the first.
    pub fn new(probe: Micros, rng: &mut SmallRng) -> RepairSchedule {
        RepairSchedule {
            probe,
            next_at: rng.random_range(0..probe.max(1)),
            differing_until: 0,
        }
    }

    /// When [`RepairSchedule::take_due`] is wanted next.
    pub fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Whether a repair is to be begun now; if so, the one after it is set, out of step with those of others.
    pub fn take_due(&mut self, now: Micros, rng: &mut SmallRng) -> bool {
        if now < self.next_at {
            return false;
        }
        let period = if now < self.differing_until {
            self.probe / DIFFERING_SPEEDUP
        } else {
            self.probe
        };
        self.next_at = now + period / 2 + rng.random_range(0..=period);
        true
    }

    /// A view was found to differ, or has just changed.
    pub fn speed_up(&mut self, now: Micros) {
        self.differing_until = now + DIFFERING_PROBES * self.probe;
        self.next_at = self.next_at.min(now + self.probe / DIFFERING_SPEEDUP);
    }
}
