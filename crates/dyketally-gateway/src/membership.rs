//! Nodes that run, and the duty of replacing primaries: both are keys in the store that are bound
//! to a lease.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::identifiers::{DatabaseName, GroupName, Locality, NodeName};
use dyketally::placement::Candidate;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Condition, Entry, Key, KeyRange, KeyValueStore, LeaseId, Operation, PutRequest, RangeRequest,
    StoreRevision, TransactionRequest, WatchEvent,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::event::Event;
use crate::follow::StoreUpdate;
use crate::gateway::Gateway;

/// Time after which the keys of a node that is lost go.
const LEASE: Duration = Duration::from_millis(2_600);
/// Pause between two renewals of the lease.
const RENEWAL: Duration = Duration::from_millis(800);
/// Pause before a renewal that failed is tried again.
const RENEWAL_RETRY: Duration = Duration::from_millis(150);
/// The duty is laid down this long before the lease can end.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Silence after which the store counts as lost.
const STORE_LOST: Duration = Duration::from_millis(1_800);
/// Longest pause before this node tries to take a duty that is free.
const CAMPAIGN_DELAY_MS: u64 = 150;

const NODES: &str = "nodes/";
const DUTY: &str = "duty/primary-control";

/// What a node keeps in the store under its name, and the holder under the duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The node.
    pub node: NodeName,
    /// Where it hears other nodes.
    pub address: SocketAddr,
    /// Where it runs.
    pub locality: Locality,
    /// Its share of the databases relative to other nodes.
    pub weight: u16,
}

impl NodeRecord {
    /// The node as a candidate for placement.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            node: &self.node,
            locality: &self.locality,
            weight: self.weight,
            leaving: false,
        }
    }
}

/// The duty as this node holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duty {
    /// The fencing token.
    pub token: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    until: Instant,
}

/// What is known of the nodes and the duty.
#[derive(Default)]
pub struct Membership {
    /// Told when something needs the attention of the node that replaces primaries.
    pub attention: Notify,
    /// Told when the store answers again after a renewal that failed.
    pub store_regained: Notify,
    /// Primaries that some node suspects, and since when.
    pub suspicions: RefCell<HashMap<(GroupName, DatabaseName), Instant>>,
    nodes: RefCell<BTreeMap<NodeName, NodeRecord>>,
    holder: RefCell<Option<NodeRecord>>,
    lease: Cell<Option<HeldLease>>,
    duty: Cell<Option<Duty>>,
    store_contact: Cell<Option<Instant>>,
    duty_free: Notify,
}

impl Membership {
    /// Nodes that run, this one included.
    pub fn node_count(&self) -> usize {
        self.nodes.borrow().len().max(1)
    }

    /// The nodes that run, by name.
    pub fn nodes(&self) -> Ref<'_, BTreeMap<NodeName, NodeRecord>> {
        self.nodes.borrow()
    }

    /// The other nodes' addresses.
    pub fn others(&self, own: &str) -> Vec<SocketAddr> {
        let nodes = self.nodes.borrow();
        let others = nodes.values().filter(|record| record.node.as_str() != own);
        others.map(|record| record.address).collect()
    }

    /// Where the node with the duty hears other nodes.
    pub fn holder(&self) -> Option<SocketAddr> {
        self.holder.borrow().as_ref().map(|record| record.address)
    }

    /// True when this node has heard nothing from the store for a while.
    pub fn store_lost(&self) -> bool {
        let contact = self.store_contact.get();
        contact.is_some_and(|at| at.elapsed() > STORE_LOST)
    }

    /// Takes in that the store answered.
    pub fn store_answered(&self) {
        self.store_contact.set(Some(Instant::now()));
    }

    /// The duty, if this node held it last as far as it knows, even if its lease may have ended.
    /// Nobody else can have taken it while no node reaches the store.
    pub fn last_duty(&self) -> Option<Duty> {
        self.duty.get()
    }

    /// The duty, if this node holds it and its lease surely runs.
    pub fn duty(&self) -> Option<Duty> {
        let lease = self.lease.get()?;
        let runs = Instant::now() + LEASE_MARGIN < lease.until;
        self.duty.get().filter(|_| runs)
    }
}

/// Keeps this node's keys in the store.
pub struct Member {
    gateway: Rc<Gateway>,
    store: Rc<dyn KeyValueStore>,
    prefix: String,
}

