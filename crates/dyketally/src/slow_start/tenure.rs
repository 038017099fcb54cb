//! Since when a node may use its part of a database's budget.

use std::time::Duration;

use crate::failover::STORE_HOLDS;
use crate::time::Timestamp;

/// How long a node's list must have named it as a holder before it sends. Whoever it takes over from
/// hears of that within [`STORE_HOLDS`], or knows that it doesn't hear and stops; the rest covers clocks
/// that run at rates up to 5% apart.
pub const TAKE_OVER_AFTER: Duration = STORE_HOLDS.saturating_add(Duration::from_millis(400));

/// Since when a node has been a holder, by its own list of nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenure {
    since: Option<Timestamp>,
}

impl Tenure {
    /// Records whether the node is a holder by the list that it has now.
    pub fn update(&mut self, now: Timestamp, holds: bool) {
        match holds {
            true => {
                self.since.get_or_insert(now);
            }
            false => self.since = None,
        }
    }

    /// True when the node is a holder.
    pub fn is_held(&self) -> bool {
        self.since.is_some()
    }

    /// Time until former holders have stopped; `None` when the node is no holder.
    pub fn wait(&self, now: Timestamp) -> Option<Duration> {
        let since = self.since?;
        Some((since + TAKE_OVER_AFTER).saturating_since(now))
    }
}
