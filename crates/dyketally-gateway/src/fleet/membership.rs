//! What is known of the nodes that run and of the duty of replacing primaries. Both are keys in the
//! store that are bound to leases; `member` and `duty` keep this node's.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dyketally::failover::{FenceId, GRANTS_SETTLE};
use dyketally::identifiers::{DatabaseName, GroupName, Locality, NodeName};
use dyketally::placement::{Candidate, LinkClass};
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Entry, Key, KeyValueStore, LeaseId, Operation, PutRequest, WatchEvent,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use dyketally_store::update::StoreUpdate;

/// The duty is laid down this long before its lease can end.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Silence after which the store counts as lost, once a call has failed.
const STORE_LOST: Duration = Duration::from_millis(1_800);
/// How long a node counts as holder that said so itself, until the store confirms it.
const HEARSAY_HOLDS: Duration = Duration::from_secs(3);

/// How long a node whose key is gone is taken for one that may still run, cut off from the store.
const DEPARTED_REMEMBERED: Duration = Duration::from_secs(30);

/// Relays named by seeds that are remembered.
const NAMED_RELAYS_AT_MOST: usize = 8;

const NODES: &str = "nodes/";
const DUTY: &str = "duty/primary-control";
const FENCES: &str = "fences/";

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
    /// How much its link carries; nodes of older builds don't tell.
    #[serde(default)]
    pub link: LinkClass,
}

impl NodeRecord {
    /// The node as a candidate for placement.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            node: &self.node,
            locality: &self.locality,
            weight: self.weight,
            leaving: false,
            link: self.link,
        }
    }
}

/// This node's keys in the store.
#[derive(Clone, Debug)]
pub struct Keys {
    prefix: String,
    record: NodeRecord,
}

impl Keys {
    /// The keys of the node that `record` describes, below `prefix`.
    pub fn new(prefix: String, record: NodeRecord) -> Self {
        Self { prefix, record }
    }

    /// What this node keeps there.
    pub fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// The key of this node.
    pub fn node(&self) -> Key {
        self.of_node(&self.record.node)
    }

    /// The key of a node.
    pub fn of_node(&self, name: &NodeName) -> Key {
        Key::from(format!("{}{NODES}{name}", self.prefix))
    }

    /// The key of the duty.
    pub fn duty(&self) -> Key {
        Key::from(format!("{}{DUTY}", self.prefix))
    }

    /// The key that tells that a primary is being replaced.
    pub fn fence(&self, database: &DatabaseName) -> Key {
        Key::from(format!("{}{FENCES}{database}", self.prefix))
    }

    /// The database that `key` tells of, if it is one of [`Keys::fence`].
    pub fn fenced(&self, key: &Key) -> Option<DatabaseName> {
        let text = key.to_string();
        let database = text.strip_prefix(&self.prefix)?.strip_prefix(FENCES)?;
        Some(DatabaseName::from(database))
    }

    /// Puts the round of a fence under `key`, one of [`Keys::fence`], for as long as `lease` runs.
    pub fn put_fence(key: Key, id: FenceId, lease: LeaseId) -> Operation {
        Operation::Put(PutRequest {
            key,
            value: Bytes::from(id.0.to_string()),
            lease: Some(lease),
        })
    }

    /// The database and the round that an entry tells of, if its key is one of [`Keys::fence`].
    pub fn fence_of(&self, entry: &Entry) -> Option<(DatabaseName, FenceId)> {
        let database = self.fenced(&entry.key)?;
        let text = std::str::from_utf8(&entry.value).ok();
        let id = text.and_then(|text| text.parse().ok());
        // A fence that tells no round is taken for one of its own.
        Some((database, FenceId(id.unwrap_or(entry.modified.0))))
    }

    /// Puts this node's record under `key`, for as long as `lease` runs.
    pub fn put(&self, key: Key, lease: LeaseId) -> Operation {
        let value = serde_json::to_vec(&self.record).unwrap_or_default();
        Operation::Put(PutRequest {
            key,
            value: Bytes::from(value),
            lease: Some(lease),
        })
    }
}

/// The duty as this node holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duty {
    /// The fencing token.
    pub token: u64,
}

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// The lease.
    pub id: LeaseId,
    /// Until when it surely runs.
    pub until: Instant,
}

/// The duty's key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Who has the duty.
    pub record: NodeRecord,
    /// The lease that the key is bound to.
    pub lease: Option<LeaseId>,
}

