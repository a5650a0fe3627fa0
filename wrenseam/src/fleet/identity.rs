//! The header that all datagrams of the fleet share, the identity of a member, and the hash of its address. No I/O.
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// The largest datagram sent or accepted, in bytes.
pub const MAX_DATAGRAM: usize = 1400;
/// Bytes of the header that all datagrams share.
pub const HEADER_BYTES: usize = 7;
/// Version byte of SWIM datagrams.
pub const SWIM_VERSION: u8 = 1;
/// Version byte of the averaging's datagrams; front ends that support only [`SWIM_VERSION`] drop them as foreign.
pub const AVERAGE_VERSION: u8 = 2;
/// The largest pressure, in thousandths of capacity; larger values are clamped to it. At 8 times its capacity a fleet
/// already rejects 7 of 8 requests.
pub const MAX_PRESSURE: u32 = 8000;
/// The largest valid incarnation: half of the range, so that no incarnation reported by a peer leaves its owner without
/// a larger one.
pub const MAX_INCARNATION: u64 = u64::MAX / 2;

/// Wire value of the address family of IPv4.
const FAMILY_V4: u8 = 4;
/// Wire value of the address family of IPv6.
const FAMILY_V6: u8 = 6;
/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The identity of a front end in the fleet: its gossip address, and an incarnation that tells successive processes at
/// that address apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId {
    /// The address of its gossip socket.
    pub addr: SocketAddr,
    /// Raised with each start of the process, and when it rejoins or refutes that it is down.
    pub incarnation: u64,
}

impl foca::Identity for PeerId {
    type Addr = SocketAddr;

    /// Always `None`: foca's own renewal would declare the former identity down. [`super::swim::Swim`] renews instead.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// The header of a datagram: `wF`, the version byte, and the cluster's id (4 bytes, big-endian).
pub fn header(version: u8, cluster: u32) -> [u8; HEADER_BYTES] {
    let [first, second, third, fourth] = cluster.to_be_bytes();
    [b'w', b'F', version, first, second, third, fourth]
}

/// Appends an address, big-endian: family (1 byte: 4 or 6), port (2), IP address (4 or 16).
pub fn put_address(bytes: &mut Vec<u8>, addr: SocketAddr) {
    bytes.push(if addr.is_ipv4() { FAMILY_V4 } else { FAMILY_V6 });
    bytes.extend(addr.port().to_be_bytes());
    match addr.ip() {
        IpAddr::V4(ip) => bytes.extend(ip.octets()),
        IpAddr::V6(ip) => bytes.extend(ip.octets()),
    }
}

/// Takes an address written by [`put_address`] off the front of `rest`; `None` if `rest` is too short or the family
/// unknown.
pub fn take_address(rest: &mut &[u8]) -> Option<SocketAddr> {
    let [family] = take::<1>(rest)?;
    let port = u16::from_be_bytes(take(rest)?);
    match family {
        FAMILY_V4 => Some(SocketAddr::from((take::<4>(rest)?, port))),
        FAMILY_V6 => Some(SocketAddr::from((take::<16>(rest)?, port))),
        _ => None,
    }
}

/// Takes `N` bytes off the front of `rest`; `None` if it has fewer.
pub fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (head, tail) = rest.split_first_chunk::<N>()?;
    *rest = tail;
    Some(*head)
}

/// The 64-bit FNV-1a hash of the IP address and the port.
pub fn address_hash(addr: SocketAddr) -> u64 {
    let ip_hash = match addr.ip() {
        IpAddr::V4(ip) => fnv_1a(FNV_OFFSET, &ip.octets()),
        IpAddr::V6(ip) => fnv_1a(FNV_OFFSET, &ip.octets()),
    };
    fnv_1a(ip_hash, &addr.port().to_be_bytes())
}

/// Extends a 64-bit FNV-1a hash by `bytes`.
fn fnv_1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of a hash by the finalizer of SplitMix64, so that similar inputs get unrelated outputs.
pub fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
