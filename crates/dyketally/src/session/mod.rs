//! A session as its edge keeps it: what it has seen, and the transaction it has open.

mod state;
mod token;

pub use state::{Session, TransactionPin};
pub use token::{MalformedToken, SessionToken};

use serde::{Deserialize, Serialize};

use crate::group::LogPosition;

/// How fresh a database must be to serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Freshness {
    /// Only the primary, confirmed to lead by a round that began after the request arrived.
    Current,
    /// Any database whose log contains this position.
    AtLeast(LogPosition),
    /// Any database.
    Any,
}

/// The state of the session's transaction after a batch, as `ReadyForQuery` reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransactionStatus {
    /// No transaction; the connection went back to the pool.
    Idle,
    /// In a transaction; the connection stays pinned to the session.
    Open,
    /// In a failed transaction; the connection stays pinned until it is rolled back.
    Failed,
}
