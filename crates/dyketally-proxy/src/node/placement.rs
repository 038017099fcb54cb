//! Homes of databases by the live members of this moment.

use dyketally::identifiers::{DatabaseName, Locality, NodeName};

use crate::home::AddressRoutes;
use crate::homes::{HomeLocation, LocateHome};
use crate::peers::{LiveNode, PeersHandle};

/// Nodes that may stand in for a home that can't be reached, the home included.
const HOMES_RANKED: usize = 3;

/// Places databases on the live members.
#[derive(Clone, Debug)]
pub struct MemberPlacement {
    node: NodeName,
    peers: PeersHandle,
    routes: AddressRoutes,
}

impl MemberPlacement {
    /// Placement as `node` sees it, through the members that `peers` knows; other nodes are
    /// reached at the addresses that `routes` translates to.
    pub fn new(node: NodeName, peers: PeersHandle, routes: AddressRoutes) -> Self {
        Self {
            node,
            peers,
            routes,
        }
    }
}

impl MemberPlacement {
    fn location(&self, node: &LiveNode) -> HomeLocation {
        if node.node == self.node {
            return HomeLocation::Here;
        }
        HomeLocation::At {
            address: self.routes.resolve(node.peers),
            node: node.node.clone(),
        }
    }
}

impl LocateHome for MemberPlacement {
    fn locate(&self, database: &DatabaseName, locality: &Locality) -> Option<HomeLocation> {
        let home = self.peers.view().live.home(database, locality)?;
        Some(self.location(&home))
    }

    fn rank(&self, database: &DatabaseName, locality: &Locality) -> Vec<HomeLocation> {
        let view = self.peers.view();
        let ranked = view.live.rank(database, locality, HOMES_RANKED);
        ranked.into_iter().map(|node| self.location(node)).collect()
    }
}
