//! Why a connection couldn't be opened, and why an exchange on one has no answer.

use std::io;

use dyketally::statement::Failure;

/// Why a connection could not be opened.
#[derive(Clone, Debug, thiserror::Error)]
pub enum OpenError {
    /// Nothing listens there.
    #[error("the database refuses connections; check that it runs")]
    Refused,
    /// Nothing came back in time.
    #[error("the database doesn't answer; check that it can be reached")]
    Silent,
    /// The database turned the connection away.
    #[error("the database turned the connection away: {}", .0.message)]
    TurnedAway(Failure),
}

impl OpenError {
    /// What an error of the transport says of the database.
    pub(super) fn of_transport(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => Self::Silent,
            _ => Self::Refused,
        }
    }
}

/// Why an exchange has no whole answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the connection broke: {reason}; the statement may have run")]
pub struct Broken {
    /// What the transport reported.
    pub reason: String,
}

impl Broken {
    /// A connection that broke for `reason`.
    pub fn new(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
        }
    }

    /// An answer that isn't valid, since its database was replaced before it arrived.
    pub fn replaced() -> Self {
        Self::new("another database has taken the lead")
    }
}
