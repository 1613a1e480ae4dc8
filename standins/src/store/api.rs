//! The messages of the etcd v3 JSON gateway.
//!
//! Keys and values are base64, 64-bit integers are strings, and fields with
//! their default value are omitted.

mod txn;
mod watch;

pub use txn::{ResponseOp, TxnRequest, TxnResponse};
pub use watch::{Streamed, WatchCreateRequest, WatchEvent, WatchRequest, WatchResponse};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize};

use crate::store::keyspace::{KeyRange, KeyRecord, Keyspace, Operation};

/// Bytes as base64.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Bytes(pub Vec<u8>);

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

impl Serialize for Bytes {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        STANDARD.encode(&self.0).serialize(serializer)
    }
}

/// A 64-bit integer, written as a string and read from either form.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(i64),
            Text(String),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(number) => Ok(Self(number)),
            Either::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

impl Serialize for Int64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        self.0.to_string().serialize(serializer)
    }
}

fn is_default<Field>(field: &Field) -> bool
where
    Field: Default + PartialEq,
{
    *field == Field::default()
}

/// The header of every response.
#[derive(Debug, Clone, Serialize)]
pub struct ResponseHeader {
    cluster_id: Int64,
    member_id: Int64,
    revision: Int64,
    raft_term: Int64,
}

impl ResponseHeader {
    /// Creates the header for the store's current revision.
    pub fn new(keyspace: &Keyspace) -> Self {
        Self {
            cluster_id: Int64(1),
            member_id: Int64(1),
            revision: Int64(keyspace.revision()),
            raft_term: Int64(1),
        }
    }
}

/// A request to read keys.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range; see [`KeyRange`].
    pub range_end: Bytes,
    /// How many keys to return at most, 0 for all.
    pub limit: Int64,
    /// The revision to read, 0 for the newest.
    pub revision: Int64,
    /// Whether values are omitted.
    pub keys_only: bool,
    /// Whether only the number of keys is returned.
    pub count_only: bool,
}

impl RangeRequest {
    /// Returns the requested range of keys.
    pub fn range(&self) -> KeyRange {
        KeyRange::new(self.key.0.clone(), self.range_end.0.clone())
    }

    /// Creates the response from all records in the range.
    pub fn reply(&self, header: ResponseHeader, mut records: Vec<KeyRecord>) -> RangeResponse {
        let count = Int64(records.len() as i64);
        let limit = usize::try_from(self.limit.0).ok().filter(|limit| *limit > 0);
        let more = limit.is_some_and(|limit| records.len() > limit);
        records.truncate(limit.unwrap_or(usize::MAX));
        if self.count_only {
            records.clear();
        }
        let kvs = records.into_iter().map(|record| {
            let value = if self.keys_only { Vec::new() } else { record.value };
            KeyValue::from(KeyRecord { value, ..record })
        });
        RangeResponse { header, kvs: kvs.collect(), more, count }
    }
}

/// A key with its value and revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KeyValue {
    key: Bytes,
    #[serde(skip_serializing_if = "is_default")]
    create_revision: Int64,
    #[serde(skip_serializing_if = "is_default")]
    mod_revision: Int64,
    #[serde(skip_serializing_if = "is_default")]
    version: Int64,
    #[serde(skip_serializing_if = "is_default")]
    value: Bytes,
    #[serde(skip_serializing_if = "is_default")]
    lease: Int64,
}

impl From<KeyRecord> for KeyValue {
    fn from(record: KeyRecord) -> Self {
        Self {
            key: Bytes(record.key),
            create_revision: Int64(record.create_revision),
            mod_revision: Int64(record.mod_revision),
            version: Int64(record.version),
            value: Bytes(record.value),
            lease: Int64(record.lease),
        }
    }
}

/// The keys found.
#[derive(Debug, Serialize)]
pub struct RangeResponse {
    header: ResponseHeader,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "is_default")]
    more: bool,
    #[serde(skip_serializing_if = "is_default")]
    count: Int64,
}

/// A request to write a value.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease that the key is attached to, 0 if none.
    pub lease: Int64,
}

/// A request to delete keys.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range; see [`KeyRange`].
    pub range_end: Bytes,
}

impl From<PutRequest> for Operation {
    fn from(request: PutRequest) -> Self {
        Self::Put { key: request.key.0, value: request.value.0, lease: request.lease.0 }
    }
}

impl From<DeleteRangeRequest> for Operation {
    fn from(request: DeleteRangeRequest) -> Self {
        Self::Delete(KeyRange::new(request.key.0, request.range_end.0))
    }
}

/// A response that has only a header.
#[derive(Debug, Serialize)]
pub struct HeaderResponse {
    pub header: ResponseHeader,
}

/// The response to a deletion.
#[derive(Debug, Serialize)]
pub struct DeleteRangeResponse {
    pub header: ResponseHeader,
    /// How many keys were deleted.
    #[serde(skip_serializing_if = "is_default")]
    pub deleted: Int64,
}

/// A request to grant, renew or revoke a lease.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease's id; when a lease is granted, 0 lets the store choose one.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Its time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

/// The response to granting or renewing a lease.
#[derive(Debug, Serialize)]
pub struct LeaseResponse {
    pub header: ResponseHeader,
    /// The lease's id.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Its time to live in seconds, 0 if there is no such lease.
    #[serde(rename = "TTL", skip_serializing_if = "is_default")]
    pub ttl_s: Int64,
}

/// The body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorResponse {
    /// The message.
    pub error: String,
    /// The gRPC status code.
    pub code: u32,
    /// The same message; etcd sends it in both fields.
    pub message: String,
}
