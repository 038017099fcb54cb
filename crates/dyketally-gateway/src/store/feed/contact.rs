//! The contact that a relay reports to its followers: how long ago the store and a majority of the nodes last
//! replied to it. A follower counts this as its own contact.
//!
//! Owns nothing; relies on this node's contact and on the fences that are set at this node.

use dyketally::time::Timestamp;
use std::time::Duration;

use super::Feed;
use super::message::RelayContact;

/// Age of a relay's contact with the store from which on its followers treat the store as failing. A relay renews
/// its lease every 0.7 s, so its contact is normally younger.
const STORE_FAILING_AFTER: Duration = Duration::from_millis(1_800);

impl Feed {
    /// This node's contact, as reported to its followers. A node that hasn't held contact for long enough may
    /// still lack updates, so it reports no contact.
    pub(super) fn relay_contact(&self) -> RelayContact {
        let now = self.cx.now();
        let contact = self.cx.contact.borrow_mut();
        let is_held = contact.long_is_valid(now);
        RelayContact {
            store: contact.store_age(now).filter(|_| is_held),
            majority: contact.majority_age(now).filter(|_| is_held),
            fenced: self.databases.active_fences(),
        }
    }

    /// Records the contact that a relay reported in reply to a ping sent at `ping_sent`. Everything that the relay
    /// had received by then has also reached this node, so the reported ages count from that time. While this node
    /// is the failover coordinator, only its own calls count as contact.
    pub(super) fn receive_relay_contact(&self, ping_sent: Timestamp, relayed: RelayContact) {
        self.databases.merge_fences(relayed.fenced, "a relay");
        match relayed.store {
            Some(age) if age < STORE_FAILING_AFTER => self.cx.store_health.record_reply(),
            Some(_) | None => self.cx.store_health.record_failure(),
        }
        if self.fleet.coordinator.last_term().is_some() {
            return;
        }
        if let Some(age) = relayed.store
            && !self.cx.stop.is_stopping()
        {
            self.cx.contact.store_replied(ping_sent - age);
        }
        if let Some(age) = relayed.majority {
            self.cx
                .contact
                .borrow_mut()
                .record_majority_reply(ping_sent - age);
        }
    }
}
