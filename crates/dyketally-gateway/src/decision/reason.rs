//! Why a statement ended as it did: the `reason` of the log event `statement_decided`.

use std::fmt;

use dyketally::statement::FailureKind;

/// Why a statement ended as it did. Each variant names the rule that decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A database answered it, successfully or with an error.
    Answered,
    /// The serving regions, evacuated zones or missing databases of its group leave no database that may serve
    /// it until the configuration changes ([`give_up`](super::give_up)).
    NothingMayServe,
    /// The database that it was sent to may not serve it ([`give_up`](super::give_up)).
    DatabaseMayNotServe,
    /// The queue for a connection was so long that it would have timed out ([`admit`](super::admit)).
    QueueTooLong,
    /// The database has just started and accepts no more statements for now ([`give_up`](super::give_up)).
    DatabaseCold,
    /// It had no connection after a large share of its latency objective ([`give_up`](super::give_up)).
    NoFreeConnection,
    /// Its group has had no usable primary for longer than a failover takes ([`wait`](super::wait)).
    PrimaryUnavailable,
    /// It found no usable primary before the wait limit ([`wait`](super::wait)).
    NoPrimaryInTime,
    /// It isn't running, and the rest of its time is reserved for the refusal ([`give_up`](super::give_up)).
    TimeUsedUp,
    /// Its deadline passed while a database was running it ([`give_up`](super::give_up)).
    DeadlinePassed,
    /// Its answer was lost, and it must not be retried ([`retry`](super::retry)).
    AnswerLost,
    /// The connection of its transaction broke ([`retry`](super::retry)).
    ConnectionBroke,
    /// The database of its transaction didn't answer before its deadline ([`retry`](super::retry)).
    DatabaseSilent,
    /// The database of its transaction refused it with this kind of failure ([`retry`](super::retry)).
    RefusedInTransaction(FailureKind),
    /// The database ended its transaction without a request to do so.
    TransactionEnded,
    /// Its transaction had already failed.
    TransactionFailed,
    /// The commit was lost, and its transaction can't have had any effect ([`refuse`](super::refuse)).
    LostBeforeCommit,
    /// Another database took the lead before the commit was answered.
    DatabaseReplaced,
    /// Its tenant has used up its quota (`quota`).
    OverQuota,
    /// The node is out of contact and can't know whether its API key is still valid (`session`).
    KeyUncertain,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "a database answered",
            Self::NothingMayServe => "no database of the group may serve it",
            Self::DatabaseMayNotServe => "the database may not serve it",
            Self::QueueTooLong => "the queue for a connection was too long",
            Self::DatabaseCold => "the database has just started and took no more",
            Self::NoFreeConnection => "no connection was free for too long",
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