/// What is known of the nodes and the duty.
#[derive(Default)]
pub struct Membership {
    /// Told when the nodes that run have changed.
    pub nodes_changed: Notify,
    /// Told when something needs the attention of the node that replaces primaries.
    pub attention: Notify,
    /// Told when the store answers again after a call that failed.
    pub store_regained: Notify,
    /// Told when it matters whether the store can be reached.
    pub check_store: Notify,
    /// Told when the duty seems to be free, or held by a former process of this node.
    pub duty_free: Notify,
    /// Primaries that some node suspects, and since when.
    pub suspicions: RefCell<HashMap<(GroupName, DatabaseName), Instant>>,
    nodes: RefCell<BTreeMap<NodeName, NodeRecord>>,
    /// True once the nodes' keys were read.
    known: Cell<bool>,
    /// Relays that seeds named.
    named_relays: RefCell<Vec<SocketAddr>>,
    /// Nodes whose key is gone, and since when.
    departed: RefCell<BTreeMap<NodeName, (NodeRecord, Instant)>>,
    holder: RefCell<Option<Holder>>,
    /// Where the last holder heard others whose key went, and since when it is gone.
    former_holder: Cell<Option<(SocketAddr, Instant)>>,
    heard_holder: RefCell<Option<(NodeRecord, Instant)>>,
    duty_lease: Cell<Option<HeldLease>>,
    duty: Cell<Option<Duty>>,
    /// When this node took the duty that it holds.
    duty_taken: Cell<Option<Instant>>,
    store_contact: Cell<Option<Instant>>,
    store_failing: Cell<bool>,
}

impl Membership {
    /// Nodes that run, this one included.
    pub fn node_count(&self) -> usize {
        self.nodes.borrow().len().max(1)
    }

    /// True once it is known which nodes run.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Takes in which relays a seed names.
    pub fn heard_of_relays(&self, relays: Vec<SocketAddr>) {
        let mut named = self.named_relays.borrow_mut();
        for relay in relays {
            if !named.contains(&relay) && named.len() < NAMED_RELAYS_AT_MOST {
                named.push(relay);
            }
        }
        drop(named);
        self.nodes_changed.notify_waiters();
    }

    /// Relays that seeds named.
    pub fn named_relays(&self) -> Vec<SocketAddr> {
        self.named_relays.borrow().clone()
    }

