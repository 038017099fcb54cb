//! Complete answers of a database to commands.

use bytes::Bytes;
use dyketally::group::LogPosition;
use dyketally::statement::{Failure, TransactionState};
use serde::{Deserialize, Serialize};

use super::rows::TOO_LONG;

/// The complete answer to one command.
///
/// Homes (nodes that keep connections to a database) send it to other nodes, encoded with the `postcard` crate,
/// which depends on the order of the fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The rows of the result.
    pub rows: Vec<Bytes>,
    /// The signature, which is the text with which the database completed the command; or the failure.
    pub end: Result<Bytes, Failure>,
    /// The connection's transaction state after the command.
    pub state: TransactionState,
    /// The end of the database's log; `None` if the database didn't report it.
    pub position: Option<LogPosition>,
}

impl Answer {
    /// True when the answer was dropped since it was longer than the longest that is passed on.
    pub fn was_too_long(&self) -> bool {
        matches!(&self.end, Err(failure) if failure.message == TOO_LONG)
    }

    /// True when the database reported a failure that means it hasn't run the statement.
    pub fn was_rejected(&self) -> bool {
        matches!(&self.end, Err(failure) if failure.kind.not_run())
    }
}

/// True when no transaction is open after the last of `answers`; false if there are none.
pub fn end_outside_transaction(answers: &[Answer]) -> bool {
    let last = answers.last();
    last.is_some_and(|answer| answer.state == TransactionState::Idle)
}
