//! Follows a prefix of the store for as long as the process runs.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally::time::Timestamp;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Consistency, Key, KeyRange, KeyValueStore, RangeRequest, StoreRevision, WatchEvent,
    WatchRequest, WatchStream,
};
use dyketally_store::update::StoreUpdate;
use futures::StreamExt;
use rand::Rng;
use tokio::time::Instant;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::store::feed::{Form, Sink, Source, Subject};

/// Pause before the store is asked again after failures.
const PAUSE: Backoff = Backoff {
    first: Duration::from_millis(60),
    longest: Duration::from_millis(700),
};
/// Longest wait for a store that fails to be found well by whoever renews a lease: renewals are the
/// cheapest calls, so only they ask it again and again.
const OUTAGE_LOOK: Duration = Duration::from_secs(4);
/// How long a node that has just started waits for a relay before it asks the store for what need
/// not be known at once.
const RELAY_AWAITED: Duration = Duration::from_millis(1_500);
/// The same at the first start of the whole system: all nodes have to get to know each other first,
/// and nobody waits to be served.
const RELAY_AWAITED_AT_FIRST_START: Duration = Duration::from_secs(3);
/// The same when the answer is a long one: a relay may need a second for its own copy, and as long for
/// those that it sends. At 300 nodes that all start at once, and 1 MB each, asking the store instead takes
/// its link 2.4 s at the least, and all of it goes between regions.
const RELAY_AWAITED_FOR_LONG: Duration = Duration::from_secs(4);
/// First answers on the configuration that are longer are had from a relay, in bytes. Shorter ones arrive
/// sooner from the store.
const LONG_ANSWER: usize = 64 << 10;
/// Pause between two reads of the nodes' keys while no relay is known, and what is added to it at
/// random. Such reads are cheap.
const NODES_LOOK: Duration = Duration::from_millis(700);
const NODES_LOOK_SPREAD: Duration = Duration::from_millis(300);
/// Share of the bound on news within which a quiet watch is asked again, which leaves room for the
/// question and for passing on what it brings.
const QUIET_SHARE: f64 = 0.6;
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

/// What is followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Followed {
    /// What the keys begin with.
    pub prefix: String,
    /// Pause after a change before the watch goes on: changes that come close together then come
    /// with one call. Calls may be dear.
    pub gathering: Gathering,
    /// What relays call the keys, which may pass them on.
    pub subject: Subject,
    /// How they are read first.
    pub first: FirstRead,
}

impl Followed {
    fn range(&self) -> KeyRange {
        KeyRange::prefix(&self.prefix)
    }
}

/// How keys are read when a node starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstRead {
    /// As they are now.
    Newest,
    /// As they may have been some seconds ago, which a relay or the next read mends: such reads are
    /// cheaper.
    Stale,
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
    let mut progress = Progress::new(gateway.clone(), &followed);
    let feed = &gateway.feed;
    let sink = |update: StoreUpdate| {
        let form = match update {
            StoreUpdate::All(_) => Form::Copy,
            StoreUpdate::Changed(_) => Form::Change,
        };
        gateway.take_news(followed.subject, &update, Source::Store, form);
        sink(update);
    };
    let mut seen = start(&*store, &followed, &sink, &mut progress).await;
    loop {
        if feed.is_fed() {
            seen = None;
            feed.until_unfed().await;
        }
        let read = match seen.take() {
            Some(seen) => Ok(seen),
            None => {
                let request = RangeRequest::all(followed.range());
                let read = read(&*store, request, &sink, &mut progress);
                // What a relay tells meanwhile may be newer than a large answer once it has arrived.
                tokio::select! {
                    biased;
                    () = feed.until_fed() => continue,
                    read = read => read,
                }
            }
        };
        let seen = match read {
            Ok(seen) => seen,
            Err(error) => {
                feed.own_read_failed();
                progress.after(&error).await;
                if gateway.may_follow_relays() {
                    // If none feeds this node by then it asks the store itself.
                    let _ = tokio::time::timeout(RELAY_LIMIT, feed.until_fed()).await;
                }
                continue;
            }
        };
        gateway.watch_stands(followed.subject, seen);
        tokio::select! {
            () = watch_from(&store, &followed, seen, &sink, &mut progress) => {}
            () = feed.until_fed() => {}
        }
        feed.unwatched(followed.subject);
    }
}

/// Reads keys and passes them on; the revision as of which they were read.
async fn read(
    store: &dyn KeyValueStore,
    request: RangeRequest,
    sink: &impl Fn(StoreUpdate),
    progress: &mut Progress,
) -> Result<StoreRevision, StoreError> {
    let asked = progress.gateway.cx.now();
    let is_newest = request.consistency == Consistency::Linearizable;
    let reply = store.range(request).await?;
    progress.reset();
    progress.gateway.fleet.membership.store_answered();
    progress.was_read = true;
    progress.keys = reply.entries.iter().map(|it| it.key.clone()).collect();
    sink(StoreUpdate::All(reply.entries));
    if is_newest {
        progress.confirm(asked);
    }
    Ok(reply.store_revision)
}

