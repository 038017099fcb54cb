//! What operators can see of a fair queue.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identifiers::TenantName;

/// What became of a tenant's statements so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCounters {
    /// Accepted into the queue.
    pub enqueued: u64,
    /// Turned away on arrival.
    pub rejected: u64,
    /// Given a slot.
    pub admitted: u64,
    /// Slots given back.
    pub finished: u64,
    /// Given up on while they waited.
    pub expired: u64,
    /// Taken out of the queue by their owner.
    pub withdrawn: u64,
    /// Slot time of the finished statements.
    pub busy: Duration,
}

/// One tenant's part of a fair queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantStatus {
    /// Its share relative to other tenants.
    pub weight: u32,
    /// Statements that wait.
    pub queued: usize,
    /// Statements that hold a slot.
    pub running: usize,
    /// Average busy time of its statements; `None` before the first has finished.
    pub service_time: Option<Duration>,
    /// Busy time that few of its statements exceed.
    pub service_time_upper: Duration,
    /// Average time between two admissions while others of its statements waited.
    pub drain_interval: Option<Duration>,
    /// What became of its statements.
    pub counters: TenantCounters,
}

/// A fair queue at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Statements that may run at one time.
    pub slots: u32,
    /// Statements that wait.
    pub queued: usize,
    /// Statements that hold a slot.
    pub running: usize,
    /// Reports of the end of a statement that held no slot. Should stay 0.
    pub unknown_finished: u64,
    /// By tenant.
    pub tenants: BTreeMap<TenantName, TenantStatus>,
}
