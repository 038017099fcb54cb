//! Applies what the store holds, as it is followed there or by way of a relay: the configuration,
//! evacuations, the announcements of databases and the keys of nodes.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::{Announcement, DirectoryChange};
use dyketally::identifiers::ZoneName;
use dyketally_store::key_value::{Entry, Key, WatchEvent};
use dyketally_store::update::StoreUpdate;

use super::nodes_handler::NodesHandler;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::ports::StoredDocuments;
use crate::store::feed::{Subject, Subscriber, UpdateHandler};
use crate::store::parts::StoreParts;
use crate::store::watch::{FirstRead, Gathering, Watched, Watcher};

/// Pause behind a change of databases before the watch goes on, for each database: changes that come close
/// together then come with one call. Not measured.
const ANNOUNCEMENTS_GATHERING: Duration = Duration::from_millis(20);
/// The same behind a change of the nodes that run, for each node. Not measured.
const NODES_GATHERING: Duration = Duration::from_millis(14);

/// Starts to watch the store, and to follow relays instead where there are any; applies what it holds.
pub(super) fn watch_store(
    gateway: &Rc<Gateway>,
    parts: &StoreParts,
    documents: &Rc<dyn StoredDocuments>,
) {
    let reader = Reader {
        gateway: gateway.clone(),
        documents: documents.clone(),
    };
    let configuration = reader.clone();
    let configuration: UpdateHandler =
        Rc::new(move |update| configuration.receive_configuration(update));
    let announcements: UpdateHandler = Rc::new(move |update| reader.receive_announcements(update));
    let nodes = NodesHandler::new(gateway.clone(), parts.keys.clone());
    let nodes: UpdateHandler = Rc::new(move |update| nodes.receive(update));
    let readiness = gateway.clone();
    let is_ready: Rc<dyn Fn() -> bool> = Rc::new(move || readiness.is_ready());
    let watch = |watched, handler: &UpdateHandler| {
        let watcher = Watcher::new(parts.clone(), watched, handler.clone(), is_ready.clone());
        tokio::task::spawn_local(watcher.run());
    };
    let watched = Watched {
        prefix: documents.operators_prefix(),
        gathering: Gathering::Bursts,
        subject: Subject::Configuration,
        first: FirstRead::Stale,
    };
    watch(watched, &configuration);
    let watched = Watched {
        prefix: documents.announcements_prefix(),
        gathering: Gathering::PerKey(ANNOUNCEMENTS_GATHERING),
        subject: Subject::Announcements,
        // An old list may name a primary that was replaced meanwhile.
        first: FirstRead::Newest,
    };
    watch(watched, &announcements);
    let watched = Watched {
        prefix: documents.own_prefix(),
        gathering: Gathering::PerKey(NODES_GATHERING),
        subject: Subject::Nodes,
        first: FirstRead::Stale,
    };
    watch(watched, &nodes);
    let handlers = HashMap::from([
        (Subject::Configuration, configuration),
        (Subject::Announcements, announcements),
        (Subject::Nodes, nodes),
    ]);
    let subscriber = Subscriber::new(parts.clone(), handlers);
    tokio::task::spawn_local(subscriber.run());
}

/// Applies documents of the store.
#[derive(Clone)]
struct Reader {
    gateway: Rc<Gateway>,
    documents: Rc<dyn StoredDocuments>,
}

impl Reader {
    fn receive_configuration(&self, update: StoreUpdate) {
        match update {
            StoreUpdate::All(entries) => {
                for entry in &entries {
                    self.put_in_force(entry);
                }
                let zones = entries
                    .iter()
                    .filter_map(|entry| self.evacuated(&entry.key));
                self.gateway.databases.evacuations_are(&zones.collect());
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                self.put_in_force(&entry);
                if let Some(zone) = self.evacuated(&entry.key) {
                    self.gateway.databases.evacuation_requested(zone);
                }
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(zone) = self.evacuated(&key) {
                    self.gateway.databases.evacuation_taken_back(&zone);
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

    fn receive_announcements(&self, update: StoreUpdate) {
        let now = self.gateway.cx.now();
        let changes: Vec<DirectoryChange> = match update {
            StoreUpdate::All(entries) => {
                let listed = entries.iter().filter_map(|entry| self.announcement(entry));
                let listed: Vec<Announcement> = listed.collect();
                self.gateway.databases.listed_now();
                self.gateway.databases.starts_are_unknown_but_for(&listed);
                let replaced = listed.clone();
                let changes = self
                    .gateway
                    .databases
                    .directory
                    .borrow_mut()
                    .replaced(now, replaced);
                listed
                    .iter()
                    .for_each(|it| self.gateway.databases.start_announced(it));
                changes
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                let Some(announcement) = self.announcement(&entry) else {
                    return;
                };
                let mut directory = self.gateway.databases.directory.borrow_mut();
                let change = directory.announced(now, announcement.clone());
                drop(directory);
                self.gateway.databases.start_announced(&announcement);
                change.into_iter().collect()
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(name) = self.documents.announced_database(&key.to_string()) {
                    self.gateway
                        .databases
                        .directory
                        .borrow_mut()
                        .vanished(now, &name);
                    self.gateway.databases.start_is_unknown(&name);
                }
                Vec::new()
            }
        };
        if !changes.is_empty() {
            self.gateway.databases.directory_changed(changes);
        }
        self.gateway.databases.settle_unlisted_later();
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
