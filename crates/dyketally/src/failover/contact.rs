//! Tracks whether a node is in contact: whether it would know by now that a primary is being replaced.
//!
//! The failover coordinator announces a replacement to all nodes and to the store. A node that has
//! recently had a reply from the store, or from more than half of the nodes, has received the
//! announcement: it has the *long contact*. A node with neither reply is isolated: before it trusts a
//! primary, it has to check that no other database leads.
//!
//! Each node also needs a *short contact*. Without it, a coordinator would have to wait until the long
//! contact of nodes that failed together with a primary has expired. Nodes request the short contact from
//! the coordinator, directly or through a relay; each reply grants it and lists the fences in force. While
//! there is no coordinator, replies of more than half of the nodes count as a grant. A node trusts a
//! primary without a check only while it has both contacts.
//!
//! A node that follows a relay requests the short contact only for statements that need it, and rests in between: in
//! a large fleet most nodes run few statements, and regular requests would be most of all messages between nodes.

use std::time::Duration;

use crate::time::Timestamp;

/// How long a node has the long contact after a request that the store replied to.
pub const STORE_CONTACT_DURATION: Duration = Duration::from_millis(2_900);
/// How long a node has the long contact after a request that more than half of the nodes replied to.
pub const MAJORITY_CONTACT_DURATION: Duration = Duration::from_millis(900);
/// How long a node has the short contact after a request that was granted. That is four or five rounds of
/// [`GRANT_INTERVAL`]; three of them may be lost between zones that are 40 ms apart there and back.
pub const SHORT_CONTACT_DURATION: Duration = Duration::from_millis(500);
/// Interval at which a node requests the short contact.
pub const GRANT_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last granted request from which a node requests the short contact from further nodes, not only
/// from its usual source. At this age two rounds of [`GRANT_INTERVAL`] have been lost.
pub const GRANT_LATE_AFTER: Duration = Duration::from_millis(250);
/// Age of the last granted request from which a statement that needs the short contact requests it anew: half of
/// [`SHORT_CONTACT_DURATION`], so that the contact outlasts most statements.
const GRANT_REFRESH_AGE: Duration = Duration::from_millis(250);
/// Time without a reply after which a node that had rested requests the short contact from further nodes, too.
const GRANT_REPLY_LIMIT: Duration = Duration::from_millis(150);
/// Time that a node which was isolated is given to receive the announcements it missed, from the first request
/// that is replied to again.
const CATCH_UP: Duration = Duration::from_secs(3);
/// Age of the last request that the store replied to from which the other nodes are polled.
const POLL_NODES_AFTER: Duration = Duration::from_millis(2_300);
/// Interval between two polls of the other nodes while a coordinator grants the short contact.
const POLL_NODES_INTERVAL: Duration = Duration::from_millis(350);
/// Interval between two polls of the other nodes while no coordinator grants the short contact: the short
/// contact then depends on the nodes' replies.
const POLL_NODES_INTERVAL_WITHOUT_GRANTS: Duration = Duration::from_millis(200);

/// When a node requests the short contact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum GrantDemand {
    /// At each [`GRANT_INTERVAL`].
    #[default]
    Regular,
    /// Since this time, until a request is granted.
    Since(Timestamp),
    /// Not now: no statement needs it.
    Resting,
}

/// When a node was last in contact with the store, the other nodes and the coordinator. All times are those
/// at which the requests were sent, not those at which the replies arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// The last request that the store replied to.
    store: Option<Timestamp>,
    /// The last poll that more than half of the nodes replied to.
    majority: Option<Timestamp>,
    /// The last request for the short contact that the coordinator granted.
    granted: Option<Timestamp>,
    /// The first request that the store replied to after a gap of [`STORE_CONTACT_DURATION`] or more.
    store_regained: Option<Timestamp>,
    /// The first request that was replied to after the node had been isolated.
    regained: Option<Timestamp>,
    grant_demand: GrantDemand,
}

impl Contact {
    /// Records that the store replied to a request sent at `sent_at`.
    pub fn record_store_reply(&mut self, sent_at: Timestamp) {
        self.note_reply(sent_at);
        let lapsed = |at| sent_at.saturating_since(at) >= STORE_CONTACT_DURATION;
        if self.store.is_some_and(lapsed) {
            self.store_regained = Some(sent_at);
        }
        self.store = self.store.max(Some(sent_at));
    }

    /// The time as of which the node knows the contents of the store; `None` when that is [`STORE_CONTACT_DURATION`] ago or
    /// longer, or while the node is still receiving what it missed during a gap.
    pub fn store_known_as_of(&self, now: Timestamp) -> Option<Timestamp> {
        let within =
            |at: Option<Timestamp>, time| at.is_some_and(|at| now.saturating_since(at) < time);
        let is_in_contact =
            within(self.store, STORE_CONTACT_DURATION) && !within(self.store_regained, CATCH_UP);
        self.store.filter(|_| is_in_contact)
    }

    /// Records that the node has released its leases: earlier replies of the store no longer count as contact.
    pub fn discard_store_contact(&mut self) {
        if self.store.is_some() {
            self.store = Some(Timestamp::ZERO);
        }
    }

    /// Records that more than half of the nodes replied to a poll sent at `sent_at`.
    pub fn record_majority_reply(&mut self, sent_at: Timestamp) {
        self.note_reply(sent_at);
        self.majority = self.majority.max(Some(sent_at));
    }

    /// Records that the coordinator granted a request for the short contact sent at `sent_at`.
    pub fn record_grant(&mut self, sent_at: Timestamp) {
        self.granted = self.granted.max(Some(sent_at));
    }

