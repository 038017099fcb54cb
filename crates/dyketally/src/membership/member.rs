//! What is known about one node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identifiers::{Locality, NodeName};
use crate::policy::Revision;

/// Orders what is said about one node: a statement about a greater incarnation is newer.
///
/// Only the node itself raises its incarnation, so nodes that keep nothing on disk need a start
/// time that grows from one process to the next.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// When the process started, in milliseconds of the wall clock.
    pub started: u64,
    /// How often the process has renewed itself since: to refute a suspicion, or to leave.
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

/// Where a node accepts what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addresses {
    /// Datagrams of membership (UDP).
    pub membership: SocketAddr,
    /// Links from other nodes (TCP).
    pub peers: SocketAddr,
    /// Requests of operators (HTTP).
    pub admin: SocketAddr,
}

/// What a node says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The node.
    pub node: NodeName,
    /// The incarnation that said this.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub locality: Locality,
    /// Where it accepts what.
    pub addresses: Addresses,
    /// Its share of the databases relative to other nodes of its zone.
    pub weight: u16,
    /// It is going to leave.
    pub leaving: bool,
}

/// The state of a node in the view of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes part.
    Alive,
    /// It has told that it will leave; it finishes its work.
    Leaving,
    /// It did not answer; it is declared dead unless it refutes.
    Suspect,
    /// No node of its region answers nodes of this region.
    Unreachable,
    /// Nodes of its region declared it dead.
    Dead,
    /// It has told that it is gone.
    Left,
}

impl MemberState {
    /// The state in one word, as operators see it.
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

    /// Work may be sent to the node.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// One node in the view of this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: NodeName,
    /// Its newest known incarnation.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub locality: Locality,
    /// Where it accepts what.
    pub addresses: Addresses,
    /// Its share of the databases relative to other nodes of its zone.
    pub weight: u16,
    /// It has told that it will leave. Stays set while it is suspected or unreachable.
    pub leaving: bool,
    /// Its state.
    pub state: MemberState,
    /// The configuration revision it had when this node last heard from it directly.
    pub revision: Revision,
}
