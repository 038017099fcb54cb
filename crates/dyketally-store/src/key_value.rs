//! The key-value service as dyketally uses it: ranges, transactions, leases and watches.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::Stream;
use serde::{Deserialize, Serialize};

use super::error::StoreError;

/// A key of the service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(Bytes);

impl Key {
    /// Wraps the bytes of a key.
    pub fn new(key: impl Into<Bytes>) -> Self {
        Self(key.into())
    }

    /// The bytes of the key.
    pub fn as_bytes(&self) -> &Bytes {
        &self.0
    }
}

impl From<&str> for Key {
    fn from(key: &str) -> Self {
        Self(Bytes::copy_from_slice(key.as_bytes()))
    }
}

impl From<String> for Key {
    fn from(key: String) -> Self {
        Self(Bytes::from(key))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", String::from_utf8_lossy(&self.0))
    }
}

/// A revision of the whole store: one more with each transaction that changes it. Unrelated to
/// the revision of dyketally's configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// The revision after this one.
    pub fn next(self) -> Self {
        StoreRevision(self.0 + 1)
    }
}

/// A lease that the service granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// A set of neighbouring keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The first key.
    pub start: Key,
    /// The first key past the range; `None` for the one key `start`.
    pub end: Option<Key>,
}

impl KeyRange {
    /// One key.
    pub fn key(key: impl Into<Key>) -> Self {
        Self {
            start: key.into(),
            end: None,
        }
    }

    /// All keys that begin with `prefix`, which isn't empty.
    pub fn prefix(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        Self {
            start: prefix.into(),
            end: Some(Key::new(end)),
        }
    }

    /// The keys from `start` up to, and without, `end`.
    pub fn between(start: impl Into<Key>, end: impl Into<Key>) -> Self {
        Self {
            start: start.into(),
            end: Some(end.into()),
        }
    }

    /// True when `key` lies in the range.
    pub fn contains(&self, key: &Key) -> bool {
        match &self.end {
            None => key == &self.start,
            Some(end) => key >= &self.start && key < end,
        }
    }
}

/// The order of a range's entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyOrder {
    /// Smallest key first.
    #[default]
    Ascending,
    /// Greatest key first.
    Descending,
}

/// How new the entries of a range have to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// As new as the last change that was acknowledged.
    #[default]
    Linearizable,
    /// May be seconds old, but is cheaper.
    Stale,
}

/// Reads the entries of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// The keys to read.
    pub range: KeyRange,
    /// Entries to return at most; zero for all.
    pub limit: u32,
    /// The order of the entries.
    pub order: KeyOrder,
    /// The revision to read at; `None` for the newest.
    pub at: Option<StoreRevision>,
    /// How new the entries have to be. A store may answer with newer ones than asked for.
    pub consistency: Consistency,
    /// Length of the answer from which on it isn't worth its transfer, in bytes as they are sent; `None`
    /// for any. A store may answer with more all the same.
    pub longest: Option<usize>,
}

impl RangeRequest {
    /// Reads all of `range` at the newest revision.
    pub fn all(range: KeyRange) -> Self {
        Self {
            range,
            limit: 0,
            order: KeyOrder::Ascending,
            at: None,
            consistency: Consistency::Linearizable,
            longest: None,
        }
    }

    /// Reads all of `range`, as it may have been some seconds ago.
    pub fn stale(range: KeyRange) -> Self {
        Self {
            consistency: Consistency::Stale,
            ..Self::all(range)
        }
    }

    /// Gives up an answer that is longer than `bytes` before it is transferred.
    pub fn unless_longer_than(self, bytes: usize) -> Self {
        Self {
            longest: Some(bytes),
            ..self
        }
    }
}

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// The revision at which the key was created.
    pub created: StoreRevision,
    /// The revision at which the value was last put.
    pub modified: StoreRevision,
    /// The lease that the key is deleted with.
    pub lease: Option<LeaseId>,
}

/// The entries of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeReply {
    /// The revision of the store when it answered.
    pub store_revision: StoreRevision,
    /// The entries.
    pub entries: Vec<Entry>,
    /// True when the limit left entries out.
    pub more: bool,
}

