//! Follows relays on behalf of this node, one at a time, as long as there are any.
//!
//! Owns the choice of the next relay; relies on `relays` for the candidates and on `subscription` for the connection
//! to one relay.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally_store::key_value::{KeyRange, KeyValueStore, RangeRequest};

use super::relays::CONNECT_LIMIT;
use super::subject::Subject;
use super::subscription::{
    NextSource, RelayRequirement, Subscription, SubscriptionContext, SubscriptionEnd,
};
use super::updates::UpdateHandler;
use crate::event::Event;
use crate::fleet::link::frames;
use crate::fleet::opening::{self, Opening};
use crate::store::parts::StoreParts;

/// Timeout for the read that tests whether the store replies to this node.
const STORE_TEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest pause between two searches for a relay.
const SEARCH_INTERVAL: Duration = Duration::from_millis(400);

/// Follows relays on behalf of this node.
pub struct Subscriber {
    context: SubscriptionContext,
    store: Rc<dyn KeyValueStore>,
}

impl Subscriber {
    /// A subscriber that isn't running yet; it will call the handler of a subject with each update of it.
    pub fn new(parts: StoreParts, handlers: HashMap<Subject, UpdateHandler>) -> Self {
        let subscription = SubscriptionContext {
            feed: parts.feed,
            handlers,
            own_key: parts.keys.node(),
            had_contact_through_relay: Cell::new(false),
        };
        Self {
            context: subscription,
            store: parts.store,
        }
    }

    /// Follows relays while there are any, until the process ends.
    pub async fn run(self) {
        let feed = &self.context.feed;
        loop {
            match self.follow_each(RelayRequirement::InContact).await {
                NextSource::NearerRelay => continue,
                NextSource::Store => feed.upstream.none_found(),
                NextSource::OtherRelay => {}
            }
            // A relay that has lost the store doesn't follow another one that has: relays that follow others accept
            // no followers, so the other nodes of the zone would be left without a relay.
            if !feed.is_relay()
                && self.follow_unless_store_replies().await == NextSource::NearerRelay
            {
                continue;
            }
            let changed = feed.fleet.membership.nodes_changed.notified();
            // Notified or not, it is time to search again.
            let _ = tokio::time::timeout(SEARCH_INTERVAL, changed).await;
        }
    }

    /// Follows any relay, even one without contact to the store, if the store doesn't reply to this node either. The
    /// store may refuse some nodes and reply to others, so this node calls it before it settles for such a relay.
    async fn follow_unless_store_replies(&self) -> NextSource {
        match self.store_replies().await {
            true => {
                self.context.feed.upstream.none_found();
                NextSource::OtherRelay
            }
            false => self.follow_each(RelayRequirement::Any).await,
        }
    }

    /// Follows one relay after the other until none is left, a relay of this node's zone has contact with the store
    /// again, or this node goes on to watch the store itself.
    async fn follow_each(&self, requirement: RelayRequirement) -> NextSource {
        for relay in self.context.feed.relays_to_follow() {
            match self.follow(relay, requirement).await {
                NextSource::OtherRelay => {}
                next => return next,
            }
        }
        NextSource::OtherRelay
    }

    /// True when the store replies to this node. Without a relay that could be followed instead, the result isn't
    /// needed: false is returned without a call to the store.
    async fn store_replies(&self) -> bool {
        if self.context.feed.relays_to_follow().is_empty() {
            return false;
        }
        let request = RangeRequest::stale(KeyRange::key(self.context.own_key.clone()));
        let read = tokio::time::timeout(STORE_TEST_TIMEOUT, self.store.range(request));
        matches!(read.await, Ok(Ok(_)))
    }

    /// Follows one relay until it is lost.
    async fn follow(&self, relay: SocketAddr, requirement: RelayRequirement) -> NextSource {
        let opening = opening::open(relay, &Opening::Feed);
        let connected = tokio::time::timeout(CONNECT_LIMIT, opening).await;
        let ended = match connected {
            Ok(Ok(stream)) => {
                let subscription =
                    Subscription::new(&self.context, relay, frames(stream), requirement);
                subscription.run().await
            }
            Ok(Err(_)) | Err(_) => SubscriptionEnd::failed("the relay couldn't be connected to"),
        };
        let feed = &self.context.feed;
        if feed.upstream.unsubscribe() {
            feed.cx.events.write(&Event::RelayLost {
                relay: relay.to_string(),
                reason: ended.reason,
            });
        }
        if !ended.may_be_followed_again {
            feed.upstream.excluded.add(relay);
        }
        ended.next
    }
}
