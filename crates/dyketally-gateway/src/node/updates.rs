//! Applies updates of the store's keys, which come from the store or through a relay: the configuration, evacuations,
//! the announcements of databases, and the keys of nodes. Owns nothing; relies on the adapter that decodes documents.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::{Announcement, DirectoryChange};
use dyketally::identifiers::ZoneName;
use dyketally::time::Timestamp;
use dyketally_store::key_value::{Entry, Key, WatchEvent};
use dyketally_store::update::StoreUpdate;

use super::nodes_handler::NodesHandler;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::ports::StoredDocuments;
use crate::store::feed::{Subject, Subscriber, UpdateHandler};
use crate::store::parts::StoreParts;
use crate::store::watch::{ChangeBatching, FirstRead, WatchSpec, Watcher};

/// Pause of the watch after a change of an announcement, for each announced database, so that changes in quick
/// succession arrive in one call.
const ANNOUNCEMENTS_BATCHING: Duration = Duration::from_millis(20);
/// Pause of the watch after a change of a key of the nodes, for each key, so that changes in quick succession arrive
/// in one call.
const NODES_BATCHING: Duration = Duration::from_millis(14);

/// Starts the tasks that watch the store, or follow relays where there are any, and that apply all updates.
pub(super) fn watch_store(
    gateway: &Rc<Gateway>,
    parts: &StoreParts,
    documents: &Rc<dyn StoredDocuments>,
) {
    let handler = DocumentHandler {
        gateway: gateway.clone(),
        documents: documents.clone(),
    };
    let configuration = handler.clone();
    let configuration: UpdateHandler =
        Rc::new(move |update| configuration.receive_configuration(update));
    let announcements: UpdateHandler = Rc::new(move |update| handler.receive_announcements(update));
    let nodes = NodesHandler::new(gateway.clone(), parts.keys.clone());
    let nodes: UpdateHandler = Rc::new(move |update| nodes.receive(update));
    let ready_gateway = gateway.clone();
    let is_ready: Rc<dyn Fn() -> bool> = Rc::new(move || ready_gateway.is_ready());
    let watch = |spec, handler: &UpdateHandler| {
        let watcher = Watcher::new(parts.clone(), spec, handler.clone(), is_ready.clone());
        tokio::task::spawn_local(watcher.run());
    };
    let spec = WatchSpec {
        prefix: documents.operators_prefix(),
        batching: ChangeBatching::Bursts,
        subject: Subject::Configuration,
        first_read: FirstRead::Stale,
    };
    watch(spec, &configuration);
    let spec = WatchSpec {
        prefix: documents.announcements_prefix(),
        batching: ChangeBatching::PerKey(ANNOUNCEMENTS_BATCHING),
        subject: Subject::Announcements,
        // An outdated list may name a primary that has been replaced since.
        first_read: FirstRead::Newest,
    };
    watch(spec, &announcements);
    let spec = WatchSpec {
        prefix: documents.own_prefix(),
        batching: ChangeBatching::PerKey(NODES_BATCHING),
        subject: Subject::Nodes,
        first_read: FirstRead::Stale,
    };
    watch(spec, &nodes);
    let handlers = HashMap::from([
        (Subject::Configuration, configuration),
        (Subject::Announcements, announcements),
        (Subject::Nodes, nodes),
    ]);
    let subscriber = Subscriber::new(parts.clone(), handlers);
    tokio::task::spawn_local(subscriber.run());
}

/// Applies the documents of operators and databases.
#[derive(Clone)]
struct DocumentHandler {
    gateway: Rc<Gateway>,
    documents: Rc<dyn StoredDocuments>,
}

impl DocumentHandler {
    /// Applies an update of the operators' keys: the configuration and evacuations.
    fn receive_configuration(&self, update: StoreUpdate) {
        match update {
            StoreUpdate::All(entries) => {
                for entry in &entries {
                    self.apply_configuration(entry);
                }
                let zones = entries
                    .iter()
                    .filter_map(|entry| self.evacuated_zone(&entry.key));
                self.gateway.databases.set_evacuations(&zones.collect());
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                self.apply_configuration(&entry);
                if let Some(zone) = self.evacuated_zone(&entry.key) {
                    self.gateway.databases.evacuation_requested(zone);
                }
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(zone) = self.evacuated_zone(&key) {
                    self.gateway.databases.evacuation_cancelled(&zone);
                }
            }
        }
    }

    /// The zone that `key` requests to evacuate, if it is such a key.
    fn evacuated_zone(&self, key: &Key) -> Option<ZoneName> {
        self.documents.evacuated_zone(&key.to_string())
    }

    /// Applies the configuration if `entry` is the configuration's.
    fn apply_configuration(&self, entry: &Entry) {
        if entry.key != Key::from(self.documents.configuration_key()) {
            return;
        }
        match self.documents.configuration(&entry.value) {
            Ok(routes) => self.gateway.apply_configuration(routes, entry.modified),
            Err(reason) => self.log_refused(&entry.key, &reason),
        }
    }

    /// Applies an update of the databases' announcements.
    fn receive_announcements(&self, update: StoreUpdate) {
        let now = self.gateway.cx.now();
        let changes: Vec<DirectoryChange> = match update {
            StoreUpdate::All(entries) => {
                let listed = entries.iter().filter_map(|entry| self.announcement(entry));
                let listed: Vec<Announcement> = listed.collect();
                self.gateway.databases.record_listed();
                self.gateway.databases.record_unannounced_except(&listed);
                let replaced = listed.clone();
                let changes = self
                    .gateway
                    .databases
                    .directory
                    .borrow_mut()
                    .replaced(now, replaced);
                listed
                    .iter()
                    .for_each(|it| self.gateway.databases.record_start_announcement(it));
                changes
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                match self.announcement(&entry) {
                    Some(announcement) => {
                        let mut directory = self.gateway.databases.directory.borrow_mut();
                        let change = directory.announced(now, announcement.clone());
                        drop(directory);
                        self.gateway
                            .databases
                            .record_start_announcement(&announcement);
                        change.into_iter().collect()
                    }
                    // As in a complete list, an entry that can't be read names no database.
                    None => {
                        self.record_vanished(now, &entry.key);
                        Vec::new()
                    }
                }
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                self.record_vanished(now, &key);
                Vec::new()
            }
        };
        if !changes.is_empty() {
            self.gateway.databases.directory_changed(changes);
        }
        self.gateway.databases.remove_unlisted_after_grace();
    }

    /// Records that no entry names the database of `key` any more.
    fn record_vanished(&self, now: Timestamp, key: &Key) {
        let Some(name) = self.documents.announced_database(&key.to_string()) else {
            return;
        };
        let databases = &self.gateway.databases;
        databases.directory.borrow_mut().vanished(now, &name);
        databases.record_unannounced(&name);
    }

    /// Decodes an announcement; logs the entry as refused if it names no database that can be used.
    fn announcement(&self, entry: &Entry) -> Option<Announcement> {
        let read = self
            .documents
            .announcement(&entry.key.to_string(), &entry.value);
        let checked = read.and_then(|announcement| {
            let validated = announcement.validate();
            validated.map_err(|error| error.to_string())?;
            Ok(announcement)
        });
        match checked {
            Ok(announcement) => Some(announcement),
            Err(reason) => {
                self.log_refused(&entry.key, &reason);
                None
            }
        }
    }

    fn log_refused(&self, key: &Key, reason: &str) {
        self.gateway.cx.events.write(&Event::DocumentRefused {
            key: &key.to_string(),
            reason,
        });
    }
}
