//! Campaigns for the lease of the failover coordinator and keeps it: one node at a time replaces primaries.
//!
//! [`CoordinatorKeeper`] relies on the store for the lease, and records in
//! [`CoordinatorState`](crate::fleet::coordinator::CoordinatorState) who holds it.

use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::NodeName;
use dyketally::placement;
use dyketally::time::Timestamp;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Condition, Entry, KeyRange, LeaseId, RangeRequest, StoreRevision, TransactionRequest,
};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::context::StopPhase;
use crate::event::Event;
use crate::fleet::coordinator::{CoordinatorRecord, CoordinatorState, HeldLease, Term};
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::store::parts::StoreParts;

/// Time after which the lease of a coordinator that is lost ends. Set by runs that lose coordinator and
/// primary together, with 4 s and with 2.6 s (decision 0041).
const LEASE: Duration = Duration::from_millis(2_600);
/// Pause between two renewals of the lease. Not measured.
const RENEWAL: Duration = Duration::from_millis(800);
/// Pause before a renewal that failed is tried again. Not measured.
const RENEWAL_RETRY: Duration = Duration::from_millis(150);
/// By so much the contact of a renewal of this lease ends sooner than that of another one: before the
/// lease does. Not measured.
const CONTACT_SHORTER: Duration = Duration::from_millis(600);
/// How long each node gives those ranked before it to take a lease that is free: time for a lease, a
/// write and the announcement. Not measured.
const CAMPAIGN_HEAD_START: Duration = Duration::from_millis(40);
/// Longest pause before this node tries. Not measured.
const LONGEST_CAMPAIGN_DELAY: Duration = Duration::from_millis(1_500);
/// For so long after its start a node doesn't campaign: it has to get to know the others. Not measured.
const STARTING: Duration = Duration::from_millis(1_500);
/// Pause before a campaign that failed is repeated if no node is known to have won. Not measured.
const CAMPAIGN_RETRY: Duration = Duration::from_secs(1);

/// Keeps this node the coordinator while it is, and campaigns when there is none.
pub struct CoordinatorKeeper {
    parts: StoreParts,
    peers: Rc<Peers>,
    /// Held while the token is renewed: of two renewals at one time the store refuses one.
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

