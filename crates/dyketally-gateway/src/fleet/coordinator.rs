//! Which node is the failover coordinator, the one that replaces primaries, as far as this node knows.
//!
//! The coordinator holds a lease in the store; its key names it, and the revision at which the key was
//! put is the fencing token of its term. `succession` campaigns for the lease and keeps it. Other parts
//! read from here who the coordinator is, and report to it what needs its attention. Relies on
//! the records of nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dyketally::failover::GRANTS_SETTLE;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally_store::key_value::{Entry, LeaseId};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::membership::{DEPARTED_REMEMBERED, NodeRecord};

/// The coordinator acts no longer this long before its lease can end. Not measured.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// How long a node counts as coordinator that announced itself, until the store confirms it. Not
/// measured.
const ANNOUNCEMENT_HOLDS: Duration = Duration::from_secs(3);

/// The time during which this node is the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The fencing token of appointments.
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

/// The coordinator's key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorRecord {
    /// The node.
    pub node: NodeRecord,
    /// The lease that the key is bound to.
    pub lease: Option<LeaseId>,
}

/// Who the coordinator is, and this node's term while it is the one.
#[derive(Default)]
pub struct CoordinatorState {
    /// Notified when something needs the coordinator's attention.
    pub attention: Notify,
    /// Notified when there seems to be no coordinator, or a former process of this node.
    pub vacant: Notify,
    /// Primaries that some node suspects, and since when.
    pub suspicions: RefCell<HashMap<(GroupName, DatabaseName), Instant>>,
    record: RefCell<Option<CoordinatorRecord>>,
    /// Where the last coordinator listened whose key went, and since when it is gone.
    former: Cell<Option<(SocketAddr, Instant)>>,
    /// The node that announced itself, and when.
    announced: RefCell<Option<(NodeRecord, Instant)>>,
    lease: Cell<Option<HeldLease>>,
    term: Cell<Option<Term>>,
    /// When this node's term began.
    began: Cell<Option<Instant>>,
}

impl CoordinatorState {
    /// The coordinator's key, as far as it is known.
    pub fn record(&self) -> Option<CoordinatorRecord> {
        self.record.borrow().clone()
    }

    /// Records the coordinator's key.
    pub fn set_record(&self, record: CoordinatorRecord) {
        *self.record.borrow_mut() = Some(record);
    }

    /// Records the coordinator's key as it stands in the store.
    pub fn learn(&self, entry: &Entry) {
        let Some(node) = NodeRecord::read(entry) else {
            return;
        };
        self.announced.take();
        self.set_record(CoordinatorRecord {
            node,
            lease: entry.lease,
        });
    }

    /// Forgets the coordinator's key before all keys are read anew.
    pub fn forget_record(&self) {
        self.record.take();
    }

    /// Records that the coordinator's key was deleted.
    pub fn record_deleted(&self) {
        let former = self.record.take();
        let former = former.map(|record| (record.node.address, Instant::now()));
        self.former.set(former.or(self.former.get()));
    }

    /// Wakes the task that campaigns if there is no coordinator by what is known, or if this node, which
    /// keeps `own` in the store, is wrong about being the one.
    pub fn check_vacancy(&self, own: &NodeRecord) {
        let record = self.record.borrow();
        let node = record.as_ref().map(|record| &record.node);
        let is_own = node == Some(own);
        if node.is_none() || is_own != self.term.get().is_some() {
            self.vacant.notify_one();
        }
    }

    /// Records that a node announced itself as coordinator. What the store holds goes first.
    pub fn receive_announcement(&self, node: NodeRecord) {
        *self.announced.borrow_mut() = Some((node, Instant::now()));
    }

    /// Where the node listens that announced itself as coordinator, if it did so lately.
    pub fn announced(&self) -> Option<SocketAddr> {
        let announced = self.announced.borrow();
        let (node, at) = announced.as_ref()?;
        (at.elapsed() < ANNOUNCEMENT_HOLDS).then_some(node.address)
    }

    /// Where the node listened that was coordinator until its lease lapsed, if that was lately.
    pub fn former(&self) -> Option<SocketAddr> {
        let (address, since) = self.former.get()?;
        (since.elapsed() < DEPARTED_REMEMBERED).then_some(address)
    }

    /// Where the coordinator listens for other nodes.
    pub fn address(&self) -> Option<SocketAddr> {
        let record = self.record.borrow();
        let known = record.as_ref().map(|record| record.node.address);
        known.or_else(|| self.announced())
    }

    /// This node's term if it was the coordinator last, even if its lease may have ended. No other node
    /// can have become coordinator while none reaches the store.
    pub fn last_term(&self) -> Option<Term> {
        self.term.get()
    }

    /// This node's term, if it is the coordinator and its lease surely runs.
    pub fn term(&self) -> Option<Term> {
        let lease = self.lease.get()?;
        let runs = Instant::now() + LEASE_MARGIN < lease.until;
        self.term.get().filter(|_| runs)
    }

    /// The coordinator's lease, if this node holds it.
    pub fn lease(&self) -> Option<HeldLease> {
        self.lease.get()
    }

    /// Records until when the coordinator's lease runs, which this node holds.
    pub fn set_lease(&self, lease: HeldLease) {
        self.lease.set(Some(lease));
    }

    /// Records that this node is the coordinator, or has another token now.
    pub fn set_term(&self, term: Term) {
        if self.term.replace(Some(term)).is_none() {
            self.began.set(Some(Instant::now()));
        }
    }

    /// True while this node may grant contact to others: it alone is surely the coordinator, and has been
    /// for long enough.
    pub fn may_grant(&self) -> bool {
        let began = self.began.get();
        let is_settled = began.is_some_and(|at| at.elapsed() >= GRANTS_SETTLE);
        is_settled && self.term().is_some()
    }

    /// Records that this node is no longer the coordinator; true if it was.
    pub fn resign(&self) -> bool {
        self.lease.set(None);
        self.began.set(None);
        self.term.take().is_some()
    }
}
