//! The states of a connection, the actions that the pool requests of its owner, and the results reported back.

use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Identifies a connection in one pool. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub(super) u64);

/// An action that the owner of the connections has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Open a connection and report [`connected`](super::Pool::connected) or
    /// [`refused`](super::Pool::refused).
    Open {
        /// The id under which to report the connection.
        connection: ConnectionId,
    },
    /// Close a connection and report [`closed`](super::Pool::closed).
    Close {
        /// The connection to close.
        connection: ConnectionId,
    },
}

/// The reason for which a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The database has reached its connection limit (SQLSTATE 53300).
    TooManyConnections,
    /// The database accepts no new connections now because it is starting or leaving (SQLSTATE 57P03).
    CannotConnectNow,
    /// The database is unreachable.
    Unreachable,
}

/// The condition in which a connection is returned to the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReleaseCondition {
    /// The last reply on the connection was read to the end and reported no open transaction.
    Clean,
    /// Any other condition: the connection must not be used again.
    Dirty,
}

/// The state of a connection. `Busy`: in use by a statement outside of a transaction. `Pinned`: in use by an open
/// transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    Connecting,
    Idle { since: Timestamp },
    Busy { tenant: TenantName },
    Pinned { tenant: TenantName },
    Closing,
}

impl State {
    /// The tenant whose statement or transaction holds the connection.
    pub(super) fn holder(&self) -> Option<&TenantName> {
        match self {
            State::Busy { tenant } | State::Pinned { tenant } => Some(tenant),
            State::Connecting | State::Idle { .. } | State::Closing => None,
        }
    }
}
