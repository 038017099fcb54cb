//! Takes and keeps the duty of replacing primaries, which one node has at a time.

use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::NodeName;
use dyketally::placement;
use dyketally::time::Timestamp;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Condition, KeyRange, KeyValueStore, LeaseId, RangeRequest, StoreRevision, TransactionRequest,
};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::context::StopPhase;
use crate::event::Event;
use crate::fleet::membership::{Duty, HeldLease, Holder, Keys, Membership};
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::gateway::Gateway;

/// Time after which the duty of a node that is lost is free.
const LEASE: Duration = Duration::from_millis(2_600);
/// Pause between two renewals of the lease.
const RENEWAL: Duration = Duration::from_millis(800);
/// Pause before a renewal that failed is tried again.
const RENEWAL_RETRY: Duration = Duration::from_millis(150);
/// How long each node gives those ranked before it to take a duty that is free: time for a lease, a
/// write and the word that it is taken.
const CAMPAIGN_HEAD_START: Duration = Duration::from_millis(40);
/// Longest pause before this node tries.
const LONGEST_CAMPAIGN_DELAY: Duration = Duration::from_millis(1_500);
/// For so long after its start a node doesn't campaign: it has to get to know the others.
const SETTLING: Duration = Duration::from_millis(1_500);
/// Pause before a campaign that failed is repeated if nobody is known to have won.
const CAMPAIGN_RETRY: Duration = Duration::from_secs(1);

/// Keeps the duty while this node has it, and campaigns for it when it is free.
pub struct DutyKeeper {
    gateway: Rc<Gateway>,
    store: Rc<dyn KeyValueStore>,
    keys: Rc<Keys>,
    peers: Rc<Peers>,
    /// Held while the token is renewed: of two renewals at one time the store refuses one.
    renewing: Mutex<()>,
}

impl DutyKeeper {
    /// A keeper that isn't running yet.
    pub fn new(
        gateway: Rc<Gateway>,
        store: Rc<dyn KeyValueStore>,
        keys: Rc<Keys>,
        peers: Rc<Peers>,
    ) -> Rc<Self> {
        Rc::new(Self {
            gateway,
            store,
            keys,
            peers,
            renewing: Mutex::new(()),
        })
    }

    fn membership(&self) -> &Membership {
        &self.gateway.fleet.membership
    }

