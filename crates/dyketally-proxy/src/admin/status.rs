//! What a node tells about itself.

use async_trait::async_trait;
use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::{DatabaseName, GroupName, Locality, NodeName, TenantName};
use dyketally::membership::MemberState;
use dyketally::policy::Revision;
use serde::{Deserialize, Serialize};

use super::metrics::Metrics;

/// Where the answers of the admin address come from.
#[async_trait]
pub trait StatusSource: Send + Sync + 'static {
    /// Whether the node takes new callers.
    fn readiness(&self) -> Readiness;

    /// The node's status now.
    async fn status(&self) -> NodeStatus;

    /// Adds the node's counters. Gauges of [`NodeStatus`] are added by the admin address itself.
    fn add_counters(&self, metrics: &mut Metrics);
}

/// Whether a node takes new callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It doesn't.
    NotReady {
        /// Why, and what to do.
        reason: String,
    },
}

/// A node's status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeName,
    /// Grows with each start of the node and each time it refutes its own death.
    pub incarnation: u64,
    /// What the node is doing.
    pub state: NodeState,
    /// Where the node runs.
    pub locality: Locality,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The nodes that this one knows, itself included.
    pub members: Vec<NodeEntry>,
    /// The databases that this node is the home of.
    pub homes: Vec<HomeStatus>,
    /// Callers of this node.
    pub callers: CallerStatus,
}

/// What a node is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeState {
    /// Waits for its first configuration.
    Starting,
    /// Takes callers.
    Ready,
    /// Finishes what is in flight and takes nothing new.
    Leaving,
}

impl NodeState {
    /// The state's name.
    pub fn as_str(self) -> &'static str {
        match self {
            NodeState::Starting => "starting",
            NodeState::Ready => "ready",
            NodeState::Leaving => "leaving",
        }
    }
}

/// A node as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeName,
    /// Whether it takes part.
    pub state: MemberState,
    /// Its newest known incarnation.
    pub incarnation: u64,
    /// Where it runs.
    pub locality: Locality,
    /// The revision of the configuration that it was last heard to have.
    pub revision: Revision,
}

/// The home of one database.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeStatus {
    /// The database.
    pub database: DatabaseName,
    /// Its group.
    pub group: GroupName,
    /// The group's primary, as this home knows it.
    pub primary: Option<PrimaryStatus>,
    /// The end of the database's log, as last reported.
    pub log: Option<LogPosition>,
    /// Open connections to the database.
    pub connections: u32,
    /// Connections that the database grants.
    pub connection_limit: u32,
    /// Statements that run.
    pub slots_busy: u32,
    /// Statements that may run at one time.
    pub slots: u32,
    /// Statements that wait, by tenant; tenants without any are left out.
    pub queued: Vec<TenantQueue>,
}

/// A group's primary, as one home knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryStatus {
    /// The primary.
    pub database: DatabaseName,
    /// The term in which it leads.
    pub term: Term,
}

/// A tenant's queue at one home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantQueue {
    /// The tenant.
    pub tenant: TenantName,
    /// Statements that wait.
    pub queued: u32,
}

/// Callers of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerStatus {
    /// Callers connected.
    pub connected: u32,
    /// Callers that may be connected at one time.
    pub limit: u32,
    /// Callers with an open transaction.
    pub in_transaction: u32,
}
