//! What a caller was told about a statement, as its error code says it.

use std::time::Duration;

use tokio_postgres::Error;
use tokio_postgres::error::{DbError, SqlState};

/// The state of a statement whose outcome can't be told.
const UNKNOWN: &str = "08007";
/// The state of a statement that was not run.
const NOT_RUN: &str = "57P03";
/// The state of a transaction that was rolled back.
const ROLLED_BACK: &str = "40001";

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<T> {
    /// The database answered.
    Done(T),
    /// The statement was not run.
    NotRun {
        /// When to come back, if the reply said so.
        retry_after: Option<Duration>,
        /// The error's message.
        message: String,
    },
    /// No session could be opened, so nothing was sent.
    NotConnected {
        /// Why.
        reason: String,
    },
    /// The transaction was rolled back.
    RolledBack,
    /// The statement may or may not have been run.
    Unknown,
    /// The database itself refused the statement, for example as a duplicate.
    Refused {
        /// The error's state.
        state: String,
        /// The error's message.
        message: String,
    },
}

impl<T> Reply<T> {
    /// Sorts a result by what it tells about the statement. A connection that broke tells nothing.
    pub fn from_result(result: Result<T, Error>) -> Self {
        match result {
            Ok(value) => Reply::Done(value),
            Err(error) => match error.as_db_error() {
                None => Reply::Unknown,
                Some(error) => Self::from_database_error(error),
            },
        }
    }

    /// Sorts an error of the server by its state.
    pub fn from_database_error(error: &DbError) -> Self {
        match error.code().code() {
            UNKNOWN => Reply::Unknown,
            ROLLED_BACK => Reply::RolledBack,
            NOT_RUN => Reply::NotRun {
                retry_after: error.detail().and_then(retry_after),
                message: error.message().to_owned(),
            },
            state => Reply::Refused {
                state: state.to_owned(),
                message: error.message().to_owned(),
            },
        }
    }

    /// The answer.
    ///
    /// # Errors
    /// When there is none, with what was told instead.
    pub fn done(self) -> eyre::Result<T> {
        match self {
            Reply::Done(value) => Ok(value),
            Reply::NotRun {
                retry_after,
                message,
            } => eyre::bail!("not run, come back after {retry_after:?}: {message}"),
            Reply::NotConnected { reason } => eyre::bail!("no session: {reason}"),
            Reply::RolledBack => eyre::bail!("told that it was rolled back"),
            Reply::Unknown => eyre::bail!("told that it may or may not have been run"),
            Reply::Refused { state, message } => eyre::bail!("refused with {state}: {message}"),
        }
    }

    /// True when the database refused the statement because the key is there already.
    pub fn is_duplicate(&self) -> bool {
        let duplicate = SqlState::UNIQUE_VIOLATION;
        matches!(self, Reply::Refused { state, .. } if state == duplicate.code())
    }
}

/// Reads `retry after <n> ms`.
fn retry_after(detail: &str) -> Option<Duration> {
    let after = detail.split("retry after ").nth(1)?;
    let milliseconds = after.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}