    /// Takes the duty whenever it is free, and keeps it, until the process stops.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.membership().duty_free.notified() => {}
                () = self.gateway.cx.stop.entered(StopPhase::Leaving) => return,
            }
            if let Some(lease) = self.campaign().await {
                self.hold(lease).await;
                self.membership().duty_free.notify_one();
            }
        }
    }

    /// Tries to take the duty; its lease if this node has it now.
    async fn campaign(&self) -> Option<LeaseId> {
        match self.membership().duty_key() {
            Some(holder) if holder.record == *self.keys.record() => {
                self.end_former(holder).await;
                return None;
            }
            Some(_) => return None,
            None => {}
        }
        self.pause_before_campaign().await;
        if self.membership().duty_key().is_some() || self.gateway.cx.stop.is_stopping() {
            return None;
        }
        if self.membership().heard_holder().is_some() {
            self.try_again_later();
            return None;
        }
        let asked = Instant::now();
        let Ok(lease) = self.store.grant_lease(LEASE).await else {
            self.try_again_later();
            return None;
        };
        let free = Condition::Absent {
            key: self.keys.duty(),
        };
        let Some(token) = self.put_duty(free, lease.id).await else {
            self.learn_holder().await;
            self.try_again_later();
            return None;
        };
        self.taken(lease.id, token, asked + lease.time_to_live);
        Some(lease.id)
    }

    fn taken(&self, lease: LeaseId, token: u64, until: Instant) {
        let record = self.keys.record().clone();
        let membership = self.membership();
        membership.hold_duty_lease(HeldLease { id: lease, until });
        membership.hold_duty(Duty { token });
        membership.set_holder(Holder {
            record: record.clone(),
            lease: Some(lease),
        });
        self.gateway.cx.events.write(&Event::DutyTaken { token });
        self.peers.broadcast(&PeerMessage::HasDuty { record });
        membership.attention.notify_one();
    }

    /// Gives nodes that are ranked before this one time to take the duty: each campaign costs calls
    /// to the store.
    async fn pause_before_campaign(&self) {
        let running_for = self.gateway.cx.now().saturating_since(Timestamp::ZERO);
        tokio::time::sleep(SETTLING.saturating_sub(running_for)).await;
        let pause = CAMPAIGN_HEAD_START.saturating_mul(self.rank());
        tokio::time::sleep(pause.min(LONGEST_CAMPAIGN_DELAY)).await;
    }

    /// How many nodes should campaign before this one.
    fn rank(&self) -> u32 {
        let nodes = self.membership().nodes();
        let names: Vec<&NodeName> = nodes.keys().collect();
        let by = NodeName::new(self.keys.duty().to_string());
        let ranked = placement::preference(&by, &names);
        let own = &self.keys.record().node;
        let rank = ranked.iter().position(|name| *name == own);
        rank.map_or(u32::MAX, |rank| u32::try_from(rank).unwrap_or(u32::MAX))
    }

    /// Ends the lease of an earlier process of this node, so that the duty is free at once.
    async fn end_former(&self, holder: Holder) {
        let Some(lease) = holder.lease else {
            return;
        };
        if self.store.revoke_lease(lease).await.is_err() {
            self.try_again_later();
        }
    }

    /// Reads who holds the duty, behind a campaign that failed: what this node follows may lack the
    /// key, and each change of it would make the node campaign again.
    async fn learn_holder(&self) {
        let request = RangeRequest::all(KeyRange::key(self.keys.duty()));
        let Ok(reply) = self.store.range(request).await else {
            return;
        };
        if let Some(entry) = reply.entries.first() {
            self.membership().learn_duty(entry);
        }
    }

    /// Campaigns again if nobody is known to have the duty by then.
    fn try_again_later(&self) {
        let gateway = self.gateway.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CAMPAIGN_RETRY).await;
            gateway.fleet.membership.duty_free.notify_one();
        });
    }

    /// Keeps the duty until it is lost or the process stops.
    async fn hold(&self, lease: LeaseId) {
        let mut next = Instant::now() + RENEWAL;
        while self.membership().last_duty().is_some() {
            tokio::select! {
                () = tokio::time::sleep_until(next) => match self.renew(lease).await {
                    Ok(()) => next = Instant::now() + RENEWAL,
                    Err(StoreError::LeaseLapsed { .. }) => self.lay_down("the lease ended"),
                    Err(_) => next = Instant::now() + RENEWAL_RETRY,
                },
                () = self.membership().duty_free.notified() => self.check(lease).await,
                () = self.gateway.cx.stop.entered(StopPhase::Leaving) => {
                    self.lay_down("the process stops");
                    // If it fails the lease runs out by itself.
                    let _ = self.store.revoke_lease(lease).await;
                }
            }
        }
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let asked = Instant::now();
        let time_to_live = self.gateway.renew_duty(&*self.store, lease).await?;
        let until = asked + time_to_live;
        self.membership()
            .hold_duty_lease(HeldLease { id: lease, until });
        Ok(())
    }

    /// Finds out whether a duty whose key seems to be gone, or another's, is still held: what is
    /// followed may be older than the key.
    async fn check(&self, lease: LeaseId) {
        let request = RangeRequest::all(KeyRange::key(self.keys.duty()));
        match self.store.range(request).await {
            Ok(reply) => {
                let entry = reply.entries.first();
                if entry.is_some_and(|entry| entry.lease == Some(lease)) {
                    self.membership().set_holder(Holder {
                        record: self.keys.record().clone(),
                        lease: Some(lease),
                    });
                } else {
                    self.lay_down("the duty's key is gone");
                }
            }
            Err(_) => self.try_again_later(),
        }
    }

    /// Puts the duty's key under `condition`; the revision of the change if it took effect.
    async fn put_duty(&self, condition: Condition, lease: LeaseId) -> Option<u64> {
        let request = TransactionRequest {
            conditions: vec![condition],
            then: vec![self.keys.put(self.keys.duty(), lease)],
            otherwise: Vec::new(),
        };
        match self.store.transact(request).await {
            Ok(reply) if reply.succeeded => Some(reply.store_revision.0),
            Ok(_) => None,
            Err(error) if error.may_have_taken_effect() => self.read_back(lease).await,
            Err(_) => None,
        }
    }

    async fn read_back(&self, lease: LeaseId) -> Option<u64> {
        let request = RangeRequest::all(KeyRange::key(self.keys.duty()));
        let reply = self.store.range(request).await.ok()?;
        let entry = reply.entries.first()?;
        (entry.lease == Some(lease)).then_some(entry.modified.0)
    }

    /// Gives the duty a token greater than `used`, so that earlier appointments which are still under
    /// way are refused. Groups that ask at the same time share one. `None` when the duty is lost or
    /// the store doesn't answer.
    pub async fn renew_token(&self, used: u64) -> Option<Duty> {
        let _renewing = self.renewing.lock().await;
        let duty = self.membership().duty()?;
        if duty.token > used {
            return Some(duty);
        }
        let lease = self.membership().duty_lease()?;
        let unchanged = Condition::Unchanged {
            key: self.keys.duty(),
            modified: StoreRevision(duty.token),
        };
        let token = self.put_duty(unchanged, lease.id).await?;
        self.membership().hold_duty(Duty { token });
        self.membership().duty()
    }

    fn lay_down(&self, reason: &str) {
        if self.membership().lay_down_duty() {
            self.gateway.cx.events.write(&Event::DutyLost { reason });
        }
    }
}
