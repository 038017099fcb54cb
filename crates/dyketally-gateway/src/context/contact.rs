//! How lately this node was in contact with the store and with the other nodes, by which it knows
//! whether it would hear of a primary that is replaced; see [`dyketally::failover::Contact`].

use std::cell::{Cell, RefCell, RefMut};
use std::time::Duration;

use dyketally::failover::{Contact, StandingFence};
use dyketally::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::Context;

/// How lately a relay was in contact, for the nodes that rely on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayContact {
    /// How long ago it asked the store that replied last.
    pub store: Option<Duration>,
    /// How long ago it asked the nodes more than half of which replied last.
    pub majority: Option<Duration>,
    /// The fences that stand there.
    pub fenced: Vec<StandingFence>,
}

/// This node's contact with the store and with the other nodes.
#[derive(Debug, Default)]
pub struct NodeContact {
    /// When this node asked the store that replied to it last, not to a relay.
    own_store_reply: Cell<Option<Timestamp>>,
    state: RefCell<Contact>,
}

impl NodeContact {
    /// The contact, to read or to change.
    pub fn borrow_mut(&self) -> RefMut<'_, Contact> {
        self.state.borrow_mut()
    }

    /// The time at which the store held what this node knows, if that is short ago.
    pub fn heard_store(&self, now: Timestamp) -> Option<Timestamp> {
        self.state.borrow().heard_store(now)
    }

    /// Discards what this node heard from the store itself: it gives back its leases, or its updates
    /// come from a relay that has lost the store.
    pub fn disregard_store(&self) {
        self.state.borrow_mut().store_given_up();
    }

    /// Records that the store replied to what was asked at `asked`.
    pub fn store_replied(&self, asked: Timestamp) {
        self.state.borrow_mut().store_replied(asked);
    }

    /// Records that the store replied to a call of this node's own that was made at `asked`.
    pub fn store_replied_to_this_node(&self, asked: Timestamp) {
        let last = self.own_store_reply.get();
        self.own_store_reply.set(last.max(Some(asked)));
    }
}

impl Context {
    /// True when this node would hear of a primary that is replaced.
    pub fn is_in_touch(&self) -> bool {
        self.contact.state.borrow().is_held(self.now())
    }

    /// True when the store, which once replied to this node, hasn't for `time`.
    pub fn has_lost_store_for(&self, time: Duration) -> bool {
        let last = self.contact.own_store_reply.get();
        last.is_some_and(|asked| self.now().saturating_since(asked) >= time)
    }
}
