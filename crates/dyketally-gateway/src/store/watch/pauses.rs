//! The pauses of a watch after changes, so that changes in quick succession arrive in one call: the store limits the
//! rate of calls. Owns the set of watched keys and the time of the last change.

use std::collections::HashSet;
use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally_store::key_value::{Entry, Key, WatchEvent};
use tokio::time::Instant;

use super::watched::ChangeBatching;

/// Longest pause after a change with [`ChangeBatching::PerKey`].
const MAX_PAUSE: Duration = Duration::from_millis(1_200);
/// Number of keys that add nothing to the pause: a few changes cost few calls.
const KEYS_WITHOUT_PAUSE: usize = 6;
/// Time after a node's start during which it pauses at least [`STARTUP_PAUSE_PER_NODE`] for each running node:
/// databases and nodes tend to start together. Without this minimum, 85 nodes made 1,632 calls in one run to watch
/// announcements that arrived one by one.
const STARTUP_PERIOD: Duration = Duration::from_secs(6);
/// Minimum pause for each running node during [`STARTUP_PERIOD`].
const STARTUP_PAUSE_PER_NODE: Duration = Duration::from_millis(10);
/// Pauses within a burst of changes; the first change of a burst still arrives without delay. Without these pauses,
/// each configuration of a quick succession woke the watch of every node: 1,214 of 3,400 calls with 85 nodes. With
/// them, all calls of that run cost a quarter less.
const BURST_PAUSE: Backoff = Backoff {
    first: Duration::from_millis(60),
    longest: Duration::from_millis(500),
};
/// Time without a change that ends a burst.
const BURST_GAP: Duration = Duration::from_secs(1);

/// The state that the pauses of one watch depend on.
#[derive(Debug)]
pub(super) struct Pauses {
    started: Instant,
    keys: HashSet<Key>,
    /// When the last change arrived.
    last_change: Option<Instant>,
    /// Number of changes in the current burst before the last one.
    burst: u32,
}

impl Pauses {
    /// The pauses of a watch that starts now.
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            keys: HashSet::new(),
            last_change: None,
            burst: 0,
        }
    }

    /// Replaces the set of watched keys.
    pub(super) fn set_keys(&mut self, entries: &[Entry]) {
        self.keys = entries.iter().map(|entry| entry.key.clone()).collect();
    }

    /// Updates the set of watched keys after a change.
    pub(super) fn key_changed(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Put(entry) => self.keys.insert(entry.key.clone()),
            WatchEvent::Deleted { key, .. } => self.keys.remove(key),
        };
    }

    /// The pause after a change that has just arrived, in a fleet of `nodes` nodes.
    pub(super) fn after_change(&mut self, batching: ChangeBatching, nodes: usize) -> Duration {
        match batching {
            ChangeBatching::PerKey(per_key) => self.per_key(per_key, nodes),
            ChangeBatching::Bursts => self.in_burst(),
        }
    }

    fn per_key(&self, per_key: Duration, nodes: usize) -> Duration {
        let keys = self.keys.len().saturating_sub(KEYS_WITHOUT_PAUSE);
        let mut pause = times(per_key, keys);
        if self.started.elapsed() < STARTUP_PERIOD {
            pause = pause.max(times(STARTUP_PAUSE_PER_NODE, nodes));
        }
        pause.min(MAX_PAUSE)
    }

    fn in_burst(&mut self) -> Duration {
        let now = Instant::now();
        let continues = self
            .last_change
            .is_some_and(|at| now.duration_since(at) < BURST_GAP);
        self.burst = match continues {
            true => self.burst + 1,
            false => 0,
        };
        self.last_change = Some(now);
        BURST_PAUSE.longest_delay(self.burst)
    }
}

fn times(pause: Duration, count: usize) -> Duration {
    pause.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
