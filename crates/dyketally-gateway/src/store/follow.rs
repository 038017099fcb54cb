//! Follows a prefix of the store for as long as the process runs.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Entry, Key, KeyRange, KeyValueStore, RangeRequest, StoreRevision, WatchEvent, WatchRequest,
    WatchStream,
};
use futures::StreamExt;
use tokio::time::Instant;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::store::feed::{Sink, Subject};

/// Pause before the store is asked again after failures.
const PAUSE: Backoff = Backoff {
    first: Duration::from_millis(60),
    longest: Duration::from_millis(700),
};
/// Longest wait for a store that fails to be found well by whoever renews a lease: renewals are the
/// cheapest calls, so only they ask it again and again.
const OUTAGE_LOOK: Duration = Duration::from_secs(4);
/// Pause in a large fleet between reading keys at the start and watching them: by then a relay may
/// pass them on.
const FIRST_GATHERING: Duration = Duration::from_secs(1);
/// Longest pause after a change before a watch goes on.
const LONGEST_GATHERING: Duration = Duration::from_millis(1_200);
/// So many keys are followed without any pause.
const FEW_KEYS: usize = 6;
/// For so long after its start a node pauses at least [`SETTLING_PER_NODE`] for each node that runs:
/// databases and nodes then tend to start as well.
const SETTLING: Duration = Duration::from_secs(6);
const SETTLING_PER_NODE: Duration = Duration::from_millis(10);
/// Pause behind changes that come one upon the other, and the quiet that ends such a burst.
const BURST_PAUSE: Backoff = Backoff {
    first: Duration::from_millis(60),
    longest: Duration::from_millis(500),
};
const BURST_ENDS: Duration = Duration::from_secs(1);
/// How long a node of a large fleet waits for a relay once the store is back, before it asks itself.
const RELAY_LIMIT: Duration = Duration::from_millis(1_200);

/// What a follower is told.
pub enum StoreUpdate {
    /// These are all keys now.
    All(Vec<Entry>),
    /// One key changed.
    Changed(WatchEvent),
}

/// What is followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Followed {
    /// What the keys begin with.
    pub prefix: String,
    /// Pause after a change before the watch goes on: changes that come close together then come
    /// with one call. Calls may be dear.
    pub gathering: Gathering,
    /// Set when relays may pass the keys on, so that this node needn't watch them itself.
    pub subject: Option<Subject>,
}

/// How long to pause behind a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gathering {
    /// So long for each key beyond a few, since many nodes tend to start together.
    PerKey(Duration),
    /// Longer and longer within a burst of changes.
    Bursts,
}

/// Follows keys and passes on what changes, forever.
pub async fn follow(
    gateway: Rc<Gateway>,
    store: Rc<dyn KeyValueStore>,
    followed: Followed,
    sink: Sink,
) {
    let mut progress = Progress::new(gateway.clone(), followed.prefix.clone());
    let feed = &gateway.feed;
    let sink = |update: StoreUpdate| {
        if let Some(subject) = followed.subject {
            feed.take(subject, &update);
        }
        sink(update);
    };
    loop {
        if followed.subject.is_some() {
            feed.until_unfed().await;
        }
        let read = store
            .range(RangeRequest::all(KeyRange::prefix(&followed.prefix)))
            .await;
        let reply = match read {
            Ok(reply) => reply,
            Err(error) => {
                progress.after(&error).await;
                if followed.subject.is_some() && gateway.relay_to_follow().is_some() {
                    // If none feeds this node by then it asks the store itself.
                    let _ = tokio::time::timeout(RELAY_LIMIT, feed.until_fed()).await;
                }
                continue;
            }
        };
        progress.reset();
        gateway.membership.store_answered();
        progress.was_read = true;
        progress.keys = reply.entries.iter().map(|it| it.key.clone()).collect();
        sink(StoreUpdate::All(reply.entries));
        let seen = reply.store_revision;
        let watching = async {
            if followed.subject.is_some() {
                tokio::time::sleep(progress.until_first_watch()).await;
            }
            watch_from(&store, &followed, seen, &sink, &mut progress).await;
        };
        match followed.subject {
            None => watching.await,
            Some(subject) => {
                feed.watched(subject, seen);
                tokio::select! {
                    () = watching => {}
                    () = feed.until_fed() => {}
                }
                feed.unwatched(subject);
            }
        }
    }
}

