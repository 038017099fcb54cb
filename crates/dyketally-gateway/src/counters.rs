//! Counters of the process since its start, which are written to the log.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use serde::Serialize;

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }
}

impl Serialize for Counter {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.0.get())
    }
}

/// A counter for each kind. For messages to other nodes it counts bytes, without the headers of IP, TCP and
/// UDP, by kind of message or by zone.
#[derive(Debug, Default, Serialize)]
#[serde(transparent)]
pub struct CountsByKind(RefCell<BTreeMap<String, u64>>);

impl CountsByKind {
    /// Adds `more` to the count of `kind`.
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

/// All counters; `docs/logs.md` documents their names.
#[derive(Debug, Default, Serialize)]
pub struct Counters {
    /// Sessions of callers that were opened.
    pub sessions: Counter,
    /// Connections of callers that were refused since this node had no room for further sessions.
    pub sessions_refused: Counter,
    /// Statements that succeeded, single ones and those of transactions.
    pub served: Counter,
    /// Statements that failed.
    pub failed: Counter,
    /// Operations and sessions refused since no tenant has the caller's key.
    pub unknown_keys: Counter,
    /// Operations and sessions refused since the node can't determine whether the caller's key is still
    /// valid.
    pub keys_uncertain: Counter,
    /// Operations refused since their tenant has used up its quota.
    pub over_quota: Counter,
    /// Operations decided on by this node alone, without an accountant of the tenant's quota.
    pub permits_alone: Counter,
    /// Single reads that a replica answered.
    pub reads_at_replicas: Counter,
    /// Single reads that a primary answered.
    pub reads_at_primaries: Counter,
    /// Single reads whose route requires a primary.
    pub reads_bound_to_primaries: Counter,
    /// Reads that a replica refused because its log was behind the required position.
    pub reads_behind: Counter,
    /// Attempts at statements beyond the first attempt of each.
    pub further_attempts: Counter,
    /// Empty transactions that were run to get the log position of a primary.
    pub confirmations: Counter,
    /// Denied attempts to send to databases, by reason.
    pub denied: CountsByKind,
    /// Bytes sent to other nodes, by kind of message.
    pub sent_bytes: CountsByKind,
    /// Bytes sent to other nodes, by zone of the receiver.
    pub sent_bytes_by_zone: CountsByKind,
    /// Bytes sent to nodes of other regions, by kind of message.
    pub sent_bytes_far: CountsByKind,
    /// Calls to the store.
    #[serde(flatten)]
    pub store: Arc<StoreCalls>,
}

impl Counters {
    /// All counters at zero; the metered store shares `store` and counts in it.
    pub fn new(store: Arc<StoreCalls>) -> Self {
        Self {
            store,
            ..Self::default()
        }
    }
}

/// Calls to the store since the start of the process, including failed ones; `docs/logs.md` documents the
/// names.
#[derive(Debug, Default, Serialize)]
pub struct StoreCalls {
    /// Reads of key ranges that return current data.
    pub(crate) store_reads: AtomicU64,
    /// Reads of key ranges that may return data some seconds old.
    pub(crate) store_stale_reads: AtomicU64,
    /// Writes, each of a transaction or of a single key.
    pub(crate) store_writes: AtomicU64,
    /// Waits for changes of keys that returned.
    pub(crate) store_watches: AtomicU64,
    /// Calls that granted or ended a lease.
    pub(crate) store_leases: AtomicU64,
    /// Calls that renewed a lease.
    pub(crate) store_renewals: AtomicU64,
    /// Bytes of keys and values received from the store, without the encoding of its protocol.
    pub(crate) store_received_bytes: AtomicU64,
    /// Bytes of keys and values sent to the store, without the encoding of its protocol.
    pub(crate) store_sent_bytes: AtomicU64,
}
