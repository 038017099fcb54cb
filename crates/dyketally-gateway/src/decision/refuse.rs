//! Which error the caller receives for a statement without an answer.
//!
//! The error says that a statement has not run only if that is proven: every database to which the statement
//! was sent, and every home (a node that keeps connections to a database), has rejected it. The error then
//! carries the proof, a value of type `P`.

use dyketally::statement::FailureKind;

use crate::decision::Reason;

/// Error for a statement outside a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementError<P> {
    /// The statement has not run; the caller may retry it.
    NotRun {
        /// Why the statement was refused.
        refusal: FailureKind,
        /// Proof that the statement has not run.
        proof: P,
    },
    /// The statement may have run.
    InDoubt,
    /// The deadline passed while the statement was at a database; it may have run.
    TimedOut,
}

/// The error for a statement outside a transaction that was given up for `reason`. `refusal` is the failure
/// with which its last attempt was refused; `not_run` is the proof that the statement has not run, if there
/// is one.
pub fn single_statement<P>(
    reason: Reason,
    refusal: FailureKind,
    not_run: Option<P>,
) -> StatementError<P> {
    let refusal = match reason {
        Reason::NothingMayServe => FailureKind::NotServedHere,
        _ => refusal,
    };
    match not_run {
        Some(proof) => StatementError::NotRun { refusal, proof },
        None if reason == Reason::DeadlinePassed => StatementError::TimedOut,
        None => StatementError::InDoubt,
    }
}

/// How the answer to a commit was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostCommit {
    /// The connection broke.
    ConnectionBroke,
    /// The deadline passed.
    DeadlinePassed,
}

/// Error for a commit without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// The transaction is rolled back: it wrote nothing, or the commit has not run.
    RolledBack,
    /// The commit may have run.
    InDoubt,
    /// The deadline passed before the commit was answered; it may have run.
    TimedOut,
}

/// The error for a commit without an answer. `wrote` tells whether the transaction sent a write,
/// `may_have_run` whether the commit may have run.
pub fn commit(lost: LostCommit, wrote: bool, may_have_run: bool) -> CommitError {
    match lost {
        _ if !wrote || !may_have_run => CommitError::RolledBack,
        LostCommit::ConnectionBroke => CommitError::InDoubt,
        LostCommit::DeadlinePassed => CommitError::TimedOut,
    }
}
