//! Which peer is asked for what is missing, and when it is given up.

use std::collections::BTreeMap;
use std::time::Duration;

use super::assembly::{Assembled, Assembly};
use super::message::{PartOfSnapshot, PullRequest};
use crate::configuration::change::Document;
use crate::identifiers::NodeName;
use crate::policy::Revision;
use crate::time::Timestamp;

/// Peers that are remembered as ahead; a node needs one.
const PEERS_REMEMBERED: usize = 16;

#[derive(Clone, Debug)]
struct Pending {
    peer: NodeName,
    expires_at: Timestamp,
}

/// Asks one peer at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Puller {
    ahead: BTreeMap<NodeName, Revision>,
    pending: Option<Pending>,
    assembly: Option<Assembly>,
}

impl Puller {
    /// A peer told its revision.
    pub(super) fn heard(&mut self, peer: NodeName, revision: Revision, have: Revision) {
        if revision <= have {
            self.ahead.remove(&peer);
            return;
        }
        if self.ahead.len() < PEERS_REMEMBERED || self.ahead.contains_key(&peer) {
            self.ahead.insert(peer, revision);
        }
    }

    /// The node has advanced to `have`.
    pub(super) fn advanced(&mut self, have: Revision) {
        self.ahead.retain(|_, revision| *revision > have);
        let outdated = |assembly: &mut Assembly| assembly.next().revision <= have;
        self.assembly.take_if(outdated);
    }

    /// Forgets a peer that doesn't answer, or answers nothing of use.
    pub(super) fn forget(&mut self, peer: &NodeName) {
        self.ahead.remove(peer);
    }

    /// The peer whose answer is overdue.
    pub(super) fn expire(&mut self, now: Timestamp) -> Option<NodeName> {
        let overdue = |pending: &mut Pending| pending.expires_at <= now;
        Some(self.pending.take_if(overdue)?.peer)
    }

    /// Ends the wait for `peer`; false when its answer wasn't awaited.
    pub(super) fn settle(&mut self, peer: &NodeName) -> bool {
        let awaited = |pending: &mut Pending| pending.peer == *peer;
        self.pending.take_if(awaited).is_some()
    }

    /// Asks the peer that is furthest ahead, unless an answer is awaited.
    pub(super) fn ask(
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

    /// Takes one part of a snapshot that is newer than the node's revision.
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

    /// A first part that comes again doesn't undo what has arrived since.
    fn begins_assembly(&self, part: &PartOfSnapshot) -> bool {
        let begun = self
            .assembly
            .as_ref()
            .map(|assembly| assembly.next().revision);
        part.after.is_none() && begun.is_none_or(|begun| part.revision != begun)
    }
}
