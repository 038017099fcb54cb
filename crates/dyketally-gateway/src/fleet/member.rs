//! Keeps this node's key in the store, so that other nodes know that it runs.

use std::rc::Rc;
use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    KeyRange, KeyValueStore, LeaseId, RangeRequest, TransactionRequest, WatchEvent,
};
use tokio::time::Instant;

use crate::context::StopPhase;
use crate::fleet::membership::{Keys, Membership};
use crate::gateway::Gateway;
use crate::store::feed::Subject;
use dyketally_store::update::StoreUpdate;

/// Time after which the key of a node that is lost goes. Other nodes notice sooner, see
/// [`Liveness`](crate::fleet::liveness::Liveness), so this may be long: renewals are priced, and a
/// lease that outlives an outage of the store needn't be taken again.
const LEASE: Duration = Duration::from_secs(30);
/// Pause between two renewals of a node that is in touch with the store by a relay.
const RENEWAL_WHEN_FED: Duration = Duration::from_secs(10);
/// Pause between two renewals of a relay: its contact with the store counts for its followers, and
/// holds for 2.9 s.
const RENEWAL_OF_RELAY: Duration = Duration::from_millis(700);
/// Pause between two renewals of any other node, whose own contact holds for 2.9 s.
const RENEWAL: Duration = Duration::from_secs(2);
/// Pause before a renewal that failed is tried again.
const RENEWAL_RETRY: Backoff = Backoff {
    first: Duration::from_millis(150),
    longest: Duration::from_millis(600),
};
/// The same for a node that has a relay: its lease runs for long.
const RENEWAL_RETRY_WHEN_FED: Duration = Duration::from_secs(2);
/// How long a renewal behind one that failed may take. A call that began while the store was away
/// may never be answered, so it shouldn't hold up the next for long.
const RETRY_LIMIT: Duration = Duration::from_millis(400);
/// Pause before joining is tried again.
const JOIN_RETRY: Backoff = Backoff {
    first: Duration::from_millis(300),
    longest: Duration::from_millis(1_200),
};
/// Age of the last word of the store from which on it is asked anew when that matters.
const CONTACT_AGE: Duration = Duration::from_millis(700);
/// By then a key that was put has come back to this node, from the store or by a relay.
const LISTED_AFTER: Duration = Duration::from_secs(3);

/// Keeps this node's key.
pub struct Member {
    gateway: Rc<Gateway>,
    store: Rc<dyn KeyValueStore>,
    keys: Rc<Keys>,
}

impl Member {
    /// A member that isn't kept yet.
    pub fn new(gateway: Rc<Gateway>, store: Rc<dyn KeyValueStore>, keys: Rc<Keys>) -> Rc<Self> {
        Rc::new(Self {
            gateway,
            store,
            keys,
        })
    }

    fn membership(&self) -> &Membership {
        &self.gateway.fleet.membership
    }

    /// Takes in a change of the nodes' keys.
    pub fn take_in(&self, update: StoreUpdate) {
        self.take_fences(&update);
        self.membership().take_in(update, &self.keys);
        self.gateway.nodes_changed();
    }

