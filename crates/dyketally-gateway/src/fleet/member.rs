//! Keeps this node's key in the store, so that other nodes know that it runs.

use std::rc::Rc;
use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally_store::StoreError;
use dyketally_store::key_value::{KeyValueStore, LeaseId, TransactionRequest, WatchEvent};
use tokio::time::Instant;

use crate::fleet::membership::{Keys, Membership};
use crate::gateway::{Gateway, StopPhase};
use crate::store::follow::StoreUpdate;

/// Time after which the key of a node that is lost goes. Until then it is passed over by those who
/// fail to reach it, so this may be long, which saves renewals.
const LEASE: Duration = Duration::from_secs(6);
/// Pause between two renewals of the lease.
const RENEWAL: Duration = Duration::from_secs(2);
/// Pause before a renewal that failed is tried again.
const RENEWAL_RETRY: Duration = Duration::from_millis(150);
/// How long a renewal behind one that failed may take. A call that began while the store was away
/// may never be answered, so it shouldn't hold up the next for long.
const RETRY_LIMIT: Duration = Duration::from_millis(400);
/// Pause before joining is tried again.
const JOIN_RETRY: Backoff = Backoff {
    first: Duration::from_millis(300),
    longest: Duration::from_millis(300),
};
/// Age of the last word of the store from which on it is asked anew when that matters.
const CONTACT_AGE: Duration = Duration::from_millis(700);

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
        &self.gateway.membership
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
        let fenced = entries
            .iter()
            .filter_map(|entry| self.keys.fenced(&entry.key));
        fenced.for_each(|database| self.gateway.put_up_fence(database));
    }

    /// Keeps the lease and the node's key until the process stops.
    pub async fn run(self: Rc<Self>) {
        let mut former = None;
        while !self.gateway.is_stopping() {
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

    /// Waits behind a join that failed. The former lease, if there is one, has lapsed; but to renew
    /// it is the cheapest way to find out whether the store replies again.
    async fn until_store_replies(&self, former: Option<LeaseId>) {
        loop {
            tokio::time::sleep(JOIN_RETRY.delay(1, &mut rand::rng())).await;
            let Some(former) = former else {
                return;
            };
            let renewal = self.store.keep_lease_alive(former);
            let replied = matches!(
                tokio::time::timeout(RETRY_LIMIT, renewal).await,
                Ok(Ok(_) | Err(StoreError::LeaseLapsed { .. }))
            );
            if replied || self.gateway.is_stopping() {
                return;
            }
        }
    }

    async fn join(&self) -> Result<LeaseId, StoreError> {
        let asked = self.gateway.now();
        let lease = self.store.grant_lease(LEASE).await?;
        self.gateway.store_replied(asked);
        let put = self.keys.put(self.keys.node(), lease.id);
        self.store
            .transact(TransactionRequest {
                then: vec![put],
                ..TransactionRequest::default()
            })
            .await?;
        Ok(lease.id)
    }

    /// Renews the lease until it has ended; ends it when the process stops.
    async fn hold(&self, lease: LeaseId) {
        let mut next = Instant::now() + RENEWAL;
        let mut renewed = Instant::now();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                () = self.membership().check_store.notified() => {
                    if renewed.elapsed() < CONTACT_AGE {
                        continue;
                    }
                }
                () = self.gateway.entered(StopPhase::Leaving) => {
                    self.gateway.gives_back_leases();
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
            match outcome {
                Some(Ok(_)) => {
                    renewed = Instant::now();
                    next = renewed + RENEWAL;
                }
                Some(Err(StoreError::LeaseLapsed { .. })) => return,
                Some(Err(_)) | None => next = Instant::now() + RENEWAL_RETRY,
            }
        }
    }
}
