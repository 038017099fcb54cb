//! Why a statement was not run, or why it can't be told whether it was: what callers get to read.

use serde::{Deserialize, Serialize};

/// Why a statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum NotRunReason {
    /// The tenant's queue at the home is full.
    #[error(
        "the queue of this tenant is full; come back after the stated time or ask the operators for a larger share"
    )]
    QueueFull,
    /// The deadline passed while the statement was queued.
    #[error(
        "the statement waited until its deadline; come back after the stated time or raise the deadline in the template"
    )]
    DeadlinePassed,
    /// No primary is known to lead the group.
    #[error("the database group has no confirmed primary; come back after the stated time")]
    NoPrimary,
    /// No node or database could be reached for this statement.
    #[error("no home of the database could be reached; come back after the stated time")]
    Unreachable,
    /// The node or the database is leaving.
    #[error(
        "the node or database is leaving; connect to another proxy and send the statement again"
    )]
    Leaving,
    /// The home doesn't know the tenant, group or database yet or any more.
    #[error(
        "the tenant or database is not in the configuration in force; check `dyketally tenant list`"
    )]
    NotConfigured,
    /// The home that was asked isn't this database's home.
    #[error("the node is not the home of this database; send the statement again")]
    NotHome,
    /// The database refused the connection or the statement before running it.
    #[error("the database refused new work; come back after the stated time")]
    Refused,
}

/// Why it can't be told whether a statement was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum UnknownReason {
    /// The connection to the database broke after the statement was sent.
    #[error(
        "the connection to the database broke after the statement was sent; look the result up before sending it again"
    )]
    ConnectionLost,
    /// The connection to the home broke after the statement was sent.
    #[error(
        "the connection to the database's home broke after the statement was sent; look the result up before sending it again"
    )]
    HomeLost,
    /// The primary answered, but the group did not confirm in time that it still leads.
    #[error("the group did not confirm the write; look the result up before sending it again")]
    NotConfirmed,
    /// The deadline passed after the statement was sent.
    #[error(
        "the deadline passed while the statement was running; look the result up before sending it again"
    )]
    DeadlinePassed,
}
