//! Keys of the store passed on between nodes, so that in a large fleet not every node has to watch
//! the store: in each zone a few relays do, and the others follow one of these over a link.
//!
//! What a node has is never replaced by something older: a relay whose copy is behind is passed
//! over. A relay serves only while it follows no other one, so a chain or a ring can't form. It
//! also tells how lately it was in touch with the store and the other nodes, which counts for its
//! followers, too. A node that reaches no relay watches the store itself.

mod copy;
mod follow;
mod following;
pub mod message;
mod nearer;
mod news;
pub mod pings;
mod relays;
mod serve;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dyketally_store::key_value::{Entry, Key, StoreRevision};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, broadcast, watch};
use tokio::time::Instant;

pub use crate::event::Form;
pub use follow::{Follower, Sink};
pub use news::Source;
pub use relays::ask_seeds;
pub use serve::serve;

use crate::fleet::passed_over::PassedOver;
use copy::{Copy, OwnWatch};
use dyketally_store::update::StoreUpdate;
use message::{Digest, FeedMessage, Patch, encode};
use news::PassedOn;

/// How long a node that lost its relay looks for another before it asks the store: time to try
/// three relays that don't reply.
const SEARCH_LIMIT: Duration = Duration::from_millis(1_500);
/// Age of a relay's contact with the store from which on it counts as out of touch: its followers look
/// for another relay, and so does the relay itself.
const OUT_OF_TOUCH: Duration = Duration::from_secs(2);
/// How long a watch that was lost counts as one that is being renewed, which takes two calls.
const WATCH_RENEWED_WITHIN: Duration = Duration::from_secs(1);
/// Changes that a slow follower may be behind.
const CHANGES_KEPT: usize = 256;

/// What is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The operators' configuration.
    Configuration,
    /// The databases' announcements.
    Announcements,
    /// The nodes' keys and the duty.
    Nodes,
}

const SUBJECTS: [Subject; 3] = [
    Subject::Configuration,
    Subject::Announcements,
    Subject::Nodes,
];

/// What this node has of the subjects, and who follows it.
pub struct Feed {
    copies: RefCell<HashMap<Subject, Copy>>,
    changes: broadcast::Sender<Bytes>,
    fed: watch::Sender<bool>,
    /// Since when no relay feeds this node.
    unfed_since: Cell<Instant>,
    /// True once this node has failed to read a subject itself while no relay fed it.
    own_read_failed: Cell<bool>,
    /// True while a relay feeds this node only since its own watch was lost.
    stepped_back: Cell<bool>,
    /// Where the relay hears other nodes that feeds this one.
    relay: Cell<Option<SocketAddr>>,
    /// Told when this node reaches the store and no relay does.
    without_relay: Notify,
    /// Told when this node has read another subject.
    copies_changed: Notify,
    /// Relays that failed or are behind.
    passed_over: PassedOver,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            copies: RefCell::default(),
            changes: broadcast::Sender::new(CHANGES_KEPT),
            fed: watch::Sender::new(false),
            unfed_since: Cell::new(Instant::now()),
            own_read_failed: Cell::default(),
            stepped_back: Cell::default(),
            relay: Cell::default(),
            without_relay: Notify::new(),
            copies_changed: Notify::new(),
            passed_over: PassedOver::default(),
        }
    }
}

