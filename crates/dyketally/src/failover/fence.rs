//! Decides when a fence around a primary is closed, so that a successor may be appointed.
//!
//! A node that confirms a fence no longer treats the primary as the leader of its group. An unreachable
//! node may still use the primary, until it receives the fence from the store or from another node, or
//! finds from its [`Contact`](super::Contact) that it is isolated. A successor may therefore be appointed
//! at once when all nodes confirm. When some don't confirm, it may be appointed only once those are
//! certain to be isolated. They are isolated once their short contact has expired without being renewed by
//! a reply that lists the fence: each grant of the coordinator lists it, and once half of the nodes have
//! confirmed, any majority of replies contains one that lists it. The store has to hold the fence by
//! then, for nodes whose short contact is renewed later.

use std::time::Duration;

use super::contact::{SHORT_CONTACT_DURATION, STORE_CONTACT_DURATION};
use crate::time::Timestamp;

/// Margin for clocks that run at different rates and for messages in transit.
const MARGIN: Duration = Duration::from_millis(300);
/// Once the store has held a fence for this long, a node that missed it has no contact with the store.
const STORE_ISOLATES: Duration = STORE_CONTACT_DURATION.saturating_add(MARGIN);
/// Margin for clocks that run at different rates during a short contact: 30% of its duration.
const SHORT_MARGIN: Duration = Duration::from_millis(150);
/// Once the coordinator's own fence has been in force for this long, and half of the nodes have confirmed it
/// for this long, a node that missed the fence has no short contact.
const SHORT_ISOLATES: Duration = SHORT_CONTACT_DURATION.saturating_add(SHORT_MARGIN);
/// Time for which a new coordinator grants no short contact. A fence of the former coordinator may have closed
/// because short contacts had expired. A node that missed this fence may receive it from no other node, so it
/// must not regain the short contact before its long contact has expired, too.
pub const NEW_COORDINATOR_GRANT_DELAY: Duration = STORE_ISOLATES;
/// Time after which the round fails while fewer than half of the nodes have confirmed or the store doesn't hold
/// the fence. Until then the remaining nodes are asked to confirm.
const GIVE_UP: Duration = Duration::from_secs(4);

/// The state of a fence round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceVerdict {
    /// No node uses the primary any more: a successor may be appointed.
    Closed,
    /// Some nodes have not confirmed and may still use the primary: send them the fence again.
    Open,
    /// At least one node reaches the primary.
    Contested,
    /// The round has failed: the nodes that didn't confirm can't be assumed to be isolated.
    NoQuorum,
}

/// One round of setting a fence around a primary at all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceRound {
    /// Number of nodes that may use the primary, the coordinator included.
    nodes: usize,
    /// Number of nodes that have confirmed the fence.
    confirmed: usize,
    /// Number of nodes that have not confirmed and are known to be isolated.
    lapsed: usize,
    /// True once a node has reached the primary.
    contested: bool,
    /// True once the coordinator's lease may have ended: the store may no longer hold the fence, and
    /// another coordinator may grant the short contact.
    lease_broken: bool,
    /// When the coordinator set its own fence.
    began: Timestamp,
    /// When half of the nodes had confirmed.
    quorum: Option<Timestamp>,
    /// Since when the store has held the fence.
    published: Option<Timestamp>,
}

impl FenceRound {
    /// Begins a round at `now`, when the coordinator has set its own fence. `nodes` is the number of nodes
    /// that may use the primary, the coordinator included.
    pub fn new(now: Timestamp, nodes: usize) -> Self {
        Self {
            nodes,
            confirmed: 0,
            lapsed: 0,
            contested: false,
            lease_broken: false,
            began: now,
            quorum: None,
            published: None,
        }
    }

    /// Records that one more node has confirmed that it no longer uses the primary.
    pub fn record_confirmation(&mut self, now: Timestamp) {
        self.confirmed += 1;
        if self.confirmed * 2 >= self.nodes {
            self.quorum.get_or_insert(now);
        }
    }

    /// Records how many of the nodes that have not confirmed are isolated already. A node is isolated when its
    /// lease has expired, since only renewals of the lease give it contact with the store, and when no node
    /// that confirmed has recently answered it.
    pub fn set_isolated(&mut self, nodes: usize) {
        self.lapsed = nodes;
    }

    /// Records that the coordinator's lease may have ended: the round can then close only when all nodes
    /// confirm.
    pub fn record_lease_broken(&mut self) {
        self.lease_broken = true;
        self.published = None;
    }

    /// Records that the primary has answered some node since it was suspected.
    pub fn record_contested(&mut self) {
        self.contested = true;
    }

    /// Records that the store holds the fence, from where nodes in contact with the store read it.
    pub fn record_published(&mut self, now: Timestamp) {
        if !self.lease_broken {
            self.published.get_or_insert(now);
        }
    }

    /// The state of the round at `now`.
    pub fn verdict(&self, now: Timestamp) -> FenceVerdict {
        if self.contested {
            return FenceVerdict::Contested;
        }
        if self.confirmed >= self.nodes {
            return FenceVerdict::Closed;
        }
        let has_lasted = |since: Option<Timestamp>, time| {
            since.is_some_and(|since| now.saturating_since(since) >= time)
        };
        let may_assume_isolated = self.published.is_some() && self.quorum.is_some();
        if may_assume_isolated && self.confirmed + self.lapsed >= self.nodes {
            return FenceVerdict::Closed;
        }
        let grants_ended = has_lasted(Some(self.began), SHORT_ISOLATES);
        if may_assume_isolated && grants_ended && has_lasted(self.quorum, SHORT_ISOLATES) {
            return FenceVerdict::Closed;
        }
        match !may_assume_isolated && has_lasted(Some(self.began), GIVE_UP) {
            true => FenceVerdict::NoQuorum,
            false => FenceVerdict::Open,
        }
    }
}

const _: () = assert!(SHORT_ISOLATES.as_millis() < GIVE_UP.as_millis());
