//! When a fence around a primary is closed, so that a successor may be appointed.
//!
//! A node that confirms a fence no longer takes the primary for the leader of its group. A node
//! that can't be asked may still use it, until it hears of the fence from the store or from another
//! node, or [`Contact`](super::Contact) tells it that it is isolated. So a successor may be appointed
//! at once when all nodes confirm; when some don't, only once those are surely isolated. That is the
//! case once nothing renews their short contact: the holder of the duty tells of the fence with each
//! grant, and so does one of any half of the nodes once half of them have confirmed. The store has to
//! tell of the fence by then, for nodes whose short contact comes back.

use std::time::Duration;

use super::contact::{SHORT_HOLDS, STORE_HOLDS};
use crate::time::Timestamp;

/// Allowed for clocks that run at different rates, and for messages under way.
const MARGIN: Duration = Duration::from_millis(300);
/// Once the store has told of a fence for this long, no node that missed it is in touch with the
/// store.
const STORE_ISOLATES: Duration = STORE_HOLDS.saturating_add(MARGIN);
/// Allowed for clocks that run at different rates over the short contact: 30% of it.
const SHORT_MARGIN: Duration = Duration::from_millis(150);
/// Once the holder of the duty has had a fence, and half of the nodes have confirmed it, for this long,
/// a node that missed it has no short contact.
const SHORT_ISOLATES: Duration = SHORT_HOLDS.saturating_add(SHORT_MARGIN);
/// How long whoever takes the duty grants no short contact. A fence of the former holder may have closed
/// by the end of short contacts just before, and a node that missed it may be told of by nobody else;
/// by then its long contact has ended, too.
pub const GRANTS_SETTLE: Duration = STORE_ISOLATES;
/// How long nodes that don't confirm are asked while too few confirm or the store isn't told.
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
    /// True once the lease on the duty may have ended: the store may tell of the fence no longer, and
    /// somebody else grant the short contact.
    lease_broken: bool,
    began: Timestamp,
    /// Since when half of the nodes have confirmed.
    quorum: Option<Timestamp>,
    /// Since when the store tells of the fence.
    published: Option<Timestamp>,
}

impl FenceRound {
    /// Begins at `now`, when the asking node has put up the fence itself, where `nodes` may use the primary, the asking one included.
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

    /// Takes in that one more node no longer uses the primary.
    pub fn confirmed(&mut self, now: Timestamp) {
        self.confirmed += 1;
        if self.confirmed * 2 >= self.nodes {
            self.quorum.get_or_insert(now);
        }
    }

    /// Takes in how many of the nodes that didn't confirm are isolated already: a lease has lapsed by
    /// whose renewals alone they count as in touch with the store, and no node that confirmed has
    /// lately given them a sign of life.
    pub fn lapsed(&mut self, nodes: usize) {
        self.lapsed = nodes;
    }

    /// Takes in that the asking node's lease on the duty may have ended: for the rest of the round only
    /// nodes that confirm count.
    pub fn lease_broken(&mut self) {
        self.lease_broken = true;
        self.published = None;
    }

    /// Takes in that the primary has answered some node since it was suspected.
    pub fn contested(&mut self) {
        self.contested = true;
    }

    /// Takes in that nodes in touch with the store hear of the fence there.
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
