//! What a refusal or an answer shows about the database that sent it.
//!
//! Only statements of the database about itself count here. Whether it can be reached, and how fast it
//! answers, is recorded by `database::health` from the exchange.

use dyketally::group::LogPosition;
use dyketally::statement::FailureKind;

use crate::decision::Operation;
use crate::decision::choose::FreshnessCheck;

/// What a reply shows about a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// The database doesn't lead its group.
    Follows,
    /// The database's log lacked a position.
    Behind {
        /// The position that was lacking.
        needed: LogPosition,
        /// True when the refusal also updates the estimate of the usual replication lag.
        updates_lag_estimate: bool,
    },
    /// The database's log held a position.
    Holds {
        /// The position that was held.
        needed: LogPosition,
        /// True when the answer also updates the estimate of the usual replication lag.
        updates_lag_estimate: bool,
    },
}

/// What a refusal shows about the database that was asked to make `check`.
///
/// Refusals of reads update the estimate of the replication lag, those of transactions don't.
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

/// What an answer shows about the database that made `check` and is treated as the leader if `leads`. That
/// a database leads is recorded separately, once it is certain that no other one has replaced it.
pub fn from_answer(operation: Operation, check: FreshnessCheck, leads: bool) -> Option<Feedback> {
    match check {
        FreshnessCheck::Leads => None,
        FreshnessCheck::Holds(needed) => Some(Feedback::Holds {
            needed,
            updates_lag_estimate: operation == Operation::Read && !leads,
        }),
    }
}

/// What a refusal shows that doesn't come from the database but from a home or from a check of this node.
/// For the first statement of a transaction it counts like a refusal by the database; for reads and writes
/// it shows nothing.
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
    /// The read ran by itself after the `BEGIN` was refused, so its answer may be stale.
    Inconclusive,
    /// The reply is the answer, provided that the database still leads.
    AnswerIfLeading,
    /// The read failed at the leader, and the failure is the answer.
    FailedAtLeader,
}

/// Rates the reply to a read after a `BEGIN`, by the failures of the two, if any.
pub fn read_after_begin(begin: Option<FailureKind>, read: Option<FailureKind>) -> ReadAfterBegin {
    match (begin, read) {
        (begin, Some(kind)) if kind.not_run() => ReadAfterBegin::NotRun(begin.unwrap_or(kind)),
        (Some(_), _) => ReadAfterBegin::Inconclusive,
        (None, None) => ReadAfterBegin::AnswerIfLeading,
        (None, Some(_)) => ReadAfterBegin::FailedAtLeader,
    }
}

/// What a read after a `BEGIN` shows about the database, by the failures of the two, if any: either may
/// show that the database doesn't lead.
pub fn from_read_after_begin(
    begin: Option<FailureKind>,
    read: Option<FailureKind>,
) -> Option<Feedback> {
    let follows = [begin, read].contains(&Some(FailureKind::ReadOnly));
    follows.then_some(Feedback::Follows)
}