/// Sets one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PutRequest {
    /// The key.
    pub key: Key,
    /// Its new value.
    pub value: Bytes,
    /// The lease to delete the key with.
    pub lease: Option<LeaseId>,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The key doesn't exist.
    Absent {
        /// The key.
        key: Key,
    },
    /// The key was last put at this revision.
    Unchanged {
        /// The key.
        key: Key,
        /// The revision at which the caller saw the key modified.
        modified: StoreRevision,
    },
    /// The key holds this value.
    Holds {
        /// The key.
        key: Key,
        /// The value.
        value: Bytes,
    },
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Set a key.
    Put(PutRequest),
    /// Delete all keys of a range.
    Delete(KeyRange),
    /// Read a range.
    Range(RangeRequest),
}

/// Carries out `then` if all conditions hold, else `otherwise`; atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TransactionRequest {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Carried out if they hold.
    pub then: Vec<Operation>,
    /// Carried out if one doesn't.
    pub otherwise: Vec<Operation>,
}

impl TransactionRequest {
    /// True when neither branch changes a key.
    pub fn only_reads(&self) -> bool {
        let mut operations = self.then.iter().chain(&self.otherwise);
        operations.all(|operation| matches!(operation, Operation::Range(_)))
    }
}

/// The result of one step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationResult {
    /// The key was set.
    Put,
    /// The keys were deleted.
    Deleted {
        /// How many there were.
        count: u64,
    },
    /// What was read.
    Range(RangeReply),
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionReply {
    /// The revision of the store after the transaction.
    pub store_revision: StoreRevision,
    /// True when the conditions held.
    pub succeeded: bool,
    /// One result for each operation of the branch taken, in order.
    pub results: Vec<OperationResult>,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: LeaseId,
    /// Time until it lapses unless it is kept alive.
    pub time_to_live: Duration,
}

/// Follows the changes of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The keys to watch.
    pub range: KeyRange,
    /// The first revision to report.
    pub from: StoreRevision,
    /// Longest time until the next batch, which is empty if nothing changed: it shows that the watch
    /// still stands. `None` for as long as the store likes; stores that push changes may ignore it.
    pub longest_quiet: Option<Duration>,
}

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchEvent {
    /// The key was set.
    Put(Entry),
    /// The key was deleted.
    Deleted {
        /// The key.
        key: Key,
        /// The revision of the deletion.
        store_revision: StoreRevision,
    },
}

/// Changes of a watch, in the order of their revisions. Never splits one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// The revision of the store up to which the watch has reported.
    pub store_revision: StoreRevision,
    /// The changes; empty in the first batch, which tells that the watch is established.
    pub events: Vec<WatchEvent>,
}

/// The batches of a watch. Ends, or yields an error as its last item, when the watch is lost.
pub type WatchStream = Pin<Box<dyn Stream<Item = Result<WatchBatch, StoreError>> + Send>>;

/// A key-value service with transactions, leases and watches.
///
/// A method that changes the store fails with [`StoreError::Undetermined`] when the change may
/// have taken effect; after any other error but [`StoreError::Malformed`] it has not.
#[async_trait]
pub trait KeyValueStore: Send + Sync {
    /// Reads a range.
    async fn range(&self, request: RangeRequest) -> Result<RangeReply, StoreError>;

    /// Carries out a transaction.
    async fn transact(&self, request: TransactionRequest) -> Result<TransactionReply, StoreError>;

    /// Sets one key whatever its value; returns the revision of the change.
    async fn put(&self, request: PutRequest) -> Result<StoreRevision, StoreError>;

    /// Takes a lease of at least `time_to_live`, rounded up to whole seconds.
    async fn grant_lease(&self, time_to_live: Duration) -> Result<Lease, StoreError>;

    /// Renews a lease; returns the time until it lapses.
    async fn keep_lease_alive(&self, lease: LeaseId) -> Result<Duration, StoreError>;

    /// Ends a lease and deletes its keys.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Follows a range. The first batch tells that the watch is established.
    async fn watch(&self, request: WatchRequest) -> Result<WatchStream, StoreError>;
}
