//! What the process has done since its start.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use serde::Serialize;

/// One count.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }
}

impl Serialize for Counter {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.0.get())
    }
}

/// Counts by kind; of messages to other nodes their bytes by kind or by zone, without the headers of
/// the network.
#[derive(Debug, Default, Serialize)]
#[serde(transparent)]
pub struct CountsByKind(RefCell<BTreeMap<String, u64>>);

impl CountsByKind {
    /// Counts `count` more of `kind`.
    pub fn add(&self, kind: &str, more: usize) {
        let mut counts = self.0.borrow_mut();
        match counts.get_mut(kind) {
            Some(count) => *count += more as u64,
            None => {
                counts.insert(kind.to_owned(), more as u64);
            }
        }
    }
}

/// All counts. Names are documented in `docs/logs.md`.
#[derive(Debug, Default, Serialize)]
pub struct Counters {
    /// Sessions opened.
    pub sessions: Counter,
    /// Connections of callers that were refused since this node had no room for them.
    pub sessions_refused: Counter,
    /// Single statements and statements of transactions that succeeded.
    pub served: Counter,
    /// Statements that failed.
    pub failed: Counter,
    /// Operations and sessions refused since no tenant has the caller's key.
    pub unknown_keys: Counter,
    /// Operations and sessions refused since the node can't know whether the caller's key still stands.
    pub keys_uncertain: Counter,
    /// Operations refused since their tenant has used up its quota.
    pub over_quota: Counter,
    /// Operations decided on without an accountant of the tenant's quota.
    pub permits_alone: Counter,
    /// Single reads that a replica answered.
    pub reads_at_replicas: Counter,
    /// Single reads that a primary answered.
    pub reads_at_primaries: Counter,
    /// Single reads that had to be answered by a primary, by their route.
    pub reads_bound_to_primaries: Counter,
    /// Reads that a replica refused because it was behind.
    pub reads_behind: Counter,
    /// Attempts beyond the first of a statement.
    pub further_attempts: Counter,
    /// Empty transactions that asked a primary for its position.
    pub confirmations: Counter,
    /// Sendings to databases that were denied, by reason.
    pub denied: CountsByKind,
    /// Bytes sent to other nodes, by kind of message.
    pub sent_bytes: CountsByKind,
    /// The same by zone of the receiver.
    pub sent_bytes_by_zone: CountsByKind,
    /// Bytes sent to nodes of other regions, by kind of message.
    pub sent_bytes_far: CountsByKind,
    /// Calls to the store.
    #[serde(flatten)]
    pub store: Arc<StoreCalls>,
}

impl Counters {
    /// Counts from zero; `store` is counted by the metered store.
    pub fn new(store: Arc<StoreCalls>) -> Self {
        Self {
            store,
            ..Self::default()
        }
    }
}

/// Calls since the start of the process, failed ones included. Names are documented in
/// `docs/logs.md`.
#[derive(Debug, Default, Serialize)]
pub struct StoreCalls {
    /// Ranges read, but for stale ones.
    pub(crate) store_reads: AtomicU64,
    /// Ranges read that may be some seconds old.
    pub(crate) store_stale_reads: AtomicU64,
    /// Transactions and single keys written.
    pub(crate) store_writes: AtomicU64,
    /// Waits for changes that ended.
    pub(crate) store_watches: AtomicU64,
    /// Leases granted or ended.
    pub(crate) store_leases: AtomicU64,
    /// Leases renewed.
    pub(crate) store_renewals: AtomicU64,
    /// Bytes of keys and values that the store sent, before they are encoded.
    pub(crate) store_received_bytes: AtomicU64,
    /// Bytes of keys and values that the store was sent.
    pub(crate) store_sent_bytes: AtomicU64,
}
