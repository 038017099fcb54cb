//! Homes of databases by the live members of this moment.

use dyketally::identifiers::{DatabaseName, Locality, NodeName};

use crate::home::AddressRoutes;
use crate::homes::{HomeLocation, LocateHome};
use crate::peers::PeersHandle;

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

impl LocateHome for MemberPlacement {
    fn locate(&self, database: &DatabaseName, locality: &Locality) -> Option<HomeLocation> {
        let home = self.peers.view().live.home(database, locality)?;
        if home.node == self.node {
            return Some(HomeLocation::Here);
        }
        Some(HomeLocation::At {
            address: self.routes.resolve(home.peers),
            node: home.node,
        })
    }
}
