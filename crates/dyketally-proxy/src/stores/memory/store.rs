//! The store in memory, with faults.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use dyketally::time::Timestamp;
use dyketally_store::watch::{WatchSource, batches_of};
use tokio::sync::watch;

use super::faults::{FaultPlan, Outage, TokenCount};
use super::state::{State, StateError};
use crate::clock;
use crate::stores::key_value::{
    KeyValueStore, Lease, LeaseId, PutRequest, RangeReply, RangeRequest, StoreRevision,
    TransactionReply, TransactionRequest, WatchBatch, WatchRequest, WatchStream,
};
use crate::stores::store_error::StoreError;

/// Time after which a request that hangs is given up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Why the stand-in doesn't carry a request out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An outage.
    Unavailable,
    /// The rate is exceeded.
    RateLimited {
        /// Time until the next token.
        retry_after: Duration,
    },
}

/// A request that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completed<Reply> {
    /// The reply, or why the store refused the request.
    pub result: Result<Reply, StateError>,
    /// True when the reply must not reach the caller.
    pub reply_lost: bool,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    faults: FaultPlan,
    tokens: TokenCount,
    requests: u64,
}

/// What watches wait for: a new revision, or other faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Signal {
    revision: StoreRevision,
    outage: Outage,
}

/// A key-value service in memory. Clones share one store.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
    signal: watch::Sender<Signal>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        let (signal, _) = watch::channel(Signal::default());
        Self {
            inner: Arc::default(),
            signal,
        }
    }
}

impl MemoryStore {
    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: FaultPlan) {
        self.change(|inner, now| {
            if let Some(limit) = faults.rate_limit {
                inner.tokens = TokenCount::full(limit, now);
            }
            inner.faults = faults;
        });
    }

    /// The faults in force.
    pub fn faults(&self) -> FaultPlan {
        self.lock().faults.clone()
    }

    /// Ends all leases now, as if their holders had been paused for long.
    pub fn lapse_leases(&self) {
        self.change(|inner, _| inner.state.lapse_all());
    }

    /// Ends the leases that have lapsed by now; each request does so too.
    pub fn expire_leases(&self) {
        self.change(|inner, now| inner.state.advance(now));
    }

    /// Forgets the history before `revision`.
    pub fn compact(&self, revision: StoreRevision) {
        self.change(|inner, _| inner.state.compact(revision));
    }

    /// The newest revision.
    pub fn newest(&self) -> StoreRevision {
        self.lock().state.newest()
    }

    /// The revision up to which the history is forgotten.
    pub fn compacted(&self) -> StoreRevision {
        self.lock().state.compacted()
    }

    /// Requests that arrived, with those that were refused.
    pub fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Waits out the delay and a hanging outage, then takes a token.
    ///
    /// # Errors
    /// When a fault refuses the request; it is not carried out.
    pub async fn admit(&self) -> Result<(), Refusal> {
        let delay = {
            let mut inner = self.lock();
            inner.requests += 1;
            inner.faults.delay()
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let mut signal = self.signal.subscribe();
        let hangs = |signal: &Signal| signal.outage == Outage::Hang;
        // Waiting fails only when the store is gone, and this is a part of it.
        let waited = signal.wait_for(|signal| !hangs(signal)).await;
        drop(waited);
        self.take_token()
    }

    /// Carries a read out.
    pub fn read(&self, request: &RangeRequest) -> Completed<RangeReply> {
        self.run(false, |state, _| state.read(request))
    }

    /// Carries a transaction out.
    pub fn apply(&self, request: TransactionRequest) -> Completed<TransactionReply> {
        let changes = !request.only_reads();
        self.run(changes, |state, _| state.transact(request))
    }

    /// Carries a put out.
    pub fn set(&self, request: PutRequest) -> Completed<StoreRevision> {
        self.run(true, |state, _| state.put(request))
    }

    /// Grants a lease.
    pub fn grant(&self, time_to_live: Duration) -> Completed<Lease> {
        self.run(true, |state, now| Ok(state.grant(time_to_live, now)))
    }

    /// Renews a lease.
    pub fn keep_alive(&self, lease: LeaseId) -> Completed<Duration> {
        self.run(true, |state, now| state.keep_alive(lease, now))
    }

    /// Ends a lease.
    pub fn revoke(&self, lease: LeaseId) -> Completed<()> {
        self.run(true, |state, _| state.revoke(lease))
    }

    /// Follows a range; the caller was admitted. Ends with an error in an outage that refuses.
    pub fn follow(&self, request: WatchRequest) -> WatchStream {
        let follower = Follower {
            store: self.clone(),
            signal: self.signal.subscribe(),
            request,
            established: false,
        };
        batches_of(follower)
    }

    fn take_token(&self) -> Result<(), Refusal> {
        let mut inner = self.lock();
        if inner.faults.outage != Outage::None {
            return Err(Refusal::Unavailable);
        }
        let Some(limit) = inner.faults.rate_limit else {
            return Ok(());
        };
        let taken = inner.tokens.take(limit, clock::now());
        taken.map_err(|retry_after| Refusal::RateLimited { retry_after })
    }

    fn run<Reply>(
        &self,
        changes: bool,
        request: impl FnOnce(&mut State, Timestamp) -> Result<Reply, StateError>,
    ) -> Completed<Reply> {
        self.change(|inner, now| {
            inner.state.advance(now);
            let result = request(&mut inner.state, now);
            let reply_lost = changes && inner.faults.lost_replies > 0;
            if reply_lost {
                inner.faults.lost_replies -= 1;
            }
            Completed { result, reply_lost }
        })
    }

    fn change<Output>(&self, change: impl FnOnce(&mut Inner, Timestamp) -> Output) -> Output {
        let mut inner = self.lock();
        let output = change(&mut inner, clock::now());
        let signal = Signal {
            revision: inner.state.newest(),
            outage: inner.faults.outage,
        };
        self.signal.send_if_modified(|current| {
            let modified = *current != signal;
            *current = signal;
            modified
        });
        output
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic in another test's task leaves the store readable.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn request<Reply>(
        &self,
        changes: bool,
        request: impl FnOnce(&Self) -> Completed<Reply>,
    ) -> Result<Reply, StoreError> {
        let admitted = tokio::time::timeout(REQUEST_TIMEOUT, self.admit()).await;
        match admitted {
            Ok(Ok(())) => reply(request(self)),
            Ok(Err(Refusal::Unavailable)) => Err(unavailable("an outage")),
            Ok(Err(Refusal::RateLimited { retry_after })) => {
                Err(StoreError::RateLimited { retry_after })
            }
            Err(_) if changes => Err(undetermined("no answer in time")),
            Err(_) => Err(unavailable("no answer in time")),
        }
    }
}

