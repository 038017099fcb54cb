//! Requests for a connection: purpose, priority and time limits, and the reason of a refusal.

use dyketally::admission::QueueTimeouts;
use dyketally::eligibility::{Denial, ServingRegions};
use dyketally::statement::FailureKind;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ports::DatabaseUser;

/// A request for a connection to a database.
#[derive(Clone, Debug)]
pub struct ConnectionRequest {
    /// Priority in the queue; lower numbers go first.
    pub priority: u32,
    /// Deadline for the connection, including the time to open one.
    pub deadline: Instant,
    /// Limits of the wait in the queue.
    pub queue_timeout: QueueTimeouts,
    /// Purpose of the connection.
    pub connection_use: ConnectionUse,
    /// The user for whom the connection must be open; `None` if any user's connection will do, as for the
    /// gateway's own statements.
    pub user: Option<DatabaseUser>,
    /// The regions of the nodes through which the statements may pass.
    pub regions: ServingRegions,
}

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionUse {
    /// Status requests and the commands of a primary's replacement, which are sent to a cold database at once.
    Control,
    /// Single statements, which keep the connection until they are answered.
    Statements,
    /// A transaction, which keeps the connection until its caller ends it.
    Transaction,
}

/// Why a connection was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The failure that is reported to the caller.
    pub kind: FailureKind,
    /// True when the database could not be reached.
    pub unreachable: bool,
}

impl Refusal {
    /// The refusal for a denied statement; the database counts as reachable.
    pub fn denied(denial: Denial) -> Self {
        Self {
            kind: failure_kind(denial),
            unreachable: false,
        }
    }
}

/// The failure that is reported to the caller of a denied statement.
pub fn failure_kind(denial: Denial) -> FailureKind {
    match denial {
        Denial::Cold => FailureKind::DatabaseCold,
        lasting if lasting.is_lasting() => FailureKind::NotServedHere,
        _ => FailureKind::Busy,
    }
}