impl Feed {
    /// Takes in what this node's own watch or its relay told, and passes a change on to followers.
    fn take(&self, subject: Subject, update: &StoreUpdate) -> Option<PassedOn> {
        let mut copies = self.copies.borrow_mut();
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

    /// What a difference to this node's copy stands for; `None` if it was made for another version.
    fn patched(&self, subject: Subject, patch: &Patch) -> Option<Entry> {
        let copies = self.copies.borrow();
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

    /// Takes in that this node read a subject from the store at `revision` and watches it; what its
    /// followers are sent since they may lack something.
    pub fn watched(&self, subject: Subject, revision: StoreRevision) -> Option<PassedOn> {
        let mut copies = self.copies.borrow_mut();
        let copy = copies.entry(subject).or_default();
        copy.complete_to = revision;
        copy.encoded = None;
        copy.watch = OwnWatch::Stands;
        self.copies_changed.notify_waiters();
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

    /// Takes in that this node's own watch of a subject was lost or given up.
    pub fn unwatched(&self, subject: Subject) {
        let mut copies = self.copies.borrow_mut();
        copies.entry(subject).or_default().watch = OwnWatch::LostAt(Instant::now());
    }

    /// True while others may follow this node: it has read and watched all subjects itself.
    fn is_relaying(&self) -> bool {
        let copies = self.copies.borrow();
        let was_watched = |subject| {
            let copy = copies.get(subject);
            copy.is_some_and(|copy: &Copy| !matches!(copy.watch, OwnWatch::Never))
        };
        !self.is_fed() && SUBJECTS.iter().all(was_watched)
    }

    /// True while this node has its news from the store itself.
    pub fn is_current(&self) -> bool {
        let copies = self.copies.borrow();
        let is_watched = |subject| {
            let copy = copies.get(subject);
            copy.is_some_and(|copy: &Copy| match copy.watch {
                OwnWatch::Never => false,
                OwnWatch::Stands => true,
                OwnWatch::LostAt(at) => at.elapsed() < WATCH_RENEWED_WITHIN,
            })
        };
        !self.is_fed() && SUBJECTS.iter().all(is_watched)
    }

    /// How long some watch of this node's has been lost; `None` while all of them stand.
    pub fn watches_lost_for(&self) -> Option<Duration> {
        let copies = self.copies.borrow();
        let lost = copies.values().filter_map(|copy| match copy.watch {
            OwnWatch::LostAt(at) => Some(at.elapsed()),
            OwnWatch::Never | OwnWatch::Stands => None,
        });
        lost.max()
    }

    /// Takes in that this node failed to read a subject from the store.
    pub fn own_read_failed(&self) {
        self.own_read_failed.set(!self.is_fed());
    }

    /// True when this node follows a relay since its own watch was lost, or has to: some watch has been lost
    /// for `limit`, and it isn't about to find out whether it can watch again. For that it has `limit`
    /// once it has left a relay, or until a read fails.
    fn lacks_news_for(&self, limit: Duration) -> bool {
        if self.is_fed() {
            return self.stepped_back.get();
        }
        let is_lost = self.watches_lost_for().is_some_and(|lost| lost >= limit);
        let tries = !self.own_read_failed.get() && self.unfed_since.get().elapsed() < limit;
        is_lost && !tries
    }

    /// Takes in that no relay feeds this node any more; true if one did.
    fn unfed(&self) -> bool {
        self.unfed_since.set(Instant::now());
        self.own_read_failed.set(false);
        self.fed.send_replace(false)
    }

    fn revision(&self, subject: Subject) -> StoreRevision {
        let copies = self.copies.borrow();
        let copy = copies.get(&subject);
        copy.map_or(StoreRevision::default(), |copy| copy.revision)
    }

    /// True when this node's copy of a subject has a key.
    pub fn lists(&self, subject: Subject, key: &Key) -> bool {
        let copies = self.copies.borrow();
        copies
            .get(&subject)
            .is_some_and(|copy| copy.entries.contains_key(key))
    }

    /// When a key of this node's copy was put last, if it is there.
    pub fn modified(&self, subject: Subject, key: &Key) -> Option<StoreRevision> {
        let copies = self.copies.borrow();
        let entry = copies.get(&subject)?.entries.get(key)?;
        Some(entry.modified)
    }

    /// The digest of this node's copy of a subject, if it has one that may stand in for another node's.
    /// A list of the announcements also tells that it was read, so that one is always sent.
    fn digest(&self, subject: Subject) -> Option<Digest> {
        if subject == Subject::Announcements {
            return None;
        }
        let copies = self.copies.borrow();
        let copy = copies.get(&subject)?;
        Some(Digest::of(copy.entries.values()))
    }

    /// What a follower that has copies of `known` digests is sent of a subject.
    fn whole_unless_known(&self, subject: Subject, known: &[(Subject, Digest)]) -> Option<Bytes> {
        let digest = self.digest(subject);
        let is_known = digest.is_some_and(|digest| known.contains(&(subject, digest)));
        if !is_known {
            return self.whole(subject);
        }
        let copies = self.copies.borrow();
        let copy = copies.get(&subject)?;
        encode(&FeedMessage::Unchanged {
            subject,
            complete_to: copy.revision.max(copy.complete_to),
        })
    }

    /// The digests of this node's copies.
    fn digests(&self) -> Vec<(Subject, Digest)> {
        let digests = SUBJECTS.map(|subject| Some((subject, self.digest(subject)?)));
        digests.into_iter().flatten().collect()
    }

    /// All of a subject as it is sent to followers.
    fn whole(&self, subject: Subject) -> Option<Bytes> {
        let mut copies = self.copies.borrow_mut();
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

    /// True while a relay feeds this node.
    pub fn is_fed(&self) -> bool {
        *self.fed.borrow()
    }

    /// Where the relay hears other nodes that feeds this one.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay.get().filter(|_| self.is_fed())
    }

    /// Waits until this node is fed if it isn't, and the other way round.
    pub async fn fed_changes(&self) {
        let mut fed = self.fed.subscribe();
        // The sender lives as long as the gateway.
        let _ = fed.changed().await;
    }

    /// Waits until a relay feeds this node.
    pub async fn until_fed(&self) {
        let mut fed = self.fed.subscribe();
        // The sender lives as long as the gateway.
        let _ = fed.wait_for(|fed| *fed).await;
    }

    /// Waits until this node has to ask the store itself: no relay feeds it, and none was found
    /// for a while if one did before.
    pub async fn until_unfed(&self) {
        let mut fed = self.fed.subscribe();
        while *fed.borrow_and_update() {
            // The sender lives as long as the gateway.
            let _ = fed.wait_for(|fed| !*fed).await;
            // Either way the store has to be asked if no relay feeds this node by then.
            let _ = tokio::time::timeout(SEARCH_LIMIT, self.without_relay.notified()).await;
        }
    }
}
