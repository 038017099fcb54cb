//! This node's knowledge of which node is the failover coordinator, the node that replaces primaries.
//!
//! The coordinator holds a lease in the store. A key bound to the lease names the coordinator, and the
//! revision at which the key was put is the fencing token of the coordinator's term. `succession`
//! campaigns for the lease and renews it. Other parts look up the coordinator here and wake it when
//! something needs its attention. Relies on the records of nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dyketally::failover::NEW_COORDINATOR_GRANT_DELAY;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally_store::key_value::{Entry, LeaseId};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::membership::{DEPARTED_RETENTION, NodeRecord};

/// The coordinator stops acting this long before the earliest time at which its lease can end.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// How long a node that announced itself is treated as the coordinator before the store confirms it.
const ANNOUNCEMENT_VALIDITY: Duration = Duration::from_secs(3);

/// A period during which this node is the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The fencing token that this node sends with appointments of primaries.
    pub token: u64,
}

/// A lease in the store, as known to its holder.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// The lease.
    pub id: LeaseId,
    /// The lease doesn't end before this time.
    pub until: Instant,
}

/// The coordinator's key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorRecord {
    /// The coordinator.
    pub node: NodeRecord,
    /// The lease that the key is bound to.
    pub lease: Option<LeaseId>,
}

/// Which node is the coordinator, and the term and lease of this node while it is the coordinator.
#[derive(Default)]
pub struct CoordinatorState {
    /// Notified when something needs the coordinator's attention.
    pub attention: Notify,
    /// Notified when no coordinator is known, or when the store and this node disagree on whether this
    /// node is the coordinator, for example because the key is from an earlier process of this node.
    pub vacant: Notify,
    /// Primaries that some node suspects, each with the time since when.
    pub suspicions: RefCell<HashMap<(GroupName, DatabaseName), Instant>>,
    record: RefCell<Option<CoordinatorRecord>>,
    /// Address of the last coordinator whose key was deleted, and the time of the deletion.
    former: Cell<Option<(SocketAddr, Instant)>>,
    /// The node that last announced itself as coordinator, and the time of the announcement.
    announced: RefCell<Option<(NodeRecord, Instant)>>,
    lease: Cell<Option<HeldLease>>,
    term: Cell<Option<Term>>,
    /// When this node's term began; `None` while it isn't the coordinator.
    term_began: Cell<Option<Instant>>,
}

impl CoordinatorState {
    /// The coordinator's key; `None` while it isn't known.
    pub fn record(&self) -> Option<CoordinatorRecord> {
        self.record.borrow().clone()
    }

    /// Records the coordinator's key.
    pub fn set_record(&self, record: CoordinatorRecord) {
        *self.record.borrow_mut() = Some(record);
    }

    /// Records the coordinator's key as the store holds it; ignores an entry that isn't a node's record.
    pub fn record_entry(&self, entry: &Entry) {
        let Some(node) = NodeRecord::read(entry) else {
            return;
        };
        self.announced.take();
        self.set_record(CoordinatorRecord {
            node,
            lease: entry.lease,
        });
    }

    /// Clears the record of the coordinator's key, before all keys are read again.
    pub fn forget_record(&self) {
        self.record.take();
    }

    /// Records that the coordinator's key was deleted.
    pub fn record_deleted(&self) {
        let former = self.record.take();
        let former = former.map(|record| (record.node.address, Instant::now()));
        self.former.set(former.or(self.former.get()));
    }

    /// Wakes the task that campaigns for the lease if no coordinator is known, or if the coordinator's
    /// key and this node disagree on whether this node is the coordinator. `own` is this node's record.
    pub fn check_vacancy(&self, own: &NodeRecord) {
        let record = self.record.borrow();
        let node = record.as_ref().map(|record| &record.node);
        let is_own = node == Some(own);
        if node.is_none() || is_own != self.term.get().is_some() {
            self.vacant.notify_one();
        }
    }

    /// Records that a node announced itself as coordinator. A record from the store takes precedence.
    pub fn receive_announcement(&self, node: NodeRecord) {
        *self.announced.borrow_mut() = Some((node, Instant::now()));
    }

    /// The address of the node that announced itself as coordinator, while the announcement is valid.
    pub fn announced_address(&self) -> Option<SocketAddr> {
        let announced = self.announced.borrow();
        let (node, at) = announced.as_ref()?;
        (at.elapsed() < ANNOUNCEMENT_VALIDITY).then_some(node.address)
    }

    /// The address of the last coordinator whose key was deleted, if that node may still run.
    pub fn former_address(&self) -> Option<SocketAddr> {
        let (address, since) = self.former.get()?;
        (since.elapsed() < DEPARTED_RETENTION).then_some(address)
    }

    /// The coordinator's address for messages of other nodes: from its key, else from its announcement.
    pub fn address(&self) -> Option<SocketAddr> {
        let record = self.record.borrow();
        let known = record.as_ref().map(|record| record.node.address);
        known.or_else(|| self.announced_address())
    }

    /// This node's term until it resigns, even if its lease may have ended. No other node can have become
    /// coordinator while no node reaches the store.
    pub fn last_term(&self) -> Option<Term> {
        self.term.get()
    }

    /// This node's term, if it is the coordinator and its lease lasts for at least `LEASE_MARGIN`.
    pub fn term(&self) -> Option<Term> {
        let lease = self.lease.get()?;
        let runs = Instant::now() + LEASE_MARGIN < lease.until;
        self.term.get().filter(|_| runs)
    }

    /// The coordinator's lease, if this node holds it.
    pub fn lease(&self) -> Option<HeldLease> {
        self.lease.get()
    }

    /// Records that this node holds the coordinator's lease, and until when the lease lasts.
    pub fn set_lease(&self, lease: HeldLease) {
        self.lease.set(Some(lease));
    }

    /// Records that this node is the coordinator, or that its token has changed.
    pub fn set_term(&self, term: Term) {
        if self.term.replace(Some(term)).is_none() {
            self.term_began.set(Some(Instant::now()));
        }
    }

    /// True while this node may grant contact to other nodes: its lease lasts, and its term began at least
    /// [`NEW_COORDINATOR_GRANT_DELAY`] ago.
    pub fn may_grant(&self) -> bool {
        let began = self.term_began.get();
        let is_settled = began.is_some_and(|at| at.elapsed() >= NEW_COORDINATOR_GRANT_DELAY);
        is_settled && self.term().is_some()
    }

    /// Records that this node is no longer the coordinator; returns true if it was.
    pub fn resign(&self) -> bool {
        self.lease.set(None);
        self.term_began.set(None);
        self.term.take().is_some()
    }
}
