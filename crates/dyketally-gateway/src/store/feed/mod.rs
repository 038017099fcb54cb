//! Distributes the store's keys between nodes, so that in a large fleet not every node has to watch the store:
//! in each zone a few relays watch it, and the other nodes follow one of these relays over a connection.
//!
//! A copy is never replaced by an older one: a relay whose copy is older than the follower's is excluded for a
//! while. A relay has followers only while it follows no other relay itself, so chains and rings can't form. It
//! also reports how long ago the store and a majority of the nodes last replied to it, which counts as the contact
//! of its followers. A node that reaches no relay watches the store itself.
//!
//! [`Feed`] owns this node's copies and the choice of the relay that it follows. It relies on the list of nodes,
//! which determines the relays, on the record of the failover coordinator, which watches the store itself, and on
//! fences, which relays report with their replies to pings.

pub mod change_log;
mod contact;
mod copies;
mod copy;
mod fleet_size;
pub mod message;
mod nearer_relay;

pub mod pings;
mod publisher;
mod relays;
mod subject;
mod subscriber;
mod subscription;
mod updates;
pub mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally_store::key_value::{Key, StoreRevision};

pub use publisher::serve;
pub use relays::request_relays;
pub use subject::Subject;
pub use subscriber::Subscriber;
pub use updates::{Source, UpdateHandler};

use crate::context::Context;
use crate::database::Databases;
use crate::fleet::Fleet;
use copies::Copies;
use fleet_size::FleetSize;
use upstream::Upstream;

/// Age of a relay's contact with the store from which on it counts as lost: its followers look for another relay,
/// and the relay itself looks for one to follow.
const CONTACT_LOST_AGE: Duration = Duration::from_secs(2);

/// This node's copies of the store's keys, and the relay that they come from, if any.
pub struct Feed {
    cx: Rc<Context>,
    fleet: Rc<Fleet>,
    databases: Rc<Databases>,
    copies: Copies,
    upstream: Upstream,
    fleet_size: FleetSize,
}

impl Feed {
    /// A feed that has no keys yet.
    pub fn new(fleet: Rc<Fleet>, databases: Rc<Databases>) -> Rc<Self> {
        Rc::new(Self {
            cx: fleet.cx.clone(),
            fleet,
            databases,
            copies: Copies::default(),
            upstream: Upstream::default(),
            fleet_size: FleetSize::default(),
        })
    }

    /// True while other nodes may follow this one: it follows no relay, and has opened a watch of its own on every
    /// subject.
    fn is_publishing(&self) -> bool {
        !self.has_relay() && self.copies.were_all_watched()
    }

    /// True while this node gets all its updates from the store itself: it follows no relay and watches all subjects.
    pub fn is_watching_store(&self) -> bool {
        !self.has_relay() && self.copies.are_all_watched()
    }

    /// The longest time for which one of this node's watches of the store has been inactive; `None` while all are
    /// active, and while this node follows a relay without ever having watched all subjects itself.
    pub fn watches_lost_for(&self) -> Option<Duration> {
        let inactive_for = self.copies.watches_inactive_for();
        inactive_for.filter(|_| !self.has_relay() || self.copies.were_all_watched())
    }

    /// Records that this node's own watch of a subject was lost or closed.
    pub fn watch_lost(&self, subject: Subject) {
        self.copies.watch_lost(subject);
    }

    /// Records that this node failed to read a subject from the store.
    pub fn own_read_failed(&self) {
        self.upstream.own_read_failed();
    }

    /// True when this node follows a relay because its own watch was lost, or needs one for that reason: one of its
    /// watches has been inactive for `limit`, and it isn't trying to reopen it. After it left a relay it has `limit`
    /// to reopen its watches, or less if a read fails.
    fn has_lost_watch_for(&self, limit: Duration) -> bool {
        if self.has_relay() {
            return self.upstream.replaces_own_watch();
        }
        let is_lost = self.watches_lost_for().is_some_and(|lost| lost >= limit);
        is_lost && !self.upstream.is_retrying_store(limit)
    }

    /// True when this node's copy of a subject has a key.
    pub fn lists(&self, subject: Subject, key: &Key) -> bool {
        self.modified(subject, key).is_some()
    }

    /// The store revision at which a key of this node's copy was last written; `None` if the copy lacks the key.
    pub fn modified(&self, subject: Subject, key: &Key) -> Option<StoreRevision> {
        self.copies.modified(subject, key)
    }

    /// True while this node follows a relay.
    pub fn has_relay(&self) -> bool {
        self.upstream.is_subscribed()
    }

    /// The peer address of the relay that this node follows, if it follows one.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.upstream.address()
    }

    /// Waits until this node starts or stops following a relay.
    pub async fn relay_changes(&self) {
        self.upstream.changes().await;
    }

    /// Waits until this node follows a relay.
    pub async fn until_subscribed(&self) {
        self.upstream.until_subscribed().await;
    }

    /// Waits until this node has to read the store itself: it follows no relay and, if it followed one before, has
    /// found no other within [`upstream::SEARCH_LIMIT`].
    pub async fn until_relay_lost(&self) {
        self.upstream.until_lost().await;
    }
}
