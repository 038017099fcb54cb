//! The status of a fair queue, for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identifiers::TenantName;

/// Counts of a tenant's statements by what happened to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCounters {
    /// Statements accepted into the queue.
    pub enqueued: u64,
    /// Statements rejected on arrival.
    pub rejected: u64,
    /// Statements that were given a slot.
    pub admitted: u64,
    /// Statements that have finished and freed their slot.
    pub finished: u64,
    /// Statements that expired while they waited.
    pub expired: u64,
    /// Statements that their owner withdrew from the queue.
    pub withdrawn: u64,
    /// Slot time of the finished statements.
    pub busy: Duration,
}

/// The status of one tenant in a fair queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantStatus {
    /// The tenant's share relative to other tenants.
    pub weight: u32,
    /// Number of waiting statements.
    pub queued: usize,
    /// Number of statements that hold a slot.
    pub running: usize,
    /// Average busy time of the tenant's statements; `None` before the first has finished.
    pub service_time: Option<Duration>,
    /// Busy time that few of the tenant's statements exceed.
    pub service_time_upper: Duration,
    /// Average time between two admissions of the tenant's statements while others of them waited; `None` before
    /// the first.
    pub drain_interval: Option<Duration>,
    /// Counts of the tenant's statements by what happened to them.
    pub counters: TenantCounters,
}

/// The status of a fair queue at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Greatest number of statements that may run at a time.
    pub slots: u32,
    /// Number of waiting statements.
    pub queued: usize,
    /// Number of statements that hold a slot.
    pub running: usize,
    /// Number of reports of the end of a statement that held no slot. Should stay 0.
    pub unknown_finished: u64,
    /// Status by tenant.
    pub tenants: BTreeMap<TenantName, TenantStatus>,
}
