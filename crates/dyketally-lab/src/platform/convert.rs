//! Between the gateway's messages and the store's types, as the service sees them.

use dyketally_proxy::stores::key_value::{
    Condition, Consistency, Entry, Key, KeyOrder, KeyRange, LeaseId, Operation, OperationResult,
    PutRequest, RangeReply, RangeRequest, StoreRevision, TransactionReply, TransactionRequest,
    WatchBatch, WatchEvent, WatchRequest,
};
use dyketally_proxy::stores::wire::{self, Base64, CompareTarget, Int64};

/// A comparison that the stand-in doesn't know.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in compares only CREATE with 0, MOD and VALUE; extend it for {0:?}")]
pub(super) struct UnknownComparison(wire::Compare);

pub(super) fn header(revision: StoreRevision) -> wire::ResponseHeader {
    wire::ResponseHeader {
        revision: Int64::from_unsigned(revision.0),
    }
}

fn key_range(key: Base64, range_end: Base64) -> KeyRange {
    KeyRange {
        start: Key::new(key.0),
        end: (!range_end.is_empty()).then(|| Key::new(range_end.0)),
    }
}

fn lease(lease: Int64) -> Option<LeaseId> {
    (!lease.is_zero()).then_some(LeaseId(lease.0))
}

pub(super) fn range_request(request: wire::RangeRequest) -> RangeRequest {
    RangeRequest {
        longest: None,
        range: key_range(request.key, request.range_end),
        limit: u32::try_from(request.limit.0).unwrap_or(0),
        order: match request.sort_order {
            wire::SortOrder::None | wire::SortOrder::Ascend => KeyOrder::Ascending,
            wire::SortOrder::Descend => KeyOrder::Descending,
        },
        at: (!request.revision.is_zero()).then(|| StoreRevision(request.revision.unsigned())),
        consistency: Consistency::Linearizable,
    }
}

pub(super) fn put_request(request: wire::PutRequest) -> PutRequest {
    PutRequest {
        key: Key::new(request.key.0),
        value: request.value.0,
        lease: lease(request.lease),
    }
}

pub(super) fn watch_request(request: wire::WatchRequest) -> WatchRequest {
    let create = request.create_request;
    WatchRequest {
        range: key_range(create.key, create.range_end),
        from: StoreRevision(create.start_revision.unsigned()),
        longest_quiet: None,
    }
}

pub(super) fn transaction_request(
    request: wire::TransactionRequest,
) -> Result<TransactionRequest, UnknownComparison> {
    let conditions = request.compare.into_iter().map(condition);
    Ok(TransactionRequest {
        conditions: conditions.collect::<Result<_, _>>()?,
        then: request.success.into_iter().map(operation).collect(),
        otherwise: request.failure.into_iter().map(operation).collect(),
    })
}

fn condition(compare: wire::Compare) -> Result<Condition, UnknownComparison> {
    let key = Key::new(compare.key.0.clone());
    match (compare.target, &compare) {
        (CompareTarget::Create, compare) if compare.create_revision.unwrap_or_default().0 == 0 => {
            Ok(Condition::Absent { key })
        }
        (CompareTarget::Mod, compare) => Ok(Condition::Unchanged {
            key,
            modified: StoreRevision(compare.mod_revision.unwrap_or_default().unsigned()),
        }),
        (CompareTarget::Value, compare) => Ok(Condition::Holds {
            key,
            value: compare.value.clone().unwrap_or_default().0,
        }),
        _ => Err(UnknownComparison(compare)),
    }
}

fn operation(request: wire::RequestOperation) -> Operation {
    match request {
        wire::RequestOperation::Range(range) => Operation::Range(range_request(range)),
        wire::RequestOperation::Put(put) => Operation::Put(put_request(put)),
        wire::RequestOperation::DeleteRange(delete) => {
            Operation::Delete(key_range(delete.key, delete.range_end))
        }
    }
}

fn key_value(entry: Entry) -> wire::KeyValue {
    wire::KeyValue {
        key: Base64(entry.key.as_bytes().clone()),
        create_revision: Int64::from_unsigned(entry.created.0),
        mod_revision: Int64::from_unsigned(entry.modified.0),
        version: Int64::default(),
        value: Base64(entry.value),
        lease: Int64(entry.lease.map_or(0, |lease| lease.0)),
    }
}

pub(super) fn range_response(reply: RangeReply) -> wire::RangeResponse {
    wire::RangeResponse {
        header: header(reply.store_revision),
        count: Int64::from_unsigned(reply.entries.len() as u64),
        kvs: reply.entries.into_iter().map(key_value).collect(),
        more: reply.more,
    }
}

pub(super) fn transaction_response(reply: TransactionReply) -> wire::TransactionResponse {
    let header = header(reply.store_revision);
    let responses = reply.results.into_iter().map(|result| match result {
        OperationResult::Range(range) => wire::ResponseOperation::Range(range_response(range)),
        OperationResult::Put => wire::ResponseOperation::Put(wire::PutResponse {
            header: header.clone(),
        }),
        OperationResult::Deleted { count } => {
            wire::ResponseOperation::DeleteRange(wire::DeleteRangeResponse {
                header: header.clone(),
                deleted: Int64::from_unsigned(count),
            })
        }
    });
    wire::TransactionResponse {
        responses: responses.collect(),
        succeeded: reply.succeeded,
        header,
    }
}

pub(super) fn watch_response(batch: WatchBatch, created: bool) -> wire::WatchResponse {
    let events = batch.events.into_iter().map(event);
    wire::WatchResponse {
        header: header(batch.store_revision),
        created,
        events: events.collect(),
        ..Default::default()
    }
}

fn event(event: WatchEvent) -> wire::Event {
    match event {
        WatchEvent::Put(entry) => wire::Event {
            event_type: wire::EventType::Put,
            kv: key_value(entry),
        },
        WatchEvent::Deleted {
            key,
            store_revision,
        } => wire::Event {
            event_type: wire::EventType::Delete,
            kv: wire::KeyValue {
                key: Base64(key.as_bytes().clone()),
                mod_revision: Int64::from_unsigned(store_revision.0),
                ..Default::default()
            },
        },
    }
}
