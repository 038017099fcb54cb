//! Keeps this node's key in the store under a lease, so that other nodes know that this node is running.
//!
//! Owns the lease. Relies on the feed to know whether this node's key is listed, and whether the node follows a relay
//! or is one, which determines how often the lease has to be renewed.

use std::time::Duration;

use dyketally::retry::Backoff;
use dyketally_store::StoreError;
use dyketally_store::key_value::{KeyRange, LeaseId, RangeRequest, TransactionRequest};
use tokio::time::Instant;

use super::feed::Subject;
use super::parts::StoreParts;
use crate::context::StopPhase;

/// Duration of the lease, after which the store removes the key of a lost node. It may be long, since other nodes
/// detect the loss sooner, see [`Liveness`](super::liveness::Liveness), and a lease that outlasts an outage of the
/// store needn't be acquired again.
const LEASE_DURATION: Duration = Duration::from_secs(30);
/// Pause between two renewals by a node that follows a relay: its contact comes from the relay's pongs instead.
const RENEWAL_BY_RELAY: Duration = Duration::from_secs(10);
/// Pause between two renewals by a relay: its contact with the store counts for its followers, too, and is valid for
/// 2.9 s.
const RENEWAL_OF_RELAY: Duration = Duration::from_millis(700);
/// Pause between two renewals by any other node, whose own contact is valid for 2.9 s.
const RENEWAL: Duration = Duration::from_secs(2);
/// Pause before a failed renewal is retried by a node that follows no relay.
const RENEWAL_RETRY: Backoff = Backoff {
    first: Duration::from_millis(150),
    longest: Duration::from_millis(600),
};
/// Pause before a failed renewal is retried by a node that follows a relay; it may be longer, since the lease is long.
const RENEWAL_RETRY_BY_RELAY: Duration = Duration::from_secs(2);
/// Timeout of a renewal while the store is failing. A call made during an outage may never get a reply, so it mustn't
/// delay the next one for long.
const RETRY_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two tests whether the store replies after a failed join.
const JOIN_RETRY: Backoff = Backoff {
    first: Duration::from_millis(300),
    longest: Duration::from_millis(1_200),
};
/// Age of the last renewal below which a request to check the store makes no further renewal.
const RECENT_RENEWAL: Duration = Duration::from_millis(700);
/// Time after joining by which this node must have received its own key, from the store or through a relay; if the
/// key isn't listed then, the node joins again.
const LISTED_WITHIN: Duration = Duration::from_secs(3);

/// Keeps this node's key in the store.
pub struct Registration {
    parts: StoreParts,
}

impl Registration {
    /// A registration that isn't running yet.
    pub fn new(parts: StoreParts) -> Self {
        Self { parts }
    }

    /// Keeps the lease and the node's key until the process stops.
    pub async fn run(self) {
        let mut former = None;
        while !self.parts.cx.stop.is_stopping() {
            match self.join().await {
                Ok(lease) => {
                    self.parts.cx.store_health.record_reply();
                    former = Some(lease);
                    self.renew_until_lapsed(lease).await;
                }
                // Not logged here: joining is retried, and watchers log the loss of the store.
                Err(_) => {
                    self.parts.cx.store_health.record_failure();
                    self.until_store_replies(former).await;
                }
            }
        }
    }

    /// Waits after a failed join until the store replies to a call that costs less than joining.
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

    /// True when the store replies. Renews the former lease, if there is one: it has lapsed, but the call costs little.
    async fn store_replies(&self, former: Option<LeaseId>) -> bool {
        let Some(former) = former else {
            let own_key = KeyRange::key(self.parts.keys.node());
            let read = self.parts.store.range(RangeRequest::stale(own_key));
            return matches!(tokio::time::timeout(RETRY_TIMEOUT, read).await, Ok(Ok(_)));
        };
        let renewal = self.parts.store.keep_lease_alive(former);
        matches!(
            tokio::time::timeout(RETRY_TIMEOUT, renewal).await,
            Ok(Ok(_) | Err(StoreError::LeaseLapsed { .. }))
        )
    }

    /// Acquires a lease and puts the node's key under it. From then on fences wait for this node.
    async fn join(&self) -> Result<LeaseId, StoreError> {
        let lease = self.parts.store.grant_lease(LEASE_DURATION).await?;
        let sent_at = self.parts.cx.now();
        let put = self.parts.keys.put_record(self.parts.keys.node(), lease.id);
        self.parts
            .store
            .transact(TransactionRequest {
                then: vec![put],
                ..TransactionRequest::default()
            })
            .await?;
        self.parts.cx.contact.store_replied_to_this_node(sent_at);
        self.parts.cx.contact.store_replied(sent_at);
        Ok(lease.id)
    }

    /// Renews the lease until it has lapsed or the key is gone; revokes it when the process stops.
    async fn renew_until_lapsed(&self, lease: LeaseId) {
        let joined = Instant::now();
        let mut renewed = joined;
        let mut failures = 0;
        loop {
            if joined.elapsed() > LISTED_WITHIN && self.is_unlisted() {
                return;
            }
            let due = renewed + self.pause_before_renewal(failures);
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.parts.feed.relay_changes() => continue,
                () = self.parts.fleet.membership.nodes_changed.notified() => continue,
                () = self.parts.cx.store_health.check_requested.notified() => {
                    if self.parts.feed.has_relay() || renewed.elapsed() < RECENT_RENEWAL {
                        continue;
                    }
                }
                () = self.parts.cx.stop.wait_for_phase(StopPhase::Leaving) => {
                    self.parts.cx.contact.discard_store_contact();
                    // A failure is ignored: the process is ending, and the lease lapses by itself.
                    let _ = self.parts.store.revoke_lease(lease).await;
                    return;
                }
            }
            let renewal = self.renew(lease);
            let outcome = match self.parts.cx.store_health.is_failing() {
                true => tokio::time::timeout(RETRY_TIMEOUT, renewal).await.ok(),
                false => Some(renewal.await),
            };
            renewed = Instant::now();
            match outcome {
                Some(Ok(_)) => failures = 0,
                Some(Err(StoreError::LeaseLapsed { .. })) => return,
                // Not logged here: `StoreHealth` records the failure, and the renewal is retried.
                Some(Err(_)) | None => failures += 1,
            }
        }
    }

    /// Renews the lease, and counts the reply as contact with the store if it may. While this node is the failover
    /// coordinator, only renewals of the coordinator's lease count. While it doesn't watch the store itself, only the
    /// contact reported by its relay counts, since its updates come from the relay.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let cx = &self.parts.cx;
        let sent_at = cx.now();
        cx.store_health.renew(&*self.parts.store, lease).await?;
        cx.contact.store_replied_to_this_node(sent_at);
        let is_coordinator = self.parts.fleet.coordinator.last_term().is_some();
        if !is_coordinator && self.parts.feed.is_watching_store() {
            cx.contact.store_replied(sent_at);
        }
        Ok(())
    }

    /// Pause before the next renewal, after `failures` failed ones in a row.
    fn pause_before_renewal(&self, failures: u32) -> Duration {
        let has_relay = self.parts.feed.has_relay();
        match (failures, has_relay) {
            (0, true) => RENEWAL_BY_RELAY,
            (0, false) if self.parts.feed.is_relay() => RENEWAL_OF_RELAY,
            (0, false) => RENEWAL,
            (_, true) => RENEWAL_RETRY_BY_RELAY,
            (_, false) => RENEWAL_RETRY.delay(failures, &mut rand::rng()),
        }
    }

    /// True when this node's copy of the store's keys is known and lacks this node's key.
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
