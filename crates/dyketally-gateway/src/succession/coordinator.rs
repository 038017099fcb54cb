//! Elects the failover coordinator, the one node that replaces primaries: campaigns for its lease in the
//! store, and renews the lease while this node holds it.
//!
//! [`CoordinatorKeeper`] relies on the store for the lease, and records the holder in
//! [`CoordinatorState`](crate::fleet::coordinator::CoordinatorState).

use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{CampaignRank, campaign_delay};
use dyketally::placement;
use dyketally::time::Timestamp;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Condition, Entry, KeyRange, LeaseId, RangeRequest, StoreRevision, TransactionRequest,
};
use rand::Rng;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::context::StopPhase;
use crate::event::Event;
use crate::fleet::coordinator::{CoordinatorRecord, CoordinatorState, HeldLease, Term};
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::store::parts::StoreParts;

/// Time to live of the coordinator's lease. When coordinator and primary are lost together, another node can
/// become coordinator and replace the primary only after this lease has ended; decision 0041 has runs of
/// this failure with 4 s and with 2.6 s.
const LEASE_TIME_TO_LIVE: Duration = Duration::from_millis(2_600);
/// Pause between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);
/// Pause before a failed renewal is retried.
const RENEWAL_RETRY: Duration = Duration::from_millis(150);
/// How much earlier the contact from a renewal of this lease ends than the contact from other calls to the
/// store: it has to end before the lease does.
const CONTACT_REDUCTION: Duration = Duration::from_millis(600);
/// How long a node doesn't campaign after its start, so that it knows the other nodes first.
const CAMPAIGN_DELAY_AFTER_START: Duration = Duration::from_millis(1_500);
/// How long a node of a large fleet doesn't campaign after its start: it gets to know the other nodes through the
/// coordinator.
const CAMPAIGN_DELAY_IN_LARGE_FLEET: Duration = Duration::from_millis(500);
/// Pause before a failed campaign is repeated if no node is known to have won.
const CAMPAIGN_RETRY: Duration = Duration::from_secs(1);

/// Campaigns while there is no coordinator, and renews the lease while this node is the coordinator.
pub struct CoordinatorKeeper {
    parts: StoreParts,
    peers: Rc<Peers>,
    /// Held while the fencing token is renewed: the store would refuse one of two concurrent renewals.
    renewing: Mutex<()>,
}

impl CoordinatorKeeper {
    /// A keeper that isn't running yet.
    pub fn new(parts: StoreParts, peers: Rc<Peers>) -> Rc<Self> {
        Rc::new(Self {
            parts,
            peers,
            renewing: Mutex::new(()),
        })
    }

    fn state(&self) -> &CoordinatorState {
        &self.parts.fleet.coordinator
    }

