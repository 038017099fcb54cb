//! Watches.

use serde::{Deserialize, Serialize};

use super::{Base64, Int64, KeyValue, ResponseHeader};

/// Opens a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// What to watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Base64,
    /// The first key past the range; empty for one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Base64::is_empty")]
    pub range_end: Base64,
    /// The first revision to report.
    #[serde(alias = "startRevision", skip_serializing_if = "Int64::is_zero")]
    pub start_revision: Int64,
}

/// Kind of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// The key was set; left out by the gateway.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

impl EventType {
    fn is_put(&self) -> bool {
        *self == EventType::Put
    }
}

/// One change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Its kind.
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub event_type: EventType,
    /// The entry; of a deletion only the key and the revision.
    pub kv: KeyValue,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The head.
    pub header: ResponseHeader,
    /// True in the first message.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// True in the last message.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// The oldest revision that is kept, when the watch began before it.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub compact_revision: Int64,
    /// Why the watch was cancelled.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// More of the same revision follows.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub fragment: bool,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}