    fn take_fences(&self, update: &StoreUpdate) {
        let entries = match update {
            StoreUpdate::All(entries) => entries.as_slice(),
            StoreUpdate::Changed(WatchEvent::Put(entry)) => std::slice::from_ref(entry),
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(database) = self.keys.fenced(key) {
                    self.gateway.lift_fence(&database);
                }
                return;
            }
        };
        let fenced = entries.iter().filter_map(|entry| self.keys.fence_of(entry));
        fenced.for_each(|(database, id)| {
            self.gateway.put_up_fence(database, id, "the store");
        });
    }

    /// Keeps the lease and the node's key until the process stops.
    pub async fn run(self: Rc<Self>) {
        let mut former = None;
        while !self.gateway.cx.stop.is_stopping() {
            match self.join().await {
                Ok(lease) => {
                    self.membership().store_answered();
                    former = Some(lease);
                    self.hold(lease).await;
                }
                Err(_) => {
                    self.membership().store_failed();
                    self.until_store_replies(former).await;
                }
            }
        }
    }

    /// Waits behind a join that failed until the store replies to a cheaper call.
    async fn until_store_replies(&self, former: Option<LeaseId>) {
        let mut failures = 1;
        loop {
            tokio::time::sleep(JOIN_RETRY.delay(failures, &mut rand::rng())).await;
            if self.gateway.cx.stop.is_stopping() || self.store_replies(former).await {
                return;
            }
            failures += 1;
        }
    }

    /// True when the store replies. The former lease, if there is one, has lapsed, but to renew it
    /// costs little.
    async fn store_replies(&self, former: Option<LeaseId>) -> bool {
        let Some(former) = former else {
            let read = self
                .store
                .range(RangeRequest::stale(KeyRange::key(self.keys.node())));
            return matches!(tokio::time::timeout(RETRY_LIMIT, read).await, Ok(Ok(_)));
        };
        let renewal = self.store.keep_lease_alive(former);
        matches!(
            tokio::time::timeout(RETRY_LIMIT, renewal).await,
            Ok(Ok(_) | Err(StoreError::LeaseLapsed { .. }))
        )
    }

    /// Takes a lease and puts the node's key. From then on a fence waits for this node.
    async fn join(&self) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(LEASE).await?;
        let asked = self.gateway.cx.now();
        let put = self.keys.put(self.keys.node(), lease.id);
        self.store
            .transact(TransactionRequest {
                then: vec![put],
                ..TransactionRequest::default()
            })
            .await?;
        self.gateway.cx.contact.store_replied_to_this_node(asked);
        self.gateway.cx.contact.store_replied(asked);
        Ok(lease.id)
    }

    /// Renews the lease until it has ended or the key is gone; ends it when the process stops.
    async fn hold(&self, lease: LeaseId) {
        let joined = Instant::now();
        let mut renewed = joined;
        let mut failures = 0;
        loop {
            if joined.elapsed() > LISTED_AFTER && self.is_unlisted() {
                return;
            }
            let due = renewed + self.pause(failures);
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.gateway.feed.fed_changes() => continue,
                () = self.membership().nodes_changed.notified() => continue,
                () = self.membership().check_store.notified() => {
                    if self.gateway.feed.is_fed() || renewed.elapsed() < CONTACT_AGE {
                        continue;
                    }
                }
                () = self.gateway.cx.stop.entered(StopPhase::Leaving) => {
                    self.gateway.cx.contact.disregard_store();
                    // If it fails the lease runs out by itself.
                    let _ = self.store.revoke_lease(lease).await;
                    return;
                }
            }
            let renewal = self.gateway.renew_lease(&*self.store, lease);
            let outcome = match self.membership().store_is_failing() {
                true => tokio::time::timeout(RETRY_LIMIT, renewal).await.ok(),
                false => Some(renewal.await),
            };
            renewed = Instant::now();
            match outcome {
                Some(Ok(_)) => failures = 0,
                Some(Err(StoreError::LeaseLapsed { .. })) => return,
                Some(Err(_)) | None => failures += 1,
            }
        }
    }

    /// Pause before the next renewal, behind so many that failed.
    fn pause(&self, failures: u32) -> Duration {
        let is_fed = self.gateway.feed.is_fed();
        match (failures, is_fed) {
            (0, true) => RENEWAL_WHEN_FED,
            (0, false) if self.gateway.is_relay() => RENEWAL_OF_RELAY,
            (0, false) => RENEWAL,
            (_, true) => RENEWAL_RETRY_WHEN_FED,
            (_, false) => RENEWAL_RETRY.delay(failures, &mut rand::rng()),
        }
    }

    /// True when the store, as far as it is known, doesn't list this node.
    fn is_unlisted(&self) -> bool {
        let listed = self.gateway.feed.lists(Subject::Nodes, &self.keys.node());
        !listed && self.membership().is_known() && !self.membership().store_is_failing()
    }
}
