//! Digests of the live members, by bucket, with which two nodes find the entries that differ between them.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::identifiers::NodeName;

use super::member::Record;

/// Number of buckets over which members are distributed.
pub(super) const BUCKETS: usize = 64;

/// One digest for each bucket of live members.
#[derive(Clone, Debug)]
pub(super) struct Digests {
    buckets: [u64; BUCKETS],
}

impl Digests {
    pub(super) const fn new() -> Self {
        Self {
            buckets: [0; BUCKETS],
        }
    }

    /// Adds a live member, or removes one that was added.
    pub(super) fn toggle(&mut self, record: &Record) {
        self.buckets[bucket_of(&record.node)] ^= hash_of(record);
    }

    /// Combined digest of all buckets.
    pub(super) fn whole(&self) -> u64 {
        self.buckets.iter().fold(0, |whole, bucket| whole ^ bucket)
    }

    /// The digests of all buckets as sent to peers, shortened to 32 bits each.
    pub(super) fn to_wire(&self) -> Vec<u32> {
        self.buckets.iter().copied().map(shorten).collect()
    }

    /// For each bucket, true if its digest differs from the peer's.
    pub(super) fn differing(&self, peer: &[u32]) -> [bool; BUCKETS] {
        std::array::from_fn(|bucket| peer.get(bucket) != Some(&shorten(self.buckets[bucket])))
    }
}

/// The bucket of `node`.
pub(super) fn bucket_of(node: &NodeName) -> usize {
    (xxh3_64(node.as_str().as_bytes()) % BUCKETS as u64) as usize
}

fn shorten(digest: u64) -> u32 {
    (digest ^ (digest >> u32::BITS)) as u32
}

fn hash_of(record: &Record) -> u64 {
    let node = xxh3_64(record.node.as_str().as_bytes());
    let renewed = u64::from(record.incarnation.renewed);
    let leaving = u64::from(record.leaving);
    let words = [record.incarnation.started, renewed, leaving];
    let bytes: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
    xxh3_64_with_seed(&bytes, node)
}
