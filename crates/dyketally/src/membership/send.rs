//! What a node sends: messages with as many updates as fit, and what it announces at once.

use std::net::SocketAddr;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::engine::{Membership, Phase};
use super::message::{Body, Header, Message, Update};
use super::output::Output;
use super::table::Status;

/// Members that a node informs at once when it leaves.
pub(super) const TOLD_WHEN_LEAVING: usize = 6;

impl Membership {
    /// Sends `body` to `peer` with as many updates as fit.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        peer: Option<&NodeName>,
        body: Body,
    ) {
        let near = peer.is_some_and(|peer| self.is_of_own_region(peer));
        let mut updates =
            self.rumors
                .take(now, self.config.update_bytes, self.table.live(), |update| {
                    near || !matches!(update, Update::Suspected { .. })
                });
        updates.extend(peer.and_then(|peer| self.claim_about(peer)));
        self.send_with(now, to, near, body, updates);
    }

    /// Sends `body` with nothing but what the peer must know about itself.
    pub(super) fn send_bare(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        peer: Option<&NodeName>,
        body: Body,
    ) {
        let near = peer.is_some_and(|peer| self.is_of_own_region(peer));
        let claim = peer.and_then(|peer| self.claim_about(peer));
        self.send_with(now, to, near, body, claim.into_iter().collect());
    }

    /// Sends `body` with exactly these updates.
    pub(super) fn send_with(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        near: bool,
        body: Body,
        updates: Vec<Update>,
    ) {
        let message = Message {
            header: self.header(now, near),
            body,
            updates,
        };
        self.counters.sent += 1;
        self.outputs.push(Output::Send {
            to,
            message: Box::new(message),
        });
    }

    fn header(&self, now: Timestamp, near: bool) -> Header {
        let own = self.own_entry();
        Header {
            sender: self.own.clone(),
            incarnation: self.own_incarnation(),
            leaving: own.is_some_and(|entry| entry.record.leaving),
            revision: self.revision,
            digest: self.digest(),
            regions: if near {
                self.regions.tell(now)
            } else {
                Vec::new()
            },
        }
    }

    /// What a peer must know about itself to refute it.
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

    pub(super) fn tell_left(&mut self, now: Timestamp) {
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
        self.tell_some(now, TOLD_WHEN_LEAVING);
        self.table.put(record, Status::Left, now);
        self.state_version += 1;
        self.phase = Phase::Left;
    }

    /// Passes on what is new to a few members at once, without waiting for the next probes.
    pub(super) fn tell_some(&mut self, now: Timestamp, count: usize) {
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