/// Learns at the start what a node needs first, with as few calls as possible, and waits for a relay,
/// which in a large fleet has the rest. The revision from which on to watch, if that is known.
async fn start(
    store: &dyn KeyValueStore,
    followed: &Followed,
    sink: &impl Fn(StoreUpdate),
    progress: &mut Progress,
) -> Option<StoreRevision> {
    let gateway = progress.gateway.clone();
    let first_start = gateway.cx.settings.node.first_start;
    let awaited = match first_start {
        true => RELAY_AWAITED_AT_FIRST_START,
        false => RELAY_AWAITED,
    };
    let began = Instant::now();
    let mut until = began + awaited;
    let mut seen = None;
    loop {
        let first = first_read(store, followed, sink, progress);
        // What a relay tells meanwhile may be newer than a large answer once it has arrived.
        let first = tokio::select! {
            biased;
            () = gateway.feed.until_fed() => return None,
            first = first => first,
        };
        match first {
            Ok(first) => seen = first.or(seen),
            Err(StoreError::LongAnswer { .. }) => until = began + RELAY_AWAITED_FOR_LONG,
            // The next read mends that.
            Err(_) => {}
        }
        let spread = NODES_LOOK_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        let look = match followed.subject {
            Subject::Nodes => until.min(Instant::now() + NODES_LOOK + spread),
            Subject::Configuration | Subject::Announcements => until,
        };
        tokio::select! {
            () = gateway.feed.until_fed() => return None,
            () = gateway.until_without_relay() => return seen,
            () = tokio::time::sleep_until(look) => {}
        }
        if Instant::now() >= until {
            return seen;
        }
    }
}

/// Reads keys for the first time; the revision from which on to watch, if they are the newest ones.
async fn first_read(
    store: &dyn KeyValueStore,
    followed: &Followed,
    sink: &impl Fn(StoreUpdate),
    progress: &mut Progress,
) -> Result<Option<StoreRevision>, StoreError> {
    let range = followed.range();
    match followed.first {
        // Nobody is served yet, and a relay will have them.
        FirstRead::Newest if progress.gateway.cx.settings.node.first_start => Ok(None),
        FirstRead::Newest => {
            let request = RangeRequest::all(range);
            read(store, request, sink, progress).await.map(Some)
        }
        FirstRead::Stale => {
            let request = RangeRequest::stale(range);
            let request = match followed.subject {
                Subject::Configuration => request.unless_longer_than(LONG_ANSWER),
                // Without the nodes' keys no relay is known, however long they are.
                Subject::Nodes | Subject::Announcements => request,
            };
            read(store, request, sink, progress).await.map(|_| None)
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
        range: followed.range(),
        from: seen.next(),
        longest_quiet: progress.longest_quiet(),
    };
    let gateway = progress.gateway.clone();
    let error = match store.watch(request).await {
        Ok(batches) => tokio::select! {
            error = watch_batches(batches, followed.gathering, sink, progress) => error,
            // The watch may have been lost together with the store, and say nothing.
            () = gateway.fleet.membership.store_regained.notified() => return,
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
    loop {
        let asked = progress.gateway.cx.now();
        let Some(batch) = batches.next().await else {
            break;
        };
        let batch = match batch {
            Ok(batch) => batch,
            Err(error) => return error,
        };
        progress.reset();
        progress.gateway.fleet.membership.store_answered();
        let any = !batch.events.is_empty();
        for event in batch.events {
            progress.note(&event);
            sink(StoreUpdate::Changed(event));
        }
        progress.confirm(asked);
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
    subject: Subject,
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
            let nodes = self.gateway.fleet.membership.node_count();
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

    /// Longest time that a watch may say nothing; `None` if that doesn't matter. A watch that was lost
    /// without a word, while nothing else was asked of the store, is found by that alone.
    fn longest_quiet(&self) -> Option<Duration> {
        let bounds = &self.gateway.cx.settings.bounds;
        match self.subject {
            Subject::Configuration => {
                let quiet = bounds.contact().mul_f64(QUIET_SHARE);
                let confirmed = self
                    .gateway
                    .cx
                    .settings
                    .access
                    .key_policy()
                    .confirmed_each();
                Some(confirmed.map_or(quiet, |each| each.min(quiet)))
            }
            Subject::Announcements => Some(bounds.drain().mul_f64(QUIET_SHARE)),
            Subject::Nodes => None,
        }
    }

    /// Takes in that nothing older than `asked` is missing.
    fn confirm(&self, asked: Timestamp) {
        if self.subject == Subject::Configuration {
            self.gateway.cx.keys_confirmed(asked);
        }
    }

    fn new(gateway: Rc<Gateway>, followed: &Followed) -> Self {
        Self {
            gateway,
            prefix: followed.prefix.clone(),
            subject: followed.subject,
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
            self.gateway.cx.events.write(&Event::StoreRegained {
                prefix: &self.prefix,
            });
        }
    }

    /// Waits behind a failure until it makes sense to ask the store again.
    async fn after(&mut self, error: &StoreError) {
        if self.failures == 0 {
            self.gateway.cx.events.write(&Event::StoreLost {
                prefix: &self.prefix,
                reason: error.to_string(),
            });
        }
        self.failures += 1;
        let membership = &self.gateway.fleet.membership;
        membership.check_store.notify_one();
        let regained = membership.store_regained.notified();
        tokio::pin!(regained);
        let pause = PAUSE.delay(self.failures, &mut rand::rng());
        if tokio::time::timeout(pause, &mut regained).await.is_ok() {
            return;
        }
        // Before its first read a node may have nothing to serve with, so it goes on asking.
        let has_all = self.was_read || self.gateway.is_ready();
        if has_all && membership.store_is_failing() {
            // Either way it is time to ask.
            let _ = tokio::time::timeout(OUTAGE_LOOK, regained).await;
        }
    }
}