impl Member {
    /// A member whose keys lie under `prefix`.
    pub fn new(gateway: Rc<Gateway>, store: Rc<dyn KeyValueStore>, prefix: String) -> Rc<Self> {
        Rc::new(Self {
            gateway,
            store,
            prefix,
        })
    }

    fn membership(&self) -> &Membership {
        &self.gateway.membership
    }

    fn record(&self) -> NodeRecord {
        let settings = &self.gateway.settings;
        NodeRecord {
            node: NodeName::new(settings.node.name.as_str()),
            address: settings.listen.peers,
            locality: self.gateway.locality(&settings.node.zone.as_str().into()),
            weight: settings.node.weight(),
        }
    }

    fn node_key(&self) -> Key {
        let name = &self.gateway.settings.node.name;
        Key::from(format!("{}{NODES}{name}", self.prefix))
    }

    fn duty_key(&self) -> Key {
        Key::from(format!("{}{DUTY}", self.prefix))
    }

    fn put_record(&self, key: Key, lease: LeaseId) -> Operation {
        let value = serde_json::to_vec(&self.record()).unwrap_or_default();
        Operation::Put(PutRequest {
            key,
            value: Bytes::from(value),
            lease: Some(lease),
        })
    }

    /// Takes in a change of the keys.
    pub fn take_in(&self, update: StoreUpdate) {
        match update {
            StoreUpdate::All(entries) => {
                self.membership().nodes.borrow_mut().clear();
                self.membership().holder.take();
                for entry in entries {
                    self.take_entry(&entry);
                }
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => self.take_entry(&entry),
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => self.take_deletion(&key),
        }
        if self.membership().holder.borrow().is_none() {
            self.membership().duty_free.notify_one();
        }
        self.gateway.apply_connection_limits();
    }

    fn take_entry(&self, entry: &Entry) {
        let Ok(record) = serde_json::from_slice::<NodeRecord>(&entry.value) else {
            return;
        };
        if entry.key == self.duty_key() {
            if record != self.record() {
                self.lay_down("another node holds the duty");
            }
            *self.membership().holder.borrow_mut() = Some(record);
        } else {
            let name = record.node.clone();
            self.membership().nodes.borrow_mut().insert(name, record);
        }
    }

    fn take_deletion(&self, key: &Key) {
        if key == &self.duty_key() {
            self.membership().holder.take();
            return;
        }
        let text = key.to_string();
        if let Some((_, name)) = text.rsplit_once('/') {
            self.membership()
                .nodes
                .borrow_mut()
                .remove(&NodeName::new(name));
        }
    }

    /// Keeps the lease, the node's key and, when it is free, the duty; forever.
    pub async fn run(self: Rc<Self>) {
        let mut joined_before = false;
        loop {
            match self.join().await {
                Ok(lease) => {
                    if std::mem::replace(&mut joined_before, true) {
                        self.membership().store_regained.notify_waiters();
                    }
                    self.hold(lease).await;
                }
                Err(_) => self.pause(RENEWAL_RETRY * 2).await,
            }
            self.lay_down("the lease ended");
            self.membership().lease.set(None);
            if self.gateway.is_stopping() {
                return;
            }
        }
    }

    async fn join(&self) -> Result<LeaseId, StoreError> {
        self.end_former_lease().await?;
        let asked = Instant::now();
        let lease = self.store.grant_lease(LEASE).await?;
        self.membership().store_answered();
        self.extend(lease.id, asked, lease.time_to_live);
        let put = self.put_record(self.node_key(), lease.id);
        self.store
            .transact(TransactionRequest {
                then: vec![put],
                ..TransactionRequest::default()
            })
            .await?;
        Ok(lease.id)
    }

    /// Ends the lease of an earlier process of this node, so that the duty is free at once.
    async fn end_former_lease(&self) -> Result<(), StoreError> {
        let request = RangeRequest::all(KeyRange::key(self.duty_key()));
        let reply = self.store.range(request).await?;
        let Some(entry) = reply.entries.first() else {
            return Ok(());
        };
        let record: Option<NodeRecord> = serde_json::from_slice(&entry.value).ok();
        let own =
            record.is_some_and(|record| record.node.as_str() == self.gateway.settings.node.name);
        match entry.lease.filter(|_| own) {
            Some(lease) => self.store.revoke_lease(lease).await,
            None => Ok(()),
        }
    }

    fn extend(&self, id: LeaseId, asked: Instant, time_to_live: Duration) {
        let until = asked + time_to_live;
        self.membership().lease.set(Some(HeldLease { id, until }));
    }

    async fn hold(&self, lease: LeaseId) {
        let mut next = Instant::now() + RENEWAL;
        let mut failed = false;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(next) => {
                    let asked = Instant::now();
                    match self.store.keep_lease_alive(lease).await {
                        Ok(time_to_live) => {
                            self.membership().store_answered();
                            self.extend(lease, asked, time_to_live);
                            next = Instant::now() + RENEWAL;
                            if std::mem::take(&mut failed) {
                                self.membership().store_regained.notify_waiters();
                            }
                        }
                        Err(StoreError::LeaseLapsed { .. }) => return,
                        Err(_) => {
                            failed = true;
                            next = Instant::now() + RENEWAL_RETRY;
                        }
                    }
                }
                () = self.membership().duty_free.notified() => self.campaign(lease).await,
            }
        }
    }

    async fn campaign(&self, lease: LeaseId) {
        if self.gateway.is_stopping() {
            return;
        }
        if self.membership().duty.get().is_some() {
            self.check_duty(lease).await;
            return;
        }
        let delay = rand::rng().random_range(0..CAMPAIGN_DELAY_MS);
        self.pause(Duration::from_millis(delay)).await;
        if self.membership().holder.borrow().is_some() {
            return;
        }
        let free = Condition::Absent {
            key: self.duty_key(),
        };
        match self.put_duty(free, lease).await {
            Some(token) => {
                *self.membership().holder.borrow_mut() = Some(self.record());
                self.membership().duty.set(Some(Duty { token }));
                self.gateway.events.write(&Event::DutyTaken { token });
                self.membership().attention.notify_one();
            }
            None => self.try_again_soon(),
        }
    }

    /// Finds out whether a duty whose key seems to be gone is still held: what is followed may be
    /// older than the key.
    async fn check_duty(&self, lease: LeaseId) {
        let request = RangeRequest::all(KeyRange::key(self.duty_key()));
        match self.store.range(request).await {
            Ok(reply) => {
                let entry = reply.entries.first();
                if entry.is_some_and(|entry| entry.lease == Some(lease)) {
                    *self.membership().holder.borrow_mut() = Some(self.record());
                } else {
                    self.lay_down("the duty's key is gone");
                    self.membership().duty_free.notify_one();
                }
            }
            Err(_) => self.try_again_soon(),
        }
    }

    /// Campaigns again if nobody took the duty meanwhile.
    fn try_again_soon(&self) {
        let gateway = self.gateway.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RENEWAL_RETRY * 2).await;
            if gateway.membership.holder.borrow().is_none() {
                gateway.membership.duty_free.notify_one();
            }
        });
    }

    /// Puts the duty's key under `condition`; the revision of the change if it took effect.
    async fn put_duty(&self, condition: Condition, lease: LeaseId) -> Option<u64> {
        let request = TransactionRequest {
            conditions: vec![condition],
            then: vec![self.put_record(self.duty_key(), lease)],
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
        let request = RangeRequest::all(KeyRange::key(self.duty_key()));
        let reply = self.store.range(request).await.ok()?;
        let entry = reply.entries.first()?;
        (entry.lease == Some(lease)).then_some(entry.modified.0)
    }

    /// Gives the duty a greater token, so that earlier appointments which are still under way
    /// are refused. `None` when the duty is lost or the store doesn't answer.
    pub async fn renew_token(&self) -> Option<Duty> {
        let duty = self.membership().duty()?;
        let lease = self.membership().lease.get()?;
        let unchanged = Condition::Unchanged {
            key: self.duty_key(),
            modified: StoreRevision(duty.token),
        };
        let token = self.put_duty(unchanged, lease.id).await?;
        let duty = Duty { token };
        self.membership().duty.set(Some(duty));
        self.membership().duty()
    }

    /// Gives back the node's keys at a planned stop.
    pub async fn leave(&self) {
        self.lay_down("the process stops");
        if let Some(lease) = self.membership().lease.get() {
            // If it fails the lease runs out by itself.
            let _ = self.store.revoke_lease(lease.id).await;
        }
    }

    fn lay_down(&self, reason: &str) {
        if self.membership().duty.take().is_some() {
            self.gateway.events.write(&Event::DutyLost { reason });
        }
    }

    async fn pause(&self, longest: Duration) {
        let share = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(longest.mul_f64(share)).await;
    }
}
