//! Leases.

use serde::{Deserialize, Serialize};

use super::{Int64, ResponseHeader};

/// Takes a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub time_to_live: Int64,
    /// The lease's number; zero lets the service choose.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// A granted lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantResponse {
    /// The head.
    pub header: ResponseHeader,
    /// The lease's number.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub time_to_live: Int64,
}

/// Renews a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveRequest {
    /// The lease's number.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// A renewed lease, sent as an item of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveResponse {
    /// The head.
    pub header: ResponseHeader,
    /// The lease's number.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds; zero, and left out, when the lease doesn't exist.
    #[serde(rename = "TTL", skip_serializing_if = "Int64::is_zero")]
    pub time_to_live: Int64,
}

/// Ends a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRevokeRequest {
    /// The lease's number.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// The lease has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRevokeResponse {
    /// The head.
    pub header: ResponseHeader,
}
