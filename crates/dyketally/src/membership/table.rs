//! The table of members, with digests and counts that follow each change.

use std::collections::BTreeMap;

use crate::identifiers::{NodeName, RegionName};
use crate::policy::Revision;
use crate::time::Timestamp;

use super::digest::Digests;
use super::member::Record;

/// Status of a member at one incarnation. A later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Status {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl Status {
    pub(super) const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One member.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    pub(super) status: Status,
    /// When the status last changed.
    pub(super) since: Timestamp,
    /// Its configuration revision in the last message received directly from it.
    pub(super) revision: Revision,
}

/// All members, including this node.
#[derive(Debug)]
pub(super) struct Table {
    entries: BTreeMap<NodeName, Entry>,
    digests: Digests,
    live: usize,
    live_by_region: BTreeMap<RegionName, usize>,
    dead: usize,
}

impl Table {
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            digests: Digests::new(),
            live: 0,
            live_by_region: BTreeMap::new(),
            dead: 0,
        }
    }

    pub(super) fn get(&self, node: &NodeName) -> Option<&Entry> {
        self.entries.get(node)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Number of members that are alive or suspected, including this node.
    pub(super) fn live(&self) -> usize {
        self.live
    }

    /// Number of members of `region` that are alive or suspected.
    pub(super) fn live_in(&self, region: &RegionName) -> usize {
        self.live_by_region.get(region).copied().unwrap_or(0)
    }

    /// Number of members that were declared dead.
    pub(super) fn dead(&self) -> usize {
        self.dead
    }

    /// Number of all members, whatever their status.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Stores a member's record and status; a known member keeps its revision.
    pub(super) fn put(&mut self, record: Record, status: Status, now: Timestamp) {
        let revision = match self.remove(&record.node.clone()) {
            Some(old) => old.revision,
            None => Revision::default(),
        };
        self.count(&record, status, true);
        let entry = Entry {
            record,
            status,
            since: now,
            revision,
        };
        self.entries.insert(entry.record.node.clone(), entry);
    }

    /// Stores the revision of a member; true when it changed.
    pub(super) fn set_revision(&mut self, node: &NodeName, revision: Revision) -> bool {
        let Some(entry) = self.entries.get_mut(node) else {
            return false;
        };
        let changed = entry.revision != revision;
        entry.revision = revision;
        changed
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, node: &NodeName) -> Option<Entry> {
        let entry = self.entries.remove(node)?;
        self.count(&entry.record, entry.status, false);
        Some(entry)
    }

    fn count(&mut self, record: &Record, status: Status, added: bool) {
        match status {
            Status::Alive | Status::Suspect => {
                let region = record.locality.region.clone();
                self.digests.toggle(record);
                adjust(&mut self.live, added);
                adjust(self.live_by_region.entry(region).or_default(), added);
            }
            Status::Dead => adjust(&mut self.dead, added),
            Status::Left => {}
        }
    }
}

fn adjust(counter: &mut usize, up: bool) {
    *counter = if up { *counter + 1 } else { *counter - 1 };
}
