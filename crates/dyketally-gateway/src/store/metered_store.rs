//! Counts the calls of this process to the store, by kind, and the bytes of keys and values: a store may limit the
//! rate of calls or charge for them.
//!
//! Each call is passed on unchanged to the client that [`MeteredStore`] wraps. The counts are kept in
//! [`StoreCalls`], which is shared with the counters of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use dyketally_store::StoreError;
use dyketally_store::key_value::{
    Consistency, Entry, KeyValueStore, Lease, LeaseId, Operation, PutRequest, RangeReply,
    RangeRequest, StoreRevision, TransactionReply, TransactionRequest, WatchBatch, WatchEvent,
    WatchRequest, WatchStream,
};
use futures::StreamExt;

pub use crate::counters::StoreCalls;

fn add_bytes(total: &AtomicU64, bytes: usize) {
    total.fetch_add(bytes as u64, Ordering::Relaxed);
}

fn bytes_of(entries: &[Entry]) -> usize {
    let bytes = entries.iter().map(bytes_of_entry);
    bytes.sum()
}

fn bytes_of_entry(entry: &Entry) -> usize {
    entry.key.as_bytes().len() + entry.value.len()
}

fn bytes_of_batch(batch: &WatchBatch) -> usize {
    let events = batch.events.iter().map(|event| match event {
        WatchEvent::Put(entry) => bytes_of_entry(entry),
        WatchEvent::Deleted { key, .. } => key.as_bytes().len(),
    });
    events.sum()
}

fn bytes_of_put(put: &PutRequest) -> usize {
    put.key.as_bytes().len() + put.value.len()
}

fn count(calls: &AtomicU64) {
    calls.fetch_add(1, Ordering::Relaxed);
}

/// A store client whose calls are counted.
pub struct MeteredStore<S> {
    inner: S,
    calls: Arc<StoreCalls>,
}

impl<S> MeteredStore<S> {
    /// A client that forwards all calls to `inner` and counts them in `calls`.
    pub fn new(inner: S, calls: Arc<StoreCalls>) -> Self {
        Self { inner, calls }
    }
}

#[async_trait]
impl<S: KeyValueStore> KeyValueStore for MeteredStore<S> {
    async fn range(&self, request: RangeRequest) -> Result<RangeReply, StoreError> {
        count(match request.consistency {
            Consistency::Linearizable => &self.calls.store_reads,
            Consistency::Stale => &self.calls.store_stale_reads,
        });
        let reply = self.inner.range(request).await?;
        add_bytes(&self.calls.store_received_bytes, bytes_of(&reply.entries));
        Ok(reply)
    }

    async fn transact(&self, request: TransactionRequest) -> Result<TransactionReply, StoreError> {
        count(&self.calls.store_writes);
        for operation in &request.then {
            if let Operation::Put(put) = operation {
                add_bytes(&self.calls.store_sent_bytes, bytes_of_put(put));
            }
        }
        self.inner.transact(request).await
    }

    async fn put(&self, request: PutRequest) -> Result<StoreRevision, StoreError> {
        count(&self.calls.store_writes);
        add_bytes(&self.calls.store_sent_bytes, bytes_of_put(&request));
        self.inner.put(request).await
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<Lease, StoreError> {
        count(&self.calls.store_leases);
        self.inner.grant_lease(time_to_live).await
    }

    async fn keep_lease_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        count(&self.calls.store_renewals);
        self.inner.keep_lease_alive(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        count(&self.calls.store_leases);
        self.inner.revoke_lease(lease).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchStream, StoreError> {
        let calls = self.calls.clone();
        let batches = self.inner.watch(request).await?;
        // The first batch isn't counted: the client makes it itself, without a message from the store.
        let counted = batches.enumerate().map(move |(number, batch)| {
            if number > 0 {
                count(&calls.store_watches);
            }
            if let Ok(batch) = &batch {
                add_bytes(&calls.store_received_bytes, bytes_of_batch(batch));
            }
            batch
        });
        Ok(Box::pin(counted))
    }
}
