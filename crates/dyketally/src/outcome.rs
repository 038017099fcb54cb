//! Reasons that callers receive when a statement was not run, or when it is unknown whether it was.

use serde::{Deserialize, Serialize};

/// Why a statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum NotRunReason {
    /// The tenant's queue at the home is full.
    #[error(
        "the queue of this tenant is full; retry after the stated time or ask the operators for a larger share"
    )]
    QueueFull,
    /// The deadline passed while the statement was queued.
    #[error(
        "the statement waited until its deadline; retry after the stated time or raise the deadline in the template"
    )]
    DeadlinePassed,
    /// No primary of the group is known.
    #[error("the database group has no confirmed primary; retry after the stated time")]
    NoPrimary,
    /// No node or database could be reached for this statement.
    #[error("no home of the database could be reached; retry after the stated time")]
    Unreachable,
    /// The node or the database is leaving.
    #[error(
        "the node or database is leaving; connect to another proxy and send the statement again"
    )]
    Leaving,
    /// The tenant, group or database is not yet, or no longer, in the configuration of the home.
    #[error(
        "the tenant or database is not in the current configuration; check `dyketally tenant list`"
    )]
    NotConfigured,
    /// The node that received the statement is not the home of the database.
    #[error("the node is not the home of this database; send the statement again")]
    NotHome,
    /// The database refused the connection or the statement before running it.
    #[error("the database refused the connection or the statement; retry after the stated time")]
    Refused,
}

/// Why it is unknown whether a statement was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum UnknownReason {
    /// The connection to the database broke after the statement was sent.
    #[error(
        "the connection to the database broke after the statement was sent; look the result up before sending it again"
    )]
    ConnectionLost,
    /// The connection to the home broke after the statement was sent.
    #[error(
        "the connection to the database's home broke after the statement was sent; look the result up before \
         sending it again"
    )]
    HomeLost,
    /// The primary answered, but the group did not confirm in time that it still leads.
    #[error(
        "the group did not confirm the write in time; look the result up before sending it again"
    )]
    NotConfirmed,
    /// The deadline passed after the statement was sent.
    #[error(
        "the deadline passed while the statement was running; look the result up before sending it again"
    )]
    DeadlinePassed,
}
