//! Tracks since when a node has been a holder of a cold database, and from when it may send.

use std::time::Duration;

use crate::failover::STORE_CONTACT_DURATION;
use crate::time::Timestamp;

/// How long a node's own list must have named it a holder before it sends. Within [`STORE_CONTACT_DURATION`], a former
/// holder either receives the changed list or finds that it has lost contact with the store, and stops
/// sending. The remaining 400 ms cover clocks whose rates differ by up to 5%.
pub const TAKE_OVER_AFTER: Duration =
    STORE_CONTACT_DURATION.saturating_add(Duration::from_millis(400));

/// Since when a node has been a holder according to its own list of nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenure {
    since: Option<Timestamp>,
}

impl Tenure {
    /// Records whether the node is a holder according to its current list of nodes.
    pub fn update(&mut self, now: Timestamp, is_holder: bool) {
        match is_holder {
            true => {
                self.since.get_or_insert(now);
            }
            false => self.since = None,
        }
    }

    /// True while the node is a holder, even if it may not send yet.
    pub fn is_held(&self) -> bool {
        self.since.is_some()
    }

    /// Time until the node may send because former holders have stopped; `None` when the node is no holder.
    pub fn wait(&self, now: Timestamp) -> Option<Duration> {
        let since = self.since?;
        Some((since + TAKE_OVER_AFTER).saturating_since(now))
    }
}
