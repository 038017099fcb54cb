//! The follower's side of a feed.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally_store::key_value::{Key, KeyRange, KeyValueStore, RangeRequest};

use super::Subject;
use super::following::{Demand, Ended, Following, Next};
use crate::event::Event;
use crate::fleet::link::frames;
use crate::fleet::relay::{self, Opening};
use crate::gateway::Gateway;
use dyketally_store::update::StoreUpdate;

/// Longest time that connecting to a relay may take.
pub(super) const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long the store may take to show that it replies to this node.
const STORE_LIMIT: Duration = Duration::from_millis(400);
/// Pause between two searches for a relay, and between two looks whether this node became one.
pub(super) const SEARCH_INTERVAL: Duration = Duration::from_millis(400);

/// Takes in what relays pass on of a subject.
pub type Sink = Rc<dyn Fn(StoreUpdate)>;

/// Follows relays on behalf of one node.
pub struct Follower {
    pub(super) gateway: Rc<Gateway>,
    pub(super) sinks: HashMap<Subject, Sink>,
    store: Rc<dyn KeyValueStore>,
    /// The node's own key.
    pub(super) own_key: Key,
    /// True once a relay has vouched for this node's contact with the store.
    pub(super) was_vouched_for: Cell<bool>,
}

impl Follower {
    /// A follower that isn't running yet. What relays tell of a subject goes to its sink.
    pub fn new(
        gateway: Rc<Gateway>,
        sinks: HashMap<Subject, Sink>,
        store: Rc<dyn KeyValueStore>,
        own_key: Key,
    ) -> Self {
        Self {
            gateway,
            sinks,
            store,
            own_key,
            was_vouched_for: Cell::new(false),
        }
    }

    /// Follows relays while there are any, until the process ends.
    pub async fn run(self) {
        loop {
            match self.follow_all(Demand::InTouch).await {
                Next::Nearer => continue,
                Next::Store => self.gateway.feed.without_relay.notify_waiters(),
                Next::Other => {}
            }
            // Relays that have all lost the store don't follow each other: none would serve the rest.
            if !self.gateway.is_relay() {
                // The store may turn some nodes away and serve others.
                match self.store_replies().await {
                    true => self.gateway.feed.without_relay.notify_waiters(),
                    false => {
                        if self.follow_all(Demand::Any).await == Next::Nearer {
                            continue;
                        }
                    }
                }
            }
            let changed = self.gateway.fleet.membership.nodes_changed.notified();
            // Either way it is time to look again.
            let _ = tokio::time::timeout(SEARCH_INTERVAL, changed).await;
        }
    }

    /// Follows one relay after the other until none is left, a nearer one is in touch, or this node
    /// turns to the store itself.
    async fn follow_all(&self, demand: Demand) -> Next {
        for relay in self.gateway.relays_to_follow() {
            match self.follow(relay, demand).await {
                Next::Other => {}
                next => return next,
            }
        }
        Next::Other
    }

    /// True when the store replies to this node; false without asking where it has no relay to leave
    /// that to.
    async fn store_replies(&self) -> bool {
        if self.gateway.relays_to_follow().is_empty() {
            return false;
        }
        let request = RangeRequest::stale(KeyRange::key(self.own_key.clone()));
        let read = tokio::time::timeout(STORE_LIMIT, self.store.range(request));
        matches!(read.await, Ok(Ok(_)))
    }

    /// Follows one relay until it is lost.
    async fn follow(&self, relay: SocketAddr, demand: Demand) -> Next {
        let opening = relay::open(relay, &Opening::Feed);
        let connected = tokio::time::timeout(CONNECT_LIMIT, opening).await;
        let ended = match connected {
            Ok(Ok(stream)) => {
                let following = Following::new(self, relay, frames(stream), demand);
                following.run().await
            }
            Ok(Err(_)) | Err(_) => Ended::failed("it can't be reached"),
        };
        let feed = &self.gateway.feed;
        if feed.unfed() {
            let relay = relay.to_string();
            let reason = ended.reason;
            self.gateway
                .cx
                .events
                .write(&Event::RelayLost { relay, reason });
        }
        if !ended.may_be_followed_again {
            feed.passed_over.add(relay);
        }
        ended.next
    }
}
