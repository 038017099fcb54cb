//! Follows relays on behalf of one node: one after the other, as long as there are any.
//!
//! Owns the choice of the next relay; relies on `relays` for the candidates and on `subscription` for one.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally_store::key_value::{KeyRange, KeyValueStore, RangeRequest};

use super::relays::CONNECT_LIMIT;
use super::subject::Subject;
use super::subscription::{Demand, Ended, Next, Subscription, SubscriptionParts};
use super::updates::UpdateHandler;
use crate::event::Event;
use crate::fleet::link::frames;
use crate::fleet::opening::{self, Opening};
use crate::store::parts::StoreParts;

/// How long the store may take to show that it replies to this node. Not measured.
const STORE_LIMIT: Duration = Duration::from_millis(400);
/// Pause between two searches for a relay. Not measured.
const SEARCH_INTERVAL: Duration = Duration::from_millis(400);

/// Follows relays on behalf of one node.
pub struct Subscriber {
    parts: SubscriptionParts,
    store: Rc<dyn KeyValueStore>,
}

impl Subscriber {
    /// A subscriber that isn't running yet and will hand the updates of each subject to its handler.
    pub fn new(parts: StoreParts, handlers: HashMap<Subject, UpdateHandler>) -> Self {
        let subscription = SubscriptionParts {
            feed: parts.feed,
            handlers,
            own_key: parts.keys.node(),
            was_in_touch_by_relay: Cell::new(false),
        };
        Self {
            parts: subscription,
            store: parts.store,
        }
    }

    /// Follows relays while there are any, until the process ends.
    pub async fn run(self) {
        let feed = &self.parts.feed;
        loop {
            match self.follow_all(Demand::InTouch).await {
                Next::Nearer => continue,
                Next::Store => feed.upstream.none_found(),
                Next::Other => {}
            }
            // Relays that have all lost the store don't follow each other: none would serve the rest.
            if !feed.is_relay() && self.follow_without_store().await == Next::Nearer {
                continue;
            }
            let changed = feed.fleet.membership.nodes_changed.notified();
            // Either way it is time to look again.
            let _ = tokio::time::timeout(SEARCH_INTERVAL, changed).await;
        }
    }

    /// Follows any relay if the store doesn't reply to this node either. The store may turn some nodes
    /// away and serve others.
    async fn follow_without_store(&self) -> Next {
        match self.store_replies().await {
            true => {
                self.parts.feed.upstream.none_found();
                Next::Other
            }
            false => self.follow_all(Demand::Any).await,
        }
    }

    /// Follows one relay after the other until none is left, a nearer one has contact with the store, or
    /// this node turns to the store itself.
    async fn follow_all(&self, demand: Demand) -> Next {
        for relay in self.parts.feed.relays_to_follow() {
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
        if self.parts.feed.relays_to_follow().is_empty() {
            return false;
        }
        let request = RangeRequest::stale(KeyRange::key(self.parts.own_key.clone()));
        let read = tokio::time::timeout(STORE_LIMIT, self.store.range(request));
        matches!(read.await, Ok(Ok(_)))
    }

    /// Follows one relay until it is lost.
    async fn follow(&self, relay: SocketAddr, demand: Demand) -> Next {
        let opening = opening::open(relay, &Opening::Feed);
        let connected = tokio::time::timeout(CONNECT_LIMIT, opening).await;
        let ended = match connected {
            Ok(Ok(stream)) => {
                let subscription = Subscription::new(&self.parts, relay, frames(stream), demand);
                subscription.run().await
            }
            Ok(Err(_)) | Err(_) => Ended::failed("it can't be reached"),
        };
        let feed = &self.parts.feed;
        if feed.upstream.unsubscribe() {
            feed.cx.events.write(&Event::RelayLost {
                relay: relay.to_string(),
                reason: ended.reason,
            });
        }
        if !ended.may_be_followed_again {
            feed.upstream.passed_over.add(relay);
        }
        ended.next
    }
}
