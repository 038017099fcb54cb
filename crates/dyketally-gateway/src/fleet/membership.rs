//! The nodes that run, according to the records that they keep in the store, and the nodes that may still
//! run although the store no longer lists them.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::placement::{Candidate, LinkClass};
use dyketally_store::key_value::Entry;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a node whose key is gone from the store counts as one that may still run, cut off from the
/// store. As long as the lease of a node's key.
pub(crate) const DEPARTED_RETENTION: Duration = Duration::from_secs(30);
/// Number of nodes up to which each node may send messages to each other one.
pub const MAX_MESHED_NODES: usize = 128;
/// The stored number of nodes may be off by one part in this many.
const STORED_SIZE_TOLERANCE: usize = 4;
/// Maximum number of relays named by other nodes that are kept.
const MAX_NAMED_RELAYS: usize = 8;

/// The record that each node keeps in the store under its own key. The failover coordinator also puts it
/// under the coordinator's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The node's name.
    pub node: NodeName,
    /// The address at which the node listens for other nodes.
    pub address: SocketAddr,
    /// The node's region and zone.
    pub locality: Locality,
    /// The node's share of the databases relative to other nodes.
    pub weight: u16,
    /// The bandwidth class of the node's link; records of older builds lack it.
    #[serde(default)]
    pub link: LinkClass,
}

impl NodeRecord {
    /// Decodes a store entry's value; `None` if it isn't a node's record.
    pub fn read(entry: &Entry) -> Option<Self> {
        serde_json::from_slice(&entry.value).ok()
    }

    /// The node as a candidate for placement.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            node: &self.node,
            locality: &self.locality,
            weight: self.weight,
            leaving: false,
            link: self.link,
        }
    }
}

/// A change of the nodes that the store lists. A record that is replaced is a departure and an arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeChange {
    /// The store lists this record.
    Joined(NodeRecord),
    /// The store no longer lists this record.
    Left(NodeRecord),
}

/// The nodes that run, and those that may still run.
#[derive(Default)]
pub struct Membership {
    /// Notified when the set of nodes or of relays named by others may have changed.
    pub nodes_changed: Notify,
    nodes: RefCell<BTreeMap<NodeName, NodeRecord>>,
    /// True once all of the nodes' keys have been read from the store.
    known: Cell<bool>,
    /// The number of nodes as the store holds it; `None` while this node hasn't read it.
    stored_size: Cell<Option<usize>>,
    /// Addresses of relays that other nodes named, the last ones first.
    named_relays: RefCell<Vec<SocketAddr>>,
    /// Nodes whose key is gone from the store, each with the time since when.
    departed: RefCell<BTreeMap<NodeName, (NodeRecord, Instant)>>,
}

impl Membership {
    /// Number of nodes that run, including this one.
    pub fn node_count(&self) -> usize {
        self.nodes.borrow().len().max(1)
    }

    /// Records the number of nodes as the store holds it.
    pub fn record_stored_size(&self, nodes: usize) {
        self.stored_size.set(Some(nodes));
    }

    /// The number of nodes that the store should hold, if it holds one that is far off. A small fleet needs none.
    pub fn size_to_store(&self) -> Option<usize> {
        let nodes = self.node_count();
        let is_close = |stored: usize| stored.abs_diff(nodes) * STORED_SIZE_TOLERANCE <= stored;
        let is_needed = match self.stored_size.get() {
            Some(stored) => !is_close(stored),
            None => !self.is_meshed(),
        };
        (self.is_known() && is_needed).then_some(nodes)
    }

    /// True in a fleet so small that each node may send messages to each other one.
    pub fn is_meshed(&self) -> bool {
        self.node_count() <= MAX_MESHED_NODES
    }

    /// True once the list of nodes has been read from the store.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Records that many more nodes run than this node knows.
    pub fn record_incomplete(&self) {
        self.known.set(false);
        self.nodes_changed.notify_waiters();
    }

