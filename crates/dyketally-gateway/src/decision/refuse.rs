//! What the caller is told of a statement that has no answer.
//!
//! That a statement has not run is said only with proof of it: every database and home that it was sent
//! to has rejected it. `P` is that proof, and goes on into the refusal.

use dyketally::statement::FailureKind;

use crate::decision::Reason;

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told<P> {
    /// The statement has not run; the caller should come back.
    NotRun {
        /// Why.
        refusal: FailureKind,
        /// The proof.
        proof: P,
    },
    /// The statement may have run.
    InDoubt,
    /// The statement's time ran out while it was at a database; it may have run.
    TimedOut,
}

/// What the caller is told of a single statement that was given up for `reason`, where the last attempt was
/// refused for `refusal`.
pub fn single<P>(reason: Reason, refusal: FailureKind, not_run: Option<P>) -> Told<P> {
    let refusal = match reason {
        Reason::NothingMayServe => FailureKind::NotServedHere,
        _ => refusal,
    };
    match not_run {
        Some(proof) => Told::NotRun { refusal, proof },
        None if reason == Reason::DeadlinePassed => Told::TimedOut,
        None => Told::InDoubt,
    }
}

/// How a commit was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostCommit {
    /// Its connection broke.
    Broke,
    /// Its deadline passed.
    DeadlinePassed,
}

/// What the caller is told of a commit that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToldOfCommit {
    /// The transaction is rolled back: it wrote nothing, or the commit has not run.
    RolledBack,
    /// The commit may have run.
    InDoubt,
    /// The commit's time ran out; it may have run.
    TimedOut,
}

/// What the caller is told of a commit that was lost in a transaction that `wrote`, where `may_have_run`
/// tells whether the commit may have run.
pub fn commit(lost: LostCommit, wrote: bool, may_have_run: bool) -> ToldOfCommit {
    match lost {
        _ if !wrote || !may_have_run => ToldOfCommit::RolledBack,
        LostCommit::Broke => ToldOfCommit::InDoubt,
        LostCommit::DeadlinePassed => ToldOfCommit::TimedOut,
    }
}
