//! How lately a relay had replies of the store and of most nodes, which counts for its followers.
//!
//! Owns nothing; relies on this node's contact and on the fences that stand here.

use dyketally::time::Timestamp;
use std::time::Duration;

use super::Feed;
use super::message::RelayContact;

/// Age of a relay's contact with the store from which on the store counts as failing for its followers
/// as well; a relay renews its lease each 0.7 s. Not measured.
const RELAY_LOST_STORE: Duration = Duration::from_millis(1_800);

impl Feed {
    /// This node's contact, for the nodes that follow it. A node that catches up may lack updates, so it
    /// reports none.
    pub(super) fn relay_contact(&self) -> RelayContact {
        let now = self.cx.now();
        let contact = self.cx.contact.borrow_mut();
        let is_held = contact.is_long_held(now);
        RelayContact {
            store: contact.store_age(now).filter(|_| is_held),
            majority: contact.majority_age(now).filter(|_| is_held),
            fenced: self.databases.standing_fences(),
        }
    }

    /// Records the contact of a relay that was asked at `asked`: what had reached it by then has reached
    /// this node, too. While this node is the failover coordinator only its own calls count.
    pub(super) fn receive_relay_contact(&self, asked: Timestamp, relayed: RelayContact) {
        self.databases.heard_of_fences(relayed.fenced, "a relay");
        match relayed.store {
            Some(age) if age < RELAY_LOST_STORE => self.cx.store_health.replied(),
            Some(_) | None => self.cx.store_health.failed(),
        }
        if self.fleet.coordinator.last_term().is_some() {
            return;
        }
        if let Some(age) = relayed.store
            && !self.cx.stop.is_stopping()
        {
            self.cx.contact.store_replied(asked - age);
        }
        if let Some(age) = relayed.majority {
            self.cx.contact.borrow_mut().majority_replied(asked - age);
        }
    }
}
