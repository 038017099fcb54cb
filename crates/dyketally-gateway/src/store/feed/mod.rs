//! Keys of the store passed on between nodes, so that in a large fleet not every node has to watch
//! the store: in each zone a few relays do, and the others follow one of these over a link.
//!
//! What a node has is never replaced by something older: a relay whose copy is behind is passed
//! over. A relay serves only while it watches the store itself and its watches stand, so a chain
//! or a ring can't form. A node that finds no relay watches the store itself.

mod follow;
mod message;
mod relays;
mod serve;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use dyketally_store::key_value::{Entry, Key, StoreRevision, WatchEvent};
use serde::{Deserialize, Serialize};
use tokio::sync::{broadcast, watch};
use tokio::time::Instant;

pub use follow::{Sink, follow_relays};
pub use serve::serve;

use crate::fleet::passed_over::PassedOver;
use crate::store::follow::StoreUpdate;
use message::{FeedMessage, encode};

/// How long a node that lost its relay looks for another before it asks the store.
const SEARCH_LIMIT: Duration = Duration::from_millis(900);
/// How long a relay whose watch was lost is still followed: when the store is down, asking it from
/// everywhere helps nobody.
const OUTAGE_BORNE: Duration = Duration::from_secs(3);
/// Changes that a slow follower may be behind.
const CHANGES_KEPT: usize = 256;

/// What is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The databases' announcements.
    Announcements,
    /// The nodes' keys and the duty.
    Nodes,
}

const SUBJECTS: [Subject; 2] = [Subject::Announcements, Subject::Nodes];

/// This node's copy of one subject.
#[derive(Debug, Default)]
struct Copy {
    entries: BTreeMap<Key, Entry>,
    /// The revision of the last change that is known.
    revision: StoreRevision,
    /// The store's revision up to which this copy lacks nothing.
    complete_to: StoreRevision,
    watch: OwnWatch,
}

/// This node's own watch of a subject.
#[derive(Clone, Copy, Debug, Default)]
enum OwnWatch {
    #[default]
    Never,
    Stands,
    LostAt(Instant),
}

impl OwnWatch {
    /// True when followers may rely on it: it stands, or may be back soon.
    fn is_reliable(self) -> bool {
        match self {
            Self::Never => false,
            Self::Stands => true,
            Self::LostAt(at) => at.elapsed() < OUTAGE_BORNE,
        }
    }
}

impl Copy {
    fn replace(&mut self, entries: &[Entry]) {
        self.entries = entries
            .iter()
            .map(|it| (it.key.clone(), it.clone()))
            .collect();
        let newest = entries.iter().map(|entry| entry.modified).max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    fn change(&mut self, event: &WatchEvent) {
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

/// What this node has of the subjects, and who follows it.
pub struct Feed {
    copies: RefCell<HashMap<Subject, Copy>>,
    changes: broadcast::Sender<Bytes>,
    fed: watch::Sender<bool>,
    /// Relays that failed or are behind.
    passed_over: PassedOver,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            copies: RefCell::default(),
            changes: broadcast::Sender::new(CHANGES_KEPT),
            fed: watch::Sender::new(false),
            passed_over: PassedOver::default(),
        }
    }
}

impl Feed {
    /// Takes in what this node's own watch or its relay told.
    pub fn take(&self, subject: Subject, update: &StoreUpdate) {
        let mut copies = self.copies.borrow_mut();
        let copy = copies.entry(subject).or_default();
        match update {
            StoreUpdate::All(entries) => copy.replace(entries),
            StoreUpdate::Changed(event) => {
                copy.change(event);
                drop(copies);
                self.pass_on(subject, event);
            }
        }
    }

    fn pass_on(&self, subject: Subject, event: &WatchEvent) {
        if self.changes.receiver_count() == 0 {
            return;
        }
        let event = event.clone();
        if let Some(message) = encode(&FeedMessage::Changed { subject, event }) {
            // The last follower may just have left.
            let _ = self.changes.send(message);
        }
    }

    /// Takes in that this node read a subject from the store at `revision` and watches it.
    pub fn watched(&self, subject: Subject, revision: StoreRevision) {
        let mut copies = self.copies.borrow_mut();
        let copy = copies.entry(subject).or_default();
        copy.complete_to = revision;
        copy.watch = OwnWatch::Stands;
    }

    /// Takes in that this node's own watch of a subject was lost or given up.
    pub fn unwatched(&self, subject: Subject) {
        let mut copies = self.copies.borrow_mut();
        copies.entry(subject).or_default().watch = OwnWatch::LostAt(Instant::now());
    }

    /// True while others may follow this node.
    fn is_reliable(&self) -> bool {
        let copies = self.copies.borrow();
        let reliable = |subject| {
            let copy = copies.get(subject);
            copy.is_some_and(|copy: &Copy| copy.watch.is_reliable())
        };
        !*self.fed.borrow() && SUBJECTS.iter().all(reliable)
    }

    fn revision(&self, subject: Subject) -> StoreRevision {
        let copies = self.copies.borrow();
        let copy = copies.get(&subject);
        copy.map_or(StoreRevision::default(), |copy| copy.revision)
    }

    fn whole(&self, subject: Subject) -> FeedMessage {
        let copies = self.copies.borrow();
        let copy = copies.get(&subject);
        let entries = copy.into_iter().flat_map(|copy| copy.entries.values());
        let complete_to = copy.map(|copy| copy.revision.max(copy.complete_to));
        FeedMessage::Whole {
            subject,
            complete_to: complete_to.unwrap_or_default(),
            entries: entries.cloned().collect(),
        }
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
            tokio::time::sleep(SEARCH_LIMIT).await;
        }
    }
}
