//! Counts the bytes that this process sends to other nodes, by kind of message, by zone and by node.
//! Traffic between regions is expensive, and the links of small machines have little bandwidth.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

use dyketally::identifiers::{NodeName, ZoneName};

use crate::fleet::Fleet;
use crate::fleet::membership::{NodeChange, NodeRecord};

/// The zone label for bytes sent to an address of no known node, or of nodes in different zones.
const UNKNOWN: &str = "unknown";

/// A node that receives bytes from this process.
#[derive(Clone, Debug)]
struct Receiver {
    /// The node's name.
    node: NodeName,
    /// The node's zone.
    zone: ZoneName,
    /// True when the node is in another region than this node.
    in_other_region: bool,
}

/// Bytes sent to each node, and a cache of which node has which address.
#[derive(Debug, Default)]
pub struct Traffic {
    by_address: RefCell<HashMap<SocketAddr, Receiver>>,
    /// Receivers by IP address alone, for connections that the other node opened from an ephemeral port.
    by_host: RefCell<HashMap<IpAddr, Receiver>>,
    by_node: RefCell<BTreeMap<NodeName, u64>>,
}

impl Traffic {
    /// Bytes sent since the start of the process, by node.
    pub fn by_node(&self) -> BTreeMap<NodeName, u64> {
        self.by_node.borrow().clone()
    }

    /// Forgets the cached addresses of nodes that joined or left, since a node may have taken over the address of
    /// another.
    pub fn forget_addresses(&self, changes: &[NodeChange]) {
        let mut by_address = self.by_address.borrow_mut();
        let mut by_host = self.by_host.borrow_mut();
        for change in changes {
            let (NodeChange::Joined(node) | NodeChange::Left(node)) = change;
            by_address.remove(&node.address);
            by_host.remove(&node.address.ip());
        }
    }

    fn cached(&self, address: SocketAddr) -> Option<Receiver> {
        let exact = self.by_address.borrow().get(&address).cloned();
        exact.or_else(|| self.by_host.borrow().get(&address.ip()).cloned())
    }
}

impl Fleet {
    /// Counts a message of `kind` with `bytes` bytes that is sent to the node at `to`. The port of `to` may
    /// be the other node's ephemeral port.
    pub fn count_sent(&self, kind: &'static str, to: SocketAddr, bytes: usize) {
        let counters = &self.cx.counters;
        counters.sent_bytes.add(kind, bytes);
        let Some(receiver) = self.traffic.cached(to).or_else(|| self.find_receiver(to)) else {
            counters.sent_bytes_by_zone.add(UNKNOWN, bytes);
            return;
        };
        counters
            .sent_bytes_by_zone
            .add(receiver.zone.as_str(), bytes);
        if receiver.in_other_region {
            counters.sent_bytes_far.add(kind, bytes);
        }
        let mut by_node = self.traffic.by_node.borrow_mut();
        *by_node.entry(receiver.node).or_default() += bytes as u64;
    }

    /// Finds the known node at `address`, by IP address alone if no node has this port, and caches it.
    fn find_receiver(&self, address: SocketAddr) -> Option<Receiver> {
        let nodes = self.membership.nodes();
        let exact = nodes.values().find(|node| node.address == address);
        let mut same_host = nodes
            .values()
            .filter(|node| node.address.ip() == address.ip());
        let node = match exact {
            Some(node) => node,
            None => same_host.next()?,
        };
        let in_same_zone = |other: &NodeRecord| other.locality.zone == node.locality.zone;
        if exact.is_none() && !same_host.all(in_same_zone) {
            return None;
        }
        let receiver = Receiver {
            node: node.node.clone(),
            zone: node.locality.zone.clone(),
            in_other_region: node.locality.region != self.cx.settings.own_locality().region,
        };
        let traffic = &self.traffic;
        if exact.is_some() {
            let mut known = traffic.by_address.borrow_mut();
            known.insert(address, receiver.clone());
        } else {
            let mut known = traffic.by_host.borrow_mut();
            known.insert(address.ip(), receiver.clone());
        }
        Some(receiver)
    }
}
