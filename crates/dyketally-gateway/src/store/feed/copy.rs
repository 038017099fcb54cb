//! A node's copy of one subject: its entries, how current they are, and changes as differences to it. Relies
//! on nothing else of the feed but its messages.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use dyketally::delta::Delta;
use dyketally_store::key_value::{Entry, Key, StoreRevision, WatchEvent};
use tokio::time::Instant;

use super::message::{Digest, FeedMessage, Patch};
use super::subject::Subject;

/// Values from this length on are sent as differences to the version before, in bytes: shorter ones
/// fit into one packet anyway. Not measured.
const PATCHED_FROM: usize = 1_024;

/// This node's copy of one subject.
#[derive(Debug, Default)]
pub(super) struct Copy {
    pub(super) entries: BTreeMap<Key, Entry>,
    /// The revision of the last change that is known.
    pub(super) revision: StoreRevision,
    /// The store's revision up to which this copy lacks nothing.
    pub(super) complete_to: StoreRevision,
    pub(super) watch: OwnWatch,
    /// True when a read brought something that wasn't sent to followers as a change.
    pub(super) differs_from_followers: bool,
    /// All of it as it is sent to followers, until it changes.
    pub(super) encoded: Option<Bytes>,
}

/// This node's own watch of a subject.
#[derive(Clone, Copy, Debug)]
pub(super) enum OwnWatch {
    /// It hasn't stood yet, since this node started then. Not to count that as missing left a relay without
    /// updates for as long as its lease was renewed: its first read was refused, so it had nothing to lose,
    /// and it followed nobody.
    NotYet(Instant),
    Stands,
    LostAt(Instant),
}

impl Default for OwnWatch {
    fn default() -> Self {
        Self::NotYet(Instant::now())
    }
}

impl OwnWatch {
    /// For how long it hasn't stood; `None` while it does.
    pub(super) fn missing_for(self) -> Option<Duration> {
        match self {
            Self::Stands => None,
            Self::NotYet(since) | Self::LostAt(since) => Some(since.elapsed()),
        }
    }
}

impl Copy {
    pub(super) fn replace(&mut self, entries: &[Entry]) {
        self.encoded = None;
        let before = Digest::of(self.entries.values());
        self.entries = entries
            .iter()
            .map(|it| (it.key.clone(), it.clone()))
            .collect();
        self.differs_from_followers |= before != Digest::of(self.entries.values());
        let newest = entries.iter().map(|entry| entry.modified).max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    /// What followers that have this copy are sent of a change that it doesn't have yet: of a long value
    /// only what is new.
    pub(super) fn message(&self, subject: Subject, event: &WatchEvent) -> FeedMessage {
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
        if entry.value.len() < PATCHED_FROM || old.modified >= entry.modified {
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

    pub(super) fn change(&mut self, event: &WatchEvent) {
        self.encoded = None;
        let revision = match event {
            WatchEvent::Put(entry) => {
                self.entries.insert(entry.key.clone(), entry.clone());
                entry.modified
            }
            WatchEvent::Deleted {
                key,
                store_revision,
            } => {
                self.entries.remove(key);
                *store_revision
            }
        };
        self.revision = self.revision.max(revision);
    }
}
