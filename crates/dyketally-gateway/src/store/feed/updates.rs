//! Receives updates of subjects, applies them to this node's copies, and forwards them to its followers. Logs each
//! version of the operators' configuration that is received or forwarded. Relies on the copies.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use dyketally_store::key_value::{Entry, StoreRevision, WatchEvent};

use super::{Feed, Subject};
use crate::event::{Event, Form};
use dyketally_store::update::StoreUpdate;

/// Applies the updates of a subject to the other parts of the process.
pub type UpdateHandler = Rc<dyn Fn(StoreUpdate)>;

/// The sender of an update, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// The relay with this peer address.
    Relay(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Relay(address) => address.fmt(f),
        }
    }
}

/// A message that was queued for the connections of all followers, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SentUpdate {
    pub(super) form: Form,
    pub(super) bytes: usize,
    pub(super) followers: usize,
}

impl Feed {
    /// Applies an update to this node's copy, and sends it to this node's followers.
    pub fn receive_update(
        &self,
        subject: Subject,
        update: &StoreUpdate,
        source: Source,
        form: Form,
    ) {
        if subject == Subject::Configuration {
            self.log_received(update, source, form);
        }
        if let Some(sent) = self.copies.apply(subject, update) {
            self.log_forwarded(subject, update.newest(), sent);
        }
    }

    /// Records that this node read a subject from the store at `revision` and watches it from there.
    pub fn watch_established(&self, subject: Subject, revision: StoreRevision) {
        if let Some(sent) = self.copies.watch_established(subject, revision) {
            self.log_forwarded(subject, revision, sent);
        }
    }

    /// Logs each document in `update` that is newer than this node's copy.
    fn log_received(&self, update: &StoreUpdate, source: Source, form: Form) {
        let entries: &[Entry] = match update {
            StoreUpdate::All(entries) => entries,
            StoreUpdate::Changed(WatchEvent::Put(entry)) => std::slice::from_ref(entry),
            StoreUpdate::Changed(WatchEvent::Deleted { .. }) => &[],
        };
        for entry in entries {
            let known = self.modified(Subject::Configuration, &entry.key);
            if known.is_none_or(|known| known < entry.modified) {
                self.cx.events.write(&Event::ConfigurationReceived {
                    key: entry.key.to_string(),
                    stored: entry.modified.0,
                    source: source.to_string(),
                    form,
                    bytes: entry.value.len(),
                });
            }
        }
    }

    fn log_forwarded(&self, subject: Subject, stored: StoreRevision, sent: SentUpdate) {
        if subject == Subject::Configuration {
            self.cx.events.write(&Event::ConfigurationPassedOn {
                stored: stored.0,
                form: sent.form,
                bytes: sent.bytes,
                followers: sent.followers,
            });
        }
    }
}
