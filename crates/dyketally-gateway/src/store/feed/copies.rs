//! This node's copies of all subjects, and what is sent of them to the nodes that follow this one.
//!
//! Owns the copies and the channel of changes; relies on [`Copy`] for a single one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use dyketally_store::key_value::{Entry, Key, StoreRevision};
use tokio::sync::{Notify, broadcast};
use tokio::time::Instant;

use super::copy::{Copy, OwnWatch};
use super::message::{Digest, FeedMessage, Patch, encode};
use super::subject::{SUBJECTS, Subject};
use super::updates::PassedOn;
use crate::event::Form;
use dyketally_store::update::StoreUpdate;

/// How long a watch that was lost counts as one that is being renewed, which takes two calls. Not
/// measured.
const WATCH_RENEWED_WITHIN: Duration = Duration::from_secs(1);
/// Changes that a slow follower may be behind before it has to begin anew. Not measured.
const CHANGES_KEPT: usize = 256;

/// The copies, by subject.
pub(super) struct Copies {
    by_subject: RefCell<HashMap<Subject, Copy>>,
    changes: broadcast::Sender<Bytes>,
    /// Notified when this node has read another subject.
    pub(super) subject_read: Notify,
}

impl Default for Copies {
    fn default() -> Self {
        Self {
            by_subject: RefCell::new(SUBJECTS.map(|it| (it, Copy::default())).into()),
            changes: broadcast::Sender::new(CHANGES_KEPT),
            subject_read: Notify::new(),
        }
    }
}

impl Copies {
    /// Applies an update, and sends a change on to followers.
    pub(super) fn apply(&self, subject: Subject, update: &StoreUpdate) -> Option<PassedOn> {
        let mut copies = self.by_subject.borrow_mut();
        let copy = copies.entry(subject).or_default();
        match update {
            StoreUpdate::All(entries) => {
                copy.replace(entries);
                None
            }
            StoreUpdate::Changed(event) => {
                let message = self.has_followers().then(|| copy.message(subject, event));
                copy.change(event);
                drop(copies);
                let message = message?;
                let form = match message {
                    FeedMessage::Patched { .. } => Form::Difference,
                    _ => Form::Change,
                };
                Some(self.send(form, encode(&message)?))
            }
        }
    }

    /// The entry that a difference to this node's copy stands for; `None` if it was made for another
    /// version.
    pub(super) fn patched(&self, subject: Subject, patch: &Patch) -> Option<Entry> {
        let copies = self.by_subject.borrow();
        let old = copies.get(&subject)?.entries.get(&patch.entry.key)?;
        let value = match old.modified == patch.from {
            true => patch.delta.apply(&old.value)?,
            // A copy that was sent while the change was under way has it already.
            false if old.modified >= patch.entry.modified => return Some(old.clone()),
            false => return None,
        };
        Some(Entry {
            value: value.into(),
            ..patch.entry.clone()
        })
    }

    /// What followers are sent from now on.
    pub(super) fn subscribe(&self) -> broadcast::Receiver<Bytes> {
        self.changes.subscribe()
    }

    fn has_followers(&self) -> bool {
        self.changes.receiver_count() > 0
    }

    fn send(&self, form: Form, message: Bytes) -> PassedOn {
        let bytes = message.len();
        // The last follower may just have left.
        let followers = self.changes.send(message).unwrap_or_default();
        PassedOn {
            form,
            bytes,
            followers,
        }
    }

    /// Records that this node read a subject from the store at `revision` and watches it; what its
    /// followers are sent since they may lack something.
    pub(super) fn watch_established(
        &self,
        subject: Subject,
        revision: StoreRevision,
    ) -> Option<PassedOn> {
        let mut copies = self.by_subject.borrow_mut();
        let copy = copies.entry(subject).or_default();
        copy.complete_to = revision;
        copy.encoded = None;
        copy.watch = OwnWatch::Stands;
        self.subject_read.notify_waiters();
        // Followers lack what changed while this node's former watch was lost.
        let differs = std::mem::take(&mut copy.differs_from_followers);
        drop(copies);
        let known = match differs {
            true => Vec::new(),
            false => self.digests(),
        };
        if !self.has_followers() {
            return None;
        }
        let message = self.whole_unless_known(subject, &known)?;
        Some(self.send(Form::Copy, message))
    }

