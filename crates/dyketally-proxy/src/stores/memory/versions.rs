//! All versions of all keys that are kept, and the changes in the order of their revisions.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::state::StateError;
use crate::stores::key_value::{
    Entry, Key, KeyOrder, KeyRange, LeaseId, RangeReply, RangeRequest, StoreRevision, WatchEvent,
};

/// One version of a key; without an entry when the key was deleted.
#[derive(Clone, Debug)]
struct Version {
    revision: StoreRevision,
    entry: Option<Entry>,
}

/// The versioned keys.
#[derive(Debug)]
pub(super) struct Versions {
    keys: BTreeMap<Key, Vec<Version>>,
    changes: BTreeMap<StoreRevision, Vec<WatchEvent>>,
    newest: StoreRevision,
    compacted: StoreRevision,
}

impl Default for Versions {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            changes: BTreeMap::new(),
            // An empty store of the real service is at revision 1.
            newest: StoreRevision(1),
            compacted: StoreRevision(0),
        }
    }
}

impl Versions {
    pub(super) fn newest(&self) -> StoreRevision {
        self.newest
    }

    pub(super) fn compacted(&self) -> StoreRevision {
        self.compacted
    }

    /// Makes `revision`, whose changes were all recorded, the newest.
    pub(super) fn finish(&mut self, revision: StoreRevision) {
        self.newest = revision;
    }

    /// The newest entry of a key, with the changes of an unfinished revision.
    pub(super) fn entry(&self, key: &Key) -> Option<&Entry> {
        self.keys.get(key)?.last()?.entry.as_ref()
    }

    /// The keys that are deleted with `lease`.
    pub(super) fn held_by(&self, lease: LeaseId) -> Vec<Key> {
        let newest = self.keys.values().filter_map(|versions| versions.last());
        let entries = newest.filter_map(|version| version.entry.as_ref());
        let held = entries.filter(|entry| entry.lease == Some(lease));
        held.map(|entry| entry.key.clone()).collect()
    }

    pub(super) fn put(&mut self, entry: Entry) {
        let revision = entry.modified;
        let versions = self.keys.entry(entry.key.clone()).or_default();
        versions.push(Version {
            revision,
            entry: Some(entry.clone()),
        });
        let changes = self.changes.entry(revision).or_default();
        changes.push(WatchEvent::Put(entry));
    }

    /// Deletes all keys of `range`; returns how many there were.
    pub(super) fn delete(&mut self, range: &KeyRange, revision: StoreRevision) -> u64 {
        let mut deleted = Vec::new();
        for (key, versions) in self.keys.range_mut(bounds(range)) {
            if versions.last().is_some_and(|last| last.entry.is_some()) {
                versions.push(Version {
                    revision,
                    entry: None,
                });
                deleted.push(key.clone());
            }
        }
        let count = deleted.len() as u64;
        let changes = deleted.into_iter().map(|key| WatchEvent::Deleted {
            key,
            store_revision: revision,
        });
        self.changes.entry(revision).or_default().extend(changes);
        count
    }

    pub(super) fn read(&self, request: &RangeRequest) -> Result<RangeReply, StateError> {
        let at = request.at.unwrap_or(StoreRevision(u64::MAX));
        if request.at.is_some() && at < self.compacted {
            return Err(StateError::Compacted);
        }
        let in_range = self.keys.range(bounds(&request.range));
        let found = in_range.filter_map(|(_, versions)| version_at(versions, at));
        let mut entries: Vec<Entry> = found.cloned().collect();
        if request.order == KeyOrder::Descending {
            entries.reverse();
        }
        let limit = match request.limit {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let more = entries.len() > limit;
        entries.truncate(limit);
        Ok(RangeReply {
            store_revision: self.newest,
            entries,
            more,
        })
    }

    /// The changes of `range` from `from` on, oldest first.
    pub(super) fn changes(
        &self,
        range: &KeyRange,
        from: StoreRevision,
    ) -> Result<Vec<WatchEvent>, StateError> {
        if from <= self.compacted {
            return Err(StateError::Compacted);
        }
        let changes = self.changes.range(from..).flat_map(|(_, changes)| changes);
        let in_range = changes.filter(|change| range.contains(changed_key(change)));
        Ok(in_range.cloned().collect())
    }

    /// Forgets the versions and changes before `revision`.
    pub(super) fn compact(&mut self, revision: StoreRevision) {
        let revision = revision.min(self.newest);
        self.compacted = self.compacted.max(revision);
        self.changes = self.changes.split_off(&revision.next());
        for versions in self.keys.values_mut() {
            let kept = versions.partition_point(|version| version.revision <= revision);
            versions.drain(..kept.saturating_sub(1));
        }
        self.keys.retain(|_, versions| {
            let deleted = versions.len() == 1 && versions[0].entry.is_none();
            !(deleted && versions[0].revision <= revision)
        });
    }
}

fn bounds(range: &KeyRange) -> (Bound<Key>, Bound<Key>) {
    let start = Bound::Included(range.start.clone());
    match &range.end {
        None => (start, Bound::Included(range.start.clone())),
        Some(end) if *end <= range.start => (start, Bound::Included(range.start.clone())),
        Some(end) => (start, Bound::Excluded(end.clone())),
    }
}

fn version_at(versions: &[Version], at: StoreRevision) -> Option<&Entry> {
    let older = versions.partition_point(|version| version.revision <= at);
    versions[..older].last()?.entry.as_ref()
}

fn changed_key(change: &WatchEvent) -> &Key {
    match change {
        WatchEvent::Put(entry) => &entry.key,
        WatchEvent::Deleted { key, .. } => key,
    }
}
