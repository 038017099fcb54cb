//! The status of a connection pool, for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::identifiers::TenantName;

/// Counts of the events of a pool's connections so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCounters {
    /// Connections opened.
    pub opened: u64,
    /// Connections refused because the database had reached its connection limit.
    pub refused_too_many: u64,
    /// Connections refused because the database was starting or leaving.
    pub refused_cannot_connect: u64,
    /// Attempts to connect that did not reach the database.
    pub unreachable: u64,
    /// Times that a connection was given to a statement.
    pub used: u64,
    /// Connections returned in a condition in which they could not be used again.
    pub returned_dirty: u64,
    /// Connections closed because of their idle timeout, the limit or a leaving database.
    pub retired: u64,
    /// Connections that ended without the pool having requested it, attempts to connect included.
    pub lost: u64,
    /// Reports that don't fit the state of their connection. Should stay 0.
    pub unexpected_reports: u64,
}

/// The status of a pool at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Number of connections that the database accepts in total.
    pub connection_limit: u32,
    /// Current limit of the pool, at most `connection_limit`; refusals by the database lower it.
    pub learned_limit: u32,
    /// Number of connections that are being opened.
    pub connecting: u32,
    /// Number of idle connections.
    pub idle: u32,
    /// Number of connections in use by a statement outside of a transaction.
    pub busy: u32,
    /// Number of connections in use by open transactions.
    pub pinned: u32,
    /// Number of connections that are being closed.
    pub closing: u32,
    /// Number of connections held, by tenant.
    pub held: BTreeMap<TenantName, u32>,
    /// Counts of the events so far.
    pub counters: PoolCounters,
}
