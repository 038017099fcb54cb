//! Sending of messages with as many updates as fit, and of immediate announcements.

use std::net::SocketAddr;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::engine::{Membership, Phase};
use super::message::{Body, Header, Message, Update};
use super::output::Output;
use super::table::Status;

/// Number of members that a node notifies at once when it leaves.
pub(super) const NOTIFIED_WHEN_LEAVING: usize = 6;

impl Membership {
    /// Sends `body` to `peer` with as many updates as fit.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        peer: Option<&NodeName>,
        body: Body,
    ) {
        let same_region = peer.is_some_and(|peer| self.is_of_own_region(peer));
        let mut updates =
            self.rumors
                .take(now, self.config.update_bytes, self.table.live(), |update| {
                    same_region || !matches!(update, Update::Suspected { .. })
                });
        updates.extend(peer.and_then(|peer| self.claim_about(peer)));
        self.send_with(now, to, same_region, body, updates);
    }

    /// Sends `body` with no update but this node's claim about the peer, if there is one.
    pub(super) fn send_without_rumors(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        peer: Option<&NodeName>,
        body: Body,
    ) {
        let same_region = peer.is_some_and(|peer| self.is_of_own_region(peer));
        let claim = peer.and_then(|peer| self.claim_about(peer));
        self.send_with(now, to, same_region, body, claim.into_iter().collect());
    }

    /// Sends `body` with exactly these updates.
    pub(super) fn send_with(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        same_region: bool,
        body: Body,
        updates: Vec<Update>,
    ) {
        let message = Message {
            header: self.header(now, same_region),
            body,
            updates,
        };
        self.counters.sent += 1;
        self.outputs.push(Output::Send {
            to,
            message: Box::new(message),
        });
    }

    fn header(&self, now: Timestamp, same_region: bool) -> Header {
        let own = self.own_entry();
        Header {
            sender: self.own.clone(),
            incarnation: self.own_incarnation(),
            leaving: own.is_some_and(|entry| entry.record.leaving),
            revision: self.revision,
            digest: self.digest(),
            regions: if same_region {
                self.regions.reports(now)
            } else {
                Vec::new()
            },
        }
    }

    /// The claim of this node that a peer is suspected or dead or has left; the peer has to receive it to
    /// refute it.
    fn claim_about(&self, peer: &NodeName) -> Option<Update> {
        let entry = self.table.get(peer)?;
        let (node, incarnation) = (peer.clone(), entry.record.incarnation);
        match entry.status {
            Status::Alive => None,
            Status::Suspect => Some(Update::Suspected {
                node,
                incarnation,
                by: self.own.clone(),
            }),
            Status::Dead => Some(Update::Died { node, incarnation }),
            Status::Left => Some(Update::Left { node, incarnation }),
        }
    }

    pub(super) fn announce_left(&mut self, now: Timestamp) {
        let Some(record) = self.own_entry().map(|entry| entry.record.clone()) else {
            return;
        };
        self.rumors.add(
            now,
            Update::Left {
                node: record.node.clone(),
                incarnation: record.incarnation,
            },
        );
        self.notify_some(now, NOTIFIED_WHEN_LEAVING);
        self.table.put(record, Status::Left, now);
        self.state_version += 1;
        self.phase = Phase::Left;
    }

    /// Pings `count` members at once, so that new updates reach them before the next probes.
    pub(super) fn notify_some(&mut self, now: Timestamp, count: usize) {
        for _ in 0..count {
            let size = self.region_size();
            let Some(peer) = self.rings.next_probe(&self.table, size, &mut self.rng) else {
                return;
            };
            let Some(to) = self.address_of(&peer) else {
                continue;
            };
            let sequence = self.probes.next_sequence();
            self.send(now, to, Some(&peer), Body::Ping { sequence });
        }
    }
}
