//! What this node knows of the fleet's size before it knows the nodes, and what follows from it: in a large fleet whatever
//! each node does with all nodes or all keys costs the square of the fleet's size. Owns what has been found out so far;
//! relies on the list of nodes once it is known.

use std::cell::Cell;

use tokio::sync::{Notify, watch};

use super::Feed;

/// What this node has found out about the fleet's size since its start.
pub(super) struct FleetSize {
    /// True once other nodes depend on this node's knowledge of the list of nodes.
    nodes_wanted: Cell<bool>,
    /// Notified when other nodes depend on the list of nodes, which this node doesn't know.
    nodes_wanted_now: Notify,
    /// True once the list of nodes was found to be too long for every node to read it.
    has_long_list: Cell<bool>,
    /// True once this node has tried to find out how many nodes there are.
    is_requested: watch::Sender<bool>,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            nodes_wanted: Cell::default(),
            nodes_wanted_now: Notify::new(),
            has_long_list: Cell::default(),
            is_requested: watch::Sender::new(false),
        }
    }
}

impl Feed {
    /// Has this node read the list of nodes now if it doesn't know it: other nodes depend on it.
    pub fn want_nodes(&self) {
        if !self.fleet.membership.is_known() && !self.fleet_size.nodes_wanted.replace(true) {
            self.fleet_size.nodes_wanted_now.notify_one();
        }
    }

    /// Waits until other nodes depend on the list of nodes, which this node doesn't know.
    pub async fn until_nodes_wanted(&self) {
        self.fleet_size.nodes_wanted_now.notified().await;
    }

    /// True when other nodes depend on this node's knowledge of the list of nodes.
    pub fn are_nodes_wanted(&self) -> bool {
        self.fleet_size.nodes_wanted.get()
    }

    /// True in a fleet in which only relays and the failover coordinator may send messages to all nodes, and in which
    /// other nodes don't read all keys from the store unless they find no relay for long.
    pub fn is_large_fleet(&self) -> bool {
        let membership = &self.fleet.membership;
        match membership.is_known() {
            true => !membership.is_meshed(),
            false => self.fleet_size.has_long_list.get(),
        }
    }

    /// Records that the list of nodes is so long that not every node should read it from the store. What this node knows
    /// of it is incomplete then, since many nodes have been listed since.
    pub fn record_long_list_of_nodes(&self) {
        self.fleet_size.has_long_list.set(true);
        self.fleet.membership.record_incomplete();
    }

    /// Records that this node has tried to find out how many nodes there are, by which it decides what to read.
    pub fn record_size_requested(&self) {
        self.fleet_size.is_requested.send_replace(true);
    }

    /// Waits for [`Feed::record_size_requested`].
    pub async fn until_size_requested(&self) {
        let mut requested = self.fleet_size.is_requested.subscribe();
        // Can't fail: this object owns the sender.
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// True when this node may send messages to all nodes: in a large fleet that takes a relay or the coordinator, since
    /// messages from each node to each other one grow with the square of the fleet.
    pub fn may_poll_all_nodes(&self) -> bool {
        let is_coordinator = self.fleet.coordinator.last_term().is_some();
        is_coordinator || !self.is_large_fleet() || self.is_relay()
    }
}
