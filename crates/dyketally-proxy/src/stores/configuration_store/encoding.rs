//! The values of the configuration's keys.

use std::sync::Arc;

use bytes::Bytes;
use dyketally::configuration::Change;
use dyketally::policy::Revision;

use super::error::ConfigurationError;
use crate::stores::key_value::{Entry, OperationResult, RangeReply, TransactionReply};
use crate::stores::store_error::StoreError;

pub(super) fn counter_value(revision: Revision) -> Bytes {
    revision.0.to_string().into()
}

/// The counter in the result of reading its key; zero while there is none.
pub(super) fn counter(entries: &[Entry]) -> Result<Revision, ConfigurationError> {
    let Some(entry) = entries.first() else {
        return Ok(Revision(0));
    };
    let text = text(entry)?;
    let number = text.parse();
    number
        .map(Revision)
        .map_err(|error| unreadable(entry, error))
}

pub(super) fn change_value(change: &Change) -> Result<Bytes, ConfigurationError> {
    let value = serde_json::to_vec(change);
    value
        .map(Bytes::from)
        .map_err(|error| ConfigurationError::Unwritable {
            reason: error.to_string(),
        })
}

pub(super) fn change(entry: &Entry) -> Result<Arc<Change>, ConfigurationError> {
    let change = serde_json::from_slice(&entry.value);
    change
        .map(Arc::new)
        .map_err(|error| unreadable(entry, error))
}

pub(super) fn changes(entries: Vec<Entry>) -> Result<Vec<Arc<Change>>, ConfigurationError> {
    entries.iter().map(change).collect()
}

pub(super) fn text(entry: &Entry) -> Result<String, ConfigurationError> {
    let text = std::str::from_utf8(&entry.value);
    text.map(str::to_owned)
        .map_err(|error| unreadable(entry, error))
}

/// The results of a transaction that only read `COUNT` ranges.
pub(super) fn ranges<const COUNT: usize>(
    reply: TransactionReply,
) -> Result<[RangeReply; COUNT], ConfigurationError> {
    let ranges = reply.results.into_iter().filter_map(|result| match result {
        OperationResult::Range(range) => Some(range),
        OperationResult::Put | OperationResult::Deleted { .. } => None,
    });
    let ranges: Vec<RangeReply> = ranges.collect();
    ranges.try_into().map_err(|_| {
        ConfigurationError::Store(StoreError::Malformed {
            reason: format!("a transaction that reads {COUNT} ranges has other results"),
        })
    })
}

pub(super) fn unreadable(entry: &Entry, reason: impl ToString) -> ConfigurationError {
    ConfigurationError::Unreadable {
        key: entry.key.to_string(),
        reason: reason.to_string(),
    }
}
