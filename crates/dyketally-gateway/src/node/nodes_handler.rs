//! Applies updates of the keys that nodes keep in the store: node records, the failover coordinator and fences.
//! Owns nothing; relies on the names of keys, and on the modules that keep the state.

use std::rc::Rc;

use dyketally_store::key_value::{Entry, Key, WatchEvent};
use dyketally_store::update::StoreUpdate;

use crate::fleet::membership::{NodeChange, NodeRecord};
use crate::gateway::Gateway;
use crate::store::keys::StoreKeys;

/// Applies updates of the nodes' keys.
pub(super) struct NodesHandler {
    gateway: Rc<Gateway>,
    keys: Rc<StoreKeys>,
}

impl NodesHandler {
    /// A handler that recognizes the keys by `keys` and applies them to `gateway`.
    pub(super) fn new(gateway: Rc<Gateway>, keys: Rc<StoreKeys>) -> Self {
        Self { gateway, keys }
    }

    /// Applies an update and notifies everything that depends on the list of nodes.
    pub(super) fn receive(&self, update: StoreUpdate) {
        self.receive_fences(&update);
        let was_known = self.gateway.fleet.membership.is_known();
        let changes = self.receive_nodes(update);
        let fleet = &self.gateway.fleet;
        fleet.coordinator.check_vacancy(self.keys.record());
        if !changes.is_empty() || !was_known {
            fleet.membership.nodes_changed.notify_waiters();
            self.gateway.nodes_changed(&changes);
        }
    }

    /// Sets and clears this node's fences.
    fn receive_fences(&self, update: &StoreUpdate) {
        let entries = match update {
            StoreUpdate::All(entries) => entries.as_slice(),
            StoreUpdate::Changed(WatchEvent::Put(entry)) => std::slice::from_ref(entry),
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(database) = self.keys.fenced(key) {
                    self.gateway.databases.clear_fence(&database);
                }
                return;
            }
        };
        let fenced = entries.iter().filter_map(|entry| self.keys.fence_of(entry));
        fenced.for_each(|(database, id)| {
            let databases = &self.gateway.databases;
            databases.set_fence(database, id, "the store");
        });
    }

    /// Updates the list of nodes and the coordinator's record; returns the changes of the list.
    fn receive_nodes(&self, update: StoreUpdate) -> Vec<NodeChange> {
        let fleet = &self.gateway.fleet;
        match update {
            StoreUpdate::All(entries) => {
                fleet.coordinator.forget_record();
                let nodes = entries.iter().filter_map(|entry| self.receive_entry(entry));
                fleet.membership.replace_all(nodes.collect())
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => match self.receive_entry(&entry) {
                Some(node) => fleet.membership.record_joined(node),
                None => Vec::new(),
            },
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => self.receive_deletion(&key),
        }
    }

    /// The node record in an entry, if it is one. An entry of the coordinator or of the fleet's size is recorded
    /// instead; one of a fence is ignored.
    fn receive_entry(&self, entry: &Entry) -> Option<NodeRecord> {
        if self.keys.fenced(&entry.key).is_some() {
            return None;
        }
        if entry.key == self.keys.fleet_size() {
            let size = StoreKeys::fleet_size_of(entry);
            size.inspect(|size| self.gateway.fleet.membership.record_stored_size(*size));
            return None;
        }
        if entry.key == self.keys.coordinator() {
            self.gateway.fleet.coordinator.record_entry(entry);
            return None;
        }
        NodeRecord::read(entry)
    }

    /// Removes the coordinator's record, or the node that a deleted key belongs to.
    fn receive_deletion(&self, key: &Key) -> Vec<NodeChange> {
        let fleet = &self.gateway.fleet;
        if key == &self.keys.coordinator() {
            fleet.coordinator.record_deleted();
            return Vec::new();
        }
        match self.keys.node_of(key) {
            Some(name) => fleet.membership.record_left(&name),
            None => Vec::new(),
        }
    }
}
