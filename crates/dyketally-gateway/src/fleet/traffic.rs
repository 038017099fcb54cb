//! Where the bytes go that this process sends to other nodes: by kind of message, by zone and by node.
//! Bytes between regions are dear, and the links of small machines bear few.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

use dyketally::identifiers::{NodeName, ZoneName};

use crate::fleet::Fleet;
use crate::fleet::membership::NodeRecord;

/// Under which name bytes to addresses are counted that no known node has, or several in different
/// zones.
const UNKNOWN: &str = "unknown";

/// A node that bytes go to.
#[derive(Clone, Debug)]
struct Receiver {
    /// Its name.
    node: NodeName,
    /// Its zone.
    zone: ZoneName,
    /// True when it is in another region than this node.
    is_far: bool,
}

/// Which node has which address, and how many bytes went to each.
#[derive(Debug, Default)]
pub struct Traffic {
    by_address: RefCell<HashMap<SocketAddr, Receiver>>,
    /// For connections that the other node opened, from a port of its own choice.
    by_host: RefCell<HashMap<IpAddr, Receiver>>,
    by_node: RefCell<BTreeMap<NodeName, u64>>,
}

impl Traffic {
    /// Bytes sent since the start of the process, by node.
    pub fn by_node(&self) -> BTreeMap<NodeName, u64> {
        self.by_node.borrow().clone()
    }

    /// Forgets who has which address: nodes came or went, which may have the addresses of others.
    pub fn forget_addresses(&self) {
        self.by_address.borrow_mut().clear();
        self.by_host.borrow_mut().clear();
    }

    fn known(&self, address: SocketAddr) -> Option<Receiver> {
        let exact = self.by_address.borrow().get(&address).cloned();
        exact.or_else(|| self.by_host.borrow().get(&address.ip()).cloned())
    }
}

impl Fleet {
    /// Counts a message of `kind` that goes to the node at `to`. The port may be one that the other node
    /// has for this connection alone.
    pub fn count_sent(&self, kind: &'static str, to: SocketAddr, bytes: usize) {
        let counters = &self.cx.counters;
        counters.sent_bytes.add(kind, bytes);
        let Some(receiver) = self.traffic.known(to).or_else(|| self.receiver(to)) else {
            counters.sent_bytes_by_zone.add(UNKNOWN, bytes);
            return;
        };
        counters
            .sent_bytes_by_zone
            .add(receiver.zone.as_str(), bytes);
        if receiver.is_far {
            counters.sent_bytes_far.add(kind, bytes);
        }
        let mut by_node = self.traffic.by_node.borrow_mut();
        *by_node.entry(receiver.node).or_default() += bytes as u64;
    }

    fn receiver(&self, address: SocketAddr) -> Option<Receiver> {
        let nodes = self.membership.nodes();
        let exact = nodes.values().find(|node| node.address == address);
        let mut same_host = nodes
            .values()
            .filter(|node| node.address.ip() == address.ip());
        let node = match exact {
            Some(node) => node,
            None => same_host.next()?,
        };
        let is_clear = |other: &NodeRecord| other.locality.zone == node.locality.zone;
        if exact.is_none() && !same_host.all(is_clear) {
            return None;
        }
        let receiver = Receiver {
            node: node.node.clone(),
            zone: node.locality.zone.clone(),
            is_far: node.locality.region != self.cx.settings.own_locality().region,
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
