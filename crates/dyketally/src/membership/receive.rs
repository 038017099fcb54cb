//! Handling of received messages.

use std::net::SocketAddr;

use rand::Rng;

use crate::identifiers::NodeName;
use crate::time::Timestamp;

use super::apply::Applied;
use super::digest::BUCKETS;
use super::engine::Membership;
use super::message::{Body, Header, Message, Update};
use super::output::Event;
use super::sync::{fill_pages, update_of};

/// Number of members listed in the answer to a refused sync request, so that the requester can turn to
/// other nodes.
const MEMBERS_IN_REFUSAL: usize = 3;

impl Membership {
    pub(super) fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) {
        let Message {
            header,
            body,
            updates,
        } = message;
        self.record_sender(now, &header);
        if header.sender == self.own {
            return;
        }
        let is_page = matches!(body, Body::SyncPage { .. });
        self.apply_all(now, updates, is_page);
        self.handle_body(now, from, &header.sender, body);
        self.compare_digests(now, from, &header);
    }

    fn record_sender(&mut self, now: Timestamp, header: &Header) {
        let renewed = Update::Renewed {
            node: header.sender.clone(),
            incarnation: header.incarnation,
            leaving: header.leaving,
        };
        self.apply(now, renewed, true);
        if header.sender == self.own {
            return;
        }
        if self.table.set_revision(&header.sender, header.revision) {
            self.revision_version += 1;
        }
        if header.revision > self.revision {
            self.emit(Event::RevisionSeen {
                node: header.sender.clone(),
                revision: header.revision,
            });
        }
        if self.is_of_own_region(&header.sender) {
            for contact in &header.regions {
                self.regions.record_report(contact, now);
            }
        }
    }

    /// Applies updates. Those of a page received while joining are not passed on, because the other nodes
    /// already know them.
    fn apply_all(&mut self, now: Timestamp, updates: Vec<Update>, is_page: bool) {
        let spread = !is_page || self.sync.joined;
        for update in updates {
            let node = update.node().clone();
            let applied = self.apply(now, update, spread);
            if is_page && applied == Applied::Outdated {
                self.spread_correction(now, &node);
            }
        }
    }

    /// Passes on what this node knows about a member, because a peer has an older view of it.
    fn spread_correction(&mut self, now: Timestamp, node: &NodeName) {
        if let Some(entry) = self.table.get(node) {
            self.rumors.add(now, update_of(entry));
        }
    }

    fn handle_body(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeName, body: Body) {
        match body {
            Body::Ping { sequence } => self.send(now, from, Some(sender), Body::Ack { sequence }),
            Body::Ack { sequence } => self.acknowledge(now, sequence),
            Body::IndirectPing {
                sequence,
                target,
                address,
            } => self.probe_for_another(now, from, sequence, &target, address),
            Body::IndirectAck { sequence } => {
                self.probes.acknowledge(sequence);
            }
            Body::SyncRequest { buckets } => self.answer_sync(now, from, sender, &buckets),
            Body::SyncPage { more } => self.handle_page_end(now, from, sender, more),
        }
    }

    fn acknowledge(&mut self, now: Timestamp, sequence: u32) {
        if let Some(probe) = self.probes.acknowledge(sequence) {
            let region = self
                .table
                .get(&probe.target)
                .map(|it| it.record.locality.region.clone());
            if let Some(region) = region {
                self.regions.record_answer(&region, now);
            }
        } else if let Some(relayed) = self.probes.acknowledge_relayed(sequence) {
            let body = Body::IndirectAck {
                sequence: relayed.origin_sequence,
            };
            self.send_without_rumors(now, relayed.origin, None, body);
        }
    }

    fn probe_for_another(
        &mut self,
        now: Timestamp,
        origin: SocketAddr,
        origin_sequence: u32,
        target: &NodeName,
        address: SocketAddr,
    ) {
        let relayed = self
            .probes
            .relay(origin, origin_sequence, &self.config, now);
        if let Some(sequence) = relayed {
            self.send_without_rumors(now, address, Some(target), Body::Ping { sequence });
        }
    }

    fn answer_sync(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sender: &NodeName,
        buckets: &[u32],
    ) {
        let limit = self.config.sync_pages_per_second;
        let allowed = self.sync.take_pages(limit, now);
        if allowed == 0 {
            self.refuse_sync(now, from, sender);
            return;
        }
        let differing = self.table.digests().differing(buckets);
        let first = self.rng.random_range(0..BUCKETS);
        let filled = fill_pages(&self.table, &differing, first, allowed);
        self.sync.return_pages(allowed - filled.pages.len());
        let same_region = self.is_of_own_region(sender);
        let last = filled.pages.len() - 1;
        for (number, page) in filled.pages.into_iter().enumerate() {
            let more = filled.more || number < last;
            self.counters.sync_pages += 1;
            self.send_with(now, from, same_region, Body::SyncPage { more }, page);
        }
    }

    fn refuse_sync(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeName) {
        self.counters.sync_refused += 1;
        let members = self
            .rings
            .next_live(&self.table, MEMBERS_IN_REFUSAL, &mut self.rng);
        let entries = members.iter().filter_map(|node| self.table.get(node));
        let updates = entries.map(update_of).collect();
        let same_region = self.is_of_own_region(sender);
        self.send_with(
            now,
            from,
            same_region,
            Body::SyncPage { more: true },
            updates,
        );
    }

    fn handle_page_end(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeName, more: bool) {
        if !more {
            self.mark_joined(now);
        } else if !self.sync.joined {
            self.request_sync(now, from, sender);
        }
    }

    /// Records that the table of another node has been received in full. This node then announces itself
    /// again, because how often an update is sent depends on the number of members, which is known only
    /// now.
    fn mark_joined(&mut self, now: Timestamp) {
        if self.sync.joined || self.table.live() < 2 {
            return;
        }
        self.sync.joined = true;
        let own = self.own_entry().map(update_of);
        own.into_iter()
            .for_each(|update| self.rumors.add(now, update));
    }

    fn compare_digests(&mut self, now: Timestamp, from: SocketAddr, header: &Header) {
        if header.digest == self.digest() {
            self.mark_joined(now);
        } else {
            self.request_sync(now, from, &header.sender);
        }
    }

    fn request_sync(&mut self, now: Timestamp, to: SocketAddr, peer: &NodeName) {
        if self.sync.take_request(now) {
            self.send_sync_request(now, to, Some(peer));
        }
    }

    pub(super) fn send_sync_request(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        peer: Option<&NodeName>,
    ) {
        let buckets = self.table.digests().to_wire();
        self.counters.sync_requests += 1;
        self.send(now, to, peer, Body::SyncRequest { buckets });
    }
}
