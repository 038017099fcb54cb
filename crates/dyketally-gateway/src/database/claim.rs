//! What a connection is wanted for, with which rank and patience, and why none was handed out.

use dyketally::admission::Patience;
use dyketally::eligibility::{Denial, ServingRegions};
use dyketally::statement::FailureKind;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ports::DatabaseUser;

/// Rank and patience of a request for a connection.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Rank under scarcity; 0 goes first.
    pub priority: u32,
    /// How long it may wait for a database to be reached.
    pub until: Instant,
    /// How long it may wait behind others.
    pub patience: Patience,
    /// What the connection is wanted for.
    pub work: Work,
    /// In whose name the connection must be open; `None` where any will do, as for statements of the
    /// gateway's own.
    pub user: Option<DatabaseUser>,
    /// Through which regions' nodes it may go.
    pub regions: ServingRegions,
}

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A database's status and the steps of a succession, which a cold database gets at any time.
    Control,
    /// Single statements: the connection is free again once they are answered.
    Statements,
    /// A transaction, which keeps the connection for as long as its caller likes.
    Transaction,
}

/// Why no connection was handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What the caller may be told.
    pub kind: FailureKind,
    /// True when the database can't be reached.
    pub unreachable: bool,
}

impl Refusal {
    /// A refusal for a reason that isn't the database's reachability.
    pub fn denied(denial: Denial) -> Self {
        Self {
            kind: failure_kind(denial),
            unreachable: false,
        }
    }
}

/// What a caller's statement counts as when it was denied.
pub fn failure_kind(denial: Denial) -> FailureKind {
    match denial {
        Denial::Cold => FailureKind::DatabaseCold,
        lasting if lasting.is_lasting() => FailureKind::NotServedHere,
        _ => FailureKind::Busy,
    }
}
