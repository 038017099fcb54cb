//! Why a statement ended as it did: what the log prints as `reason` of `statement_decided`.

use std::fmt;

use dyketally::statement::FailureKind;

/// Why a statement ended as it did, with the rule that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A database answered it, whether it succeeded there or failed.
    Answered,
    /// Regions, evacuations or a missing database leave none that may serve it, for as long as the
    /// configuration stays ([`give_up`](super::give_up)).
    NothingMayServe,
    /// The database that it was meant for may not serve it ([`give_up`](super::give_up)).
    NotServedThere,
    /// It would have waited too long behind others ([`admit`](super::admit)).
    QueueTooLong,
    /// The database has just started and takes no more for now ([`give_up`](super::give_up)).
    DatabaseCold,
    /// It found no connection for too large a share of its objective ([`give_up`](super::give_up)).
    ConnectionsShort,
    /// Its group has had no usable primary for longer than a replacement takes
    /// ([`wait`](super::wait)).
    PrimaryUnavailable,
    /// No primary could be used within the time for which it waits for one ([`wait`](super::wait)).
    NoPrimaryInTime,
    /// Its time is over but for what the answer takes, and it isn't running
    /// ([`give_up`](super::give_up)).
    TimeUsedUp,
    /// Its deadline passed while it was at a database ([`give_up`](super::give_up)).
    DeadlinePassed,
    /// Its answer was lost, and it may not be sent again ([`retry`](super::retry)).
    AnswerLost,
    /// The connection of its transaction broke ([`retry`](super::retry)).
    ConnectionBroke,
    /// The database of its transaction stayed silent up to its deadline ([`retry`](super::retry)).
    DatabaseSilent,
    /// The database of its transaction refused it ([`retry`](super::retry)).
    RefusedInTransaction(FailureKind),
    /// Its transaction ended without a request.
    TransactionEnded,
    /// Its transaction had failed before.
    TransactionFailed,
    /// The commit was lost, and nothing can have been kept ([`refuse`](super::refuse)).
    LostBeforeCommit,
    /// The transaction's database was replaced before the commit was answered.
    DatabaseReplaced,
    /// Its tenant has used up its quota (`quota`).
    OverQuota,
    /// The node can't know whether its key still stands (`session`).
    KeyUncertain,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "a database answered",
            Self::NothingMayServe => "no database of the group may serve it",
            Self::NotServedThere => "the database may not serve it",
            Self::QueueTooLong => "the queue for a connection was too long",
            Self::DatabaseCold => "the database has just started and took no more",
            Self::ConnectionsShort => "no connection was free for too long",
            Self::PrimaryUnavailable => "the group has had no usable primary for long",
            Self::NoPrimaryInTime => "no usable primary was found in time",
            Self::TimeUsedUp => "its time was used up before it could run",
            Self::DeadlinePassed => "its deadline passed while it was at a database",
            Self::AnswerLost => "its answer was lost and it may not be sent again",
            Self::ConnectionBroke => "the transaction's connection broke",
            Self::DatabaseSilent => "the transaction's database stayed silent",
            Self::RefusedInTransaction(kind) => {
                return write!(f, "the transaction's database answered {kind:?}");
            }
            Self::TransactionEnded => "the transaction ended by itself",
            Self::TransactionFailed => "the transaction had failed before",
            Self::LostBeforeCommit => "the transaction was lost before it could commit anything",
            Self::DatabaseReplaced => "the transaction's database was replaced",
            Self::OverQuota => "the tenant's quota",
            Self::KeyUncertain => "the node can't know whether the key still stands",
        })
    }
}
