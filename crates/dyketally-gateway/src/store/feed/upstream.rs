//! The relay that this node follows, if any, and the relays that are excluded for a while. Relies on nothing else of
//! the feed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::fleet::passive_exclusions::Exclusions;

/// How long a node that lost its relay searches for another before it reads the store itself: enough time to try
/// three relays that don't reply.
pub const SEARCH_LIMIT: Duration = Duration::from_millis(1_500);

/// Whether this node follows a relay, and which one.
pub struct Upstream {
    subscribed: watch::Sender<bool>,
    /// When this node last stopped following a relay, or its start.
    unsubscribed_since: Cell<Instant>,
    /// True if a read from the store has failed since this node stopped following a relay.
    own_read_failed: Cell<bool>,
    /// True while this node follows a relay only because its own watch of the store was lost.
    replaces_own_watch: Cell<bool>,
    /// The peer address of the relay followed last.
    address: Cell<Option<SocketAddr>>,
    /// Notified when the search for a relay ends without success while the store replies to this node.
    none_found: Notify,
    /// Relays that failed, or whose copies are older than this node's.
    pub(super) excluded: Exclusions,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            subscribed: watch::Sender::new(false),
            unsubscribed_since: Cell::new(Instant::now()),
            own_read_failed: Cell::default(),
            replaces_own_watch: Cell::default(),
            address: Cell::default(),
            none_found: Notify::new(),
            excluded: Exclusions::default(),
        }
    }
}

impl Upstream {
    /// True while this node follows a relay.
    pub fn is_subscribed(&self) -> bool {
        *self.subscribed.borrow()
    }

    /// The peer address of the relay that this node follows, if it follows one.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.get().filter(|_| self.is_subscribed())
    }

    /// Records that the relay at `address` has sent all subjects and is followed from now on; true if this node
    /// followed none before. `replaces_own_watch` says whether it is followed only because this node's own watch was
    /// lost.
    pub fn subscribe(
        &self,
        address: SocketAddr,
        replaces_own_watch: impl FnOnce() -> bool,
    ) -> bool {
        if self.subscribed.send_replace(true) {
            return false;
        }
        self.address.set(Some(address));
        self.replaces_own_watch.set(replaces_own_watch());
        true
    }

    /// Records that this node no longer follows a relay; true if it followed one.
    pub fn unsubscribe(&self) -> bool {
        self.unsubscribed_since.set(Instant::now());
        self.own_read_failed.set(false);
        self.subscribed.send_replace(false)
    }

    /// Records that this node failed to read a subject from the store.
    pub(super) fn own_read_failed(&self) {
        self.own_read_failed.set(!self.is_subscribed());
    }

    /// True when this node follows a relay only because its own watch of the store was lost.
    pub(super) fn replaces_own_watch(&self) -> bool {
        self.replaces_own_watch.get()
    }

    /// True while this node, which stopped following a relay less than `limit` ago, tries to read the store itself and
    /// no read has failed yet.
    pub(super) fn is_retrying_store(&self, limit: Duration) -> bool {
        !self.own_read_failed.get() && self.unsubscribed_since.get().elapsed() < limit
    }

    /// Records that no relay can be followed and that the store replies to this node.
    pub fn none_found(&self) {
        self.none_found.notify_waiters();
    }

    /// Waits until this node starts or stops following a relay.
    pub(super) async fn changes(&self) {
        let mut subscribed = self.subscribed.subscribe();
        // Can't fail: this object owns the sender.
        let _ = subscribed.changed().await;
    }

    /// Waits until this node follows a relay.
    pub async fn until_subscribed(&self) {
        let mut subscribed = self.subscribed.subscribe();
        // Can't fail: this object owns the sender.
        let _ = subscribed.wait_for(|subscribed| *subscribed).await;
    }

    /// Waits until this node has to read the store itself: it follows no relay and, if it followed one before, the
    /// search for another ended without success or took [`SEARCH_LIMIT`].
    pub async fn until_lost(&self) {
        let mut subscribed = self.subscribed.subscribe();
        while *subscribed.borrow_and_update() {
            // Created before the wait for the relay's loss: a node that leaves its relay for the store calls
            // `unsubscribe` and `none_found` without a pause in between. If this waited for the notification only
            // after the loss, it would miss it, and the node would have no updates for 1.5 s.
            let none_found = self.none_found.notified();
            // Can't fail: this object owns the sender.
            let _ = subscribed.wait_for(|subscribed| !*subscribed).await;
            // Notified or not, the store has to be read if this node follows no relay by then; the loop checks.
            let _ = tokio::time::timeout(SEARCH_LIMIT, none_found).await;
        }
    }
}
