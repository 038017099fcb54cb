//! Ranges and single puts.

use serde::{Deserialize, Serialize};

use super::{Base64, Int64, ResponseHeader};

/// The order of a range.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum SortOrder {
    /// As stored: ascending by key.
    #[default]
    None,
    /// Ascending.
    Ascend,
    /// Descending.
    Descend,
}

/// What a range is sorted by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum SortTarget {
    /// By key, the only one that dyketally asks for.
    #[default]
    Key,
}

/// Reads a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The first key past the range; empty for one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Base64::is_empty")]
    pub range_end: Base64,
    /// Entries at most; zero for all.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub limit: Int64,
    /// The revision to read at; zero for the newest.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub revision: Int64,
    /// The order.
    #[serde(alias = "sortOrder")]
    pub sort_order: SortOrder,
    /// What to sort by.
    #[serde(alias = "sortTarget")]
    pub sort_target: SortTarget,
}

/// One entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The revision of its creation.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub create_revision: Int64,
    /// The revision of its last change.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub mod_revision: Int64,
    /// Changes since its creation.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub version: Int64,
    /// The value.
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub value: Base64,
    /// The lease; zero for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// The entries of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The head.
    pub header: ResponseHeader,
    /// The entries.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// True when the limit left entries out.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
    /// Entries in the range, whatever the limit.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub count: Int64,
}

/// Sets a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// The lease; zero for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// The key was set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// The head.
    pub header: ResponseHeader,
}

/// Deletes a range, within a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Base64,
    /// The first key past the range; empty for one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Base64::is_empty")]
    pub range_end: Base64,
}

/// The keys were deleted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// The head.
    pub header: ResponseHeader,
    /// How many there were.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub deleted: Int64,
}