    /// Records that this node's own watch of a subject was lost or given up.
    pub(super) fn watch_lost(&self, subject: Subject) {
        let mut copies = self.by_subject.borrow_mut();
        copies.entry(subject).or_default().watch = OwnWatch::LostAt(Instant::now());
    }

    /// True once this node has read and watched all subjects itself.
    pub(super) fn were_all_watched(&self) -> bool {
        self.all_watches(|watch| !matches!(watch, OwnWatch::NotYet(_)))
    }

    /// True while this node watches all subjects itself, or is about to watch them again.
    pub(super) fn are_all_watched(&self) -> bool {
        self.all_watches(|watch| match watch {
            OwnWatch::NotYet(_) => false,
            OwnWatch::Stands => true,
            OwnWatch::LostAt(at) => at.elapsed() < WATCH_RENEWED_WITHIN,
        })
    }

    fn all_watches(&self, holds: impl Fn(OwnWatch) -> bool) -> bool {
        let copies = self.by_subject.borrow();
        SUBJECTS
            .iter()
            .all(|subject| copies.get(subject).is_some_and(|copy| holds(copy.watch)))
    }

    /// How long some watch of this node's hasn't stood; `None` while all of them do.
    pub(super) fn watches_missing_for(&self) -> Option<Duration> {
        let copies = self.by_subject.borrow();
        copies
            .values()
            .filter_map(|copy| copy.watch.missing_for())
            .max()
    }

    /// The revision of the last change of a subject that is known.
    pub(super) fn revision(&self, subject: Subject) -> StoreRevision {
        let copies = self.by_subject.borrow();
        let copy = copies.get(&subject);
        copy.map_or(StoreRevision::default(), |copy| copy.revision)
    }

    /// When a key was put last, if it is there.
    pub(super) fn modified(&self, subject: Subject, key: &Key) -> Option<StoreRevision> {
        let copies = self.by_subject.borrow();
        let entry = copies.get(&subject)?.entries.get(key)?;
        Some(entry.modified)
    }

    /// The digest of the copy of a subject, if there is one that may stand in for another node's. A list
    /// of the announcements also tells that it was read, so that one is always sent.
    fn digest(&self, subject: Subject) -> Option<Digest> {
        if subject == Subject::Announcements {
            return None;
        }
        let copies = self.by_subject.borrow();
        let copy = copies.get(&subject)?;
        Some(Digest::of(copy.entries.values()))
    }

    /// The digests of all copies that may stand in for another node's.
    pub(super) fn digests(&self) -> Vec<(Subject, Digest)> {
        let digests = SUBJECTS.map(|subject| Some((subject, self.digest(subject)?)));
        digests.into_iter().flatten().collect()
    }

    /// What a follower that has copies of `known` digests is sent of a subject.
    pub(super) fn whole_unless_known(
        &self,
        subject: Subject,
        known: &[(Subject, Digest)],
    ) -> Option<Bytes> {
        let digest = self.digest(subject);
        let is_known = digest.is_some_and(|digest| known.contains(&(subject, digest)));
        if !is_known {
            return self.whole(subject);
        }
        let copies = self.by_subject.borrow();
        let copy = copies.get(&subject)?;
        encode(&FeedMessage::Unchanged {
            subject,
            complete_to: copy.revision.max(copy.complete_to),
        })
    }

    /// All of a subject as it is sent to followers.
    fn whole(&self, subject: Subject) -> Option<Bytes> {
        let mut copies = self.by_subject.borrow_mut();
        let copy = copies.entry(subject).or_default();
        if copy.encoded.is_none() {
            copy.encoded = encode(&FeedMessage::Whole {
                subject,
                complete_to: copy.revision.max(copy.complete_to),
                entries: copy.entries.values().cloned().collect(),
            });
        }
        copy.encoded.clone()
    }
}
