//! Between dyketally's types and the gateway's messages.

use std::time::Duration;

use crate::stores::key_value::{
    Condition, Entry, Key, KeyOrder, KeyRange, LeaseId, Operation, OperationResult, PutRequest,
    RangeReply, RangeRequest, StoreRevision, TransactionReply, TransactionRequest, WatchBatch,
    WatchEvent, WatchRequest,
};
use crate::stores::wire::{self, Base64, Int64};

/// The revision in a response's head.
pub(super) fn store_revision(header: &wire::ResponseHeader) -> StoreRevision {
    StoreRevision(header.revision.unsigned())
}

/// Rounded up to whole seconds, one at least.
pub(super) fn whole_seconds(duration: Duration) -> Int64 {
    let seconds = duration.as_millis().div_ceil(1000).max(1);
    Int64(i64::try_from(seconds).unwrap_or(i64::MAX))
}

fn key(key: Key) -> Base64 {
    Base64(key.as_bytes().clone())
}

fn range_end(range: &KeyRange) -> Base64 {
    range.end.clone().map(key).unwrap_or_default()
}

fn lease(lease: Option<LeaseId>) -> Int64 {
    Int64(lease.map_or(0, |lease| lease.0))
}

impl From<RangeRequest> for wire::RangeRequest {
    fn from(request: RangeRequest) -> Self {
        Self {
            range_end: range_end(&request.range),
            key: key(request.range.start),
            limit: Int64(request.limit.into()),
            revision: Int64::from_unsigned(request.at.unwrap_or_default().0),
            sort_order: match request.order {
                KeyOrder::Ascending => wire::SortOrder::Ascend,
                KeyOrder::Descending => wire::SortOrder::Descend,
            },
            sort_target: wire::SortTarget::Key,
        }
    }
}

impl From<PutRequest> for wire::PutRequest {
    fn from(request: PutRequest) -> Self {
        Self {
            key: key(request.key),
            value: Base64(request.value),
            lease: lease(request.lease),
        }
    }
}

impl From<Condition> for wire::Compare {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Absent { key: absent } => wire::Compare {
                target: wire::CompareTarget::Create,
                key: key(absent),
                create_revision: Some(Int64(0)),
                ..Default::default()
            },
            Condition::Unchanged {
                key: unchanged,
                modified,
            } => wire::Compare {
                target: wire::CompareTarget::Mod,
                key: key(unchanged),
                mod_revision: Some(Int64::from_unsigned(modified.0)),
                ..Default::default()
            },
            Condition::Holds { key: held, value } => wire::Compare {
                target: wire::CompareTarget::Value,
                key: key(held),
                value: Some(Base64(value)),
                ..Default::default()
            },
        }
    }
}

impl From<Operation> for wire::RequestOperation {
    fn from(operation: Operation) -> Self {
        match operation {
            Operation::Put(put) => wire::RequestOperation::Put(put.into()),
            Operation::Range(range) => wire::RequestOperation::Range(range.into()),
            Operation::Delete(range) => {
                wire::RequestOperation::DeleteRange(wire::DeleteRangeRequest {
                    range_end: range_end(&range),
                    key: key(range.start),
                })
            }
        }
    }
}

impl From<TransactionRequest> for wire::TransactionRequest {
    fn from(request: TransactionRequest) -> Self {
        Self {
            compare: request.conditions.into_iter().map(Into::into).collect(),
            success: request.then.into_iter().map(Into::into).collect(),
            failure: request.otherwise.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<WatchRequest> for wire::WatchRequest {
    fn from(request: WatchRequest) -> Self {
        Self {
            create_request: wire::WatchCreateRequest {
                range_end: range_end(&request.range),
                key: key(request.range.start),
                start_revision: Int64::from_unsigned(request.from.0),
            },
        }
    }
}

impl From<wire::KeyValue> for Entry {
    fn from(entry: wire::KeyValue) -> Self {
        Self {
            key: Key::new(entry.key.0),
            value: entry.value.0,
            created: StoreRevision(entry.create_revision.unsigned()),
            modified: StoreRevision(entry.mod_revision.unsigned()),
            lease: (!entry.lease.is_zero()).then_some(LeaseId(entry.lease.0)),
        }
    }
}

impl From<wire::RangeResponse> for RangeReply {
    fn from(response: wire::RangeResponse) -> Self {
        Self {
            store_revision: store_revision(&response.header),
            entries: response.kvs.into_iter().map(Into::into).collect(),
            more: response.more,
        }
    }
}

impl From<wire::ResponseOperation> for OperationResult {
    fn from(response: wire::ResponseOperation) -> Self {
        match response {
            wire::ResponseOperation::Range(range) => OperationResult::Range(range.into()),
            wire::ResponseOperation::Put(_) => OperationResult::Put,
            wire::ResponseOperation::DeleteRange(deleted) => OperationResult::Deleted {
                count: deleted.deleted.unsigned(),
            },
        }
    }
}

impl From<wire::TransactionResponse> for TransactionReply {
    fn from(response: wire::TransactionResponse) -> Self {
        Self {
            store_revision: store_revision(&response.header),
            succeeded: response.succeeded,
            results: response.responses.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<wire::Event> for WatchEvent {
    fn from(event: wire::Event) -> Self {
        match event.event_type {
            wire::EventType::Put => WatchEvent::Put(event.kv.into()),
            wire::EventType::Delete => WatchEvent::Deleted {
                key: Key::new(event.kv.key.0),
                store_revision: StoreRevision(event.kv.mod_revision.unsigned()),
            },
        }
    }
}

impl From<wire::WatchResponse> for WatchBatch {
    fn from(response: wire::WatchResponse) -> Self {
        Self {
            store_revision: store_revision(&response.header),
            events: response.events.into_iter().map(Into::into).collect(),
        }
    }
}
