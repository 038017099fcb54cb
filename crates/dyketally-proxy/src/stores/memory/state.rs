//! The stand-in's store: transactions, leases and history, without I/O and without a clock.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::time::Timestamp;

use super::versions::Versions;
use crate::stores::key_value::{
    Condition, Entry, KeyRange, Lease, LeaseId, Operation, OperationResult, PutRequest, RangeReply,
    RangeRequest, StoreRevision, TransactionReply, TransactionRequest, WatchBatch, WatchRequest,
};

/// Why the store refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The revision is compacted.
    #[error("the revision asked for is no longer kept; read the current keys")]
    Compacted,
    /// The lease doesn't exist, or no longer.
    #[error("lease {0} has lapsed; take a new one")]
    LeaseLapsed(LeaseId),
}

#[derive(Clone, Copy, Debug)]
struct LeaseState {
    time_to_live: Duration,
    lapses_at: Timestamp,
}

/// Keys, leases and history.
#[derive(Debug, Default)]
pub(super) struct State {
    versions: Versions,
    leases: BTreeMap<LeaseId, LeaseState>,
    last_lease: i64,
}

impl State {
    pub(super) fn newest(&self) -> StoreRevision {
        self.versions.newest()
    }

    pub(super) fn compacted(&self) -> StoreRevision {
        self.versions.compacted()
    }

    /// Ends the leases that have lapsed by `now`.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let lapsed = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lapses_at <= now);
        let lapsed: Vec<LeaseId> = lapsed.map(|(id, _)| *id).collect();
        for lease in lapsed {
            self.end_lease(lease);
        }
    }

    /// Ends all leases, as if their holders had been paused for long.
    pub(super) fn lapse_all(&mut self) {
        let all: Vec<LeaseId> = self.leases.keys().copied().collect();
        for lease in all {
            self.end_lease(lease);
        }
    }

    pub(super) fn read(&self, request: &RangeRequest) -> Result<RangeReply, StateError> {
        self.versions.read(request)
    }

    pub(super) fn put(&mut self, request: PutRequest) -> Result<StoreRevision, StateError> {
        self.check_lease(request.lease)?;
        let revision = self.newest().next();
        self.set(request, revision);
        self.versions.finish(revision);
        Ok(revision)
    }

    pub(super) fn transact(
        &mut self,
        request: TransactionRequest,
    ) -> Result<TransactionReply, StateError> {
        let succeeded = request
            .conditions
            .iter()
            .all(|condition| self.holds(condition));
        let operations = match succeeded {
            true => request.then,
            false => request.otherwise,
        };
        self.check_operations(&operations)?;
        let revision = self.newest().next();
        let changes = operations.iter().any(|operation| self.changes(operation));
        let mut results = Vec::with_capacity(operations.len());
        for operation in operations {
            results.push(self.operate(operation, revision)?);
        }
        if changes {
            self.versions.finish(revision);
        }
        Ok(TransactionReply {
            store_revision: self.newest(),
            succeeded,
            results,
        })
    }

    pub(super) fn grant(&mut self, time_to_live: Duration, now: Timestamp) -> Lease {
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        let lapses_at = now + time_to_live;
        let state = LeaseState {
            time_to_live,
            lapses_at,
        };
        self.leases.insert(id, state);
        Lease { id, time_to_live }
    }

    pub(super) fn keep_alive(
        &mut self,
        lease: LeaseId,
        now: Timestamp,
    ) -> Result<Duration, StateError> {
        let state = self.leases.get_mut(&lease);
        let state = state.ok_or(StateError::LeaseLapsed(lease))?;
        state.lapses_at = now + state.time_to_live;
        Ok(state.time_to_live)
    }

    pub(super) fn revoke(&mut self, lease: LeaseId) -> Result<(), StateError> {
        self.check_lease(Some(lease))?;
        self.end_lease(lease);
        Ok(())
    }

    pub(super) fn changes_since(&self, watch: &WatchRequest) -> Result<WatchBatch, StateError> {
        let events = self.versions.changes(&watch.range, watch.from)?;
        Ok(WatchBatch {
            store_revision: self.newest(),
            events,
        })
    }

    pub(super) fn compact(&mut self, revision: StoreRevision) {
        self.versions.compact(revision);
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let held = self.versions.held_by(lease);
        if held.is_empty() {
            return;
        }
        let revision = self.newest().next();
        for key in held {
            self.versions.delete(&KeyRange::key(key), revision);
        }
        self.versions.finish(revision);
    }

    fn check_lease(&self, lease: Option<LeaseId>) -> Result<(), StateError> {
        match lease {
            Some(lease) if !self.leases.contains_key(&lease) => Err(StateError::LeaseLapsed(lease)),
            _ => Ok(()),
        }
    }

    /// Fails before anything is changed, so that a refused transaction has no effect.
    fn check_operations(&self, operations: &[Operation]) -> Result<(), StateError> {
        for operation in operations {
            match operation {
                Operation::Put(put) => self.check_lease(put.lease)?,
                Operation::Range(range) => drop(self.read(range)?),
                Operation::Delete(_) => {}
            }
        }
        Ok(())
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => self.versions.entry(key).is_none(),
            Condition::Unchanged { key, modified } => {
                let entry = self.versions.entry(key);
                entry.map_or(StoreRevision(0), |entry| entry.modified) == *modified
            }
            Condition::Holds { key, value } => {
                let entry = self.versions.entry(key);
                entry.is_some_and(|entry| entry.value == value)
            }
        }
    }

    fn changes(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Put(_) => true,
            Operation::Range(_) => false,
            Operation::Delete(range) => {
                let range = RangeRequest::all(range.clone());
                self.read(&range)
                    .is_ok_and(|reply| !reply.entries.is_empty())
            }
        }
    }

    fn operate(
        &mut self,
        operation: Operation,
        revision: StoreRevision,
    ) -> Result<OperationResult, StateError> {
        match operation {
            Operation::Put(put) => {
                self.set(put, revision);
                Ok(OperationResult::Put)
            }
            Operation::Delete(range) => {
                let count = self.versions.delete(&range, revision);
                Ok(OperationResult::Deleted { count })
            }
            Operation::Range(range) => self.read(&range).map(OperationResult::Range),
        }
    }

    fn set(&mut self, request: PutRequest, revision: StoreRevision) {
        let existing = self.versions.entry(&request.key);
        let created = existing.map_or(revision, |entry| entry.created);
        self.versions.put(Entry {
            key: request.key,
            value: request.value,
            created,
            modified: revision,
            lease: request.lease,
        });
    }
}
