//! This node's copies of all subjects, and the messages about them that are sent to its followers.
//!
//! Owns the copies and the log of changes; relies on [`SubjectCopy`] for the copy of one subject.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use dyketally_store::key_value::{Entry, Key, StoreRevision};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::change_log::{ChangeLog, Follower};
use super::copy::{OwnWatch, SubjectCopy};
use super::message::{Digest, FeedMessage, Patch, encode};
use super::subject::{SUBJECTS, Subject};
use super::updates::SentUpdate;
use crate::event::Form;
use dyketally_store::update::StoreUpdate;

/// How long a lost watch counts as being reopened, which takes two calls to the store: a read and a watch.
const WATCH_REOPENED_WITHIN: Duration = Duration::from_secs(1);

/// This node's copies, by subject.
pub(super) struct Copies {
    by_subject: RefCell<HashMap<Subject, SubjectCopy>>,
    pub(super) changes: ChangeLog,
    /// Notified each time this node has read a subject from the store.
    pub(super) subject_read: Notify,
}

impl Default for Copies {
    fn default() -> Self {
        Self {
            by_subject: RefCell::new(SUBJECTS.map(|it| (it, SubjectCopy::default())).into()),
            changes: ChangeLog::default(),
            subject_read: Notify::new(),
        }
    }
}

impl Copies {
    /// Applies an update to the copy of `subject`, and sends a single change to all followers; returns what was sent.
    pub(super) fn apply(&self, subject: Subject, update: &StoreUpdate) -> Option<SentUpdate> {
        let mut copies = self.by_subject.borrow_mut();
        let copy = copies.entry(subject).or_default();
        match update {
            StoreUpdate::All(entries) => {
                copy.replace(entries);
                None
            }
            StoreUpdate::Changed(event) => {
                let message = self
                    .has_followers()
                    .then(|| copy.change_message(subject, event));
                copy.apply(event);
                drop(copies);
                let message = message?;
                let form = match message {
                    FeedMessage::Patched { .. } => Form::Difference,
                    _ => Form::Change,
                };
                Some(self.broadcast(form, encode(&message)?))
            }
        }
    }

    /// The new entry that results from `patch`; `None` if the patch was made for a version of the entry that this
    /// node doesn't have.
    pub(super) fn patched_entry(&self, subject: Subject, patch: &Patch) -> Option<Entry> {
        let copies = self.by_subject.borrow();
        let old = copies.get(&subject)?.entries.get(&patch.entry.key)?;
        let value = match old.modified == patch.from {
            true => patch.delta.apply(&old.value)?,
            // A snapshot that was sent after the change already contains it.
            false if old.modified >= patch.entry.modified => return Some(old.clone()),
            false => return None,
        };
        Some(Entry {
            value: value.into(),
            ..patch.entry.clone()
        })
    }

    /// Follows all changes from now on, for one follower's connection.
    pub(super) fn follow(&self) -> Follower {
        self.changes.follow()
    }

    fn has_followers(&self) -> bool {
        self.changes.followers() > 0
    }

    fn broadcast(&self, form: Form, message: Bytes) -> SentUpdate {
        let bytes = message.len();
        let copies = self.by_subject.borrow();
        let key_bytes = copies.values().map(|copy| copy.bytes).sum();
        self.changes.push(message, key_bytes);
        SentUpdate {
            form,
            bytes,
            followers: self.changes.followers(),
        }
    }

    /// Records that this node read a subject from the store at `revision` and watches it from there. Returns what
    /// was sent to its followers, which may lack changes that were made before.
    pub(super) fn watch_established(
        &self,
        subject: Subject,
        revision: StoreRevision,
    ) -> Option<SentUpdate> {
        let mut copies = self.by_subject.borrow_mut();
        let copy = copies.entry(subject).or_default();
        copy.complete_to = revision;
        copy.encoded = None;
        copy.watch = OwnWatch::Active;
        self.subject_read.notify_waiters();
        // Followers didn't receive the changes made while this node's previous watch was lost.
        let differs = std::mem::take(&mut copy.has_unsent_changes);
        drop(copies);
        let known = match differs {
            true => Vec::new(),
            false => self.digests(),
        };
        if !self.has_followers() {
            return None;
        }
        let message = self.snapshot_unless_known(subject, &known)?;
        Some(self.broadcast(Form::Copy, message))
    }

