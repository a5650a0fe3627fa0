//! Anti-entropy between two members: which buckets to compare, what the other's claims call for, and how often to
//! ask. No I/O; docs/fleet-view.md weighs it against other ways.
use super::directory::{bucket_bit, Claim, Directory, Liveness, Verdict, BUCKETS};
use super::identity::PeerId;
use super::message::MAX_BODY;
use super::record::Stamp;
use bramblepath::Micros;
use rand::{rngs::SmallRng, RngExt};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Bytes of a claim of an IPv6 member: the larger of the two.
const CLAIM_BYTES: usize = 36;
/// Claims that surely fit a datagram.
const CLAIMS_AT_MOST: usize = (MAX_BODY - 9) / CLAIM_BYTES;
/// Records that one answer sends: two to three datagrams of records as the program writes them.
const RECORDS_AT_MOST: usize = 30;
/// Members that a front end lacks in the buckets that it asks for at once, about: their records come in one answer.
const LACKED_AT_MOST: usize = 24;

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
    /// What the other needs and a claim tells.
    pub claims: Vec<Claim>,
    /// Members whose record the other needs.
    pub records: Vec<SocketAddr>,
    /// A stamp that our own has to be larger than.
    pub outbid: Option<Stamp>,
}

/// Compares somebody's claims with what is held. `asked`: the buckets that the claims are all of, if the other wants
/// to be told what it lacks; else it is the answer to our own, and only what we lack is of interest.
pub fn compare(directory: &Directory, claims: &[Claim], asked: Option<u64>) -> Findings {
    let mut found = Findings::default();
    for claim in claims {
        found.sort_in(directory, claim, asked.is_some());
    }
    if let Some(buckets) = asked {
        let named: BTreeSet<SocketAddr> = claims.iter().map(|claim| claim.owner).collect();
        let unnamed = directory.claims_in(buckets).filter(|mine| !named.contains(&mine.owner));
        unnamed.filter(|mine| !mine.liveness.is_gone()).for_each(|mine| found.tell(&mine, None));
        found.records.truncate(RECORDS_AT_MOST);
        found.claims.truncate(CLAIMS_AT_MOST);
    }
    found
}

impl Findings {
    fn sort_in(&mut self, directory: &Directory, claim: &Claim, asked: bool) {
        let id = PeerId { addr: claim.owner, incarnation: claim.stamp.incarnation };
        match directory.weigh(claim) {
            Verdict::Same => {}
            Verdict::Behind if asked => {
                if let Some(mine) = directory.claim(claim.owner) {
                    self.tell(&mine, Some(claim));
                }
            }
            Verdict::Behind => {}
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

    /// Ours is newer than the other's: a claim will do where the other has the content, or there is none.
    fn tell(&mut self, mine: &Claim, theirs: Option<&Claim>) {
        let has_content = theirs.is_some_and(|theirs| theirs.checksum == mine.checksum);
        if mine.liveness.is_gone() || mine.checksum == 0 || has_content {
            self.claims.push(*mine);
        } else {
            self.records.push(mine.owner);
        }
    }
}

/// The stamp that the owner's next has to be larger than: for one held as gone, all of that incarnation.
fn outbid(claim: &Claim) -> Stamp {
    let version = if claim.liveness == Liveness::Alive { claim.stamp.version } else { u32::MAX };
    Stamp { version, ..claim.stamp }
}

/// The buckets in which two views differ.
pub fn differing(mine: &[u32; BUCKETS], theirs: &[u32; BUCKETS]) -> u64 {
    let bits = mine.iter().zip(theirs).enumerate().filter(|(_, (mine, theirs))| mine != theirs);
    bits.fold(0, |set, (bucket, _)| set | 1 << bucket)
}

/// So many of the differing buckets, from a random one on, that their claims fit a datagram and the records that may
/// be lacking an answer; at least one. `known` is about how many members the larger view holds.
pub fn choose(directory: &Directory, differing: u64, known: usize, rng: &mut SmallRng) -> u64 {
    let start = rng.random_range(0..BUCKETS);
    let (mut chosen, mut held, mut buckets) = (0u64, 0, 0);
    for bucket in (0..BUCKETS).map(|i| (start + i) % BUCKETS) {
        let bit = 1u64 << bucket;
        if differing & bit == 0 {
            continue;
        }
        let more = directory.claims_in(bit).count();
        let lacked = (buckets + 1) * known / BUCKETS;
        if chosen != 0 && (held + more > CLAIMS_AT_MOST || lacked > LACKED_AT_MOST + held + more) {
            break;
        }
        chosen |= bit;
        held += more;
        buckets += 1;
    }
    chosen
}

/// What is held in these buckets, as far as it fits a datagram.
pub fn claims_for(directory: &Directory, buckets: u64) -> Vec<Claim> {
    directory.claims_in(buckets).take(CLAIMS_AT_MOST).collect()
}

/// Whether a member's bucket is among these.
pub fn covers(buckets: u64, addr: SocketAddr) -> bool {
    buckets & bucket_bit(addr) != 0
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
        Pace { probe, next_at: rng.random_range(0..probe.max(1)), busy_until: 0 }
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
        let period = if now < self.busy_until { self.probe / 4 } else { self.probe };
        self.next_at = now + period / 2 + rng.random_range(0..=period);
        true
    }

    /// A view was found to differ, or has just changed.
    pub fn differs(&mut self, now: Micros) {
        self.busy_until = now + 2 * self.probe;
        self.next_at = self.next_at.min(now + self.probe / 4);
    }
}
