//! What goes into a fair queue and what comes out of it.

use std::time::Duration;

use crate::identifiers::TenantName;
use crate::policy::Urgency;
use crate::time::Timestamp;

/// Identifies a statement in one fair queue, from its arrival until it has finished running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Whether a statement already holds a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It belongs to an open transaction, which holds a connection. Runs before the tenant's
    /// fresh statements, and the queue limit does not count it.
    Continuation,
    /// It needs a connection first.
    Fresh,
}

/// A statement that asks for a slot.
#[derive(Clone, Debug)]
pub struct Submission<T> {
    /// On whose share it runs.
    pub tenant: TenantName,
    /// The tenant's share relative to other tenants; 0 counts as 1.
    pub weight: u32,
    /// Fresh statements of this tenant that may wait at one time.
    pub queue_limit: u32,
    /// Whether it holds a connection already.
    pub stage: Stage,
    /// Order among the tenant's own statements.
    pub urgency: Urgency,
    /// When its caller stops waiting for the answer. It is given up on before that, once it can no
    /// longer be expected to end in time.
    pub deadline: Timestamp,
    /// The statement itself, handed back unchanged.
    pub item: T,
}

/// A statement that has a slot until [`FairQueue::finished`](super::FairQueue::finished).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted<T> {
    /// Names the slot.
    pub ticket: Ticket,
    /// On whose share it runs.
    pub tenant: TenantName,
    /// Whether it holds a connection already.
    pub stage: Stage,
    /// Time spent in the queue.
    pub waited: Duration,
    /// The statement itself.
    pub item: T,
}

/// Why a statement was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// The tenant's queue is full.
    QueueFull,
    /// The deadline has already passed.
    DeadlinePassed,
    /// At the rate at which the tenant's queue drains, the deadline would pass in the queue.
    WaitTooLong,
}

/// A statement that was not queued. It was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected<T> {
    /// Why.
    pub reason: RejectionReason,
    /// When to come back, from the rate at which the tenant's queue drains. Never zero.
    pub retry_after: Duration,
    /// The statement itself.
    pub item: T,
}

/// A statement that waited until it could not be expected to end in time. It was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired<T> {
    /// The ticket it was queued under; no longer valid.
    pub ticket: Ticket,
    /// Whose statement it was.
    pub tenant: TenantName,
    /// When to come back, from the rate at which the tenant's queue drains. Never zero.
    pub retry_after: Duration,
    /// The statement itself.
    pub item: T,
}

/// A queued statement that was taken out by its owner. It was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawn<T> {
    /// The ticket it was queued under; no longer valid.
    pub ticket: Ticket,
    /// Whose statement it was.
    pub tenant: TenantName,
    /// The statement itself.
    pub item: T,
}
