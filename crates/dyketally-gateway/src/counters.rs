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

/// A counter for each kind, such as a reason, a kind of message or a zone. Bytes are counted without the headers
/// of IP, TCP and UDP.
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
    /// Connections of callers that were refused because this node had no room for further sessions.
    pub sessions_refused: Counter,
    /// Statements that succeeded, single ones and those of transactions.
    pub served: Counter,
    /// Statements that failed.
    pub failed: Counter,
    /// Operations and sessions refused because no tenant has the caller's key.
    pub unknown_keys: Counter,
    /// Operations and sessions refused because this node could not determine whether the caller's key was still
    /// valid, and transactions rolled back for the same reason.
    pub keys_uncertain: Counter,
    /// Operations refused because their tenant had used up its quota.
    pub over_quota: Counter,
    /// Operations that this node admitted or refused by its own part of the tenant's quota, because it reached no
    /// accountant (a node that keeps the tenant's token account).
    pub permits_alone: Counter,
    /// Single reads that a replica answered.
    pub reads_at_replicas: Counter,
    /// Single reads that a primary answered.
    pub reads_at_primaries: Counter,
    /// Single reads whose route requires a primary, counted again at each further attempt.
    pub reads_bound_to_primaries: Counter,
    /// Reads that a replica refused because its log was behind the required position.
    pub reads_behind: Counter,
    /// Attempts at statements beyond the first attempt of each.
    pub further_attempts: Counter,
    /// Empty transactions that this node sent to confirm that a database is the primary and to get its log
    /// position.
    pub confirmations: Counter,
    /// Batches that were not allowed to be sent to a database, by reason.
    pub denied: CountsByKind,
    /// Bytes sent to other nodes, by kind of message.
    pub sent_bytes: CountsByKind,
    /// Bytes sent to other nodes, by zone of the receiver.
    pub sent_bytes_by_zone: CountsByKind,
    /// Bytes sent to nodes outside this node's region, by kind of message; also part of `sent_bytes`.
    pub sent_bytes_far: CountsByKind,
    /// How often each limit for callers acted, by the limit's name.
    pub limited: CountsByKind,
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
    /// Replies to watches of keys: batches of changes, and errors. The first batch of each watch isn't counted, since
    /// the client makes it without a message from the store.
    pub(crate) store_watches: AtomicU64,
    /// Calls that granted or ended a lease.
    pub(crate) store_leases: AtomicU64,
    /// Calls that renewed a lease.
    pub(crate) store_renewals: AtomicU64,
    /// Bytes of keys and values in results of range reads and in changes reported by watches. Not counted: the
    /// encoding of the protocol, and the replies to writes and leases.
    pub(crate) store_received_bytes: AtomicU64,
    /// Bytes of keys and values that puts send to the store, alone or in transactions. Not counted: the encoding of
    /// the protocol, deletions, conditions, reads and leases.
    pub(crate) store_sent_bytes: AtomicU64,
}
