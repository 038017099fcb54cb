//! Whether a node would have learned by now that a primary is being replaced.
//!
//! The failover coordinator announces a replacement to all nodes and to the store. A node that has
//! lately had a reply from the store, or from more than half of the nodes, has received the
//! announcement. A node without either is isolated: before it trusts a primary, it has to check that no
//! other database leads.
//!
//! Beside this long contact each node needs a short one. Without it, a coordinator would have to wait
//! until the long contact of nodes that were lost together with a primary has ended. The coordinator
//! grants the short contact with each reply, and each reply lists the fences that stand. While there is
//! no coordinator, replies of more than half of the nodes count as a grant. A node trusts a primary
//! without a check only while it has both.

use std::time::Duration;

use crate::time::Timestamp;

/// How long one contact with the store holds.
pub const STORE_HOLDS: Duration = Duration::from_millis(2_900);
/// How long one contact with more than half of the nodes holds.
pub const MAJORITY_HOLDS: Duration = Duration::from_millis(900);
/// How long a short contact holds: four or five rounds of [`GRANT_INTERVAL`], of which three may be lost
/// between zones that are 40 ms apart and back.
pub const SHORT_HOLDS: Duration = Duration::from_millis(500);
/// Pause between two times that a node asks for the short contact.
pub const GRANT_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the short contact from which on a node looks for it elsewhere: two rounds were lost.
pub const GRANT_LATE: Duration = Duration::from_millis(250);
/// How long a node that was isolated may take to receive what it missed, once replies arrive again.
const CATCH_UP: Duration = Duration::from_secs(3);
/// Age of the contact with the store from which on the other nodes are asked.
const ASK_NODES_AFTER: Duration = Duration::from_millis(2_300);
/// Pause between two rounds of asking them.
const ASK_NODES_INTERVAL: Duration = Duration::from_millis(350);
/// The same while no coordinator grants the short contact, which then rests on their replies.
const ASK_NODES_INTERVAL_WITHOUT_GRANTS: Duration = Duration::from_millis(200);

/// When a node last had replies. All times are those of the questions, not of the replies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    store: Option<Timestamp>,
    majority: Option<Timestamp>,
    granted: Option<Timestamp>,
    /// When the store replied again after a silence that was too long.
    store_regained: Option<Timestamp>,
    /// When replies arrived again after the node had been isolated.
    regained: Option<Timestamp>,
}

impl Contact {
    /// Records that the store replied to what was asked at `asked`.
    pub fn store_replied(&mut self, asked: Timestamp) {
        self.replied(asked);
        let lapsed = |at| asked.saturating_since(at) >= STORE_HOLDS;
        if self.store.is_some_and(lapsed) {
            self.store_regained = Some(asked);
        }
        self.store = self.store.max(Some(asked));
    }

    /// The time up to which the node knows what the store held; `None` when that is too long ago, or the
    /// node is still receiving what it missed.
    pub fn heard_store(&self, now: Timestamp) -> Option<Timestamp> {
        let within =
            |at: Option<Timestamp>, time| at.is_some_and(|at| now.saturating_since(at) < time);
        let hears = within(self.store, STORE_HOLDS) && !within(self.store_regained, CATCH_UP);
        self.store.filter(|_| hears)
    }

    /// Records that the node has given back its leases: replies of the store don't count from now on.
    pub fn store_given_up(&mut self) {
        if self.store.is_some() {
            self.store = Some(Timestamp::ZERO);
        }
    }

    /// Records that more than half of the nodes replied to what was asked at `asked`.
    pub fn majority_replied(&mut self, asked: Timestamp) {
        self.replied(asked);
        self.majority = self.majority.max(Some(asked));
    }

    /// Records that the coordinator granted the short contact that was asked for at `asked`.
    pub fn granted(&mut self, asked: Timestamp) {
        self.granted = self.granted.max(Some(asked));
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

    fn is_short_held(&self, now: Timestamp) -> bool {
        let short = self.granted.max(self.majority);
        short.is_some_and(|asked| now.saturating_since(asked) < SHORT_HOLDS)
    }

    fn is_catching_up(&self, now: Timestamp) -> bool {
        self.regained
            .is_some_and(|at| now.saturating_since(at) < CATCH_UP)
    }

    /// True when the node would know of a primary that is being replaced. Without any reply so far it
    /// wouldn't: what it knows may be out of date.
    pub fn is_held(&self, now: Timestamp) -> bool {
        self.is_long_held(now) && self.is_short_held(now)
    }

    /// True while the long contact holds and the node has caught up.
    pub fn is_long_held(&self, now: Timestamp) -> bool {
        self.holds(now) && !self.is_catching_up(now)
    }

    /// How long ago the short contact was asked for that was granted last; `None` while none was.
    pub fn granted_age(&self, now: Timestamp) -> Option<Duration> {
        self.granted.map(|asked| now.saturating_since(asked))
    }

    /// True when the short contact should be looked for elsewhere than where it was asked for.
    pub fn is_grant_late(&self, now: Timestamp) -> bool {
        self.granted_age(now).is_none_or(|age| age >= GRANT_LATE)
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
        let store_late = self.store? + ASK_NODES_AFTER;
        let after =
            |due: Timestamp, interval| last_asked.map_or(due, |asked| due.max(asked + interval));
        let grant_late = self.granted.map_or(Timestamp::ZERO, |at| at + GRANT_LATE);
        let without_grants = after(grant_late, ASK_NODES_INTERVAL_WITHOUT_GRANTS);
        Some(after(store_late, ASK_NODES_INTERVAL).min(without_grants))
    }
}

/// True when `replied` other nodes and the asking one are more than half of `nodes`.
pub fn is_majority(replied: usize, nodes: usize) -> bool {
    (replied + 1) * 2 > nodes
}

const _: () = assert!(GRANT_INTERVAL.as_millis() < GRANT_LATE.as_millis());
const _: () = assert!(GRANT_LATE.as_millis() < SHORT_HOLDS.as_millis());
