//! Finds nodes whose process is gone, and removes their keys from the store, long before their
//! leases lapse: leases are long, since each renewal is a call to the store.
//!
//! In each zone the first relay watches over the other nodes, and the second one over the first. A
//! node that is alone in its zone is watched over by one of another zone. If both relays of a zone
//! are lost together their keys go with their leases.
//!
//! Owns when each node replied last; relies on heartbeats, which nodes send when asked.

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

/// Pause between two heartbeats that a node is asked for. Not measured.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Silence after which a node is taken for gone; until then nodes that fail to reach it pass it over. Not
/// measured.
const GONE_AFTER: Duration = Duration::from_secs(6);
/// Silence up to which a node counts as reached. Not measured.
const HEARD_WITHIN: Duration = Duration::from_millis(2_500);

/// Watches over nodes while this one is a relay.
pub struct Liveness {
    parts: StoreParts,
    peers: Rc<Peers>,
    /// When each node replied last, or was asked first.
    heard: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Liveness {
    /// One that isn't running yet.
    pub fn new(parts: StoreParts, peers: Rc<Peers>) -> Self {
        Self {
            parts,
            peers,
            heard: RefCell::default(),
        }
    }

    /// Watches over nodes until the process stops.
    pub async fn run(self) {
        let mut alive = self.peers.heartbeats();
        let mut next = Instant::now() + HEARTBEAT;
        loop {
            tokio::select! {
                Some(from) = alive.recv() => {
                    if let Some(heard) = self.heard.borrow_mut().get_mut(&from) {
                        *heard = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(next) => {
                    next = Instant::now() + HEARTBEAT;
                    if self.parts.cx.stop.is_stopping() {
                        return;
                    }
                    self.look().await;
                }
            }
        }
    }

    async fn look(&self) {
        let watched = self.watched_over();
        self.ask(&watched);
        // Without the store nothing can be removed, and cut off from most this node may be wrong.
        if self.parts.cx.store_health.is_failing() || !self.hears_most(&watched) {
            return;
        }
        for node in watched {
            if self.silent_for(&node) >= GONE_AFTER {
                self.remove(&node).await;
            }
        }
    }

    fn ask(&self, watched: &[NodeRecord]) {
        let now = Instant::now();
        let mut heard = self.heard.borrow_mut();
        heard.retain(|address, _| watched.iter().any(|node| node.address == *address));
        for node in watched {
            heard.entry(node.address).or_insert(now);
            self.peers.send(node.address, &PeerMessage::HeartbeatAsked);
        }
    }

    fn silent_for(&self, node: &NodeRecord) -> Duration {
        let heard = self.heard.borrow();
        heard
            .get(&node.address)
            .map_or(Duration::ZERO, Instant::elapsed)
    }

    fn hears_most(&self, watched: &[NodeRecord]) -> bool {
        let heard = watched
            .iter()
            .filter(|node| self.silent_for(node) < HEARD_WITHIN);
        is_majority(heard.count(), watched.len() + 1)
    }

    async fn remove(&self, node: &NodeRecord) {
        let key = self.parts.keys.of_node(&node.node);
        let Some(modified) = self.parts.feed.modified(Subject::Nodes, &key) else {
            return;
        };
        // Its next process may have put the key anew.
        let request = TransactionRequest {
            conditions: vec![Condition::Unchanged {
                key: key.clone(),
                modified,
            }],
            then: vec![Operation::Delete(KeyRange::key(key))],
            ..TransactionRequest::default()
        };
        let removed = self.parts.store.transact(request).await;
        self.heard.borrow_mut().insert(node.address, Instant::now());
        self.parts.cx.events.write(&Event::NodeGone {
            node: node.node.as_str(),
            removed: removed.is_ok_and(|reply| reply.succeeded),
        });
    }

    /// The nodes that this one watches over.
    fn watched_over(&self) -> Vec<NodeRecord> {
        let nodes = self.parts.fleet.membership.nodes();
        let own = &self.parts.cx.settings.node.name;
        let own_zone = self.parts.cx.settings.own_locality();
        let mut zones: BTreeMap<&ZoneName, Vec<&NodeRecord>> = BTreeMap::new();
        for node in nodes.values() {
            zones.entry(&node.locality.zone).or_default().push(node);
        }
        let mut watched = Vec::new();
        for (zone, members) in zones {
            if let [lone] = members[..] {
                let others: Vec<&NodeName> = nodes.keys().filter(|it| **it != lone.node).collect();
                if placement::preference(&lone.node, &others).first() == Some(&own) {
                    watched.push(lone.clone());
                }
            } else if *zone == own_zone.zone {
                let candidates = members.iter().map(|node| node.candidate());
                let ranked = placement::relays(&own_zone, candidates, 2);
                let others = members.into_iter().filter(|node| node.node != *own);
                match ranked.iter().position(|relay| *relay == own) {
                    Some(0) => watched.extend(others.cloned()),
                    Some(_) => {
                        let first = others.filter(|node| Some(&&node.node) == ranked.first());
                        watched.extend(first.cloned());
                    }
                    None => {}
                }
            }
        }
        watched
    }
}
