//! The messages of etcd v3's published JSON gateway, as far as dyketally uses them.
//!
//! The gateway writes 64 bit integers as strings and bytes in base64, leaves out fields that have
//! their default value, and takes both snake and camel case.

mod encoding;
mod lease;
mod range;
mod transaction;
mod watch;

pub use encoding::{Base64, Int64};
pub use lease::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse,
};
pub use range::{
    DeleteRangeRequest, DeleteRangeResponse, KeyValue, PutRequest, PutResponse, RangeRequest,
    RangeResponse, SortOrder, SortTarget,
};
pub use transaction::{
    Compare, CompareResult, CompareTarget, RequestOperation, ResponseOperation, TransactionRequest,
    TransactionResponse,
};
pub use watch::{Event, EventType, WatchCreateRequest, WatchRequest, WatchResponse};

use serde::{Deserialize, Serialize};

/// Paths of the gateway.
pub mod path {
    /// Reads a range.
    pub const RANGE: &str = "/v3/kv/range";
    /// Sets a key.
    pub const PUT: &str = "/v3/kv/put";
    /// Carries out a transaction.
    pub const TRANSACTION: &str = "/v3/kv/txn";
    /// Takes a lease.
    pub const LEASE_GRANT: &str = "/v3/lease/grant";
    /// Renews a lease.
    pub const LEASE_KEEP_ALIVE: &str = "/v3/lease/keepalive";
    /// Ends a lease.
    pub const LEASE_REVOKE: &str = "/v3/lease/revoke";
    /// Follows a range.
    pub const WATCH: &str = "/v3/watch";
}

/// Codes of gRPC that the gateway reports in the body of an error.
pub mod code {
    /// The request is invalid.
    pub const INVALID_ARGUMENT: i32 = 3;
    /// The lease doesn't exist.
    pub const NOT_FOUND: i32 = 5;
    /// Too many requests.
    pub const RESOURCE_EXHAUSTED: i32 = 8;
    /// The revision is compacted, or in the future.
    pub const OUT_OF_RANGE: i32 = 11;
    /// The service can't answer now.
    pub const UNAVAILABLE: i32 = 14;
}

/// Text in the service's error for a compacted revision.
pub const COMPACTED_TEXT: &str = "revision has been compacted";

/// The head of each response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// The revision of the store.
    pub revision: Int64,
}

/// The body of a response that reports an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// The error's text.
    pub error: String,
    /// The same text, in versions that write both.
    pub message: String,
    /// The code of gRPC.
    pub code: i32,
}

/// Wraps each message of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamItem<Message> {
    /// The message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<Message>,
    /// Why the stream ends.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorBody>,
}
