//! When this node was last in contact with the store and with the other nodes. By this it knows whether it
//! would be notified of a primary that is being replaced; see [`dyketally::failover::Contact`].

use std::cell::{Cell, RefCell, RefMut};
use std::time::Duration;

use dyketally::failover::{ActiveFence, Contact};
use dyketally::time::Timestamp;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Context;

/// How long a statement waits for the short contact before the group's other databases are asked instead: two requests
/// to a relay of the same zone, one of which may be lost.
const GRANT_WAIT: Duration = Duration::from_millis(150);

/// A relay's last contact with the store and with the nodes, as it reports it to the nodes that follow it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayContact {
    /// How long before the report the relay sent the last request that the store answered.
    pub store: Option<Duration>,
    /// How long before the report the relay sent the last request that more than half of the nodes answered.
    pub majority: Option<Duration>,
    /// The fences that are in force at the relay.
    pub fenced: Vec<ActiveFence>,
}

/// This node's contact with the store and with the other nodes.
#[derive(Debug, Default)]
pub struct NodeContact {
    /// When this node sent the last request that the store answered directly, not through a relay.
    own_store_reply: Cell<Option<Timestamp>>,
    state: RefCell<Contact>,
    /// Notified when a statement needs the short contact while this node requests it on demand.
    pub grant_wanted: Notify,
    /// Notified when the short contact was granted.
    pub granted: Notify,
}

impl NodeContact {
    /// The contact's state, for reading or updating.
    pub fn borrow_mut(&self) -> RefMut<'_, Contact> {
        self.state.borrow_mut()
    }

    /// The time up to which this node knows the store's content; `None` if that is too long ago, or while this
    /// node still receives what it missed.
    pub fn store_known_as_of(&self, now: Timestamp) -> Option<Timestamp> {
        self.state.borrow().store_known_as_of(now)
    }

    /// Discards this node's contact with the store, as it is giving back its leases, or the relay that it gets
    /// its updates from has lost the store.
    pub fn discard_store_contact(&self) {
        self.state.borrow_mut().discard_store_contact();
    }

    /// Records that the store replied to a request sent at `asked`, by this node or by its relay.
    pub fn store_replied(&self, asked: Timestamp) {
        self.state.borrow_mut().record_store_reply(asked);
    }

    /// Records that the store replied directly to a request that this node sent at `asked`.
    pub fn store_replied_to_this_node(&self, asked: Timestamp) {
        let last = self.own_store_reply.get();
        self.own_store_reply.set(last.max(Some(asked)));
    }
}

impl Context {
    /// True when this node would be notified of a primary that is being replaced, so that it needn't check for
    /// another leader.
    pub fn is_in_contact(&self) -> bool {
        self.contact.state.borrow().is_in_contact(self.now())
    }

    /// Requests the short contact if this node does so on demand and its last grant is getting old. Called before a
    /// statement is sent that only a leader may answer, so that the grant arrives before the answer.
    pub fn want_grant(&self) {
        if self.contact.state.borrow().needs_grant(self.now()) {
            self.contact.grant_wanted.notify_one();
        }
    }

    /// True once this node is in contact. A node that requests the short contact on demand waits for it, at most for
    /// [`GRANT_WAIT`].
    pub async fn is_in_contact_soon(&self) -> bool {
        let until = Instant::now() + GRANT_WAIT;
        loop {
            let granted = self.contact.granted.notified();
            if self.is_in_contact() {
                return true;
            }
            let contact = *self.contact.state.borrow();
            if !contact.requests_on_demand() || !contact.long_is_valid(self.now()) {
                return false;
            }
            self.want_grant();
            if tokio::time::timeout_at(until, granted).await.is_err() {
                return false;
            }
        }
    }

    /// True when this node is in contact, or could be within moments as it only rests.
    pub fn is_available(&self) -> bool {
        self.contact.state.borrow().is_available(self.now())
    }

    /// True when the store has replied directly to this node before, but not to any request sent within `time`.
    pub fn has_lost_store_for(&self, time: Duration) -> bool {
        let last = self.contact.own_store_reply.get();
        last.is_some_and(|asked| self.now().saturating_since(asked) >= time)
    }
}
