//! What a refusal or an answer shows about the database that sent it.
//!
//! This module evaluates what a database reports about its own role and log: whether it leads its group, and
//! whether its log holds a position. Whether the database can be reached, and how fast it answers, is
//! recorded by `database::health`.

use dyketally::group::LogPosition;
use dyketally::statement::FailureKind;

use crate::decision::Operation;
use crate::decision::choose::FreshnessCheck;

/// What a reply shows about a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// The database doesn't lead its group.
    Follows,
    /// The database's log lacked the position that a statement needed.
    Behind {
        /// The needed position.
        needed: LogPosition,
        /// True when the refusal also updates the estimate of the usual replication lag.
        updates_lag_estimate: bool,
    },
    /// The database's log held the position that a statement needed.
    Holds {
        /// The needed position.
        needed: LogPosition,
        /// True when the answer also updates the estimate of the usual replication lag.
        updates_lag_estimate: bool,
    },
}

/// What `refusal` shows about the database that sent it; `check` is what the database had to check first.
///
/// Refusals of reads update the estimate of the replication lag; refusals of writes and transactions don't.
pub fn from_refusal(
    operation: Operation,
    check: FreshnessCheck,
    refusal: FailureKind,
) -> Option<Feedback> {
    match (check, refusal) {
        (FreshnessCheck::Leads, FailureKind::ReadOnly) => Some(Feedback::Follows),
        (FreshnessCheck::Holds(needed), FailureKind::ReplicaBehind) => Some(Feedback::Behind {
            needed,
            updates_lag_estimate: operation == Operation::Read,
        }),
        _ => None,
    }
}

/// What an answer shows about the database that sent it. `check` is what the database checked first; `leads`
/// is true if this node treats the database as the leader. An answer to [`FreshnessCheck::Leads`] gives no
/// feedback here: that the database leads is recorded elsewhere, once it is certain that no other database
/// has replaced it.
pub fn from_answer(operation: Operation, check: FreshnessCheck, leads: bool) -> Option<Feedback> {
    match check {
        FreshnessCheck::Leads => None,
        FreshnessCheck::Holds(needed) => Some(Feedback::Holds {
            needed,
            updates_lag_estimate: operation == Operation::Read && !leads,
        }),
    }
}

/// What a refusal shows about a database that did not send it itself: it comes from a home (a node that
/// keeps connections to the database) or from a check of this node. For the first statement of a transaction
/// it counts like a refusal by the database; for reads and writes it shows nothing.
pub fn from_refusal_without_answer(
    operation: Operation,
    check: FreshnessCheck,
    refusal: FailureKind,
) -> Option<Feedback> {
    match operation {
        Operation::FirstOfTransaction => from_refusal(operation, check, refusal),
        Operation::Read | Operation::Write => None,
    }
}

/// Result of a read that was sent after a `BEGIN` which only a leader accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAfterBegin {
    /// The read has not run.
    NotRun(FailureKind),
    /// The `BEGIN` was refused and the read ran outside a transaction, so its answer might be stale.
    Inconclusive,
    /// The reply is valid if the database still leads, which the requester has to check.
    AnswerIfLeading,
    /// The read failed at the leader; the failure is returned to the caller.
    FailedAtLeader,
}

/// Evaluates the reply to a read that was sent after a `BEGIN`. `begin` and `read` are the failures of the
/// two statements; `None` if the statement succeeded. If the read has not run, a failure of the `BEGIN` is
/// reported rather than that of the read, since it came first.
pub fn read_after_begin(begin: Option<FailureKind>, read: Option<FailureKind>) -> ReadAfterBegin {
    match (begin, read) {
        (begin, Some(kind)) if kind.not_run() => ReadAfterBegin::NotRun(begin.unwrap_or(kind)),
        (Some(_), _) => ReadAfterBegin::Inconclusive,
        (None, None) => ReadAfterBegin::AnswerIfLeading,
        (None, Some(_)) => ReadAfterBegin::FailedAtLeader,
    }
}

/// What a read that was sent after a `BEGIN` shows about the database. `begin` and `read` are the failures of
/// the two statements; if either is `ReadOnly`, the database doesn't lead.
pub fn from_read_after_begin(
    begin: Option<FailureKind>,
    read: Option<FailureKind>,
) -> Option<Feedback> {
    let follows = [begin, read].contains(&Some(FailureKind::ReadOnly));
    follows.then_some(Feedback::Follows)
}
