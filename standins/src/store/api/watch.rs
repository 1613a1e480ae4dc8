//! The messages of watches.

use serde::{Deserialize, Serialize};

use crate::store::api::{Bytes, Int64, KeyValue, ResponseHeader, is_default};
use crate::store::keyspace::Event;

/// A request to watch for events.
#[derive(Debug, Deserialize)]
pub struct WatchRequest {
    /// The only kind of watch request that the stand-in supports.
    pub create_request: WatchCreateRequest,
}

/// The events to watch for.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, as for reads.
    pub range_end: Bytes,
    /// The revision to start at, 0 for future events only.
    pub start_revision: Int64,
}

/// An element of a streamed response.
#[derive(Debug, Serialize)]
pub struct Streamed<Body> {
    pub result: Body,
}

/// Events, or the beginning or end of a watch, or neither in a probe of the
/// connection.
#[derive(Debug, Serialize)]
pub struct WatchResponse {
    pub header: ResponseHeader,
    /// Whether the watch has just begun.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// Whether the watch has ended.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// The newest discarded revision, if the watch starts at or before it.
    #[serde(skip_serializing_if = "is_default")]
    pub compact_revision: Int64,
    /// The events.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// A change of a key.
#[derive(Debug, Serialize)]
pub struct WatchEvent {
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    kind: Option<&'static str>,
    kv: KeyValue,
}

impl From<Event> for WatchEvent {
    fn from(event: Event) -> Self {
        Self { kind: event.is_deletion.then_some("DELETE"), kv: event.record.into() }
    }
}
