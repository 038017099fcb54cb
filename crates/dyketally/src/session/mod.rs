//! Sessions as their edges keep them: the newest log position that a session has seen, and its open
//! transaction.

mod state;
mod token;

pub use state::{Session, TransactionPin};
pub use token::{MalformedToken, SessionToken};

use serde::{Deserialize, Serialize};

use crate::group::LogPosition;

/// How fresh a database must be to serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Freshness {
    /// Only the primary may serve the request, after a confirmation round that began after the request
    /// arrived.
    Current,
    /// Any database whose log contains this position may serve the request.
    AtLeast(LogPosition),
    /// Any database may serve the request.
    Any,
}

/// The state of the session's transaction after a batch, as `ReadyForQuery` reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransactionStatus {
    /// No transaction is open; the connection has returned to the pool.
    Idle,
    /// A transaction is open; the connection stays pinned to the session.
    Open,
    /// The transaction has failed; the connection stays pinned until it is rolled back.
    Failed,
}