    /// Adds relays that another node named, in front of those named before; the last `MAX_NAMED_RELAYS` are kept. While
    /// a whole fleet starts, a node may name relays from an incomplete list of nodes.
    pub fn add_relays(&self, relays: Vec<SocketAddr>) {
        let mut named = self.named_relays.borrow_mut();
        named.retain(|known| !relays.contains(known));
        named.splice(..0, relays);
        named.truncate(MAX_NAMED_RELAYS);
        drop(named);
        self.nodes_changed.notify_waiters();
    }

    /// Addresses of the relays that other nodes named, the last ones first.
    pub fn named_relays(&self) -> Vec<SocketAddr> {
        self.named_relays.borrow().clone()
    }

    /// The nodes that run, by name.
    pub fn nodes(&self) -> Ref<'_, BTreeMap<NodeName, NodeRecord>> {
        self.nodes.borrow()
    }

    /// Addresses of all nodes that run except `own`.
    pub fn others(&self, own: &NodeName) -> Vec<SocketAddr> {
        let nodes = self.nodes.borrow();
        let others = nodes.values().filter(|record| record.node != *own);
        others.map(|record| record.address).collect()
    }

    /// Replaces the nodes that run by `nodes`, the full list in the store; returns what that changes.
    pub fn replace_all(&self, nodes: Vec<NodeRecord>) -> Vec<NodeChange> {
        self.known.set(true);
        let listed: HashSet<&NodeName> = nodes.iter().map(|node| &node.node).collect();
        let known = self.nodes.borrow();
        let gone = known.keys().filter(|name| !listed.contains(name));
        let gone: Vec<NodeName> = gone.cloned().collect();
        drop(known);
        let left = gone.iter().flat_map(|name| self.record_left(name));
        let mut changes: Vec<NodeChange> = left.collect();
        changes.extend(nodes.into_iter().flat_map(|node| self.record_joined(node)));
        changes
    }

    /// Records a node that the store lists; returns what that changes.
    pub fn record_joined(&self, node: NodeRecord) -> Vec<NodeChange> {
        self.departed.borrow_mut().remove(&node.node);
        let mut nodes = self.nodes.borrow_mut();
        if nodes.get(&node.node) == Some(&node) {
            return Vec::new();
        }
        let former = nodes.insert(node.node.clone(), node.clone());
        let left = former.map(NodeChange::Left);
        left.into_iter().chain([NodeChange::Joined(node)]).collect()
    }

    /// Records that the store no longer lists a node; returns what that changes.
    pub fn record_left(&self, name: &NodeName) -> Vec<NodeChange> {
        let Some(node) = self.nodes.borrow_mut().remove(name) else {
            return Vec::new();
        };
        self.record_departed(node.clone());
        vec![NodeChange::Left(node)]
    }

    fn record_departed(&self, node: NodeRecord) {
        let mut departed = self.departed.borrow_mut();
        departed.retain(|_, (_, at)| at.elapsed() < DEPARTED_RETENTION);
        departed.insert(node.node.clone(), (node, Instant::now()));
    }

    /// Records that a node's process has ended, so that the node no longer counts as possibly running.
    pub fn record_ended(&self, node: &NodeName) {
        self.departed.borrow_mut().remove(node);
    }

    /// Addresses of the nodes that run in the region of `locality`.
    pub fn in_region_of(&self, locality: &Locality) -> HashSet<SocketAddr> {
        let nodes = self.nodes.borrow();
        let in_region = nodes
            .values()
            .filter(|node| node.locality.region == locality.region);
        in_region.map(|node| node.address).collect()
    }

    /// Addresses of all nodes except `own` that may still run: those that the store lists, and those whose
    /// key has been gone for less than `DEPARTED_RETENTION`.
    pub fn possibly_running(&self, own: &NodeName) -> Vec<SocketAddr> {
        let departed = self.departed.borrow();
        let departed = departed.values();
        let remembered =
            departed.filter(|(node, at)| node.node != *own && at.elapsed() < DEPARTED_RETENTION);
        let mut addresses = self.others(own);
        addresses.extend(remembered.map(|(node, _)| node.address));
        addresses
    }
}
