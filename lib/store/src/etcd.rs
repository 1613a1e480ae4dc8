//! A client of the key-value store over the JSON gateway of etcd v3.
//!
//! The gateway carries keys and values in base64 and numbers as text. A watch
//! is a response that stays open, with one JSON object per line.

use std::io::{self, BufRead as _, BufReader};
use std::iter;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::http::http_client;
use crate::store::{CommitOutcome, Compare, KeyValue, PlatformStore, Put, Snapshot, StoreError};

/// A client of an etcd v3 JSON gateway.
#[derive(Debug, Clone)]
pub struct EtcdStore {
    client: ureq::Agent,
    endpoint: Arc<str>,
}

impl EtcdStore {
    /// Creates a client of the gateway at an endpoint such as `http://127.0.0.1:2379`.
    pub fn new(endpoint: &str, timeout: Duration) -> Self {
        Self { client: http_client(timeout), endpoint: endpoint.trim_end_matches('/').into() }
    }

    fn call<Request, Response>(&self, path: &str, request: &Request) -> Result<Response, StoreError>
    where
        Request: Serialize,
        Response: for<'de> Deserialize<'de>,
    {
        let url = format!("{}{path}", self.endpoint);
        let mut response = self
            .client
            .post(&url)
            .send_json(request)
            .map_err(|error| StoreError::Unavailable(error.to_string()))?;
        response.body_mut().read_json().map_err(|error| StoreError::Protocol(error.to_string()))
    }
}

impl PlatformStore for EtcdStore {
    fn read_prefix(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let request = RangeRequest {
            key: STANDARD.encode(prefix),
            range_end: STANDARD.encode(prefix_end(prefix)),
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request)?;
        let revision = parse_number(&response.header.revision)?;
        let entries = response.kvs.into_iter().map(KeyValue::try_from).collect::<Result<_, _>>()?;
        Ok(Snapshot { revision, entries })
    }

    fn commit(&self, conditions: &[Compare], puts: &[Put]) -> Result<CommitOutcome, StoreError> {
        let request = TxnRequest {
            compare: conditions.iter().flat_map(WireCompare::all_of).collect(),
            success: puts.iter().map(WireOperation::from).collect(),
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request)?;
        if !response.succeeded {
            return Ok(CommitOutcome::Conflict);
        }
        Ok(CommitOutcome::Committed(parse_number(&response.header.revision)?))
    }

    fn wait_for_change(
        &self,
        prefix: &str,
        after_revision: u64,
        timeout: Duration,
    ) -> Result<bool, StoreError> {
        let request = WatchRequest { create_request: WatchCreate::new(prefix, after_revision) };
        let response = self
            .client
            .post(&format!("{}/v3/watch", self.endpoint))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send_json(request)
            .map_err(|error| StoreError::Unavailable(error.to_string()))?;
        wait_for_event(BufReader::new(response.into_body().into_reader()))
    }
}

/// Reads lines of a watch until one reports a change.
///
/// Returns whether there was one before the timeout of the request.
fn wait_for_event<Reader>(mut lines: BufReader<Reader>) -> Result<bool, StoreError>
where
    Reader: io::Read,
{
    let mut line = String::new();
    loop {
        line.clear();
        match lines.read_line(&mut line) {
            Ok(0) => return Err(StoreError::Unavailable("the watch ended".to_owned())),
            Ok(_) => {}
            Err(error) => return result_of_ended_watch(error),
        }
        if line.trim().is_empty() {
            continue;
        }
        let response: WatchResponse =
            serde_json::from_str(&line).map_err(|error| StoreError::Protocol(error.to_string()))?;
        if response.result.reports_change() {
            return Ok(true);
        }
    }
}

/// Returns false if the watch reached its timeout without an event, or an error if
/// its connection failed.
fn result_of_ended_watch(error: io::Error) -> Result<bool, StoreError> {
    match ureq::Error::from(error) {
        ureq::Error::Timeout(_) => Ok(false),
        error => Err(StoreError::Unavailable(error.to_string())),
    }
}

/// Returns the first key after all keys that start with the prefix.
///
/// The last byte can be incremented, since UTF-8 text has no byte 255.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

fn parse_number(text: &str) -> Result<u64, StoreError> {
    text.parse().map_err(|_| StoreError::Protocol(format!("not a number: {text:?}")))
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD.decode(text).map_err(|error| StoreError::Protocol(error.to_string()))
}

#[derive(Serialize)]
struct RangeRequest {
    key: String,
    range_end: String,
}

#[derive(Deserialize)]
struct RangeResponse {
    header: Header,
    #[serde(default)]
    kvs: Vec<WireKeyValue>,
}

#[derive(Deserialize)]
struct Header {
    revision: String,
}

#[derive(Deserialize)]
struct WireKeyValue {
    key: String,
    #[serde(default)]
    value: String,
    mod_revision: String,
}

impl TryFrom<WireKeyValue> for KeyValue {
    type Error = StoreError;

    fn try_from(wire: WireKeyValue) -> Result<Self, Self::Error> {
        let key = String::from_utf8(decode(&wire.key)?)
            .map_err(|error| StoreError::Protocol(error.to_string()))?;
        let value = decode(&wire.value)?;
        Ok(Self { key, value, mod_revision: parse_number(&wire.mod_revision)? })
    }
}

#[derive(Serialize)]
struct TxnRequest {
    compare: Vec<WireCompare>,
    success: Vec<WireOperation>,
}

#[derive(Serialize)]
struct WireCompare {
    key: String,
    target: &'static str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

impl WireCompare {
    fn all_of(compare: &Compare) -> impl Iterator<Item = Self> {
        let key = STANDARD.encode(&compare.key);
        let revision = Self {
            key: key.clone(),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Some(compare.mod_revision.to_string()),
            value: None,
        };
        let value = compare.value.as_ref().map(|value| Self {
            key,
            target: "VALUE",
            result: "EQUAL",
            mod_revision: None,
            value: Some(STANDARD.encode(value)),
        });
        iter::once(revision).chain(value)
    }
}

#[derive(Serialize)]
struct WireOperation {
    request_put: WirePut,
}

#[derive(Serialize)]
struct WirePut {
    key: String,
    value: String,
}

impl From<&Put> for WireOperation {
    fn from(put: &Put) -> Self {
        let request_put =
            WirePut { key: STANDARD.encode(&put.key), value: STANDARD.encode(&put.value) };
        Self { request_put }
    }
}

#[derive(Deserialize)]
struct TxnResponse {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Serialize)]
struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Serialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
}

impl WatchCreate {
    fn new(prefix: &str, after_revision: u64) -> Self {
        Self {
            key: STANDARD.encode(prefix),
            range_end: STANDARD.encode(prefix_end(prefix)),
            start_revision: (after_revision + 1).to_string(),
        }
    }
}

#[derive(Deserialize)]
struct WatchResponse {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    events: Vec<serde::de::IgnoredAny>,
    #[serde(default)]
    canceled: bool,
}

impl WatchResult {
    /// Returns whether a key was changed.
    ///
    /// The store cancels a watch when the revisions after its start were
    /// compacted, so there were changes then too.
    fn reports_change(&self) -> bool {
        !self.events.is_empty() || self.canceled
    }
}
