//! Updates that this node receives and sends on: from whom, how much at a time, and the log lines on
//! each version of what operators write. Relies on the copies.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use dyketally_store::key_value::{Entry, StoreRevision, WatchEvent};

use super::{Feed, Subject};
use crate::event::{Event, Form};
use dyketally_store::update::StoreUpdate;

/// Applies the updates of a subject to the rest of the process.
pub type UpdateHandler = Rc<dyn Fn(StoreUpdate)>;

/// From whom an update came.
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
pub(super) struct PassedOn {
    pub(super) form: Form,
    pub(super) bytes: usize,
    pub(super) followers: usize,
}

impl Feed {
    /// Applies an update to this node's copy, and sends it on to the nodes that follow this one.
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
        if let Some(passed_on) = self.copies.apply(subject, update) {
            self.log_passed_on(subject, update.newest(), passed_on);
        }
    }

    /// Records that this node read a subject from the store at `revision` and watches it.
    pub fn watch_established(&self, subject: Subject, revision: StoreRevision) {
        if let Some(passed_on) = self.copies.watch_established(subject, revision) {
            self.log_passed_on(subject, revision, passed_on);
        }
    }

    /// Logs the documents in `update` that are newer than this node's.
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

    fn log_passed_on(&self, subject: Subject, stored: StoreRevision, passed_on: PassedOn) {
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
