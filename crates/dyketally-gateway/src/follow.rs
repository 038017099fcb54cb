//! Follows a prefix of the store for as long as the process runs.

use std::rc::Rc;
use std::time::Duration;

use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Entry, KeyRange, KeyValueStore, RangeRequest, StoreRevision, WatchEvent, WatchRequest,
    WatchStream,
};
use futures::StreamExt;
use rand::Rng;

use crate::event::Event;
use crate::gateway::Gateway;

/// Shortest pause before the store is asked again after a failure.
const SHORTEST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause before the store is asked again after a failure.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// What a follower is told.
pub enum StoreUpdate {
    /// These are all keys now.
    All(Vec<Entry>),
    /// One key changed.
    Changed(WatchEvent),
}

/// Follows `prefix` and passes on what changes, forever.
pub async fn follow(
    gateway: Rc<Gateway>,
    store: Rc<dyn KeyValueStore>,
    prefix: String,
    mut sink: impl FnMut(StoreUpdate),
) {
    let mut pause = Pause::new(gateway, prefix.clone());
    loop {
        let read = store
            .range(RangeRequest::all(KeyRange::prefix(&prefix)))
            .await;
        let reply = match read {
            Ok(reply) => reply,
            Err(error) => {
                pause.after(&error).await;
                continue;
            }
        };
        pause.reset();
        sink(StoreUpdate::All(reply.entries));
        watch_from(&store, &prefix, reply.store_revision, &mut sink, &mut pause).await;
    }
}

/// Watches until the watch is lost. Nothing is concluded from a watch that is taken up again: the
/// store may have made changes while it was cut and dropped them from its history, so the caller
/// reads all keys again.
async fn watch_from(
    store: &Rc<dyn KeyValueStore>,
    prefix: &str,
    seen: StoreRevision,
    sink: &mut impl FnMut(StoreUpdate),
    pause: &mut Pause,
) {
    let request = WatchRequest {
        range: KeyRange::prefix(prefix),
        from: seen.next(),
    };
    let error = match store.watch(request).await {
        Ok(batches) => watch_batches(batches, sink, pause).await,
        Err(error) => error,
    };
    if !matches!(error, StoreError::Compacted) {
        pause.after(&error).await;
    }
}

/// Passes on what a watch reports, until it ends.
async fn watch_batches(
    batches: WatchStream,
    sink: &mut impl FnMut(StoreUpdate),
    pause: &mut Pause,
) -> StoreError {
    // The first batch may be the client's own and prove nothing.
    let mut batches = batches.skip(1);
    while let Some(batch) = batches.next().await {
        let batch = match batch {
            Ok(batch) => batch,
            Err(error) => return error,
        };
        pause.reset();
        pause.gateway.membership.store_answered();
        for event in batch.events {
            sink(StoreUpdate::Changed(event));
        }
    }
    StoreError::Unavailable {
        reason: "the watch ended".to_owned(),
    }
}

struct Pause {
    gateway: Rc<Gateway>,
    prefix: String,
    failures: u32,
}

impl Pause {
    fn new(gateway: Rc<Gateway>, prefix: String) -> Self {
        Self {
            gateway,
            prefix,
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

    async fn after(&mut self, error: &StoreError) {
        if self.failures == 0 {
            self.gateway.events.write(&Event::StoreLost {
                prefix: &self.prefix,
                reason: error.to_string(),
            });
        }
        let doubled = SHORTEST_PAUSE * 2_u32.pow(self.failures.min(5));
        self.failures += 1;
        let longest = doubled.min(LONGEST_PAUSE);
        let share = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(longest.mul_f64(share)).await;
    }
}
