//! One connection: its states, and what the pool asks its owner to do with it.

use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// A connection in one pool; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub(super) u64);

/// What the owner of the connections has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Open a connection and report [`connected`](super::Pool::connected) or
    /// [`refused`](super::Pool::refused).
    Open {
        /// What to call it in the report.
        connection: ConnectionId,
    },
    /// Close a connection and report [`closed`](super::Pool::closed).
    Close {
        /// The connection to close.
        connection: ConnectionId,
    },
}

/// Why a database did not grant a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It has granted as many as it may (SQLSTATE 53300).
    TooManyConnections,
    /// It takes no new connections now: it starts, or leaves (SQLSTATE 57P03).
    CannotConnectNow,
    /// It could not be reached.
    Unreachable,
}

/// In which condition a connection comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReleaseCondition {
    /// Its last reply was read to the end and reported no open transaction.
    Clean,
    /// Anything else: it must not be used again.
    Dirty,
}

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
