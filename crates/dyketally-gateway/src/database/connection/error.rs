//! Errors of opening a connection and of exchanging statements on it.

use std::io;

use dyketally::statement::Failure;

/// Why a connection could not be opened.
#[derive(Clone, Debug, thiserror::Error)]
pub enum OpenError {
    /// The connection was refused, or it failed before the database accepted it: it broke, or a reply was invalid.
    #[error(
        "the connection was refused or failed before the database accepted it; check that the database is running"
    )]
    Refused,
    /// The database didn't answer within the time limit, or no network route leads to its host.
    #[error(
        "the database didn't answer in time or its host is unreachable; check that it can be reached"
    )]
    Silent,
    /// The database rejected the connection.
    #[error("the database rejected the connection: {}", .0.message)]
    TurnedAway(Failure),
}

impl OpenError {
    /// Classifies a transport error: a time-out or an unreachable host as [`OpenError::Silent`], all others as
    /// [`OpenError::Refused`].
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
pub struct Disconnected {
    /// Why the connection broke, such as the transport's error. Follows "the connection broke: " in the message.
    pub reason: String,
}

impl Disconnected {
    /// An error with the cause `reason`.
    pub fn new(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }

    /// The error for an answer that is discarded because its database might no longer have been primary when the
    /// answer arrived.
    pub fn new_primary() -> Self {
        Self::new(
            "the answer was discarded, since another database may have become primary before it arrived",
        )
    }
}
