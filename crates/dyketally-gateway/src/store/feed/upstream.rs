//! Which relay passes the store's keys on to this node, if one does. Owns that and which relays are passed
//! over; relies on nothing else of the feed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::fleet::passed_over::PassedOver;

/// How long a node that lost its relay looks for another before it asks the store: time to try three
/// relays that don't reply. Not measured.
pub const SEARCH_LIMIT: Duration = Duration::from_millis(1_500);

/// The relay that this node follows.
pub struct Upstream {
    subscribed: watch::Sender<bool>,
    /// Since when this node follows no relay.
    unsubscribed_since: Cell<Instant>,
    /// True once this node has failed to read a subject itself while it followed no relay.
    own_read_failed: Cell<bool>,
    /// True while this node follows a relay only since its own watch was lost.
    stepped_back: Cell<bool>,
    /// Where the relay listens for other nodes.
    address: Cell<Option<SocketAddr>>,
    /// Notified when this node reaches the store and no relay does.
    none_found: Notify,
    /// Relays that failed or are behind.
    pub(super) passed_over: PassedOver,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            subscribed: watch::Sender::new(false),
            unsubscribed_since: Cell::new(Instant::now()),
            own_read_failed: Cell::default(),
            stepped_back: Cell::default(),
            address: Cell::default(),
            none_found: Notify::new(),
            passed_over: PassedOver::default(),
        }
    }
}

impl Upstream {
    /// True while this node follows a relay.
    pub fn is_subscribed(&self) -> bool {
        *self.subscribed.borrow()
    }

    /// Where the relay listens for other nodes.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.get().filter(|_| self.is_subscribed())
    }

    /// Records that the relay at `address` has sent all subjects; true if this node followed none before.
    pub fn subscribe(&self, address: SocketAddr, stepped_back: impl FnOnce() -> bool) -> bool {
        if self.subscribed.send_replace(true) {
            return false;
        }
        self.address.set(Some(address));
        self.stepped_back.set(stepped_back());
        true
    }

    /// Records that this node follows no relay any more; true if it did.
    pub fn unsubscribe(&self) -> bool {
        self.unsubscribed_since.set(Instant::now());
        self.own_read_failed.set(false);
        self.subscribed.send_replace(false)
    }

    /// Records that this node failed to read a subject from the store.
    pub(super) fn own_read_failed(&self) {
        self.own_read_failed.set(!self.is_subscribed());
    }

    /// True while this node follows a relay only since its own watch was lost.
    pub(super) fn has_stepped_back(&self) -> bool {
        self.stepped_back.get()
    }

    /// True while this node, which followed a relay until less than `limit` ago, finds out whether it can
    /// read the store itself.
    pub(super) fn tries_store(&self, limit: Duration) -> bool {
        !self.own_read_failed.get() && self.unsubscribed_since.get().elapsed() < limit
    }

    /// Records that no relay can be followed while the store replies to this node.
    pub fn none_found(&self) {
        self.none_found.notify_waiters();
    }

    /// Waits until this node follows a relay if it follows none, and the other way round.
    pub(super) async fn changes(&self) {
        let mut subscribed = self.subscribed.subscribe();
        // The sender lives as long as the feed.
        let _ = subscribed.changed().await;
    }

    /// Waits until this node follows a relay.
    pub async fn until_subscribed(&self) {
        let mut subscribed = self.subscribed.subscribe();
        // The sender lives as long as the feed.
        let _ = subscribed.wait_for(|subscribed| *subscribed).await;
    }

    /// Waits until this node has to ask the store itself: it follows no relay, and found none for a while
    /// if it followed one before.
    pub async fn until_lost(&self) {
        let mut subscribed = self.subscribed.subscribe();
        while *subscribed.borrow_and_update() {
            // Listened for from here on: a node that leaves its relay for the store says both in one turn. To
            // listen only once the relay was left cost such a node 1.5 s without updates each time.
            let none_found = self.none_found.notified();
            // The sender lives as long as the feed.
            let _ = subscribed.wait_for(|subscribed| !*subscribed).await;
            // Either way the store has to be asked if this node follows no relay by then.
            let _ = tokio::time::timeout(SEARCH_LIMIT, none_found).await;
        }
    }
}
