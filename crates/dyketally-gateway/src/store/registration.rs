//! Keeps this node's key in the store, under a lease, so that other nodes know that it runs.
//!
//! Owns the lease. Relies on the feed to know whether this node is listed and follows a relay, which decides
//! how often the lease has to be renewed.

use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally_store::StoreError;
use dyketally_store::key_value::{KeyRange, LeaseId, RangeRequest, TransactionRequest};
use tokio::time::Instant;

use super::feed::Subject;
use super::parts::StoreParts;
use crate::context::StopPhase;

/// Time after which the key of a node that is lost goes. Other nodes notice sooner, see
/// [`Liveness`](super::liveness::Liveness), so this may be long: a lease that outlives an outage of the
/// store needn't be taken again. Not measured.
const LEASE: Duration = Duration::from_secs(30);
/// Pause between two renewals of a node that follows a relay, whose pongs vouch for its contact. Not
/// measured.
const RENEWAL_BY_RELAY: Duration = Duration::from_secs(10);
/// Pause between two renewals of a relay: its contact with the store counts for its followers, and holds
/// for 2.9 s. Not measured.
const RENEWAL_OF_RELAY: Duration = Duration::from_millis(700);
/// Pause between two renewals of any other node, whose own contact holds for 2.9 s. Not measured.
const RENEWAL: Duration = Duration::from_secs(2);
/// Pause before a renewal that failed is tried again. Not measured.
const RENEWAL_RETRY: Backoff = Backoff {
    first: Duration::from_millis(150),
    longest: Duration::from_millis(600),
};
/// The same for a node that follows a relay: its lease runs for long. Not measured.
const RENEWAL_RETRY_BY_RELAY: Duration = Duration::from_secs(2);
/// How long a renewal after one that failed may take. A call that began while the store was away may
/// never get a reply, so it shouldn't hold up the next for long. Not measured.
const RETRY_LIMIT: Duration = Duration::from_millis(400);
/// Pause before joining is tried again. Not measured.
const JOIN_RETRY: Backoff = Backoff {
    first: Duration::from_millis(300),
    longest: Duration::from_millis(1_200),
};
/// Age of the last renewal from which on another one is made when it matters whether the store replies.
/// Not measured.
const RENEWED_LATELY: Duration = Duration::from_millis(700);
/// By then a key that was put has come back to this node, from the store or by a relay. Not measured.
const LISTED_AFTER: Duration = Duration::from_secs(3);

/// Keeps this node's key.
pub struct Registration {
    parts: StoreParts,
}

impl Registration {
    /// A registration that isn't kept yet.
    pub fn new(parts: StoreParts) -> Self {
        Self { parts }
    }

    /// Keeps the lease and the node's key until the process stops.
    pub async fn run(self) {
        let mut former = None;
        while !self.parts.cx.stop.is_stopping() {
            match self.join().await {
                Ok(lease) => {
                    self.parts.cx.store_health.replied();
                    former = Some(lease);
                    self.hold(lease).await;
                }
                // Dropped: it is tried again, and watchers log that the store is lost.
                Err(_) => {
                    self.parts.cx.store_health.failed();
                    self.until_store_replies(former).await;
                }
            }
        }
    }

    /// Waits after a join that failed until the store replies to a cheaper call.
    async fn until_store_replies(&self, former: Option<LeaseId>) {
        let mut failures = 1;
        loop {
            tokio::time::sleep(JOIN_RETRY.delay(failures, &mut rand::rng())).await;
            if self.parts.cx.stop.is_stopping() || self.store_replies(former).await {
                return;
            }
            failures += 1;
        }
    }

    /// True when the store replies. The former lease, if there is one, has lapsed, but to renew it
    /// costs little.
    async fn store_replies(&self, former: Option<LeaseId>) -> bool {
        let Some(former) = former else {
            let own_key = KeyRange::key(self.parts.keys.node());
            let read = self.parts.store.range(RangeRequest::stale(own_key));
            return matches!(tokio::time::timeout(RETRY_LIMIT, read).await, Ok(Ok(_)));
        };
        let renewal = self.parts.store.keep_lease_alive(former);
        matches!(
            tokio::time::timeout(RETRY_LIMIT, renewal).await,
            Ok(Ok(_) | Err(StoreError::LeaseLapsed { .. }))
        )
    }

    /// Takes a lease and puts the node's key. From then on a fence waits for this node.
    async fn join(&self) -> Result<LeaseId, StoreError> {
        let lease = self.parts.store.grant_lease(LEASE).await?;
        let asked = self.parts.cx.now();
        let put = self.parts.keys.put(self.parts.keys.node(), lease.id);
        self.parts
            .store
            .transact(TransactionRequest {
                then: vec![put],
                ..TransactionRequest::default()
            })
            .await?;
        self.parts.cx.contact.store_replied_to_this_node(asked);
        self.parts.cx.contact.store_replied(asked);
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
                () = self.parts.feed.relay_changes() => continue,
                () = self.parts.fleet.membership.nodes_changed.notified() => continue,
                () = self.parts.cx.store_health.check.notified() => {
                    if self.parts.feed.has_relay() || renewed.elapsed() < RENEWED_LATELY {
                        continue;
                    }
                }
                () = self.parts.cx.stop.entered(StopPhase::Leaving) => {
                    self.parts.cx.contact.disregard_store();
                    // Dropped: the process ends, and the lease runs out by itself.
                    let _ = self.parts.store.revoke_lease(lease).await;
                    return;
                }
            }
            let renewal = self.renew(lease);
            let outcome = match self.parts.cx.store_health.is_failing() {
                true => tokio::time::timeout(RETRY_LIMIT, renewal).await.ok(),
                false => Some(renewal.await),
            };
            renewed = Instant::now();
            match outcome {
                Some(Ok(_)) => failures = 0,
                Some(Err(StoreError::LeaseLapsed { .. })) => return,
                // Dropped: `StoreHealth` records it, and the renewal is tried again.
                Some(Err(_)) | None => failures += 1,
            }
        }
    }

    /// Renews the lease. While this node is the failover coordinator only the renewals of that lease count
    /// as contact, and while it doesn't watch the store itself only what its relay reports: its updates
    /// come from there.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let cx = &self.parts.cx;
        let asked = cx.now();
        cx.store_health.renew(&*self.parts.store, lease).await?;
        cx.contact.store_replied_to_this_node(asked);
        let is_coordinator = self.parts.fleet.coordinator.last_term().is_some();
        if !is_coordinator && self.parts.feed.is_current() {
            cx.contact.store_replied(asked);
        }
        Ok(())
    }

    /// Pause before the next renewal, after so many that failed.
    fn pause(&self, failures: u32) -> Duration {
        let has_relay = self.parts.feed.has_relay();
        match (failures, has_relay) {
            (0, true) => RENEWAL_BY_RELAY,
            (0, false) if self.parts.feed.is_relay() => RENEWAL_OF_RELAY,
            (0, false) => RENEWAL,
            (_, true) => RENEWAL_RETRY_BY_RELAY,
            (_, false) => RENEWAL_RETRY.delay(failures, &mut rand::rng()),
        }
    }

    /// True when the store, as far as it is known, doesn't list this node.
    fn is_unlisted(&self) -> bool {
        let listed = self
            .parts
            .feed
            .lists(Subject::Nodes, &self.parts.keys.node());
        !listed
            && self.parts.fleet.membership.is_known()
            && !self.parts.cx.store_health.is_failing()
    }
}
