//! Rendezvous hashing: a pseudo-random order of the workers for each key, such as a function. It is the same at every
//! front end.
use crate::types::FunctionId;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// The weight of a worker for a key; the worker with the highest weight comes first.
pub(crate) fn weight(key: FunctionId, worker: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let hash = worker.bytes().fold(key ^ FNV_OFFSET, fold);
    (hash ^ (hash >> 29)).wrapping_mul(MIX_MULTIPLIER) ^ (hash >> 32)
}