    /// Records that the node requests the short contact at each [`GRANT_INTERVAL`] from now on.
    pub fn request_grants_regularly(&mut self) {
        self.grant_demand = GrantDemand::Regular;
    }

    /// Records that the node requests no short contact until a statement needs it.
    pub fn rest(&mut self) {
        self.grant_demand = GrantDemand::Resting;
    }

    /// Records that a node that rested requests the short contact from `now` on.
    pub fn end_rest(&mut self, now: Timestamp) {
        if self.grant_demand == GrantDemand::Resting {
            self.grant_demand = GrantDemand::Since(now);
        }
    }

    /// True when the node requests the short contact only for statements that need it.
    pub fn requests_on_demand(&self) -> bool {
        self.grant_demand != GrantDemand::Regular
    }

    /// True when a statement that needs the short contact should request it anew.
    pub fn needs_grant(&self, now: Timestamp) -> bool {
        let age = self.granted_age(now);
        self.requests_on_demand() && age.is_none_or(|age| age >= GRANT_REFRESH_AGE)
    }

    fn note_reply(&mut self, sent_at: Timestamp) {
        if self.was_ever_in_contact() && !self.holds(sent_at) {
            self.regained = Some(sent_at);
        }
    }

    fn was_ever_in_contact(&self) -> bool {
        self.store.is_some() || self.majority.is_some()
    }

    fn holds(&self, now: Timestamp) -> bool {
        let within = |contact: Option<Timestamp>, holds| {
            contact.is_some_and(|at| now.saturating_since(at) < holds)
        };
        within(self.store, STORE_CONTACT_DURATION)
            || within(self.majority, MAJORITY_CONTACT_DURATION)
    }

    fn has_short_contact(&self, now: Timestamp) -> bool {
        let short = self.granted.max(self.majority);
        short.is_some_and(|sent_at| now.saturating_since(sent_at) < SHORT_CONTACT_DURATION)
    }

    fn is_catching_up(&self, now: Timestamp) -> bool {
        self.regained
            .is_some_and(|at| now.saturating_since(at) < CATCH_UP)
    }

    /// True when the node would know of a primary that is being replaced: it has both the long and the short
    /// contact. False before the first reply, since what the node knows may be out of date.
    pub fn is_in_contact(&self, now: Timestamp) -> bool {
        self.long_is_valid(now) && self.has_short_contact(now)
    }

    /// True when the node is in contact, or would be after a grant that it hasn't requested or has just requested.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let is_granted_soon = match self.grant_demand {
            GrantDemand::Regular => false,
            GrantDemand::Since(since) => now < since + SHORT_CONTACT_DURATION,
            GrantDemand::Resting => true,
        };
        self.long_is_valid(now) && (is_granted_soon || self.has_short_contact(now))
    }

    /// True while the node has the long contact and has received the announcements that it missed.
    pub fn long_is_valid(&self, now: Timestamp) -> bool {
        self.holds(now) && !self.is_catching_up(now)
    }

    /// Time since the last request for the short contact that was granted; `None` before the first grant.
    pub fn granted_age(&self, now: Timestamp) -> Option<Duration> {
        self.granted.map(|sent_at| now.saturating_since(sent_at))
    }

    /// True when the last grant is so old that the node should request the short contact from further nodes, not
    /// only from its usual source.
    pub fn is_grant_late(&self, now: Timestamp) -> bool {
        self.grant_late_at().is_some_and(|at| now >= at)
    }

    /// When a grant is late; `None` while the node requests none.
    fn grant_late_at(&self) -> Option<Timestamp> {
        let late_at = self.granted.map(|at| at + GRANT_LATE_AFTER);
        let late_at = late_at.unwrap_or(Timestamp::ZERO);
        match self.grant_demand {
            GrantDemand::Regular => Some(late_at),
            GrantDemand::Since(since) => Some(late_at.max(since + GRANT_REPLY_LIMIT)),
            GrantDemand::Resting => None,
        }
    }

    /// Time since the last request that the store replied to; `None` before its first reply.
    pub fn store_age(&self, now: Timestamp) -> Option<Duration> {
        self.store.map(|sent_at| now.saturating_since(sent_at))
    }

    /// Time since the last poll that more than half of the nodes replied to; `None` before the first one.
    pub fn majority_age(&self, now: Timestamp) -> Option<Duration> {
        self.majority.map(|sent_at| now.saturating_since(sent_at))
    }

    /// When the other nodes should be polled next, given the time of the last poll; `None` before the store's
    /// first reply.
    pub fn ask_nodes_at(&self, last_polled: Option<Timestamp>) -> Option<Timestamp> {
        let store_late = self.store? + POLL_NODES_AFTER;
        let after = |due: Timestamp, interval| last_polled.map_or(due, |at| due.max(at + interval));
        let store_due = after(store_late, POLL_NODES_INTERVAL);
        let grant_late = self.grant_late_at();
        let without_grants = grant_late.map(|at| after(at, POLL_NODES_INTERVAL_WITHOUT_GRANTS));
        Some(without_grants.map_or(store_due, |due| due.min(store_due)))
    }
}

/// True when `replied` other nodes and the polling node together are more than half of `nodes`.
pub fn is_majority(replied: usize, nodes: usize) -> bool {
    (replied + 1) * 2 > nodes
}

const _: () = assert!(GRANT_INTERVAL.as_millis() < GRANT_LATE_AFTER.as_millis());
const _: () = assert!(GRANT_LATE_AFTER.as_millis() < SHORT_CONTACT_DURATION.as_millis());
