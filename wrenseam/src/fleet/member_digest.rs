//! Member digests, which summarize what one member knows of another, and their hashes. Anti-entropy repair compares
//! both. No I/O.
use super::identity::{address_hash, mix};
use super::record::Stamp;
use std::net::SocketAddr;

/// The number of parts that a view is split into, by member address. Each part has a digest, and a bit in a message's
/// set of parts.
pub const PARTS: usize = 16;

/// Whether a member is in the fleet, and if not, how it went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// In the fleet.
    Alive,
    /// Left after it announced that.
    Left,
    /// Declared down.
    Down,
}

impl Liveness {
    /// The code on the wire; it must not change, as members of other versions use it.
    pub(super) fn wire_code(self) -> u8 {
        match self {
            Liveness::Alive => 0,
            Liveness::Left => 1,
            Liveness::Down => 2,
        }
    }

    /// The inverse of [`Liveness::wire_code`]; `None` for an unknown code.
    pub(super) fn from_wire_code(code: u8) -> Option<Liveness> {
        match code {
            0 => Some(Liveness::Alive),
            1 => Some(Liveness::Left),
            2 => Some(Liveness::Down),
            _ => None,
        }
    }

    /// Whether the member is no longer in the fleet.
    pub fn is_gone(self) -> bool {
        self != Liveness::Alive
    }
}

/// A summary of what one member knows of another, or of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberDigest {
    /// The gossip address of the member that the digest is about.
    pub owner: SocketAddr,
    /// Its incarnation and the version of its record; version 0 if no record is known.
    pub stamp: Stamp,
    /// Whether it is in the fleet.
    pub liveness: Liveness,
    /// The checksum of the record's content; 0 if no record is known.
    pub checksum: u32,
}

/// The index of the part of the view that a member belongs to.
pub(super) fn part_of(addr: SocketAddr) -> usize {
    (mix(address_hash(addr)) % PARTS as u64) as usize
}

/// A hash of a member digest without its liveness; a part's digest is the XOR of those of its live members.
pub(super) fn member_digest_hash(member_digest: &MemberDigest) -> u64 {
    let content = u64::from(member_digest.stamp.version) << 32 | u64::from(member_digest.checksum);
    mix(mix(mix(address_hash(member_digest.owner)) ^ member_digest.stamp.incarnation) ^ content)
}

/// The hash of a member digest in the 32 bits that messages carry.
pub fn short_hash(member_digest: &MemberDigest) -> u32 {
    fold_to_u32(member_digest_hash(member_digest))
}

/// Folds a hash to the 32 bits that messages carry.
pub(super) fn fold_to_u32(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}
