//! Which nodes are relays, and which of them this node follows.

use std::net::SocketAddr;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::placement;

use crate::gateway::Gateway;

/// Nodes up to which every node watches the store itself.
const SMALL_FLEET: usize = 12;
/// Nodes of a zone that watch the store for the others.
const RELAYS_PER_ZONE: usize = 2;
/// Relays of other zones that are followed when none of the own zone can be.
const FURTHER_RELAYS: usize = 2;

impl Gateway {
    /// True while every node watches the store itself.
    pub fn is_small_fleet(&self) -> bool {
        self.membership.node_count() <= SMALL_FLEET
    }

    /// True when this node watches the store for others of its zone.
    pub fn is_relay(&self) -> bool {
        !self.is_small_fleet() && self.is_relay_of_zone()
    }

    fn is_relay_of_zone(&self) -> bool {
        let nodes = self.membership.nodes();
        let candidates = nodes.values().map(|node| node.candidate());
        let relays = placement::relays(&self.settings.own_locality(), candidates, RELAYS_PER_ZONE);
        relays.contains(&&self.settings.node.name)
    }

    /// True when there may be relays that this node should follow. The holder of the duty counts as in
    /// touch by its own calls alone, so it has its news from the store as well.
    pub fn may_follow_relays(&self) -> bool {
        let holds_duty = self.membership.last_duty().is_some();
        !holds_duty && !self.is_small_fleet() && !self.is_relay_of_zone()
    }

    /// Waits until it is clear that this node has no relay to follow. When the whole system starts
    /// the list of the nodes is incomplete for a while, so then only a relay is sure of that.
    pub async fn until_without_relay(&self) {
        loop {
            let changed = self.membership.nodes_changed.notified();
            let is_known = self.membership.is_known() && !self.settings.node.first_start;
            if self.is_relay() || (is_known && !self.may_follow_relays()) {
                return;
            }
            changed.await;
        }
    }

    /// The relays that this node may follow, in the order of preference: those of its zone, then
    /// some of others. None in a small fleet, and for a relay.
    pub(super) fn relays_to_follow(&self) -> Vec<SocketAddr> {
        if !self.may_follow_relays() {
            return Vec::new();
        }
        let nodes = self.membership.nodes();
        let own = &self.settings.node.name;
        let own_zone = self.settings.own_locality();
        let relays_of = |zone: &Locality| {
            let candidates = nodes.values().map(|node| node.candidate());
            placement::relays(zone, candidates, RELAYS_PER_ZONE)
        };
        let zones = self.settings.zones.keys();
        let zones = zones.map(|zone| self.settings.locality(zone));
        let mut others: Vec<&NodeName> = Vec::new();
        for zone in zones.filter(|zone| *zone != own_zone) {
            others.extend(relays_of(&zone));
        }
        let mut relays = placement::preference(own, &relays_of(&own_zone));
        let others = placement::preference(own, &others);
        relays.extend(others.into_iter().take(FURTHER_RELAYS));
        let addresses = relays.into_iter().filter_map(|relay| nodes.get(relay));
        let addresses = addresses.map(|node| node.address);
        addresses
            .filter(|address| !self.feed.passed_over.contains(address))
            .collect()
    }
}
