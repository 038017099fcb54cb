//! Watches a prefix of the store for as long as the process runs.
//!
//! A [`Watcher`] reads all keys below its prefix, watches them from that revision on, and hands each
//! update to its handler. It owns only its place in that loop. While a relay passes the keys on it rests:
//! in a large fleet only a few nodes watch the store themselves, see [`super::feed`]. After a failure it
//! waits until it makes sense to ask the store again ([`outage`]).

mod first_read;
mod outage;
mod pauses;
mod watched;

use std::rc::Rc;
use std::time::Duration;

use dyketally::time::Timestamp;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Consistency, RangeRequest, StoreRevision, WatchBatch, WatchRequest, WatchStream,
};
use dyketally_store::update::StoreUpdate;
use futures::StreamExt;

pub use watched::{FirstRead, Gathering, Watched};

use crate::event::Form;
use crate::store::feed::{Source, Subject, UpdateHandler};
use crate::store::parts::StoreParts;
use outage::Outage;
use pauses::Pauses;

/// Share of the bound on the age of a configuration within which a quiet watch is asked again: the rest
/// is for the call and for passing on what it brings. Not measured.
const QUIET_SHARE: f64 = 0.6;

/// Watches the keys below one prefix on behalf of this node.
pub struct Watcher {
    parts: StoreParts,
    watched: Watched,
    handler: UpdateHandler,
    /// True when this node has what it needs to serve callers.
    is_ready: Rc<dyn Fn() -> bool>,
    pauses: Pauses,
    outage: Outage,
    /// True once all keys were read.
    was_read: bool,
}

impl Watcher {
    /// A watcher that isn't running yet and will hand updates to `handler`; `is_ready` says whether this
    /// node has what it needs to serve callers.
    pub fn new(
        parts: StoreParts,
        watched: Watched,
        handler: UpdateHandler,
        is_ready: Rc<dyn Fn() -> bool>,
    ) -> Self {
        Self {
            parts,
            watched,
            handler,
            is_ready,
            pauses: Pauses::new(),
            outage: Outage::default(),
            was_read: false,
        }
    }

    /// Watches until the process ends.
    pub async fn run(mut self) {
        let feed = self.parts.feed.clone();
        let mut read_at = self.start().await;
        loop {
            if feed.has_relay() {
                read_at = None;
                feed.until_relay_lost().await;
            }
            let read = match read_at.take() {
                Some(revision) => Ok(revision),
                // What a relay sends meanwhile may be newer than a large answer once it has arrived.
                None => tokio::select! {
                    biased;
                    () = feed.until_subscribed() => continue,
                    read = self.read(RangeRequest::all(self.watched.range())) => read,
                },
            };
            let revision = match read {
                Ok(revision) => revision,
                Err(error) => {
                    self.wait_after_failed_read(&error).await;
                    continue;
                }
            };
            feed.watch_established(self.watched.subject, revision);
            tokio::select! {
                () = self.watch_from(revision) => {}
                () = feed.until_subscribed() => {}
            }
            feed.watch_lost(self.watched.subject);
        }
    }

    /// Reads keys and hands them on; the revision as of which they were read.
    async fn read(&mut self, request: RangeRequest) -> Result<StoreRevision, StoreError> {
        let asked = self.parts.cx.now();
        let is_newest = request.consistency == Consistency::Linearizable;
        let reply = self.parts.store.range(request).await?;
        self.store_replied();
        self.was_read = true;
        self.pauses.keys_are(&reply.entries);
        self.receive(StoreUpdate::All(reply.entries));
        if is_newest {
            self.confirm(asked);
        }
        Ok(reply.store_revision)
    }

    /// Watches until the watch is lost. A watch that is taken up again proves nothing: the store may
    /// have made changes while it was cut and dropped them from its history, so the caller reads all
    /// keys again.
    async fn watch_from(&mut self, revision: StoreRevision) {
        let request = WatchRequest {
            range: self.watched.range(),
            from: revision.next(),
            longest_quiet: self.longest_quiet(),
        };
        let cx = self.parts.cx.clone();
        let error = match self.parts.store.watch(request).await {
            Ok(batches) => tokio::select! {
                error = self.receive_batches(batches) => error,
                // The watch may have been lost together with the store, without a word.
                () = cx.store_health.regained.notified() => return,
            },
            Err(error) => error,
        };
        if !matches!(error, StoreError::Compacted) {
            self.wait_after_failure(&error).await;
        }
    }

    /// Hands on what a watch reports, until it ends.
    async fn receive_batches(&mut self, batches: WatchStream) -> StoreError {
        // The first batch may be the client's own and prove nothing.
        let mut batches = batches.skip(1);
        loop {
            let asked = self.parts.cx.now();
            match batches.next().await {
                Some(Ok(batch)) => self.receive_batch(batch, asked).await,
                Some(Err(error)) => return error,
                None => break,
            }
        }
        StoreError::Unavailable {
            reason: "the watch ended".to_owned(),
        }
    }

    /// Hands on a batch that was waited for since `asked`, and pauses after it.
    async fn receive_batch(&mut self, batch: WatchBatch, asked: Timestamp) {
        self.store_replied();
        let any = !batch.events.is_empty();
        for event in batch.events {
            self.pauses.key_changed(&event);
            self.receive(StoreUpdate::Changed(event));
        }
        self.confirm(asked);
        if any {
            let nodes = self.parts.fleet.membership.node_count();
            let pause = self.pauses.after_change(self.watched.gathering, nodes);
            tokio::time::sleep(pause).await;
        }
    }

    /// Hands an update on to the nodes that follow this one and to the handler.
    fn receive(&self, update: StoreUpdate) {
        let form = match update {
            StoreUpdate::All(_) => Form::Copy,
            StoreUpdate::Changed(_) => Form::Change,
        };
        let subject = self.watched.subject;
        let feed = &self.parts.feed;
        feed.receive_update(subject, &update, Source::Store, form);
        (self.handler)(update);
    }

    /// Records that nothing older than `asked` is missing.
    fn confirm(&self, asked: Timestamp) {
        if self.watched.subject == Subject::Configuration {
            self.parts.cx.keys_confirmed(asked);
        }
    }

    /// Longest time that a watch may report nothing; `None` if that doesn't matter. A watch that was lost
    /// without a word, while nothing else was asked of the store, is found by that alone.
    fn longest_quiet(&self) -> Option<Duration> {
        let settings = &self.parts.cx.settings;
        let bounds = &settings.bounds;
        match self.watched.subject {
            Subject::Configuration => {
                let quiet = bounds.contact().mul_f64(QUIET_SHARE);
                let confirmed = settings.access.key_policy().confirmed_each();
                Some(confirmed.map_or(quiet, |each| each.min(quiet)))
            }
            Subject::Announcements => Some(bounds.drain().mul_f64(QUIET_SHARE)),
            Subject::Nodes => None,
        }
    }
}
