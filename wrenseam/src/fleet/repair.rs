//! Anti-entropy repair between two members: which parts of their views to compare, what to do about the differences,
//! and when to start a repair. No I/O; docs/fleet-view.md compares this with alternatives.
use super::directory::{Directory, MergeAction};
use super::identity::PeerId;
use super::member_digest::{short_hash, Liveness, MemberDigest, PARTS};
use super::message::MAX_BODY_BYTES;
use super::record::Stamp;
use rand::{rngs::SmallRng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Size of a hash on the wire.
const HASH_BYTES: usize = 4;
/// Maximum number of hashes in a datagram, after the two bytes of the set of parts.
const MAX_HASHES: usize = (MAX_BODY_BYTES - 2) / HASH_BYTES;
/// Maximum size of a member digest on the wire: that of a member with an IPv6 address.
const MEMBER_DIGEST_BYTES: usize = 36;
/// Maximum size of the unmatched hashes in a datagram, which leaves room for member digests.
const UNMATCHED_BYTES: usize = MAX_BODY_BYTES / 3;
/// Number of member digests that always fit a datagram together with unmatched hashes.
const MAX_MEMBER_DIGESTS: usize = (MAX_BODY_BYTES - UNMATCHED_BYTES - 3) / MEMBER_DIGEST_BYTES;

/// The actions that follow from another member's digests.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergePlan {
    /// Live members to add: they are unknown here, or known in a smaller incarnation.
    pub add: Vec<PeerId>,
    /// Members that announced that they leave.
    pub left: Vec<PeerId>,
    /// Members that are alive here but gone according to the other member.
    pub check_liveness: Vec<PeerId>,
    /// Digests with a newer stamp for record content that is known here.
    pub adopt_stamps: Vec<MemberDigest>,
    /// Members whose records to request.
    pub wanted: Vec<SocketAddr>,
    /// Digests of members of which more recent state is known here, to send back.
    pub newer: Vec<MemberDigest>,
    /// The stamp that this front end's next record must exceed to refute the other's digest of it. `None` if there is
    /// nothing to refute.
    pub refute_above: Option<Stamp>,
}

/// Compares another member's digests with the directory.
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

/// The stamp that the owner's next record must exceed. If the digest counts the owner as gone, that is the largest of
/// its incarnation.
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

/// The parts in which two views differ, as a bit set.
pub fn differing_parts(local: &[u32; PARTS], remote: &[u32; PARTS]) -> u16 {
    let mut differing = 0;
    for (part, (local, remote)) in local.iter().zip(remote).enumerate() {
        if local != remote {
            differing |= 1 << part;
        }
    }
    differing
}

/// The hashes of the members in some of the parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartHashes {
    /// The parts, as a bit set.
    pub parts: u16,
    /// The hashes of the live members in these parts.
    pub hashes: Vec<u32>,
}

/// The hashes of the differing parts, from a random part on, as far as they fit a datagram. Covers at least one part,
/// whose hashes are truncated if they do not fit.
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
        let part_hashes: Vec<u32> = in_part
            .map(|member_digest| short_hash(&member_digest))
            .collect();
        if parts != 0 && hashes.len() + part_hashes.len() > MAX_HASHES {
            break;
        }
        parts |= bit;
        hashes.extend(part_hashes);
    }
    hashes.truncate(MAX_HASHES);
    PartHashes { parts, hashes }
}

/// The differences between another member's hashes and the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatches {
    /// Digests known here whose hashes the other member did not send.
    pub member_digests: Vec<MemberDigest>,
    /// Hashes that the other member sent and that match no digest known here.
    pub unmatched: Vec<u32>,
}

/// The differences in these parts between another member's hashes and the directory. If they do not fit a datagram, a
/// random selection.
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

/// The member digests with these hashes, except those of members that are also in `received`.
pub fn member_digests_of(
    directory: &Directory,
    hashes: &[u32],
    received: &[MemberDigest],
) -> Vec<MemberDigest> {
    let received_owners: BTreeSet<SocketAddr> = received
        .iter()
        .map(|member_digest| member_digest.owner)
        .collect();
    let by_hash: BTreeMap<u32, MemberDigest> = directory
        .member_digests_in(u16::MAX)
        .map(|member_digest| (short_hash(&member_digest), member_digest))
        .collect();
    let wanted = hashes.iter().filter_map(|hash| by_hash.get(hash));
    wanted
        .filter(|member_digest| !received_owners.contains(&member_digest.owner))
        .copied()
        .collect()
}

/// Splits member digests into batches that each fit a datagram.
pub fn datagram_batches(
    member_digests: &[MemberDigest],
) -> impl Iterator<Item = Vec<MemberDigest>> + '_ {
    member_digests
        .chunks(MAX_MEMBER_DIGESTS)
        .map(<[MemberDigest]>::to_vec)
}

/// Reduces `items` to at most `count`, chosen at random. The next repair finds the others. As the choice is random,
/// repairs with different members do not all omit the same ones.
fn sample<T>(items: &mut Vec<T>, count: usize, rng: &mut SmallRng) {
    if items.len() <= count {
        return;
    }
    for index in 0..count {
        let other = rng.random_range(index..items.len());
        items.swap(index, other);
    }
    items.truncate(count);
}

/// The factor by which repairs start more often while views differ.
const DIFFERING_SPEEDUP: Micros = 4;
/// Number of probe periods for which views count as differing after a difference was found.
const DIFFERING_PROBES: Micros = 2;

/// Decides when to start the next repair: once per probe period on average while views agree, more often while they
/// differ.
#[derive(Debug)]
pub struct RepairSchedule {
    /// The probe period.
    probe: Micros,
    next_at: Micros,
    /// The time until which views count as differing.
    differing_until: Micros,
}

impl RepairSchedule {
    /// A schedule for this probe period. The first repair is due at a random time within one probe period from time 0.
    pub fn new(probe: Micros, rng: &mut SmallRng) -> RepairSchedule {
        RepairSchedule {
            probe,
            next_at: rng.random_range(0..probe.max(1)),
            differing_until: 0,
        }
    }

    /// When [`RepairSchedule::take_due`] must be called next.
    pub fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Whether to start a repair now. If so, schedules the next one after a random time, between half a period and one
    /// and a half, so that the repairs of different members do not coincide.
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

    /// Makes repairs more frequent for a while, as another member's view differs or this front end's has just changed.
    pub fn speed_up(&mut self, now: Micros) {
        self.differing_until = now + DIFFERING_PROBES * self.probe;
        self.next_at = self.next_at.min(now + self.probe / DIFFERING_SPEEDUP);
    }
}