    /// Records that this node's own watch of a subject was lost or closed.
    pub(super) fn watch_lost(&self, subject: Subject) {
        let mut copies = self.by_subject.borrow_mut();
        copies.entry(subject).or_default().watch = OwnWatch::LostAt(Instant::now());
    }

    /// True once this node has opened a watch of its own on every subject, even if it was lost since.
    pub(super) fn were_all_watched(&self) -> bool {
        self.all_watches(|watch| !matches!(watch, OwnWatch::NotOpened(_)))
    }

    /// True while this node watches all subjects itself, or is reopening a watch that was lost a moment ago.
    pub(super) fn are_all_watched(&self) -> bool {
        self.all_watches(|watch| match watch {
            OwnWatch::NotOpened(_) => false,
            OwnWatch::Active => true,
            OwnWatch::LostAt(at) => at.elapsed() < WATCH_REOPENED_WITHIN,
        })
    }

    fn all_watches(&self, holds: impl Fn(OwnWatch) -> bool) -> bool {
        let copies = self.by_subject.borrow();
        SUBJECTS
            .iter()
            .all(|subject| copies.get(subject).is_some_and(|copy| holds(copy.watch)))
    }

    /// The longest time for which one of this node's watches has been inactive; `None` while all are active.
    pub(super) fn watches_inactive_for(&self) -> Option<Duration> {
        let copies = self.by_subject.borrow();
        copies
            .values()
            .filter_map(|copy| copy.watch.inactive_for())
            .max()
    }

    /// The store revision of the last change of a subject that this node has received.
    pub(super) fn revision(&self, subject: Subject) -> StoreRevision {
        let copies = self.by_subject.borrow();
        let copy = copies.get(&subject);
        copy.map_or(StoreRevision::default(), |copy| copy.revision)
    }

    /// The store revision at which a key was last written; `None` if the copy lacks the key.
    pub(super) fn modified(&self, subject: Subject, key: &Key) -> Option<StoreRevision> {
        let copies = self.by_subject.borrow();
        let entry = copies.get(&subject)?.entries.get(key)?;
        Some(entry.modified)
    }

    /// All entries of the copy of a subject.
    pub(super) fn entries(&self, subject: Subject) -> Vec<Entry> {
        let copies = self.by_subject.borrow();
        let copy = copies.get(&subject);
        copy.map_or(Vec::new(), |copy| copy.entries.values().cloned().collect())
    }

    /// The digest of the copy of a subject.
    fn digest(&self, subject: Subject) -> Option<Digest> {
        let copies = self.by_subject.borrow();
        let copy = copies.get(&subject)?;
        Some(Digest::of(copy.entries.values()))
    }

    /// The digests of all copies that needn't be sent to a node with the same digest.
    pub(super) fn digests(&self) -> Vec<(Subject, Digest)> {
        let digests = SUBJECTS.map(|subject| Some((subject, self.digest(subject)?)));
        digests.into_iter().flatten().collect()
    }

    /// The message by which a follower gets a subject in full: a snapshot, or `Unchanged` if the follower reported
    /// the same digest in `known`.
    pub(super) fn snapshot_unless_known(
        &self,
        subject: Subject,
        known: &[(Subject, Digest)],
    ) -> Option<Bytes> {
        let digest = self.digest(subject);
        let is_known = digest.is_some_and(|digest| known.contains(&(subject, digest)));
        if !is_known {
            return self.snapshot(subject);
        }
        let copies = self.by_subject.borrow();
        let copy = copies.get(&subject)?;
        encode(&FeedMessage::Unchanged {
            subject,
            complete_to: copy.revision.max(copy.complete_to),
        })
    }

    /// The encoded snapshot of a subject; it is kept until the copy changes.
    fn snapshot(&self, subject: Subject) -> Option<Bytes> {
        let mut copies = self.by_subject.borrow_mut();
        let copy = copies.entry(subject).or_default();
        if copy.encoded.is_none() {
            copy.encoded = encode(&FeedMessage::Snapshot {
                subject,
                complete_to: copy.revision.max(copy.complete_to),
                entries: copy.entries.values().cloned().collect(),
            });
        }
        copy.encoded.clone()
    }
}
