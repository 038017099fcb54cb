//! What a refusal, or an answer, tells of the database that gave it.
//!
//! Only what a database says about itself is a lesson. Whether it can be reached, and how fast it
//! answers, `database::health` learns from the exchange itself.

use dyketally::group::LogPosition;
use dyketally::statement::FailureKind;

use crate::decision::Operation;
use crate::decision::choose::Proof;

/// What was learnt of a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lesson {
    /// It doesn't lead its group.
    Follows,
    /// Its log lacked a position.
    Behind {
        /// The position.
        needed: LogPosition,
        /// True when the refusal also counts for how far replicas usually are behind.
        counts_for_lag: bool,
    },
    /// Its log held a position.
    Holds {
        /// The position.
        needed: LogPosition,
        /// True when the answer also counts for how far replicas usually are behind.
        counts_for_lag: bool,
    },
}

/// What a refusal tells, where the statement rested on `proof`.
///
/// A transaction's refusal doesn't count for the usual lag, a read's does.
pub fn from_refusal(operation: Operation, proof: Proof, refusal: FailureKind) -> Option<Lesson> {
    match (proof, refusal) {
        (Proof::Leads, FailureKind::ReadOnly) => Some(Lesson::Follows),
        (Proof::Holds(needed), FailureKind::ReplicaBehind) => Some(Lesson::Behind {
            needed,
            counts_for_lag: operation == Operation::Read,
        }),
        _ => None,
    }
}

/// What an answer tells, where the statement rested on `proof` and the database is taken to lead if
/// `leads`. That it leads is observed apart from this, once it is sure that nobody has replaced it.
pub fn from_answer(operation: Operation, proof: Proof, leads: bool) -> Option<Lesson> {
    match proof {
        Proof::Leads => None,
        Proof::Holds(needed) => Some(Lesson::Holds {
            needed,
            counts_for_lag: operation == Operation::Read && !leads,
        }),
    }
}

/// What a refusal tells that came without an answer of the database, from a home or from this node's own
/// checks. A transaction learns from it as from the database's own; reads and writes don't.
pub fn from_refusal_without_answer(
    operation: Operation,
    proof: Proof,
    refusal: FailureKind,
) -> Option<Lesson> {
    match operation {
        Operation::FirstOfTransaction => from_refusal(operation, proof, refusal),
        Operation::Read | Operation::Write => None,
    }
}

/// What a read is worth that was sent behind a `BEGIN` which only a leader takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BehindBegin {
    /// It has not run.
    NotRun(FailureKind),
    /// It ran on its own behind a refused `BEGIN`, and proves nothing.
    ProvesNothing,
    /// It is the answer if the database still leads.
    AnswerOfLeader,
    /// It failed at the database that leads; that is the answer.
    FailedAtLeader,
}

/// What a read is worth by why its `BEGIN` was refused and why it failed itself.
pub fn behind_begin(begin: Option<FailureKind>, read: Option<FailureKind>) -> BehindBegin {
    match (begin, read) {
        (begin, Some(kind)) if kind.not_run() => BehindBegin::NotRun(begin.unwrap_or(kind)),
        (Some(_), _) => BehindBegin::ProvesNothing,
        (None, None) => BehindBegin::AnswerOfLeader,
        (None, Some(_)) => BehindBegin::FailedAtLeader,
    }
}

/// What is learnt from a read behind a `BEGIN`, by why that was refused and why the read failed: either
/// may tell that the database doesn't lead.
pub fn from_behind_begin(begin: Option<FailureKind>, read: Option<FailureKind>) -> Option<Lesson> {
    let follows = [begin, read].contains(&Some(FailureKind::ReadOnly));
    follows.then_some(Lesson::Follows)
}
