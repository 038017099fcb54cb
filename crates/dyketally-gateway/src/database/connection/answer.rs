//! What a database answers to one command.

use bytes::Bytes;
use dyketally::group::LogPosition;
use dyketally::statement::{Failure, TransactionState};
use serde::{Deserialize, Serialize};

/// The whole answer to one command.
///
/// Homes pass it to other nodes in postcard, which depends on the order of the fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The rows.
    pub rows: Vec<Bytes>,
    /// The signature, or why it failed.
    pub end: Result<Bytes, Failure>,
    /// The connection's state afterwards.
    pub state: TransactionState,
    /// The end of the database's log; `None` where the database doesn't report it.
    pub position: Option<LogPosition>,
}

impl Answer {
    /// True when the database said that it hasn't run the statement.
    pub fn was_rejected(&self) -> bool {
        matches!(&self.end, Err(failure) if failure.kind.not_run())
    }
}

/// True when no transaction is open behind `answers`.
pub fn leave_idle(answers: &[Answer]) -> bool {
    let last = answers.last();
    last.is_some_and(|answer| answer.state == TransactionState::Idle)
}
