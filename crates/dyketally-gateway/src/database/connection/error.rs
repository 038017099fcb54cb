//! Errors of opening a connection and of exchanging statements on it.

use std::io;

use dyketally::statement::Failure;

/// Why a connection could not be opened.
#[derive(Clone, Debug, thiserror::Error)]
pub enum OpenError {
    /// The address refused the connection, or the connection broke before the database accepted it.
    #[error("the database refused the connection; check that it is running")]
    Refused,
    /// The database didn't answer within the time limit.
    #[error("the database didn't answer within the time limit; check that it can be reached")]
    Silent,
    /// The database rejected the connection.
    #[error("the database rejected the connection: {}", .0.message)]
    TurnedAway(Failure),
}

impl OpenError {
    /// Classifies an error of the transport.
    pub(super) fn of_transport(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => Self::Silent,
            _ => Self::Refused,
        }
    }
}

/// The connection broke before all answers were complete.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the connection broke: {reason}; the statement may have run")]
pub struct BrokenConnection {
    /// Cause, such as the transport's error.
    pub reason: String,
}

impl BrokenConnection {
    /// An error with the cause `reason`.
    pub fn new(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }

    /// The error for an answer that is invalid because its database was replaced as primary before it arrived.
    pub fn primary_replaced() -> Self {
        Self::new("another database became primary before the answer arrived")
    }
}
