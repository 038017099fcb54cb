//! Records and states of nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identifiers::{Locality, NodeName};
use crate::policy::Revision;

/// Orders the updates about one node: an update about a greater incarnation is newer.
///
/// Only the node itself raises its incarnation. Nodes keep nothing on disk, so each process of a node
/// needs a later start time than the process before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// When the process started, in milliseconds of the wall clock.
    pub started: u64,
    /// How often the process has raised its incarnation since: to refute a suspicion, or to leave.
    pub renewed: u32,
}

impl Incarnation {
    /// The first incarnation of a process.
    pub const fn of_start(started: u64) -> Self {
        Self {
            started,
            renewed: 0,
        }
    }

    pub(super) const fn next(self) -> Self {
        Self {
            started: self.started,
            renewed: self.renewed.saturating_add(1),
        }
    }
}

/// Addresses at which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addresses {
    /// For membership datagrams (UDP).
    pub membership: SocketAddr,
    /// For links from other nodes (TCP).
    pub peers: SocketAddr,
    /// For requests of operators (HTTP).
    pub admin: SocketAddr,
}

/// What a node announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The node.
    pub node: NodeName,
    /// The incarnation that announced this record.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub locality: Locality,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its share of the databases relative to other nodes of its zone.
    pub weight: u16,
    /// The node has announced that it will leave.
    pub leaving: bool,
}

/// The state of a node in the view of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The node takes part.
    Alive,
    /// The node has announced that it will leave; it finishes what is in flight.
    Leaving,
    /// The node did not answer; it is declared dead unless it refutes the suspicion.
    Suspect,
    /// No node of the node's region answers nodes of this region.
    Unreachable,
    /// Nodes of its region declared the node dead.
    Dead,
    /// The node has announced that it left.
    Left,
}

impl MemberState {
    /// The state in one word, as shown to operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Unreachable => "unreachable",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// True when requests may be sent to the node.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// A node as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: NodeName,
    /// Its newest known incarnation.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub locality: Locality,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its share of the databases relative to other nodes of its zone.
    pub weight: u16,
    /// The node has announced that it will leave. Stays set while it is suspected or unreachable.
    pub leaving: bool,
    /// Its state.
    pub state: MemberState,
    /// Its configuration revision in the last message that this node received directly from it.
    pub revision: Revision,
}
