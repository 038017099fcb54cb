//! What operators can see of a pool.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::identifiers::TenantName;

/// What happened to a pool's connections so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCounters {
    /// Connections that were opened.
    pub opened: u64,
    /// Refused: the database had granted as many as it may.
    pub refused_too_many: u64,
    /// Refused: the database takes no new connections now.
    pub refused_cannot_connect: u64,
    /// The database could not be reached.
    pub unreachable: u64,
    /// Connections given to a statement.
    pub used: u64,
    /// Connections that came back in a condition in which they could not be used again.
    pub returned_dirty: u64,
    /// Connections closed because they were idle or too many.
    pub retired: u64,
    /// Connections that ended without having been asked to.
    pub lost: u64,
    /// Reports about a connection that was not in the state reported. Should stay 0.
    pub unexpected_reports: u64,
}

/// A pool at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Connections that the database grants as a whole.
    pub connection_limit: u32,
    /// Connections that the pool tries to have at most, as learned from refusals.
    pub learned_limit: u32,
    /// Connections that are being opened.
    pub connecting: u32,
    /// Connections that wait for work.
    pub idle: u32,
    /// Connections with a statement outside of a transaction.
    pub busy: u32,
    /// Connections held by open transactions.
    pub pinned: u32,
    /// Connections that are being closed.
    pub closing: u32,
    /// Connections held, by tenant.
    pub held: BTreeMap<TenantName, u32>,
    /// What happened so far.
    pub counters: PoolCounters,
}
