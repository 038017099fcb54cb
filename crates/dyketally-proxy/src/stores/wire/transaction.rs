//! Transactions.

use serde::{Deserialize, Serialize};

use super::{
    Base64, DeleteRangeRequest, DeleteRangeResponse, Int64, PutRequest, PutResponse, RangeRequest,
    RangeResponse, ResponseHeader,
};

/// How a comparison must come out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// Equal, the only one that dyketally asks for.
    #[default]
    Equal,
}

/// What is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The number of changes since the key's creation.
    #[default]
    Version,
    /// The revision of the key's creation; zero when it doesn't exist.
    Create,
    /// The revision of the key's last change; zero when it doesn't exist.
    Mod,
    /// The value.
    Value,
}

/// One comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How it must come out.
    pub result: CompareResult,
    /// What is compared.
    pub target: CompareTarget,
    /// The key.
    pub key: Base64,
    /// Compared for [`CompareTarget::Create`].
    #[serde(alias = "createRevision", skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int64>,
    /// Compared for [`CompareTarget::Mod`].
    #[serde(alias = "modRevision", skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int64>,
    /// Compared for [`CompareTarget::Value`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Base64>,
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOperation {
    /// Read a range.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// Set a key.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Delete a range.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionRequest {
    /// All must come out as stated.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub compare: Vec<Compare>,
    /// Carried out if they do.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub success: Vec<RequestOperation>,
    /// Carried out if one doesn't.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failure: Vec<RequestOperation>,
}

/// The result of one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseOperation {
    /// What was read.
    #[serde(rename = "response_range", alias = "responseRange")]
    Range(RangeResponse),
    /// The key was set.
    #[serde(rename = "response_put", alias = "responsePut")]
    Put(PutResponse),
    /// The keys were deleted.
    #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
    DeleteRange(DeleteRangeResponse),
}

/// The result of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionResponse {
    /// The head.
    pub header: ResponseHeader,
    /// True when the comparisons came out as stated.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    /// One result for each step of the branch taken.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOperation>,
}
