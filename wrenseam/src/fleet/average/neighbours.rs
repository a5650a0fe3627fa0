//! Selects the members with which a front end exchanges: its neighbours on rings ordered by hash. No I/O.
use crate::fleet::identity::{address_hash, mix};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of rings of members. On each, a front end sends requests to its successor and answers those of its
/// predecessor. Four rings form a random graph of degree 8, on which the error of an estimate falls by a factor of e in
/// about 0.3 s at a probe period of 500 ms.
pub const RINGS: usize = 4;

/// Spreads the index of a ring over all bits of a hash: 2^64 divided by the golden ratio, as in SplitMix64.
const RING_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A front end's role on an edge to a neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeRole {
    /// It sends requests to the neighbour.
    Requester,
    /// It answers the neighbour's requests.
    Responder,
}

/// The nearest member in one direction on a ring.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingNeighbour {
    /// The distance on the ring, as a difference of hashes.
    distance: u64,
    addr: SocketAddr,
}

/// The neighbours of `own` among `members`, with the role of `own` on each edge. A front end sends requests to its
/// successors. If two front ends are each other's successor on different rings, the one with the lower address sends
/// the requests. Front ends with the same set of members agree on all edges and roles.
pub fn neighbours(
    own: SocketAddr,
    members: impl Iterator<Item = SocketAddr>,
) -> BTreeMap<SocketAddr, EdgeRole> {
    let own_positions: [u64; RINGS] = std::array::from_fn(|ring| position(own, ring));
    let mut successors = [None::<RingNeighbour>; RINGS];
    let mut predecessors = [None::<RingNeighbour>; RINGS];
    for addr in members.filter(|&addr| addr != own) {
        for ring in 0..RINGS {
            let remote = position(addr, ring);
            let distance_after = remote.wrapping_sub(own_positions[ring]);
            let distance_before = own_positions[ring].wrapping_sub(remote);
            keep_nearest(&mut successors[ring], addr, distance_after);
            keep_nearest(&mut predecessors[ring], addr, distance_before);
        }
    }
    let mut roles = BTreeMap::new();
    for predecessor in predecessors.iter().flatten() {
        roles.insert(predecessor.addr, EdgeRole::Responder);
    }
    for successor in successors.iter().flatten() {
        let has_role = roles.contains_key(&successor.addr);
        if !has_role || own < successor.addr {
            roles.insert(successor.addr, EdgeRole::Requester);
        }
    }
    roles
}

/// A member's position on a ring.
fn position(addr: SocketAddr, ring: usize) -> u64 {
    mix(address_hash(addr) ^ (ring as u64 + 1).wrapping_mul(RING_SALT))
}

/// Replaces the nearest member so far by the one at `addr` if that is nearer.
fn keep_nearest(nearest: &mut Option<RingNeighbour>, addr: SocketAddr, distance: u64) {
    let candidate = RingNeighbour { distance, addr };
    *nearest = Some(nearest.map_or(candidate, |known| known.min(candidate)));
}
