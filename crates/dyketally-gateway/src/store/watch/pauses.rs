//! The pauses of a watch after changes, so that changes that come close together arrive with one call:
//! the store limits the rate of calls. Owns which keys there are and when the last change came.

use std::collections::HashSet;
use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally_store::key_value::{Entry, Key, WatchEvent};
use tokio::time::Instant;

use super::watched::Gathering;

/// Longest pause after a change. Not measured.
const LONGEST: Duration = Duration::from_millis(1_200);
/// So many keys are watched without any pause: a few changes cost few calls. Not measured.
const FEW_KEYS: usize = 6;
/// For so long after its start a node pauses at least [`STARTING_PER_NODE`] for each node that runs:
/// databases and nodes tend to start together. Without it 85 nodes took 1,632 calls to watch
/// announcements that came one by one (calls counted by kind, one run); the length isn't measured.
const STARTING: Duration = Duration::from_secs(6);
/// See [`STARTING`]. Not measured apart from it.
const STARTING_PER_NODE: Duration = Duration::from_millis(10);
/// Pauses within a burst of changes; a single change is still seen at once. Without them each
/// configuration of a storm woke the watch of every node, 1,214 of 3,400 calls at 85 nodes; with them all
/// calls of that run cost a quarter less.
const IN_BURST: Backoff = Backoff {
    first: Duration::from_millis(60),
    longest: Duration::from_millis(500),
};
/// Time without a change that ends a burst. Not measured.
const BURST_ENDS: Duration = Duration::from_secs(1);

/// What the pauses of one watch depend on.
#[derive(Debug)]
pub(super) struct Pauses {
    started: Instant,
    keys: HashSet<Key>,
    /// When the last change came.
    changed: Option<Instant>,
    /// How many changes came in this burst before the last one.
    burst: u32,
}

impl Pauses {
    /// The pauses of a watch that starts now.
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            keys: HashSet::new(),
            changed: None,
            burst: 0,
        }
    }

    /// Records which keys there are.
    pub(super) fn keys_are(&mut self, entries: &[Entry]) {
        self.keys = entries.iter().map(|entry| entry.key.clone()).collect();
    }

    /// Records that a key came or went.
    pub(super) fn key_changed(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Put(entry) => self.keys.insert(entry.key.clone()),
            WatchEvent::Deleted { key, .. } => self.keys.remove(key),
        };
    }

    /// The pause after a change that has just come, in a fleet of `nodes`.
    pub(super) fn after_change(&mut self, gathering: Gathering, nodes: usize) -> Duration {
        match gathering {
            Gathering::PerKey(per_key) => self.per_key(per_key, nodes),
            Gathering::Bursts => self.in_burst(),
        }
    }

    fn per_key(&self, per_key: Duration, nodes: usize) -> Duration {
        let keys = self.keys.len().saturating_sub(FEW_KEYS);
        let mut pause = times(per_key, keys);
        if self.started.elapsed() < STARTING {
            pause = pause.max(times(STARTING_PER_NODE, nodes));
        }
        pause.min(LONGEST)
    }

    fn in_burst(&mut self) -> Duration {
        let now = Instant::now();
        let goes_on = self
            .changed
            .is_some_and(|at| now.duration_since(at) < BURST_ENDS);
        self.burst = match goes_on {
            true => self.burst + 1,
            false => 0,
        };
        self.changed = Some(now);
        IN_BURST.longest_delay(self.burst)
    }
}

fn times(pause: Duration, count: usize) -> Duration {
    pause.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
