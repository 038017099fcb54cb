//! When a fence around a primary is closed, so that a successor may be appointed.
//!
//! A node that confirms a fence no longer takes the primary for the leader of its group. A node
//! that can't be reached may still use it, until it learns of the fence from the store or from another
//! node, or finds by its [`Contact`](super::Contact) that it is isolated. So a successor may be appointed
//! at once when all nodes confirm; when some don't, only once those are surely isolated. That is the
//! case once nothing renews their short contact: each grant of the coordinator lists the fence, and so
//! do the replies of half of the nodes once half of them have confirmed. The store has to hold the
//! fence by then, for nodes whose short contact is renewed later.

use std::time::Duration;

use super::contact::{SHORT_HOLDS, STORE_HOLDS};
use crate::time::Timestamp;

/// Allowed for clocks that run at different rates, and for messages under way.
const MARGIN: Duration = Duration::from_millis(300);
/// Once the store has held a fence for this long, a node that missed it has no contact with the store.
const STORE_ISOLATES: Duration = STORE_HOLDS.saturating_add(MARGIN);
/// Allowed for clocks that run at different rates over the short contact: 30% of it.
const SHORT_MARGIN: Duration = Duration::from_millis(150);
/// Once the coordinator has had a fence, and half of the nodes have confirmed it, for this long, a node
/// that missed it has no short contact.
const SHORT_ISOLATES: Duration = SHORT_HOLDS.saturating_add(SHORT_MARGIN);
/// How long a new coordinator grants no short contact. A fence of the former coordinator may have closed
/// because short contacts had ended; a node that missed this fence may learn of it from nobody else, and
/// must not regain its short contact before its long contact has ended, too.
pub const GRANTS_SETTLE: Duration = STORE_ISOLATES;
/// How long nodes that don't confirm are asked while too few confirm or the store doesn't hold the fence.
const GIVE_UP: Duration = Duration::from_secs(4);

/// What follows for the fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceVerdict {
    /// No node uses the primary any more.
    Closed,
    /// Some nodes didn't confirm and may still use it: ask them again.
    Open,
    /// Some node reaches the primary.
    Contested,
    /// The nodes that didn't confirm can't be taken for isolated.
    NoQuorum,
}

/// A fence that is being put up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceRound {
    nodes: usize,
    confirmed: usize,
    /// Nodes that didn't confirm and are known to be isolated.
    lapsed: usize,
    contested: bool,
    /// True once the coordinator's lease may have ended: the store may no longer hold the fence, and
    /// another coordinator may grant the short contact.
    lease_broken: bool,
    began: Timestamp,
    /// Since when half of the nodes have confirmed.
    quorum: Option<Timestamp>,
    /// Since when the store holds the fence.
    published: Option<Timestamp>,
}

impl FenceRound {
    /// Begins at `now`, when the coordinator has put up the fence itself. `nodes` may use the primary,
    /// the coordinator included.
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

    /// Records that one more node no longer uses the primary.
    pub fn confirmed(&mut self, now: Timestamp) {
        self.confirmed += 1;
        if self.confirmed * 2 >= self.nodes {
            self.quorum.get_or_insert(now);
        }
    }

    /// Records how many of the nodes that didn't confirm are isolated already: the lease has lapsed
    /// whose renewals alone give them contact with the store, and no node that confirmed has lately
    /// answered them.
    pub fn lapsed(&mut self, nodes: usize) {
        self.lapsed = nodes;
    }

    /// Records that the coordinator's lease may have ended: for the rest of the round only nodes that
    /// confirm count.
    pub fn lease_broken(&mut self) {
        self.lease_broken = true;
        self.published = None;
    }

    /// Records that the primary has answered some node since it was suspected.
    pub fn contested(&mut self) {
        self.contested = true;
    }

    /// Records that the store holds the fence, where nodes with contact to it read it.
    pub fn published(&mut self, now: Timestamp) {
        if !self.lease_broken {
            self.published.get_or_insert(now);
        }
    }

    /// What follows at `now`.
    pub fn verdict(&self, now: Timestamp) -> FenceVerdict {
        if self.contested {
            return FenceVerdict::Contested;
        }
        if self.confirmed >= self.nodes {
            return FenceVerdict::Closed;
        }
        let lasted = |since: Option<Timestamp>, time| {
            since.is_some_and(|since| now.saturating_since(since) >= time)
        };
        let pending = self.published.is_some() && self.quorum.is_some();
        if pending && self.confirmed + self.lapsed >= self.nodes {
            return FenceVerdict::Closed;
        }
        let grants_ended = lasted(Some(self.began), SHORT_ISOLATES);
        if pending && grants_ended && lasted(self.quorum, SHORT_ISOLATES) {
            return FenceVerdict::Closed;
        }
        match !pending && lasted(Some(self.began), GIVE_UP) {
            true => FenceVerdict::NoQuorum,
            false => FenceVerdict::Open,
        }
    }
}

const _: () = assert!(SHORT_ISOLATES.as_millis() < GIVE_UP.as_millis());