    /// The nodes that run, by name.
    pub fn nodes(&self) -> Ref<'_, BTreeMap<NodeName, NodeRecord>> {
        self.nodes.borrow()
    }

    /// The other nodes' addresses.
    pub fn others(&self, own: &NodeName) -> Vec<SocketAddr> {
        let nodes = self.nodes.borrow();
        let others = nodes.values().filter(|record| record.node != *own);
        others.map(|record| record.address).collect()
    }

    /// Takes in what the store holds of nodes and duty, or a change of it; `keys` are this node's.
    pub fn take_in(&self, update: StoreUpdate, keys: &Keys) {
        match update {
            StoreUpdate::All(entries) => {
                self.known.set(true);
                let listed = std::mem::take(&mut *self.nodes.borrow_mut());
                listed.into_values().for_each(|node| self.departed(node));
                self.holder.take();
                for entry in entries {
                    self.take_entry(&entry, keys);
                }
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => self.take_entry(&entry, keys),
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => self.take_deletion(&key, keys),
        }
        self.nodes_changed.notify_waiters();
        let holder = self.holder.borrow();
        let record = holder.as_ref().map(|holder| &holder.record);
        let is_free = record.is_none();
        let is_own = record == Some(keys.record());
        if is_free || is_own != self.duty.get().is_some() {
            self.duty_free.notify_one();
        }
    }

    fn take_entry(&self, entry: &Entry, keys: &Keys) {
        if keys.fenced(&entry.key).is_some() {
            return;
        }
        let Ok(record) = serde_json::from_slice::<NodeRecord>(&entry.value) else {
            return;
        };
        if entry.key == keys.duty() {
            self.learn_duty(entry);
        } else {
            let name = record.node.clone();
            self.departed.borrow_mut().remove(&name);
            self.nodes.borrow_mut().insert(name, record);
        }
    }

    /// Takes in the duty's key as it stands in the store.
    pub fn learn_duty(&self, entry: &Entry) {
        let Ok(record) = serde_json::from_slice::<NodeRecord>(&entry.value) else {
            return;
        };
        let lease = entry.lease;
        self.heard_holder.take();
        *self.holder.borrow_mut() = Some(Holder { record, lease });
    }

    fn departed(&self, node: NodeRecord) {
        let mut departed = self.departed.borrow_mut();
        departed.retain(|_, (_, at)| at.elapsed() < DEPARTED_REMEMBERED);
        departed.insert(node.node.clone(), (node, Instant::now()));
    }

    /// Takes in that a node's process has ended.
    pub fn ended(&self, node: &NodeName) {
        self.departed.borrow_mut().remove(node);
    }

    /// The nodes that run in the same region as a database at `locality`.
    pub fn near(&self, locality: &Locality) -> HashSet<SocketAddr> {
        let nodes = self.nodes.borrow();
        let near = nodes
            .values()
            .filter(|node| node.locality.region == locality.region);
        near.map(|node| node.address).collect()
    }

    /// The addresses of all other nodes that may still run, whether or not the store lists them.
    pub fn electorate(&self, own: &NodeName) -> Vec<SocketAddr> {
        let departed = self.departed.borrow();
        let departed = departed.values();
        let remembered =
            departed.filter(|(node, at)| node.node != *own && at.elapsed() < DEPARTED_REMEMBERED);
        let mut addresses = self.others(own);
        addresses.extend(remembered.map(|(node, _)| node.address));
        addresses
    }

    fn take_deletion(&self, key: &Key, keys: &Keys) {
        if key == &keys.duty() {
            let former = self.holder.take();
            let former = former.map(|holder| (holder.record.address, Instant::now()));
            self.former_holder.set(former.or(self.former_holder.get()));
            return;
        }
        let text = key.to_string();
        if let Some((_, name)) = text.rsplit_once('/') {
            let node = self.nodes.borrow_mut().remove(&NodeName::new(name));
            node.into_iter().for_each(|node| self.departed(node));
        }
    }

    /// The duty's key, as far as it is known.
    pub fn duty_key(&self) -> Option<Holder> {
        self.holder.borrow().clone()
    }

    /// Takes in that this node holds the duty's key.
    pub fn set_holder(&self, holder: Holder) {
        *self.holder.borrow_mut() = Some(holder);
    }

    /// Takes in that a node says that it has the duty. The store's word goes first.
    pub fn heard_of_holder(&self, record: NodeRecord) {
        *self.heard_holder.borrow_mut() = Some((record, Instant::now()));
    }

    /// Where the node hears others that says it has the duty, if it said so lately.
    pub fn heard_holder(&self) -> Option<SocketAddr> {
        let heard = self.heard_holder.borrow();
        let (record, at) = heard.as_ref()?;
        (at.elapsed() < HEARSAY_HOLDS).then_some(record.address)
    }

    /// Where the node heard others that held the duty until its lease lapsed, if that was lately.
    pub fn former_holder(&self) -> Option<SocketAddr> {
        let (address, since) = self.former_holder.get()?;
        (since.elapsed() < DEPARTED_REMEMBERED).then_some(address)
    }

    /// Where the node with the duty hears other nodes.
    pub fn holder(&self) -> Option<SocketAddr> {
        let holder = self.holder.borrow();
        let known = holder.as_ref().map(|holder| holder.record.address);
        known.or_else(|| self.heard_holder())
    }

    /// True when the store fails this node and has been silent for a while.
    pub fn store_lost(&self) -> bool {
        let contact = self.store_contact.get();
        self.store_failing.get() && contact.is_some_and(|at| at.elapsed() > STORE_LOST)
    }

    /// True when the last renewal found the store failing.
    pub fn store_is_failing(&self) -> bool {
        self.store_failing.get()
    }

    /// Takes in that the store answered. Whoever hears of it first after a failure tells the others:
    /// a watch that was lost with the store says nothing by itself.
    pub fn store_answered(&self) {
        self.store_contact.set(Some(Instant::now()));
        if self.store_failing.replace(false) {
            self.store_regained.notify_waiters();
        }
    }

    /// Takes in that the store didn't answer a renewal.
    pub fn store_failed(&self) {
        self.store_failing.set(true);
    }

    /// Renews a lease at `store`, and takes in what that tells of the store.
    ///
    /// # Errors
    /// The lease has lapsed, or the store didn't answer.
    pub async fn renew(
        &self,
        store: &dyn KeyValueStore,
        lease: LeaseId,
    ) -> Result<Duration, StoreError> {
        let renewed = store.keep_lease_alive(lease).await;
        match &renewed {
            Ok(_) => self.store_answered(),
            // The store answered, but whether it is well again the next call tells.
            Err(StoreError::LeaseLapsed { .. }) => {}
            Err(_) => self.store_failed(),
        }
        renewed
    }

    /// The duty, if this node held it last as far as it knows, even if its lease may have ended.
    /// Nobody else can have taken it while no node reaches the store.
    pub fn last_duty(&self) -> Option<Duty> {
        self.duty.get()
    }

    /// The lease of the duty, if this node holds it.
    pub fn duty_lease(&self) -> Option<HeldLease> {
        self.duty_lease.get()
    }

    /// The duty, if this node holds it and its lease surely runs.
    pub fn duty(&self) -> Option<Duty> {
        let lease = self.duty_lease.get()?;
        let runs = Instant::now() + LEASE_MARGIN < lease.until;
        self.duty.get().filter(|_| runs)
    }

    /// Takes in that this node holds the duty.
    pub fn hold_duty(&self, duty: Duty) {
        if self.duty.replace(Some(duty)).is_none() {
            self.duty_taken.set(Some(Instant::now()));
        }
    }

    /// True while this node may grant others the short contact: it alone surely holds the duty, and has
    /// for long enough.
    pub fn grants_contact(&self) -> bool {
        let taken = self.duty_taken.get();
        let is_settled = taken.is_some_and(|at| at.elapsed() >= GRANTS_SETTLE);
        is_settled && self.duty().is_some()
    }

    /// Takes in until when the duty's lease runs.
    pub fn hold_duty_lease(&self, lease: HeldLease) {
        self.duty_lease.set(Some(lease));
    }

    /// Takes in that this node no longer holds the duty; true if it did.
    pub fn lay_down_duty(&self) -> bool {
        self.duty_lease.set(None);
        self.duty_taken.set(None);
        self.duty.take().is_some()
    }
}