fn reply<Reply>(completed: Completed<Reply>) -> Result<Reply, StoreError> {
    if completed.reply_lost {
        return Err(undetermined("the reply was lost"));
    }
    completed.result.map_err(|error| match error {
        StateError::Compacted => StoreError::Compacted,
        StateError::LeaseLapsed(lease) => StoreError::LeaseLapsed { lease },
    })
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.into(),
    }
}

fn undetermined(reason: &str) -> StoreError {
    StoreError::Undetermined {
        reason: reason.into(),
    }
}

#[async_trait]
impl KeyValueStore for MemoryStore {
    async fn range(&self, request: RangeRequest) -> Result<RangeReply, StoreError> {
        self.request(false, |store| store.read(&request)).await
    }

    async fn transact(&self, request: TransactionRequest) -> Result<TransactionReply, StoreError> {
        let changes = !request.only_reads();
        self.request(changes, |store| store.apply(request)).await
    }

    async fn put(&self, request: PutRequest) -> Result<StoreRevision, StoreError> {
        self.request(true, |store| store.set(request)).await
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<Lease, StoreError> {
        self.request(true, |store| store.grant(time_to_live)).await
    }

    async fn keep_lease_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.request(true, |store| store.keep_alive(lease)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.request(true, |store| store.revoke(lease)).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchStream, StoreError> {
        let admitted = |store: &Self| Completed {
            result: Ok(store.follow(request)),
            reply_lost: false,
        };
        self.request(false, admitted).await
    }
}

/// One watch.
struct Follower {
    store: MemoryStore,
    signal: watch::Receiver<Signal>,
    request: WatchRequest,
    established: bool,
}

#[async_trait]
impl WatchSource for Follower {
    async fn next_batch(&mut self) -> Result<WatchBatch, StoreError> {
        loop {
            let outage = self.signal.borrow_and_update().outage;
            match outage {
                Outage::None => {
                    if let Some(batch) = self.poll()? {
                        return Ok(batch);
                    }
                }
                Outage::Refuse => return Err(unavailable("an outage")),
                Outage::Hang => {}
            }
            let changed = self.signal.changed().await;
            changed.map_err(|_| unavailable("the store is gone"))?;
        }
    }
}

impl Follower {
    fn poll(&mut self) -> Result<Option<WatchBatch>, StoreError> {
        let changes = self.store.lock().state.changes_since(&self.request);
        let mut batch = changes.map_err(|_| StoreError::Compacted)?;
        if !self.established {
            self.established = true;
            batch.events.clear();
            return Ok(Some(batch));
        }
        if batch.events.is_empty() {
            return Ok(None);
        }
        self.request.from = self.request.from.max(batch.store_revision.next());
        Ok(Some(batch))
    }
}
