//! Which nodes run, by the records that they keep in the store.

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

/// How long a node whose key is gone is taken for one that may still run, cut off from the store. Not
/// measured; it is the lease of a node's key.
pub(crate) const DEPARTED_REMEMBERED: Duration = Duration::from_secs(30);
/// Relays named by seeds that are remembered. Not measured.
const NAMED_RELAYS_AT_MOST: usize = 8;

/// What a node keeps in the store under its name, and the failover coordinator under its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The node.
    pub node: NodeName,
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Where it runs.
    pub locality: Locality,
    /// Its share of the databases relative to other nodes.
    pub weight: u16,
    /// How much its link carries; records of older builds lack it.
    #[serde(default)]
    pub link: LinkClass,
}

impl NodeRecord {
    /// The record that lies under a key; `None` if it is none.
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

/// The nodes that run, and those that may still run.
#[derive(Default)]
pub struct Membership {
    /// Notified when the nodes that run have changed.
    pub nodes_changed: Notify,
    nodes: RefCell<BTreeMap<NodeName, NodeRecord>>,
    /// True once the nodes' keys were read.
    known: Cell<bool>,
    /// Relays that seeds named.
    named_relays: RefCell<Vec<SocketAddr>>,
    /// Nodes whose key is gone, and since when.
    departed: RefCell<BTreeMap<NodeName, (NodeRecord, Instant)>>,
}

impl Membership {
    /// Nodes that run, this one included.
    pub fn node_count(&self) -> usize {
        self.nodes.borrow().len().max(1)
    }

    /// True once it is known which nodes run.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Records which relays a seed names.
    pub fn relays_named(&self, relays: Vec<SocketAddr>) {
        let mut named = self.named_relays.borrow_mut();
        for relay in relays {
            if !named.contains(&relay) && named.len() < NAMED_RELAYS_AT_MOST {
                named.push(relay);
            }
        }
        drop(named);
        self.nodes_changed.notify_waiters();
    }

    /// Relays that seeds named.
    pub fn named_relays(&self) -> Vec<SocketAddr> {
        self.named_relays.borrow().clone()
    }

    /// The nodes that run, by name.
    pub fn nodes(&self) -> Ref<'_, BTreeMap<NodeName, NodeRecord>> {
        self.nodes.borrow()
    }

    /// The other nodes' addresses.
    pub fn others(&self, own: &NodeName) -> Vec<SocketAddr> {
        let nodes = self.nodes.borrow();
        let others = nodes.values().filter(|record| record.node != *own);
        others.map(|record| record.address).collect()
    }

    /// Records that `nodes` are all that the store lists.
    pub fn listed(&self, nodes: Vec<NodeRecord>) {
        self.known.set(true);
        let former = std::mem::take(&mut *self.nodes.borrow_mut());
        former.into_values().for_each(|node| self.departed(node));
        nodes.into_iter().for_each(|node| self.joined(node));
    }

    /// Records that the store lists a node.
    pub fn joined(&self, node: NodeRecord) {
        let name = node.node.clone();
        self.departed.borrow_mut().remove(&name);
        self.nodes.borrow_mut().insert(name, node);
    }

    /// Records that the store lists a node no longer.
    pub fn left(&self, name: &NodeName) {
        let node = self.nodes.borrow_mut().remove(name);
        node.into_iter().for_each(|node| self.departed(node));
    }

    fn departed(&self, node: NodeRecord) {
        let mut departed = self.departed.borrow_mut();
        departed.retain(|_, (_, at)| at.elapsed() < DEPARTED_REMEMBERED);
        departed.insert(node.node.clone(), (node, Instant::now()));
    }

    /// Records that a node's process has ended.
    pub fn ended(&self, node: &NodeName) {
        self.departed.borrow_mut().remove(node);
    }

    /// The nodes that run in the same region as a database at `locality`.
    pub fn near(&self, locality: &Locality) -> HashSet<SocketAddr> {
        let nodes = self.nodes.borrow();
        let near = nodes
            .values()
            .filter(|node| node.locality.region == locality.region);
        near.map(|node| node.address).collect()
    }

    /// The addresses of all other nodes that may still run, whether or not the store lists them.
    pub fn electorate(&self, own: &NodeName) -> Vec<SocketAddr> {
        let departed = self.departed.borrow();
        let departed = departed.values();
        let remembered =
            departed.filter(|(node, at)| node.node != *own && at.elapsed() < DEPARTED_REMEMBERED);
        let mut addresses = self.others(own);
        addresses.extend(remembered.map(|(node, _)| node.address));
        addresses
    }
}
