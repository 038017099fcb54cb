//! Which nodes are relays, and which of them this node follows.

use std::net::SocketAddr;

use dyketally::identifiers::NodeName;
use dyketally::placement;

use crate::gateway::Gateway;

/// Nodes up to which every node watches the store itself.
const SMALL_FLEET: usize = 12;
/// Nodes of a zone that watch the store for the others.
const RELAYS_PER_ZONE: usize = 2;

impl Gateway {
    /// The relays of this node's zone, in the order in which it follows them; none in a small
    /// fleet.
    fn zone_relays(&self) -> Vec<NodeName> {
        if self.is_small_fleet() {
            return Vec::new();
        }
        let nodes = self.membership.nodes();
        let zone = self.settings.own_locality();
        let candidates = nodes.values().map(|node| node.candidate());
        let relays = placement::relays(&zone, candidates, RELAYS_PER_ZONE);
        let ordered = placement::preference(&self.settings.node.name, &relays);
        ordered.into_iter().cloned().collect()
    }

    /// True while every node watches the store itself.
    pub fn is_small_fleet(&self) -> bool {
        self.membership.node_count() <= SMALL_FLEET
    }

    pub(super) fn is_relay(&self) -> bool {
        self.zone_relays().contains(&self.settings.node.name)
    }

    /// The relay that this node should follow, if there is one.
    pub fn relay_to_follow(&self) -> Option<SocketAddr> {
        let relays = self.zone_relays();
        if relays.contains(&self.settings.node.name) {
            return None;
        }
        let nodes = self.membership.nodes();
        let addresses = relays.iter().filter_map(|relay| nodes.get(relay));
        let mut addresses = addresses.map(|node| node.address);
        addresses.find(|address| !self.feed.passed_over.contains(address))
    }
}
