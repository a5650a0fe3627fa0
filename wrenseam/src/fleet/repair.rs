//! Anti-entropy between two members: which parts of the views to compare, what the other's claims call for, and how
//! often to ask. No I/O; docs/fleet-view.md weighs it against other ways.
use super::directory::{short_hash, Claim, Directory, Liveness, Verdict, PARTS};
use super::identity::PeerId;
use super::message::MAX_BODY;
use super::record::Stamp;
use rand::{rngs::SmallRng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wrenseam_policy::Micros;

/// Hashes that fit a datagram.
const HASHES_AT_MOST: usize = (MAX_BODY - 2) / 4;
/// Bytes of a claim of an IPv6 member, the larger of the two.
const CLAIM_BYTES: usize = 36;
/// The part of a datagram that unmatched hashes take at the most.
const UNMATCHED_BYTES: usize = MAX_BODY / 3;
/// Claims that surely fit a datagram, beside unmatched hashes.
const CLAIMS_AT_MOST: usize = (MAX_BODY - UNMATCHED_BYTES - 3) / CLAIM_BYTES;

/// What is to be done about somebody's claims.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Members alive that are not known, or not in this incarnation.
    pub learn: Vec<PeerId>,
    /// Members that told that they leave.
    pub left: Vec<PeerId>,
    /// Members alive here that the other holds as gone.
    pub disputes: Vec<PeerId>,
    /// Newer stamps of contents held.
    pub restamps: Vec<Claim>,
    /// Members whose record is wanted.
    pub wanted: Vec<SocketAddr>,
    /// What is held here and newer than what the other holds.
    pub newer: Vec<Claim>,
    /// A stamp that our own has to be larger than.
    pub outbid: Option<Stamp>,
}

/// Compares somebody's claims with what is held here.
pub fn compare(directory: &Directory, claims: &[Claim]) -> Findings {
    let mut found = Findings::default();
    claims
        .iter()
        .for_each(|claim| found.sort_in(directory, claim));
    found
}

impl Findings {
    fn sort_in(&mut self, directory: &Directory, claim: &Claim) {
        let id = PeerId {
            addr: claim.owner,
            incarnation: claim.stamp.incarnation,
        };
        match directory.weigh(claim) {
            Verdict::Same => {}
            Verdict::Behind => self.newer.extend(directory.claim(claim.owner)),
            Verdict::Learn => {
                self.learn.push(id);
                if directory.has_content(claim) {
                    self.restamps.push(*claim);
                } else if claim.checksum != 0 {
                    self.wanted.push(claim.owner);
                }
            }
            Verdict::Fetch => self.wanted.push(claim.owner),
            Verdict::Restamp => self.restamps.push(*claim),
            Verdict::Dispute => self.disputes.push(id),
            Verdict::Left => self.left.push(id),
            Verdict::Outbid => self.outbid = self.outbid.max(Some(outbid(claim))),
        }
    }
}

/// The stamp that the owner's next has to be larger than: for one held as gone, all of that incarnation.
fn outbid(claim: &Claim) -> Stamp {
    let version = if claim.liveness == Liveness::Alive {
        claim.stamp.version
    } else {
        u32::MAX
    };
    Stamp {
        version,
        ..claim.stamp
    }
}

/// The parts in which two views differ.
pub fn differing(mine: &[u32; PARTS], theirs: &[u32; PARTS]) -> u16 {
    let parts = mine
        .iter()
        .zip(theirs)
        .enumerate()
        .filter(|(_, (mine, theirs))| mine != theirs);
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
            .claims_in(bit)
            .map(|claim| short_hash(&claim))
            .collect();
        if chosen != 0 && hashes.len() + more.len() > HASHES_AT_MOST {
            break;
        }
        chosen |= bit;
        hashes.extend(more);
    }
    hashes.truncate(HASHES_AT_MOST);
    (chosen, hashes)
}

/// What is held in these parts and is not among the other's hashes, and which of those are of nothing held here.
pub fn mismatches(
    directory: &Directory,
    parts: u16,
    theirs: &[u32],
    rng: &mut SmallRng,
) -> (Vec<Claim>, Vec<u32>) {
    let theirs_set: BTreeSet<u32> = theirs.iter().copied().collect();
    let (matched, mut claims): (Vec<Claim>, Vec<Claim>) = directory
        .claims_in(parts)
        .partition(|claim| theirs_set.contains(&short_hash(claim)));
    let matched: BTreeSet<u32> = matched.iter().map(short_hash).collect();
    let mut unmatched: Vec<u32> = theirs_set.difference(&matched).copied().collect();
    keep_some(&mut claims, CLAIMS_AT_MOST, rng);
    keep_some(&mut unmatched, UNMATCHED_BYTES / 4, rng);
    (claims, unmatched)
}

/// What is held of the members of these hashes, but for those that the other has named.
pub fn claims_of(directory: &Directory, hashes: &[u32], named: &[Claim]) -> Vec<Claim> {
    let named: BTreeSet<SocketAddr> = named.iter().map(|claim| claim.owner).collect();
    let held: BTreeMap<u32, Claim> = directory
        .claims_in(u16::MAX)
        .map(|claim| (short_hash(&claim), claim))
        .collect();
    let wanted = hashes.iter().filter_map(|hash| held.get(hash));
    wanted
        .filter(|claim| !named.contains(&claim.owner))
        .copied()
        .collect()
}

/// Claims in parts that each fit a datagram.
pub fn in_datagrams(claims: &[Claim]) -> impl Iterator<Item = Vec<Claim>> + '_ {
    claims.chunks(CLAIMS_AT_MOST).map(<[Claim]>::to_vec)
}

/// Keeps so many at random: what is left out is found by the next repair, and not by all the same.
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
pub struct Pace {
    probe: Micros,
    next_at: Micros,
    /// Until when views count as differing.
    busy_until: Micros,
}

impl Pace {
    /// A pace by the probe period, begun at a random time in the first.
    pub fn new(probe: Micros, rng: &mut SmallRng) -> Pace {
        Pace {
            probe,
            next_at: rng.random_range(0..probe.max(1)),
            busy_until: 0,
        }
    }

    /// When [`Pace::is_due`] is wanted next.
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

    /// A view was found to differ, or has just changed.
    pub fn differs(&mut self, now: Micros) {
        self.busy_until = now + 2 * self.probe;
        self.next_at = self.next_at.min(now + self.probe / 4);
    }
}