    /// Becomes the coordinator whenever there is none, and stays it, until the process stops.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.state().vacant.notified() => {}
                () = self.parts.cx.stop.entered(StopPhase::Leaving) => return,
            }
            if let Some(lease) = self.campaign().await {
                self.hold(lease).await;
                self.state().vacant.notify_one();
            }
        }
    }

    /// Tries to become the coordinator; the lease if this node is it now.
    async fn campaign(&self) -> Option<LeaseId> {
        match self.state().record() {
            Some(record) if record.node == *self.parts.keys.record() => {
                self.end_former(record).await;
                return None;
            }
            Some(_) => return None,
            None => {}
        }
        self.pause_before_campaign().await;
        if self.state().record().is_some() || self.parts.cx.stop.is_stopping() {
            return None;
        }
        if self.state().announced().is_some() {
            self.try_again_later();
            return None;
        }
        let asked = Instant::now();
        let Ok(lease) = self.parts.store.grant_lease(LEASE).await else {
            self.try_again_later();
            return None;
        };
        let free = Condition::Absent {
            key: self.parts.keys.coordinator(),
        };
        let Some(token) = self.put_key(free, lease.id).await else {
            self.learn_coordinator().await;
            self.try_again_later();
            return None;
        };
        self.begin_term(lease.id, token, asked + lease.time_to_live);
        Some(lease.id)
    }

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
    }

    /// Gives nodes that are ranked before this one time to win: each campaign costs calls to the store.
    async fn pause_before_campaign(&self) {
        let running_for = self.parts.cx.now().saturating_since(Timestamp::ZERO);
        tokio::time::sleep(STARTING.saturating_sub(running_for)).await;
        let pause = CAMPAIGN_HEAD_START.saturating_mul(self.rank());
        tokio::time::sleep(pause.min(LONGEST_CAMPAIGN_DELAY)).await;
    }

    /// How many nodes should campaign before this one.
    fn rank(&self) -> u32 {
        let nodes = self.parts.fleet.membership.nodes();
        let names: Vec<&NodeName> = nodes.keys().collect();
        let by = NodeName::new(self.parts.keys.coordinator().to_string());
        let ranked = placement::preference(&by, &names);
        let own = &self.parts.keys.record().node;
        let rank = ranked.iter().position(|name| *name == own);
        rank.map_or(u32::MAX, |rank| u32::try_from(rank).unwrap_or(u32::MAX))
    }

    /// Ends the lease of an earlier process of this node, so that a coordinator can be found at once.
    async fn end_former(&self, record: CoordinatorRecord) {
        let Some(lease) = record.lease else {
            return;
        };
        if self.parts.store.revoke_lease(lease).await.is_err() {
            self.try_again_later();
        }
    }

    /// Reads who the coordinator is, after a campaign that failed: what this node knows may lack the key,
    /// and each change of it would make the node campaign again.
    async fn learn_coordinator(&self) {
        // Dropped: the campaign is repeated, and what the store lacks in health its renewals show.
        let Ok(entry) = self.read_key().await else {
            return;
        };
        if let Some(entry) = entry {
            self.state().learn(&entry);
        }
    }

    /// Campaigns again if no node is known to be the coordinator by then.
    fn try_again_later(&self) {
        let fleet = self.parts.fleet.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CAMPAIGN_RETRY).await;
            fleet.coordinator.vacant.notify_one();
        });
    }

    /// Keeps this node the coordinator until its lease is lost or the process stops.
    async fn hold(&self, lease: LeaseId) {
        let mut next = Instant::now() + RENEWAL;
        while self.state().last_term().is_some() {
            tokio::select! {
                () = tokio::time::sleep_until(next) => match self.renew(lease).await {
                    Ok(()) => next = Instant::now() + RENEWAL,
                    Err(StoreError::LeaseLapsed { .. }) => self.resign("the lease ended"),
                    // Dropped: `StoreHealth` records it, and the lease is renewed until it has lapsed.
                    Err(_) => next = Instant::now() + RENEWAL_RETRY,
                },
                () = self.state().vacant.notified() => self.check(lease).await,
                () = self.parts.cx.stop.entered(StopPhase::Leaving) => {
                    self.resign("the process stops");
                    // Dropped: the process ends, and the lease runs out by itself.
                    let _ = self.parts.store.revoke_lease(lease).await;
                }
            }
        }
    }

    /// Renews the lease. The contact that follows ends before the lease can lapse, so that the next
    /// coordinator knows that its predecessor is out of touch. Like any node's calls, renewals count as
    /// contact only while the watches stand: in the fuzz of fences a coordinator that had missed a fence
    /// was cut off again before its watch told of it, and its renewals alone made it trust the primary.
    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let asked = Instant::now();
        let asked_at = self.parts.cx.now();
        let time_to_live = self
            .parts
            .cx
            .store_health
            .renew(&*self.parts.store, lease)
            .await?;
        self.parts.cx.contact.store_replied_to_this_node(asked_at);
        if self.parts.feed.is_current() {
            let contact = &self.parts.cx.contact;
            contact.store_replied(asked_at - CONTACT_SHORTER);
        }
        let until = asked + time_to_live;
        self.state().set_lease(HeldLease { id: lease, until });
        Ok(())
    }

    /// Finds out whether this node is still the coordinator when the key seems to be gone, or to be
    /// another's: what is known may be older than the key.
    async fn check(&self, lease: LeaseId) {
        match self.read_key().await {
            Ok(Some(entry)) if entry.lease == Some(lease) => {
                self.state().set_record(CoordinatorRecord {
                    node: self.parts.keys.record().clone(),
                    lease: Some(lease),
                });
            }
            Ok(_) => self.resign("the coordinator's key is gone"),
            // Dropped: the check is repeated.
            Err(_) => self.try_again_later(),
        }
    }

    /// Puts the coordinator's key under `condition`; the revision of the change if it took effect.
    async fn put_key(&self, condition: Condition, lease: LeaseId) -> Option<u64> {
        let request = TransactionRequest {
            conditions: vec![condition],
            then: vec![self.parts.keys.put(self.parts.keys.coordinator(), lease)],
            otherwise: Vec::new(),
        };
        match self.parts.store.transact(request).await {
            Ok(reply) if reply.succeeded => Some(reply.store_revision.0),
            Ok(_) => None,
            Err(error) if error.may_have_taken_effect() => {
                let entry = self.read_key().await.ok()??;
                (entry.lease == Some(lease)).then_some(entry.modified.0)
            }
            // Dropped: the caller campaigns again, or its step of the failover fails and is logged.
            Err(_) => None,
        }
    }

    async fn read_key(&self) -> Result<Option<Entry>, StoreError> {
        let request = RangeRequest::all(KeyRange::key(self.parts.keys.coordinator()));
        let reply = self.parts.store.range(request).await?;
        Ok(reply.entries.into_iter().next())
    }

    /// Gives this node's term a token greater than `used`, so that earlier appointments which are still
    /// under way are refused. Groups that ask at the same time share one. `None` when this node isn't the
    /// coordinator any more or the store doesn't reply.
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
