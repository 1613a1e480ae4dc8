//! The messages of transactions.

use serde::{Deserialize, Serialize};

use crate::store::api::{
    Bytes, DeleteRangeRequest, DeleteRangeResponse, HeaderResponse, Int64, PutRequest,
    RangeRequest, RangeResponse, ResponseHeader, is_default,
};
use crate::store::keyspace::{KeyRecord, Keyspace, Operation, Outcome};

/// A request to run one of two lists of operations, depending on conditions.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The operations to run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// The operations to run otherwise.
    pub failure: Vec<RequestOp>,
}

/// The property of a key that a condition compares.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// How often the key was written.
    #[default]
    Version,
    /// The revision at its creation.
    Create,
    /// The revision at its last change.
    Mod,
    /// Its value.
    Value,
}

/// How a condition compares the key's property with the given value.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The key's property must be equal.
    #[default]
    Equal,
    /// The key's property must be greater.
    Greater,
    /// The key's property must be less.
    Less,
    /// The key's property must differ.
    NotEqual,
}

/// A condition on a key.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    key: Bytes,
    target: CompareTarget,
    result: CompareResult,
    version: Int64,
    create_revision: Int64,
    mod_revision: Int64,
    value: Bytes,
}

impl Compare {
    /// Returns whether the condition holds.
    pub fn holds(&self, keyspace: &Keyspace) -> bool {
        let record = keyspace.get(&self.key.0);
        let number = |field: fn(&KeyRecord) -> i64| record.map_or(0, field);
        let order = match self.target {
            CompareTarget::Version => number(|record| record.version).cmp(&self.version.0),
            CompareTarget::Create => {
                number(|record| record.create_revision).cmp(&self.create_revision.0)
            }
            CompareTarget::Mod => number(|record| record.mod_revision).cmp(&self.mod_revision.0),
            // A missing key has no value, so no condition on its value holds.
            CompareTarget::Value => match record {
                Some(record) => record.value.cmp(&self.value.0),
                None => return false,
            },
        };
        match self.result {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }
}

/// One operation of a transaction.
#[derive(Debug, Deserialize)]
pub enum RequestOp {
    /// Reads keys.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// Writes a value.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Deletes keys.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

impl From<RequestOp> for Operation {
    fn from(request: RequestOp) -> Self {
        match request {
            // Limit, revision and the other options of a range are ignored here.
            RequestOp::Range(request) => Self::Range(request.range()),
            RequestOp::Put(request) => request.into(),
            RequestOp::DeleteRange(request) => request.into(),
        }
    }
}

/// The result of one operation of a transaction.
#[derive(Debug, Serialize)]
pub enum ResponseOp {
    /// The keys found.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// The value was written.
    #[serde(rename = "response_put")]
    Put(HeaderResponse),
    /// How many keys were deleted.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

impl ResponseOp {
    /// Creates the response for the outcome of an operation.
    pub fn new(outcome: Outcome, header: &ResponseHeader) -> Self {
        let header = header.clone();
        match outcome {
            Outcome::Put => Self::Put(HeaderResponse { header }),
            Outcome::Deleted(count) => {
                let deleted = Int64(count);
                Self::DeleteRange(DeleteRangeResponse { header, deleted })
            }
            Outcome::Found(records) => Self::Range(RangeRequest::default().reply(header, records)),
        }
    }
}

/// The response to a transaction.
#[derive(Debug, Serialize)]
pub struct TxnResponse {
    pub header: ResponseHeader,
    /// Whether all conditions held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// The results of the operations that were run.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}
