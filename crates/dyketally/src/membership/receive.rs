//! What a message that arrives leads to.

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

/// Members told to a node whose sync request is refused, so that it can ask others.
const TOLD_WHEN_REFUSED: usize = 3;

impl Membership {
    pub(super) fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) {
        let Message {
            header,
            body,
            updates,
        } = message;
        self.note_sender(now, &header);
        if header.sender == self.own {
            return;
        }
        let is_page = matches!(body, Body::SyncPage { .. });
        self.apply_all(now, updates, is_page);
        self.answer(now, from, &header.sender, body);
        self.compare_digests(now, from, &header);
    }

    fn note_sender(&mut self, now: Timestamp, header: &Header) {
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
                self.regions.learn(contact, now);
            }
        }
    }

    /// Pages received while joining are known to all others: they are not passed on.
    fn apply_all(&mut self, now: Timestamp, updates: Vec<Update>, is_page: bool) {
        let spread = !is_page || self.sync.joined;
        for update in updates {
            let node = update.node().clone();
            let applied = self.apply(now, update, spread);
            if is_page && applied == Applied::Outdated {
                self.correct(now, &node);
            }
        }
    }

    /// Passes on what is held about a member of whom a peer has an older view.
    fn correct(&mut self, now: Timestamp, node: &NodeName) {
        if let Some(entry) = self.table.get(node) {
            self.rumors.add(now, update_of(entry));
        }
    }

    fn answer(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeName, body: Body) {
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
            Body::SyncPage { more } => self.finish_page(now, from, sender, more),
        }
    }

    fn acknowledge(&mut self, now: Timestamp, sequence: u32) {
        if let Some(probe) = self.probes.acknowledge(sequence) {
            let region = self
                .table
                .get(&probe.target)
                .map(|it| it.record.locality.region.clone());
            if let Some(region) = region {
                self.regions.answered(&region, now);
            }
        } else if let Some(relayed) = self.probes.acknowledge_relayed(sequence) {
            let body = Body::IndirectAck {
                sequence: relayed.origin_sequence,
            };
            self.send_bare(now, relayed.origin, None, body);
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
            self.send_bare(now, address, Some(target), Body::Ping { sequence });
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
        self.sync.give_back(allowed - filled.pages.len());
        let near = self.is_of_own_region(sender);
        let last = filled.pages.len() - 1;
        for (number, page) in filled.pages.into_iter().enumerate() {
            let more = filled.more || number < last;
            self.counters.sync_pages += 1;
            self.send_with(now, from, near, Body::SyncPage { more }, page);
        }
    }

    fn refuse_sync(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeName) {
        self.counters.sync_refused += 1;
        let members = self
            .rings
            .any(&self.table, TOLD_WHEN_REFUSED, &mut self.rng);
        let entries = members.iter().filter_map(|node| self.table.get(node));
        let updates = entries.map(update_of).collect();
        let near = self.is_of_own_region(sender);
        self.send_with(now, from, near, Body::SyncPage { more: true }, updates);
    }

    fn finish_page(&mut self, now: Timestamp, from: SocketAddr, sender: &NodeName, more: bool) {
        if !more {
            self.note_joined(now);
        } else if !self.sync.joined {
            self.request_sync(now, from, sender);
        }
    }

    /// The table of another node has been received whole. This node tells of itself once more,
    /// now that it knows how many have to hear it.
    fn note_joined(&mut self, now: Timestamp) {
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
            self.note_joined(now);
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
