//! Watches a prefix of the store for as long as the process runs.
//!
//! A [`Watcher`] reads all keys below its prefix, watches them from that revision on, and calls its handler with each
//! update. While this node follows a relay the watcher is idle: in a large fleet only a few nodes watch the store
//! themselves, see [`super::feed`]. After a failure it waits until it makes sense to call the store again, see
//! `outage`. Owns only its position in this loop.

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

pub use watched::{ChangeBatching, FirstRead, WatchSpec};

use crate::event::Form;
use crate::store::feed::{Source, Subject, UpdateHandler};
use crate::store::parts::StoreParts;
use outage::Outage;
use pauses::Pauses;

/// Share of a bound after which a watch without changes is queried again; the rest is for the call and for forwarding
/// its result. The bound is `bounds.contact_ms` for the configuration and `bounds.drain_ms` for announcements.
const MAX_QUIET_SHARE: f64 = 0.6;

/// Watches the keys below one prefix on behalf of this node.
pub struct Watcher {
    parts: StoreParts,
    spec: WatchSpec,
    handler: UpdateHandler,
    /// Returns true when this node is ready for callers.
    is_ready: Rc<dyn Fn() -> bool>,
    pauses: Pauses,
    outage: Outage,
    /// True once all keys have been read.
    has_read_all: bool,
}

impl Watcher {
    /// A watcher that isn't running yet; it will call `handler` with each update. `is_ready` returns whether this node
    /// is ready for callers.
    pub fn new(
        parts: StoreParts,
        spec: WatchSpec,
        handler: UpdateHandler,
        is_ready: Rc<dyn Fn() -> bool>,
    ) -> Self {
        Self {
            parts,
            spec,
            handler,
            is_ready,
            pauses: Pauses::new(),
            outage: Outage::default(),
            has_read_all: false,
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
                self.wait_before_own_read().await;
                if feed.has_relay() {
                    continue;
                }
            }
            let read = match read_at.take() {
                Some(revision) => Ok(revision),
                // The read is abandoned once a relay is followed: by the time a large reply has arrived, the relay's
                // updates may be newer.
                None => tokio::select! {
                    biased;
                    () = feed.until_subscribed() => continue,
                    read = self.read(RangeRequest::all(self.spec.range())) => read,
                },
            };
            let revision = match read {
                Ok(revision) => revision,
                Err(error) => {
                    self.wait_after_failed_read(&error).await;
                    continue;
                }
            };
            feed.watch_established(self.spec.subject, revision);
            tokio::select! {
                () = self.watch_from(revision) => {}
                () = feed.until_subscribed() => {}
            }
            feed.watch_lost(self.spec.subject);
        }
    }

    /// Reads all keys and applies them; returns the store revision that they were read at.
    async fn read(&mut self, request: RangeRequest) -> Result<StoreRevision, StoreError> {
        let sent_at = self.parts.cx.now();
        let is_newest = request.consistency == Consistency::Linearizable;
        let reply = self.parts.store.range(request).await?;
        self.store_replied();
        self.has_read_all = true;
        self.pauses.set_keys(&reply.entries);
        self.apply(StoreUpdate::All(reply.entries));
        if is_newest {
            self.confirm(sent_at);
        }
        Ok(reply.store_revision)
    }

    /// Watches until the watch is lost. A lost watch can't be resumed safely: the store may have made changes meanwhile
    /// and dropped them from its history. So the caller reads all keys again.
    async fn watch_from(&mut self, revision: StoreRevision) {
        let request = WatchRequest {
            range: self.spec.range(),
            from: revision.next(),
            longest_quiet: self.longest_quiet(),
        };
        let cx = self.parts.cx.clone();
        let error = match self.parts.store.watch(request).await {
            Ok(batches) => tokio::select! {
                error = self.receive_batches(batches) => error,
                // The watch may have been lost together with the store, without an error.
                () = cx.store_health.regained.notified() => return,
            },
            Err(error) => error,
        };
        if !matches!(error, StoreError::Compacted) {
            self.wait_after_failure(&error).await;
        }
    }

    /// Applies the batches of a watch until it ends; returns why it ended.
    async fn receive_batches(&mut self, batches: WatchStream) -> StoreError {
        // The first batch may be made by the client itself, so it doesn't show that the store replied.
        let mut batches = batches.skip(1);
        loop {
            let waiting_since = self.parts.cx.now();
            match batches.next().await {
                Some(Ok(batch)) => self.receive_batch(batch, waiting_since).await,
                Some(Err(error)) => return error,
                None => break,
            }
        }
        StoreError::Unavailable {
            reason: "the store ended the watch".to_owned(),
        }
    }

    /// Applies a batch that this node has waited for since `waiting_since`, and pauses if it contained changes.
    async fn receive_batch(&mut self, batch: WatchBatch, waiting_since: Timestamp) {
        self.store_replied();
        let has_changes = !batch.events.is_empty();
        for event in batch.events {
            self.pauses.key_changed(&event);
            self.apply(StoreUpdate::Changed(event));
        }
        self.confirm(waiting_since);
        if has_changes {
            let nodes = self.parts.fleet.membership.node_count();
            let pause = self.pauses.after_change(self.spec.batching, nodes);
            tokio::time::sleep(pause).await;
        }
    }

    /// Applies an update to this node's copy, sends it to this node's followers, and calls the handler.
    fn apply(&self, update: StoreUpdate) {
        let form = match update {
            StoreUpdate::All(_) => Form::Copy,
            StoreUpdate::Changed(_) => Form::Change,
        };
        let subject = self.spec.subject;
        let feed = &self.parts.feed;
        feed.receive_update(subject, &update, Source::Store, form);
        (self.handler)(update);
    }

    /// Records that this node has all changes of the configuration that were made before `as_of`.
    fn confirm(&self, as_of: Timestamp) {
        if self.spec.subject == Subject::Configuration {
            self.parts.cx.record_key_confirmation(as_of);
        }
    }

    /// Longest time without a batch before the watch is queried again; `None` for no limit. Without other calls to the
    /// store, this limit is the only way to detect a watch that was lost without an error.
    fn longest_quiet(&self) -> Option<Duration> {
        let settings = &self.parts.cx.settings;
        let bounds = &settings.bounds;
        match self.spec.subject {
            Subject::Configuration => {
                let quiet = bounds.contact().mul_f64(MAX_QUIET_SHARE);
                let confirmed = settings.access.key_policy().confirmed_each();
                Some(confirmed.map_or(quiet, |each| each.min(quiet)))
            }
            Subject::Announcements => Some(bounds.drain().mul_f64(MAX_QUIET_SHARE)),
            Subject::Nodes => None,
        }
    }
}
