//! A node's copy of one subject: its entries, the revision they are complete to, and the messages that describe
//! changes to it. Relies only on the feed's messages.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use dyketally::delta::Delta;
use dyketally_store::key_value::{Entry, Key, StoreRevision, WatchEvent};
use tokio::time::Instant;

use super::message::{Digest, FeedMessage, Patch};
use super::subject::Subject;

/// Length in bytes from which on a changed value is sent as the difference to its previous version. Shorter
/// values fit into one packet anyway.
const MIN_PATCHED_BYTES: usize = 1_024;

/// This node's copy of one subject.
#[derive(Debug, Default)]
pub(super) struct SubjectCopy {
    pub(super) entries: BTreeMap<Key, Entry>,
    /// Total length of the keys and values of `entries`.
    pub(super) bytes: usize,
    /// The store revision of the last change that this node has received.
    pub(super) revision: StoreRevision,
    /// The store revision up to which this copy is complete, deletions included.
    pub(super) complete_to: StoreRevision,
    pub(super) watch: OwnWatch,
    /// True when a read from the store returned changes that weren't sent to followers.
    pub(super) has_unsent_changes: bool,
    /// The encoded snapshot of this copy; `None` after a change until it is needed again.
    pub(super) encoded: Option<Bytes>,
}

/// The state of this node's own watch of a subject.
#[derive(Clone, Copy, Debug)]
pub(super) enum OwnWatch {
    /// The watch hasn't been opened since the node started at this time. This counts as inactive, too: otherwise a
    /// relay whose first read is refused has no watch to lose, follows no other relay, and gets no updates for as
    /// long as its lease is renewed.
    NotOpened(Instant),
    Active,
    LostAt(Instant),
}

impl Default for OwnWatch {
    fn default() -> Self {
        Self::NotOpened(Instant::now())
    }
}

impl OwnWatch {
    /// How long the watch has been inactive; `None` while it is active.
    pub(super) fn inactive_for(self) -> Option<Duration> {
        match self {
            Self::Active => None,
            Self::NotOpened(since) | Self::LostAt(since) => Some(since.elapsed()),
        }
    }
}

impl SubjectCopy {
    pub(super) fn replace(&mut self, entries: &[Entry]) {
        self.encoded = None;
        let digest_before = Digest::of(self.entries.values());
        self.entries = entries
            .iter()
            .map(|it| (it.key.clone(), it.clone()))
            .collect();
        self.bytes = self.entries.values().map(entry_bytes).sum();
        self.has_unsent_changes |= digest_before != Digest::of(self.entries.values());
        let newest = entries.iter().map(|entry| entry.modified).max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    /// The message about a change that isn't applied to this copy yet, for followers that have the same copy. A
    /// long value is sent as the difference to the previous one.
    pub(super) fn change_message(&self, subject: Subject, event: &WatchEvent) -> FeedMessage {
        let patch = match event {
            WatchEvent::Put(entry) => self.patch(entry),
            WatchEvent::Deleted { .. } => None,
        };
        match patch {
            Some(patch) => FeedMessage::Patched { subject, patch },
            None => FeedMessage::Changed {
                subject,
                event: event.clone(),
            },
        }
    }

    fn patch(&self, entry: &Entry) -> Option<Patch> {
        let old = self.entries.get(&entry.key)?;
        if entry.value.len() < MIN_PATCHED_BYTES || old.modified >= entry.modified {
            return None;
        }
        let delta = Delta::between(&old.value, &entry.value)?;
        Some(Patch {
            from: old.modified,
            entry: Entry {
                value: Bytes::new(),
                ..entry.clone()
            },
            delta,
        })
    }

    pub(super) fn apply(&mut self, event: &WatchEvent) {
        self.encoded = None;
        let revision = match event {
            WatchEvent::Put(entry) => {
                let former = self.entries.insert(entry.key.clone(), entry.clone());
                self.bytes += entry_bytes(entry);
                self.bytes -= former.as_ref().map_or(0, entry_bytes);
                entry.modified
            }
            WatchEvent::Deleted {
                key,
                store_revision,
            } => {
                let former = self.entries.remove(key);
                self.bytes -= former.as_ref().map_or(0, entry_bytes);
                *store_revision
            }
        };
        self.revision = self.revision.max(revision);
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    entry.key.as_bytes().len() + entry.value.len()
}
