//! Where news of the store come from and whom they are passed on to, as the log tells it for each
//! version of what operators write.

use std::fmt;
use std::net::SocketAddr;

use dyketally_store::key_value::{Entry, StoreRevision, WatchEvent};

use super::Subject;
use crate::event::{Event, Form};
use crate::gateway::Gateway;
use dyketally_store::update::StoreUpdate;

/// Who told this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// The relay at this address.
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

/// A message that was handed to the connections of all followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedOn {
    pub(super) form: Form,
    pub(super) bytes: usize,
    pub(super) followers: usize,
}

impl Gateway {
    /// Takes in news of a subject, and passes them on to the nodes that follow this one.
    pub(crate) fn take_news(
        &self,
        subject: Subject,
        update: &StoreUpdate,
        source: Source,
        form: Form,
    ) {
        if subject == Subject::Configuration {
            self.tell_received(update, source, form);
        }
        if let Some(passed_on) = self.feed.take(subject, update) {
            self.tell_passed_on(subject, update.newest(), passed_on);
        }
    }

    /// Takes in that this node read a subject from the store at `revision` and watches it.
    pub(crate) fn watch_stands(&self, subject: Subject, revision: StoreRevision) {
        if let Some(passed_on) = self.feed.watched(subject, revision) {
            self.tell_passed_on(subject, revision, passed_on);
        }
    }

    /// Tells of the documents in `update` that are newer than this node's.
    fn tell_received(&self, update: &StoreUpdate, source: Source, form: Form) {
        let entries: &[Entry] = match update {
            StoreUpdate::All(entries) => entries,
            StoreUpdate::Changed(WatchEvent::Put(entry)) => std::slice::from_ref(entry),
            StoreUpdate::Changed(WatchEvent::Deleted { .. }) => &[],
        };
        for entry in entries {
            let known = self.feed.modified(Subject::Configuration, &entry.key);
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

    fn tell_passed_on(&self, subject: Subject, stored: StoreRevision, passed_on: PassedOn) {
        if subject == Subject::Configuration {
            self.cx.events.write(&Event::ConfigurationPassedOn {
                stored: stored.0,
                form: passed_on.form,
                bytes: passed_on.bytes,
                followers: passed_on.followers,
            });
        }
    }
}