/// Watches until the watch is lost. Nothing is concluded from a watch that is taken up again: the
/// store may have made changes while it was cut and dropped them from its history, so the caller
/// reads all keys again.
async fn watch_from(
    store: &Rc<dyn KeyValueStore>,
    followed: &Followed,
    seen: StoreRevision,
    sink: &impl Fn(StoreUpdate),
    progress: &mut Progress,
) {
    let request = WatchRequest {
        range: KeyRange::prefix(&followed.prefix),
        from: seen.next(),
    };
    let gateway = progress.gateway.clone();
    let error = match store.watch(request).await {
        Ok(batches) => tokio::select! {
            error = watch_batches(batches, followed.gathering, sink, progress) => error,
            // The watch may have been lost together with the store, and say nothing.
            () = gateway.membership.store_regained.notified() => return,
        },
        Err(error) => error,
    };
    if !matches!(error, StoreError::Compacted) {
        progress.after(&error).await;
    }
}

/// Passes on what a watch reports, until it ends.
async fn watch_batches(
    batches: WatchStream,
    gathering: Gathering,
    sink: &impl Fn(StoreUpdate),
    progress: &mut Progress,
) -> StoreError {
    // The first batch may be the client's own and prove nothing.
    let mut batches = batches.skip(1);
    while let Some(batch) = batches.next().await {
        let batch = match batch {
            Ok(batch) => batch,
            Err(error) => return error,
        };
        progress.reset();
        progress.gateway.membership.store_answered();
        let any = !batch.events.is_empty();
        for event in batch.events {
            progress.note(&event);
            sink(StoreUpdate::Changed(event));
        }
        if any {
            tokio::time::sleep(progress.pause(gathering)).await;
        }
    }
    StoreError::Unavailable {
        reason: "the watch ended".to_owned(),
    }
}

struct Progress {
    gateway: Rc<Gateway>,
    prefix: String,
    keys: HashSet<Key>,
    started: Instant,
    /// True once all keys were read.
    was_read: bool,
    /// When the last change came, and how many came in this burst before it.
    changed: Option<Instant>,
    burst: u32,
    failures: u32,
}

impl Progress {
    /// Pause behind a change, before the watch goes on.
    fn pause(&mut self, gathering: Gathering) -> Duration {
        match gathering {
            Gathering::PerKey(per_key) => self.pause_per_key(per_key),
            Gathering::Bursts => self.pause_in_burst(),
        }
    }

    fn pause_per_key(&self, per_key: Duration) -> Duration {
        let keys = self.keys.len().saturating_sub(FEW_KEYS);
        let mut pause = per_key.saturating_mul(u32::try_from(keys).unwrap_or(u32::MAX));
        if self.started.elapsed() < SETTLING {
            let nodes = self.gateway.membership.node_count();
            let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
            pause = pause.max(SETTLING_PER_NODE.saturating_mul(nodes));
        }
        pause.min(LONGEST_GATHERING)
    }

    fn pause_in_burst(&mut self) -> Duration {
        let now = Instant::now();
        let goes_on = self
            .changed
            .is_some_and(|at| now.duration_since(at) < BURST_ENDS);
        self.burst = match goes_on {
            true => self.burst + 1,
            false => 0,
        };
        self.changed = Some(now);
        BURST_PAUSE.longest_delay(self.burst)
    }

    fn note(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Put(entry) => self.keys.insert(entry.key.clone()),
            WatchEvent::Deleted { key, .. } => self.keys.remove(key),
        };
    }

    fn new(gateway: Rc<Gateway>, prefix: String) -> Self {
        Self {
            gateway,
            prefix,
            keys: HashSet::new(),
            started: Instant::now(),
            was_read: false,
            changed: None,
            burst: 0,
            failures: 0,
        }
    }

    fn reset(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
            self.gateway.events.write(&Event::StoreRegained {
                prefix: &self.prefix,
            });
        }
    }

    /// Pause before the first watch after the start.
    fn until_first_watch(&self) -> Duration {
        if self.gateway.is_small_fleet() {
            return Duration::ZERO;
        }
        FIRST_GATHERING.saturating_sub(self.started.elapsed())
    }

    /// Waits behind a failure until it makes sense to ask the store again.
    async fn after(&mut self, error: &StoreError) {
        if self.failures == 0 {
            self.gateway.events.write(&Event::StoreLost {
                prefix: &self.prefix,
                reason: error.to_string(),
            });
        }
        self.failures += 1;
        let membership = &self.gateway.membership;
        membership.check_store.notify_one();
        let regained = membership.store_regained.notified();
        tokio::pin!(regained);
        let pause = PAUSE.delay(self.failures, &mut rand::rng());
        if tokio::time::timeout(pause, &mut regained).await.is_ok() {
            return;
        }
        // Before its first read a node has nothing to serve with, so it goes on asking.
        if self.was_read && membership.store_is_failing() {
            // Either way it is time to ask.
            let _ = tokio::time::timeout(OUTAGE_LOOK, regained).await;
        }
    }
}
