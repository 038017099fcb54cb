//! Detects nodes whose process has ended and removes their keys from the store, long before their leases lapse.
//! Leases are long, since each renewal is a call to the store.
//!
//! In each zone the first relay monitors the other nodes, and the second relay monitors the first. A node that is
//! alone in its zone is monitored by a node of another zone. If both relays of a zone are lost together, their keys
//! disappear only when their leases lapse.
//!
//! Owns the time of each node's last reply; relies on heartbeats, which nodes send on request.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::is_majority;
use dyketally::identifiers::{NodeName, ZoneName};
use dyketally::placement;
use dyketally_store::key_value::{Condition, KeyRange, Operation, TransactionRequest};
use tokio::time::Instant;

use super::feed::Subject;
use super::parts::StoreParts;
use crate::event::Event;
use crate::fleet::membership::NodeRecord;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;

/// Pause between two heartbeat requests to a node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a node counts as gone. Until then, nodes that fail to reach it exclude it
/// themselves.
const GONE_AFTER: Duration = Duration::from_secs(6);
/// Time without a heartbeat up to which a node counts as reachable.
const REACHABLE_WITHIN: Duration = Duration::from_millis(2_500);

/// Monitors the other nodes that this node is responsible for, if any.
pub struct Liveness {
    parts: StoreParts,
    peers: Rc<Peers>,
    /// When each monitored node last replied, or was first sent a request.
    last_replies: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Liveness {
    /// A monitor that isn't running yet.
    pub fn new(parts: StoreParts, peers: Rc<Peers>) -> Self {
        Self {
            parts,
            peers,
            last_replies: RefCell::default(),
        }
    }

    /// Monitors nodes until the process stops.
    pub async fn run(self) {
        let mut heartbeats = self.peers.subscribe_heartbeats();
        let mut next = Instant::now() + HEARTBEAT_INTERVAL;
        loop {
            tokio::select! {
                Some(from) = heartbeats.recv() => {
                    if let Some(last_reply) = self.last_replies.borrow_mut().get_mut(&from) {
                        *last_reply = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(next) => {
                    next = Instant::now() + HEARTBEAT_INTERVAL;
                    if self.parts.cx.stop.is_stopping() {
                        return;
                    }
                    self.check_nodes().await;
                }
            }
        }
    }

    /// Requests heartbeats from the monitored nodes, and removes the keys of those that are gone.
    async fn check_nodes(&self) {
        let monitored = self.monitored_nodes();
        self.request_heartbeats(&monitored);
        // Without the store no key can be removed. If this node doesn't reach a majority of itself and the monitored
        // nodes, it may be cut off while the others are running.
        if self.parts.cx.store_health.is_failing() || !self.reaches_majority(&monitored) {
            return;
        }
        for node in monitored {
            if self.silent_for(&node) >= GONE_AFTER {
                self.remove(&node).await;
            }
        }
    }

    fn request_heartbeats(&self, monitored: &[NodeRecord]) {
        let now = Instant::now();
        let mut last_replies = self.last_replies.borrow_mut();
        last_replies.retain(|address, _| monitored.iter().any(|node| node.address == *address));
        for node in monitored {
            last_replies.entry(node.address).or_insert(now);
            self.peers
                .send(node.address, &PeerMessage::HeartbeatRequest);
        }
    }

    fn silent_for(&self, node: &NodeRecord) -> Duration {
        let last_replies = self.last_replies.borrow();
        last_replies
            .get(&node.address)
            .map_or(Duration::ZERO, Instant::elapsed)
    }

    fn reaches_majority(&self, monitored: &[NodeRecord]) -> bool {
        let reachable = monitored
            .iter()
            .filter(|node| self.silent_for(node) < REACHABLE_WITHIN);
        is_majority(reachable.count(), monitored.len() + 1)
    }

    async fn remove(&self, node: &NodeRecord) {
        let key = self.parts.keys.of_node(&node.node);
        let Some(modified) = self.parts.feed.modified(Subject::Nodes, &key) else {
            return;
        };
        // The node's next process may have put its key again since; that key must stay.
        let request = TransactionRequest {
            conditions: vec![Condition::Unchanged {
                key: key.clone(),
                modified,
            }],
            then: vec![Operation::Delete(KeyRange::key(key))],
            ..TransactionRequest::default()
        };
        let removed = self.parts.store.transact(request).await;
        self.last_replies
            .borrow_mut()
            .insert(node.address, Instant::now());
        self.parts.cx.events.write(&Event::NodeGone {
            node: node.node.as_str(),
            removed: removed.is_ok_and(|reply| reply.succeeded),
        });
    }

    /// The nodes that this node monitors.
    fn monitored_nodes(&self) -> Vec<NodeRecord> {
        let nodes = self.parts.fleet.membership.nodes();
        let own = &self.parts.cx.settings.node.name;
        let own_zone = self.parts.cx.settings.own_locality();
        let mut zones: BTreeMap<&ZoneName, Vec<&NodeRecord>> = BTreeMap::new();
        for node in nodes.values() {
            zones.entry(&node.locality.zone).or_default().push(node);
        }
        let mut monitored = Vec::new();
        for (zone, members) in zones {
            if let [lone] = members[..] {
                let others: Vec<&NodeName> = nodes.keys().filter(|it| **it != lone.node).collect();
                if placement::preference(&lone.node, &others).first() == Some(&own) {
                    monitored.push(lone.clone());
                }
            } else if *zone == own_zone.zone {
                let candidates = members.iter().map(|node| node.candidate());
                let ranked = placement::relays(&own_zone, candidates, 2);
                let others = members.into_iter().filter(|node| node.node != *own);
                match ranked.iter().position(|relay| *relay == own) {
                    Some(0) => monitored.extend(others.cloned()),
                    Some(_) => {
                        let first = others.filter(|node| Some(&&node.node) == ranked.first());
                        monitored.extend(first.cloned());
                    }
                    None => {}
                }
            }
        }
        monitored
    }
}
