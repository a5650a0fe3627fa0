//! What one member holds of another, in short, and its hash: what anti-entropy repair compares. No I/O.
use super::identity::{address_hash, mix};
use super::record::Stamp;
use std::net::SocketAddr;

/// Parts that a view's digest is told by; a bit each in a message's set of parts.
pub const PARTS: usize = 16;

/// Whether a member takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Counted alive.
    Alive,
    /// Told by itself that it leaves.
    Left,
    /// Declared down.
    Down,
}

impl Liveness {
    /// All of them, by their number on the wire.
    pub const ALL: [Liveness; 3] = [Liveness::Alive, Liveness::Left, Liveness::Down];

    /// Whether it no longer takes part.
    pub fn is_gone(self) -> bool {
        self != Liveness::Alive
    }
}

/// What somebody holds of a member, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberDigest {
    /// The member.
    pub owner: SocketAddr,
    /// Its incarnation, and the version of the record held; version 0: none.
    pub stamp: Stamp,
    /// Whether it takes part.
    pub liveness: Liveness,
    /// The checksum of the record's content; 0: no record.
    pub checksum: u32,
}

pub(super) fn part_of(addr: SocketAddr) -> usize {
    (mix(address_hash(addr)) % PARTS as u64) as usize
}

pub(super) fn member_digest_hash(member_digest: &MemberDigest) -> u64 {
    let content = u64::from(member_digest.stamp.version) << 32 | u64::from(member_digest.checksum);
    mix(mix(mix(address_hash(member_digest.owner)) ^ member_digest.stamp.incarnation) ^ content)
}

/// A member digest's hash as messages tell it.
pub fn short_hash(member_digest: &MemberDigest) -> u32 {
    short(member_digest_hash(member_digest))
}

pub(super) fn short(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}
