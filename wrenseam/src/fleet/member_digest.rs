//! The digest of what one member knows of another, and its hash: what anti-entropy repair compares. No I/O.
use super::identity::{address_hash, mix};
use super::record::Stamp;
use std::net::SocketAddr;

/// Parts of a view that have a digest each; a bit each in a message's set of parts.
pub const PARTS: usize = 16;

/// Whether a member is in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Counted alive.
    Alive,
    /// It left after it said so.
    Left,
    /// Declared down.
    Down,
}

impl Liveness {
    /// The number that stands for it on the wire; members of other versions rely on it.
    pub(super) fn wire_code(self) -> u8 {
        match self {
            Liveness::Alive => 0,
            Liveness::Left => 1,
            Liveness::Down => 2,
        }
    }

    /// Reads what [`Liveness::wire_code`] gave.
    pub(super) fn from_wire_code(code: u8) -> Option<Liveness> {
        match code {
            0 => Some(Liveness::Alive),
            1 => Some(Liveness::Left),
            2 => Some(Liveness::Down),
            _ => None,
        }
    }

    /// Whether it is no longer in the fleet.
    pub fn is_gone(self) -> bool {
        self != Liveness::Alive
    }
}

/// What some member knows of a member, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberDigest {
    /// The member.
    pub owner: SocketAddr,
    /// Its incarnation, and the version of the record known; version 0: none.
    pub stamp: Stamp,
    /// Whether it is in the fleet.
    pub liveness: Liveness,
    /// The checksum of the record's content; 0: no record.
    pub checksum: u32,
}

/// The part of the view that a member is in.
pub(super) fn part_of(addr: SocketAddr) -> usize {
    (mix(address_hash(addr)) % PARTS as u64) as usize
}

/// A hash of all that a member digest says; the digests of parts are made of these.
pub(super) fn member_digest_hash(member_digest: &MemberDigest) -> u64 {
    let content = u64::from(member_digest.stamp.version) << 32 | u64::from(member_digest.checksum);
    mix(mix(mix(address_hash(member_digest.owner)) ^ member_digest.stamp.incarnation) ^ content)
}

/// A member digest's hash as messages carry it.
pub fn short_hash(member_digest: &MemberDigest) -> u32 {
    short(member_digest_hash(member_digest))
}

/// Folds a hash to the 32 bits that messages carry.
pub(super) fn short(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}
