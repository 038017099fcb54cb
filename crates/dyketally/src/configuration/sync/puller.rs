//! Pulls missing configuration from one peer at a time: selects the peer, applies the timeout and
//! collects the parts of a snapshot.

use std::collections::BTreeMap;
use std::time::Duration;

use super::assembly::{Assembled, Assembly};
use super::message::{PartOfSnapshot, PullRequest};
use crate::configuration::change::Document;
use crate::identifiers::NodeName;
use crate::policy::Revision;
use crate::time::Timestamp;

/// Most peers that are recorded as having a newer revision. One is enough to pull from.
const PEERS_REMEMBERED: usize = 16;

/// A request without a reply so far.
#[derive(Clone, Debug)]
struct Pending {
    peer: NodeName,
    expires_at: Timestamp,
}

/// Pulls missing configuration, with at most one request open.
#[derive(Clone, Debug, Default)]
pub(super) struct Puller {
    /// Peers with a newer revision than the node's own.
    ahead: BTreeMap<NodeName, Revision>,
    pending: Option<Pending>,
    assembly: Option<Assembly>,
}

impl Puller {
    /// Records a peer's revision; `have` is the node's own.
    pub(super) fn record_revision(&mut self, peer: NodeName, revision: Revision, have: Revision) {
        if revision <= have {
            self.ahead.remove(&peer);
            return;
        }
        if self.ahead.len() < PEERS_REMEMBERED || self.ahead.contains_key(&peer) {
            self.ahead.insert(peer, revision);
        }
    }

    /// Drops peers and parts that are obsolete now that the node's own revision is `have`.
    pub(super) fn drop_obsolete(&mut self, have: Revision) {
        self.ahead.retain(|_, revision| *revision > have);
        let outdated = |assembly: &mut Assembly| assembly.next().revision <= have;
        self.assembly.take_if(outdated);
    }

    /// Forgets a peer that didn't reply, or whose reply was of no use.
    pub(super) fn forget(&mut self, peer: &NodeName) {
        self.ahead.remove(peer);
    }

    /// Ends a request that timed out, and returns its peer.
    pub(super) fn take_timed_out(&mut self, now: Timestamp) -> Option<NodeName> {
        let overdue = |pending: &mut Pending| pending.expires_at <= now;
        Some(self.pending.take_if(overdue)?.peer)
    }

    /// Ends the open request to `peer`; returns false when there was none.
    pub(super) fn end_request(&mut self, peer: &NodeName) -> bool {
        let awaited = |pending: &mut Pending| pending.peer == *peer;
        self.pending.take_if(awaited).is_some()
    }

    /// Begins a request to the peer with the highest revision, unless another request is open.
    pub(super) fn begin_request(
        &mut self,
        have: Revision,
        now: Timestamp,
        timeout: Duration,
    ) -> Option<(NodeName, PullRequest)> {
        if self.pending.is_some() {
            return None;
        }
        let furthest = self.ahead.iter().max_by_key(|(_, revision)| **revision);
        let peer = furthest?.0.clone();
        self.pending = Some(Pending {
            peer: peer.clone(),
            expires_at: now + timeout,
        });
        let part = self.assembly.as_ref().map(Assembly::next).cloned();
        Some((peer, PullRequest { have, part }))
    }

    /// Adds one part of a snapshot that is newer than the node's own revision.
    pub(super) fn add_part(
        &mut self,
        part: &PartOfSnapshot,
        last: bool,
        documents: Vec<Document>,
    ) -> Assembled {
        if documents.is_empty() && !last {
            return Assembled::Unusable;
        }
        let begins = self.begins_assembly(part);
        let matching = self.assembly.take_if(|assembly| assembly.next() == part);
        let mut assembly = match matching {
            Some(assembly) => assembly,
            None if begins => Assembly::new(part.revision),
            None => return Assembled::Unusable,
        };
        let assembled = assembly.add(last, documents);
        if assembled == Assembled::Continues {
            self.assembly = Some(assembly);
        }
        assembled
    }

    /// True when `part` begins a new assembly: it is the first part, and not a repetition that would
    /// discard the later parts of the same snapshot.
    fn begins_assembly(&self, part: &PartOfSnapshot) -> bool {
        let begun = self
            .assembly
            .as_ref()
            .map(|assembly| assembly.next().revision);
        part.after.is_none() && begun.is_none_or(|begun| part.revision != begun)
    }
}
