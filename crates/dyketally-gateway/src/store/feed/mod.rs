//! Keys of the store passed on between nodes, so that in a large fleet not every node has to watch the
//! store: in each zone a few relays do, and the others follow one of these over a link.
//!
//! A copy is never replaced by an older one: a relay whose copy is behind is passed over. A relay serves
//! followers only while it follows no other relay itself, so a chain or a ring can't form. It also reports
//! how lately the store and most nodes replied to it, which counts for its followers as well. A node that
//! reaches no relay watches the store itself.
//!
//! [`Feed`] owns this node's copies and which relay it follows. It relies on the list of nodes (who the
//! relays are), on the record of the failover coordinator (which watches the store itself), and on fences,
//! which relays pass on with their replies to pings.

mod contact;
mod copies;
mod copy;
pub mod message;
mod nearer;
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
pub use relays::ask_seeds;
pub use subject::Subject;
pub use subscriber::Subscriber;
pub use updates::{Source, UpdateHandler};

use crate::context::Context;
use crate::database::Databases;
use crate::fleet::Fleet;
use copies::Copies;
use upstream::Upstream;

/// Age of a relay's contact with the store from which on its followers look for another relay, and so
/// does the relay itself. Not measured.
const OUT_OF_TOUCH: Duration = Duration::from_secs(2);

/// What this node has of the store's keys, and from whom.
pub struct Feed {
    cx: Rc<Context>,
    fleet: Rc<Fleet>,
    databases: Rc<Databases>,
    copies: Copies,
    upstream: Upstream,
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
        })
    }

    /// True while others may follow this node: it has read and watched all subjects itself.
    fn is_publishing(&self) -> bool {
        !self.has_relay() && self.copies.were_all_watched()
    }

    /// True while this node has its keys from the store itself.
    pub fn is_current(&self) -> bool {
        !self.has_relay() && self.copies.are_all_watched()
    }

    /// How long some watch of this node's has been missing; `None` while all of them stand, and while this
    /// node follows a relay and never had to watch.
    pub fn watches_lost_for(&self) -> Option<Duration> {
        let missing = self.copies.watches_missing_for();
        missing.filter(|_| !self.has_relay() || self.copies.were_all_watched())
    }

    /// Records that this node's own watch of a subject was lost or given up.
    pub fn watch_lost(&self, subject: Subject) {
        self.copies.watch_lost(subject);
    }

    /// Records that this node failed to read a subject from the store.
    pub fn own_read_failed(&self) {
        self.upstream.own_read_failed();
    }

    /// True when this node follows a relay since its own watch was lost, or has to: some watch has been
    /// lost for `limit`, and it isn't about to find out whether it can watch again. For that it has `limit`
    /// once it has left a relay, or until a read fails.
    fn is_stale_for(&self, limit: Duration) -> bool {
        if self.has_relay() {
            return self.upstream.has_stepped_back();
        }
        let is_lost = self.watches_lost_for().is_some_and(|lost| lost >= limit);
        is_lost && !self.upstream.tries_store(limit)
    }

    /// True when this node's copy of a subject has a key.
    pub fn lists(&self, subject: Subject, key: &Key) -> bool {
        self.modified(subject, key).is_some()
    }

    /// When a key of this node's copy was put last, if it is there.
    pub fn modified(&self, subject: Subject, key: &Key) -> Option<StoreRevision> {
        self.copies.modified(subject, key)
    }

    /// True while this node follows a relay.
    pub fn has_relay(&self) -> bool {
        self.upstream.is_subscribed()
    }

    /// Where the relay that this node follows listens for other nodes.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.upstream.address()
    }

    /// Waits until this node follows a relay if it follows none, and the other way round.
    pub async fn relay_changes(&self) {
        self.upstream.changes().await;
    }

    /// Waits until this node follows a relay.
    pub async fn until_subscribed(&self) {
        self.upstream.until_subscribed().await;
    }

    /// Waits until this node has to ask the store itself: it follows no relay, and found none for a while
    /// if it followed one before.
    pub async fn until_relay_lost(&self) {
        self.upstream.until_lost().await;
    }
}
