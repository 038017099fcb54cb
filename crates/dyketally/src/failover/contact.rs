//! Whether a node would hear that a primary is being replaced.
//!
//! Whoever replaces a primary tells all nodes and the store. A node that has lately been in touch
//! with the store, or with more than half of the nodes, would have heard. One that hasn't is
//! isolated: before it trusts a primary it has to make sure that no other database leads.

use std::time::Duration;

use crate::time::Timestamp;

/// How long one contact with the store holds.
pub const STORE_HOLDS: Duration = Duration::from_millis(2_900);
/// How long one contact with more than half of the nodes holds.
pub const MAJORITY_HOLDS: Duration = Duration::from_millis(900);
/// How long a node that was isolated may take to hear what it missed, once it is in touch again.
const CATCH_UP: Duration = Duration::from_secs(3);
/// Age of the contact with the store from which on the other nodes are asked.
const ASK_NODES_AFTER: Duration = Duration::from_millis(2_300);
/// Pause between two rounds of asking them.
const ASK_NODES_INTERVAL: Duration = Duration::from_millis(350);

/// When a node was last in touch. All times are those at which it asked, not those of the replies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    store: Option<Timestamp>,
    majority: Option<Timestamp>,
    /// When it was in touch again after it had been isolated.
    regained: Option<Timestamp>,
}

impl Contact {
    /// Takes in that the store replied to what was asked at `asked`.
    pub fn store_replied(&mut self, asked: Timestamp) {
        self.replied(asked);
        self.store = self.store.max(Some(asked));
    }

    /// Takes in that the node has given back its leases: what it hears from the store from now on
    /// doesn't count.
    pub fn store_given_up(&mut self) {
        if self.store.is_some() {
            self.store = Some(Timestamp::ZERO);
        }
    }

    /// Takes in that more than half of the nodes replied to what was asked at `asked`.
    pub fn majority_replied(&mut self, asked: Timestamp) {
        self.replied(asked);
        self.majority = self.majority.max(Some(asked));
    }

    fn replied(&mut self, asked: Timestamp) {
        if self.was_ever_made() && !self.holds(asked) {
            self.regained = Some(asked);
        }
    }

    fn was_ever_made(&self) -> bool {
        self.store.is_some() || self.majority.is_some()
    }

    fn holds(&self, now: Timestamp) -> bool {
        let within = |contact: Option<Timestamp>, holds| {
            contact.is_some_and(|at| now.saturating_since(at) < holds)
        };
        within(self.store, STORE_HOLDS) || within(self.majority, MAJORITY_HOLDS)
    }

    fn is_catching_up(&self, now: Timestamp) -> bool {
        self.regained
            .is_some_and(|at| now.saturating_since(at) < CATCH_UP)
    }

    /// True when the node would have heard of a primary that is replaced. A node that was never in
    /// touch wouldn't: what it knows may come from others, or be old.
    pub fn is_held(&self, now: Timestamp) -> bool {
        self.holds(now) && !self.is_catching_up(now)
    }

    /// How long ago the store was asked that replied last; `None` while it never did.
    pub fn store_age(&self, now: Timestamp) -> Option<Duration> {
        self.store.map(|asked| now.saturating_since(asked))
    }

    /// How long ago the nodes were asked more than half of which replied last; `None` while they
    /// never did.
    pub fn majority_age(&self, now: Timestamp) -> Option<Duration> {
        self.majority.map(|asked| now.saturating_since(asked))
    }

    /// When the other nodes should be asked next; `None` while the store was never reached.
    pub fn ask_nodes_at(&self, last_asked: Option<Timestamp>) -> Option<Timestamp> {
        let due = self.store? + ASK_NODES_AFTER;
        Some(last_asked.map_or(due, |asked| due.max(asked + ASK_NODES_INTERVAL)))
    }
}

/// True when `replied` other nodes and the asking one are more than half of `nodes`.
pub fn is_majority(replied: usize, nodes: usize) -> bool {
    (replied + 1) * 2 > nodes
}
