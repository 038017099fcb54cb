//! What a statement asks of the dispatcher, and how it is turned away.

use std::net::SocketAddr;
use std::time::Duration;

use dyketally::admission::Stage;
use dyketally::identifiers::TenantName;
use dyketally::outcome::NotRunReason;
use dyketally::policy::Urgency;
use dyketally::pool::Refusal;
use dyketally::time::Timestamp;

use super::backend::BackendLogin;

/// The database as the home last found it when it opened connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It grants connections, or none was asked for yet.
    Granting,
    /// It refused the last connection, and none is open.
    Refusing(Refusal),
}

/// Where a database is and what it grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// How to log in.
    pub login: BackendLogin,
    /// Connections it grants to statements.
    pub connection_limit: u32,
    /// Statements that it runs at one time.
    pub slots: u32,
}

/// A statement that asks for a slot, and for a connection if it has none.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// On whose share it runs.
    pub tenant: TenantName,
    /// The tenant's share relative to other tenants.
    pub weight: u32,
    /// Statements of this tenant that may wait.
    pub queue_limit: u32,
    /// Whether it holds a connection already.
    pub stage: Stage,
    /// Order among the tenant's own statements.
    pub urgency: Urgency,
    /// When to give up.
    pub deadline: Timestamp,
}

/// A statement that was turned away. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedAway {
    /// Why.
    pub reason: NotRunReason,
    /// When to come back.
    pub retry_after: Duration,
}
