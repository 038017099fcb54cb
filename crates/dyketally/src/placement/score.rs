//! Scores of weighted rendezvous hashing.

use std::cmp::Ordering;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::identifiers::{DatabaseName, Locality, NodeName, TenantName};

// Seeds that give a database, a node, a tenant and a zone's relays different keys.
const RELAY_KEY_SEED: u64 = 1;
const NODE_KEY_SEED: u64 = 2;
const TENANT_KEY_SEED: u64 = 3;
/// Bits of a hash that an `f64` holds exactly.
const UNIT_BITS: u32 = 53;

/// Hash of what nodes are scored for: a database, a node, a tenant or the relays of a zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Key(u64);

impl Key {
    pub(super) fn of_database(database: &DatabaseName) -> Self {
        Self(xxh3_64(database.as_str().as_bytes()))
    }

    pub(super) fn of_node(node: &NodeName) -> Self {
        Self(xxh3_64_with_seed(node.as_str().as_bytes(), NODE_KEY_SEED))
    }

    pub(super) fn of_tenant(tenant: &TenantName) -> Self {
        let name = tenant.as_str().as_bytes();
        Self(xxh3_64_with_seed(name, TENANT_KEY_SEED))
    }

    pub(super) fn of_relays(zone: &Locality) -> Self {
        let region = xxh3_64_with_seed(zone.region.as_str().as_bytes(), RELAY_KEY_SEED);
        Self(xxh3_64_with_seed(zone.zone.as_str().as_bytes(), region))
    }

    /// The score of `node`. Its chance of the highest score is proportional to `weight`.
    pub(super) fn score(self, node: &NodeName, weight: u16) -> Score {
        let hash = xxh3_64_with_seed(node.as_str().as_bytes(), self.0);
        Score(-f64::from(weight) / unit_interval(hash).ln())
    }
}

/// A score; greater is better.
#[derive(Clone, Copy, Debug)]
pub(super) struct Score(f64);

impl Score {
    pub(super) fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Maps a hash to the open interval between 0 and 1.
fn unit_interval(hash: u64) -> f64 {
    let bits = hash >> (u64::BITS - UNIT_BITS);
    (bits as f64 + 0.5) / (1u64 << UNIT_BITS) as f64
}
