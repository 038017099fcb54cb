//! Applies what the store holds, as it is followed there or by way of a relay: the configuration,
//! evacuations, the announcements of databases and the keys of nodes.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::{Announcement, DirectoryChange};
use dyketally::identifiers::ZoneName;
use dyketally_store::KeyValueStore;
use dyketally_store::key_value::{Entry, Key, WatchEvent};
use dyketally_store::update::StoreUpdate;

use crate::event::Event;
use crate::fleet::member::Member;
use crate::gateway::Gateway;
use crate::ports::StoredDocuments;
use crate::store::feed::{Follower, Sink, Subject};
use crate::store::follow::{FirstRead, Followed, Gathering, follow};

/// Pause after databases changed before further changes are taken in, for each database.
const ANNOUNCEMENTS_GATHERING: Duration = Duration::from_millis(20);
/// Pause after nodes came or went before further ones are taken in, for each node.
const NODES_GATHERING: Duration = Duration::from_millis(14);

/// Follows the store for as long as the process runs, and applies what it holds.
pub(super) fn follow_store(
    gateway: &Rc<Gateway>,
    store: &Rc<dyn KeyValueStore>,
    documents: &Rc<dyn StoredDocuments>,
    member: &Rc<Member>,
    own_key: Key,
) {
    let reader = Reader {
        gateway: gateway.clone(),
        documents: documents.clone(),
    };
    let configuration = reader.clone();
    let configuration: Sink = Rc::new(move |update| configuration.take_configuration(update));
    let announcements: Sink = Rc::new(move |update| reader.take_announcements(update));
    let member = member.clone();
    let nodes: Sink = Rc::new(move |update| member.take_in(update));
    let start = |prefix, gathering, subject, first, sink: &Sink| {
        let followed = Followed {
            prefix,
            gathering,
            subject,
            first,
        };
        let following = follow(gateway.clone(), store.clone(), followed, sink.clone());
        tokio::task::spawn_local(following);
    };
    start(
        documents.operators_prefix(),
        Gathering::Bursts,
        Subject::Configuration,
        FirstRead::Stale,
        &configuration,
    );
    start(
        documents.announcements_prefix(),
        Gathering::PerKey(ANNOUNCEMENTS_GATHERING),
        Subject::Announcements,
        // An old list may name a primary that was replaced meanwhile.
        FirstRead::Newest,
        &announcements,
    );
    start(
        documents.own_prefix(),
        Gathering::PerKey(NODES_GATHERING),
        Subject::Nodes,
        FirstRead::Stale,
        &nodes,
    );
    let sinks = HashMap::from([
        (Subject::Configuration, configuration),
        (Subject::Announcements, announcements),
        (Subject::Nodes, nodes),
    ]);
    let follower = Follower::new(gateway.clone(), sinks, store.clone(), own_key);
    tokio::task::spawn_local(follower.run());
}

/// Applies documents of the store.
#[derive(Clone)]
struct Reader {
    gateway: Rc<Gateway>,
    documents: Rc<dyn StoredDocuments>,
}

impl Reader {
    fn take_configuration(&self, update: StoreUpdate) {
        match update {
            StoreUpdate::All(entries) => {
                for entry in &entries {
                    self.put_in_force(entry);
                }
                let zones = entries
                    .iter()
                    .filter_map(|entry| self.evacuated(&entry.key));
                self.gateway.evacuations_are(&zones.collect());
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                self.put_in_force(&entry);
                if let Some(zone) = self.evacuated(&entry.key) {
                    self.gateway.evacuation_requested(zone);
                }
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(zone) = self.evacuated(&key) {
                    self.gateway.evacuation_taken_back(&zone);
                }
            }
        }
    }

    fn evacuated(&self, key: &Key) -> Option<ZoneName> {
        self.documents.evacuated_zone(&key.to_string())
    }

    fn put_in_force(&self, entry: &Entry) {
        if entry.key != Key::from(self.documents.configuration_key()) {
            return;
        }
        match self.documents.configuration(&entry.value) {
            Ok(routes) => self.gateway.put_in_force(routes, entry.modified),
            Err(reason) => self.refuse(&entry.key, &reason),
        }
    }

    fn take_announcements(&self, update: StoreUpdate) {
        let now = self.gateway.cx.now();
        let changes: Vec<DirectoryChange> = match update {
            StoreUpdate::All(entries) => {
                let listed = entries.iter().filter_map(|entry| self.announcement(entry));
                let listed: Vec<Announcement> = listed.collect();
                self.gateway.listed_now();
                self.doubt_unlisted(&listed);
                let replaced = listed.clone();
                let changes = self
                    .gateway
                    .databases
                    .directory
                    .borrow_mut()
                    .replaced(now, replaced);
                listed.iter().for_each(|it| self.gateway.heard_of_start(it));
                changes
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                let Some(announcement) = self.announcement(&entry) else {
                    return;
                };
                let mut directory = self.gateway.databases.directory.borrow_mut();
                let change = directory.announced(now, announcement.clone());
                drop(directory);
                self.gateway.heard_of_start(&announcement);
                change.into_iter().collect()
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(name) = self.documents.announced_database(&key.to_string()) {
                    self.gateway
                        .databases
                        .directory
                        .borrow_mut()
                        .vanished(now, &name);
                    self.gateway.start_is_unknown(&name);
                }
                Vec::new()
            }
        };
        if !changes.is_empty() {
            self.gateway.directory_changed(changes);
        }
        self.gateway.settle_unlisted_later();
    }

    fn doubt_unlisted(&self, listed: &[Announcement]) {
        for (name, loading) in self.gateway.databases.loadings() {
            if listed
                .iter()
                .all(|announcement| announcement.database != name)
            {
                loading.doubted();
            }
        }
    }

    fn announcement(&self, entry: &Entry) -> Option<Announcement> {
        let read = self
            .documents
            .announcement(&entry.key.to_string(), &entry.value);
        match read {
            Ok(announcement) => Some(announcement),
            Err(reason) => {
                self.refuse(&entry.key, &reason);
                None
            }
        }
    }

    fn refuse(&self, key: &Key, reason: &str) {
        self.gateway.cx.events.write(&Event::DocumentRefused {
            key: &key.to_string(),
            reason,
        });
    }
}