    /// Campaigns whenever there is no coordinator and holds the lease once won, until the process stops.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.state().vacant.notified() => {}
                () = self.parts.cx.stop.wait_for_phase(StopPhase::Leaving) => return,
            }
            if let Some(lease) = self.campaign().await {
                self.hold_lease(lease).await;
                self.state().vacant.notify_one();
            }
        }
    }

    /// Tries to become the coordinator; returns the lease if this node has won.
    async fn campaign(&self) -> Option<LeaseId> {
        match self.state().record() {
            Some(record) if record.node == *self.parts.keys.record() => {
                self.revoke_former_lease(record).await;
                return None;
            }
            Some(_) => return None,
            None => {}
        }
        self.pause_before_campaign().await;
        if self.state().record().is_some() || self.parts.cx.stop.is_stopping() {
            return None;
        }
        if self.state().announced_address().is_some() {
            self.recheck_vacancy_later();
            return None;
        }
        let requested = Instant::now();
        let Ok(lease) = self.parts.store.grant_lease(LEASE_TIME_TO_LIVE).await else {
            self.recheck_vacancy_later();
            return None;
        };
        let free = Condition::Absent {
            key: self.parts.keys.coordinator(),
        };
        let Some(token) = self.put_key(free, lease.id).await else {
            self.read_coordinator().await;
            self.recheck_vacancy_later();
            return None;
        };
        self.begin_term(lease.id, token, requested + lease.time_to_live);
        Some(lease.id)
    }

    /// Records and announces that this node is the coordinator, with a lease that ends at `until`.
    fn begin_term(&self, lease: LeaseId, token: u64, until: Instant) {
        let record = self.parts.keys.record().clone();
        let state = self.state();
        state.set_lease(HeldLease { id: lease, until });
        state.set_term(Term { token });
        state.set_record(CoordinatorRecord {
            node: record.clone(),
            lease: Some(lease),
        });
        self.parts.cx.events.write(&Event::DutyTaken { token });
        self.peers
            .broadcast(&PeerMessage::CoordinatorAnnounced { record });
        state.attention.notify_one();
        // In a fleet that starts, all nodes ask the coordinator for relays.
        self.parts.feed.want_nodes();
    }

    /// Gives the nodes that rank before this one time to win, since each campaign costs calls to the store.
    async fn pause_before_campaign(&self) {
        let running_for = self.parts.cx.now().saturating_since(Timestamp::ZERO);
        let after_start = match self.parts.fleet.membership.is_known() {
            true => CAMPAIGN_DELAY_AFTER_START,
            false => CAMPAIGN_DELAY_IN_LARGE_FLEET,
        };
        tokio::time::sleep(after_start.saturating_sub(running_for)).await;
        // The list that a node reads at its start may lack its own key.
        let rank = self.rank();
        let random = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(campaign_delay(rank, random)).await;
    }

    /// This node's place in the order of campaigns.
    fn rank(&self) -> CampaignRank {
        let own = self.parts.keys.record();
        let nodes = self.parts.fleet.membership.nodes();
        let candidates = nodes.values().map(|node| node.candidate());
        let duty = self.parts.keys.coordinator().to_string();
        let ranked = placement::duty_order(&duty, candidates);
        match ranked.iter().position(|name| **name == own.node) {
            Some(rank) => CampaignRank::Known(rank),
            None => CampaignRank::Unknown {
                small_link: own.link.is_small(),
            },
        }
    }

    /// Revokes the lease of an earlier process of this node, so that the nodes can elect a coordinator at once.
    async fn revoke_former_lease(&self, record: CoordinatorRecord) {
        let Some(lease) = record.lease else {
            return;
        };
        if self.parts.store.revoke_lease(lease).await.is_err() {
            self.recheck_vacancy_later();
        }
    }

    /// Reads the coordinator's key after a failed campaign. While this node's copy of the store lacks the
    /// key, it would campaign again at each change of its copy.
    async fn read_coordinator(&self) {
        // Dropped: the campaign is repeated, and renewals of leases record the store's failure.
        let Ok(entry) = self.read_key().await else {
            return;
        };
        if let Some(entry) = entry {
            self.state().record_entry(&entry);
        }
    }

    /// Notifies [`CoordinatorState::vacant`] after [`CAMPAIGN_RETRY`]: this node then campaigns again, or checks
    /// its key if it is the coordinator.
    fn recheck_vacancy_later(&self) {
        let fleet = self.parts.fleet.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CAMPAIGN_RETRY).await;
            fleet.coordinator.vacant.notify_one();
        });
    }

    /// Renews the lease until this node is no longer the coordinator or the process stops.
    async fn hold_lease(&self, lease: LeaseId) {
        let mut next = Instant::now() + RENEWAL_INTERVAL;
        while self.state().last_term().is_some() {
            tokio::select! {
                () = tokio::time::sleep_until(next) => match self.renew(lease).await {
                    Ok(()) => {
                        next = Instant::now() + RENEWAL_INTERVAL;
                        self.store_fleet_size();
                    }
                    Err(StoreError::LeaseLapsed { .. }) => self.resign("the lease ended"),
                    // Dropped: `StoreHealth` records it, and the lease is renewed until it has lapsed.
                    Err(_) => next = Instant::now() + RENEWAL_RETRY,
                },
                () = self.state().vacant.notified() => self.resign_if_replaced(lease).await,
                () = self.parts.cx.stop.wait_for_phase(StopPhase::Leaving) => {
                    self.resign("the process stops");
                    // Dropped: the process ends, and the lease runs out by itself.
                    let _ = self.parts.store.revoke_lease(lease).await;
                }
            }
        }
    }

    /// Puts the number of nodes into the store, in the background, if it holds one that is far off.
    fn store_fleet_size(&self) {
        let Some(nodes) = self.parts.fleet.membership.size_to_store() else {
            return;
        };
        let parts = self.parts.clone();
        tokio::task::spawn_local(async move {
            let request = TransactionRequest {
                then: vec![parts.keys.put_fleet_size(nodes)],
                ..TransactionRequest::default()
            };
            // If this fails, it is repeated after the next renewal.
            if parts.store.transact(request).await.is_ok() {
                parts.fleet.membership.record_stored_size(nodes);
            }
        });
    }

    /// Renews the lease. The contact with the store that a renewal gives ends before the lease can lapse, so
    /// that the next coordinator knows that its predecessor is out of contact.
    ///
    /// As for any node, calls count as contact only while the watches of the store are active. Without this
    /// rule, the fuzz test of fences showed a coordinator that had missed a fence, renewed its lease, and was
    /// cut off again before its watch reported the fence: it went on trusting the primary.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let requested = Instant::now();
        let requested_at = self.parts.cx.now();
        let time_to_live = self
            .parts
            .cx
            .store_health
            .renew(&*self.parts.store, lease)
            .await?;
        self.parts
            .cx
            .contact
            .store_replied_to_this_node(requested_at);
        if self.parts.feed.is_watching_store() {
            let contact = &self.parts.cx.contact;
            contact.store_replied(requested_at - CONTACT_REDUCTION);
        }
        let until = requested + time_to_live;
        self.state().set_lease(HeldLease { id: lease, until });
        Ok(())
    }

    /// Reads the coordinator's key when this node's copy of the store lacks it or names another node, and
    /// resigns if it isn't this node's any more. The copy may be older than the key.
    async fn resign_if_replaced(&self, lease: LeaseId) {
        match self.read_key().await {
            Ok(Some(entry)) if entry.lease == Some(lease) => {
                self.state().set_record(CoordinatorRecord {
                    node: self.parts.keys.record().clone(),
                    lease: Some(lease),
                });
            }
            Ok(_) => self.resign("the coordinator's key is gone"),
            // Dropped: the check is repeated after a pause.
            Err(_) => self.recheck_vacancy_later(),
        }
    }

    /// Writes the coordinator's key if `condition` holds; returns the store's revision of the change.
    async fn put_key(&self, condition: Condition, lease: LeaseId) -> Option<u64> {
        let request = TransactionRequest {
            conditions: vec![condition],
            then: vec![
                self.parts
                    .keys
                    .put_record(self.parts.keys.coordinator(), lease),
            ],
            otherwise: Vec::new(),
        };
        match self.parts.store.transact(request).await {
            Ok(reply) if reply.succeeded => Some(reply.store_revision.0),
            Ok(_) => None,
            Err(error) if error.may_have_taken_effect() => {
                let entry = self.read_key().await.ok()??;
                (entry.lease == Some(lease)).then_some(entry.modified.0)
            }
            // Dropped: the caller campaigns again, or the failover that needs a token fails and is logged.
            Err(_) => None,
        }
    }

    async fn read_key(&self) -> Result<Option<Entry>, StoreError> {
        let request = RangeRequest::all(KeyRange::key(self.parts.keys.coordinator()));
        let reply = self.parts.store.range(request).await?;
        Ok(reply.entries.into_iter().next())
    }

    /// Gives this node's term a fencing token greater than `used`, so that earlier appointments which are
    /// still in flight are refused. Groups that need a token at the same time share one. `None` when this
    /// node isn't the coordinator any more or the store doesn't reply.
    pub async fn renew_token(&self, used: u64) -> Option<Term> {
        let _renewing = self.renewing.lock().await;
        let term = self.state().term()?;
        if term.token > used {
            return Some(term);
        }
        let lease = self.state().lease()?;
        let unchanged = Condition::Unchanged {
            key: self.parts.keys.coordinator(),
            modified: StoreRevision(term.token),
        };
        let token = self.put_key(unchanged, lease.id).await?;
        self.state().set_term(Term { token });
        self.state().term()
    }

    fn resign(&self, reason: &str) {
        if self.state().resign() {
            self.parts.cx.events.write(&Event::DutyLost { reason });
        }
    }
}
