//! Statements as they enter a fair queue, and the results with which they leave it.

use std::time::Duration;

use crate::identifiers::TenantName;
use crate::policy::Urgency;
use crate::time::Timestamp;

/// Identifies a statement in one fair queue, from its arrival until it has finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Whether a statement already holds a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The statement belongs to an open transaction, which holds a connection. It runs before the tenant's
    /// fresh statements and doesn't count towards the queue limit.
    Continuation,
    /// The statement needs a connection before it can run.
    Fresh,
}

/// A statement that requests a slot.
#[derive(Clone, Debug)]
pub struct Submission<T> {
    /// The tenant to whose share the statement's slot time is charged.
    pub tenant: TenantName,
    /// The tenant's share relative to other tenants; 0 counts as 1.
    pub weight: u32,
    /// Greatest number of this tenant's fresh statements that may wait at a time.
    pub queue_limit: u32,
    /// Whether the statement already holds a connection.
    pub stage: Stage,
    /// Order among the tenant's own statements.
    pub urgency: Urgency,
    /// When the caller stops waiting for the answer. The statement expires earlier, once it can no longer be
    /// expected to end by then.
    pub deadline: Timestamp,
    /// The statement itself, returned unchanged.
    pub item: T,
}

/// A statement that has a slot until [`FairQueue::finished`](super::FairQueue::finished).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted<T> {
    /// Identifies the slot.
    pub ticket: Ticket,
    /// The tenant to whose share the statement's slot time is charged.
    pub tenant: TenantName,
    /// Whether the statement already holds a connection.
    pub stage: Stage,
    /// Time that the statement spent in the queue.
    pub waited: Duration,
    /// The statement itself.
    pub item: T,
}

/// The reason for which a statement was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// The tenant's queue limit has been reached.
    QueueFull,
    /// The deadline has already passed.
    DeadlinePassed,
    /// At the rate at which the tenant's queue drains, the statement would expire in the queue.
    WaitTooLong,
}

/// A statement that was not queued, and has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected<T> {
    /// The reason for which it was not queued.
    pub reason: RejectionReason,
    /// Time after which to retry, from the rate at which the tenant's queue drains. Never zero.
    pub retry_after: Duration,
    /// The statement itself.
    pub item: T,
}

/// A statement that waited until it could no longer be expected to end before its deadline, and has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired<T> {
    /// The ticket it was queued under; no longer valid.
    pub ticket: Ticket,
    /// Whose statement it was.
    pub tenant: TenantName,
    /// Time after which to retry, from the rate at which the tenant's queue drains. Never zero.
    pub retry_after: Duration,
    /// The statement itself.
    pub item: T,
}

/// A queued statement that its owner withdrew. It has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawn<T> {
    /// The ticket it was queued under; no longer valid.
    pub ticket: Ticket,
    /// Whose statement it was.
    pub tenant: TenantName,
    /// The statement itself.
    pub item: T,
}
