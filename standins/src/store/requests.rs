//! Handles calls of the etcd gateway, subject to the injected faults.

use std::time::{Duration, Instant};

use derive_more::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::Request;

use crate::http::respond_json;
use crate::store::Shared;
use crate::store::api::{
    DeleteRangeRequest, DeleteRangeResponse, ErrorResponse, HeaderResponse, Int64, LeaseRequest,
    LeaseResponse, PutRequest, RangeRequest, ResponseHeader, ResponseOp, Streamed, TxnRequest,
    TxnResponse, WatchRequest,
};
use crate::store::faults::{CallDecision, CallKind};
use crate::store::keyspace::{Operation, Outcome};
use crate::store::watch;

/// Maximum size of a request, slightly above that of the largest value.
const MAX_REQUEST_BYTES: usize = 1536 * 1024;

/// An error of the gateway: gRPC code, HTTP status and message.
#[derive(Debug, Display)]
#[display("{message}")]
pub struct CallError {
    code: u32,
    status: u16,
    message: String,
}

impl CallError {
    fn new(code: u32, status: u16, message: impl Into<String>) -> Self {
        Self { code, status, message: message.into() }
    }

    fn unavailable() -> Self {
        Self::new(14, 503, "etcdserver: no leader")
    }

    fn limited() -> Self {
        Self::new(8, 429, "etcdserver: too many requests")
    }

    fn invalid(message: impl Into<String>) -> Self {
        Self::new(3, 400, message)
    }

    fn no_lease() -> Self {
        Self::new(5, 404, "etcdserver: requested lease not found")
    }
}

/// Handles one call.
pub fn handle(shared: &Shared, mut request: Request) {
    let kind = match request.url() {
        "/v3/kv/range" => CallKind::Read,
        "/v3/watch" => CallKind::Watch,
        // Leases and unknown paths count as writes, too.
        _ => CallKind::Write,
    };
    let body = read_body(&mut request);
    let admitted = match shared.faults.admit(kind) {
        CallDecision::Admitted => body,
        CallDecision::Limited => Err(CallError::limited()),
        CallDecision::Refused => Err(CallError::unavailable()),
    };
    let response = admitted.and_then(|body| {
        if kind == CallKind::Watch {
            return parse::<WatchRequest>(&body).map(CallResponse::Watch);
        }
        call(shared, request.url(), &body).map(CallResponse::Json)
    });
    match response {
        Ok(CallResponse::Watch(watch)) => watch::stream(shared, request, &watch.create_request),
        // The client waits until its timeout, as if the network lost the response.
        Ok(CallResponse::Json(_)) if kind == CallKind::Write && shared.faults.loses_response() => {
            drop(request.into_writer());
        }
        Ok(CallResponse::Json(json)) => respond_json(request, 200, &json),
        Err(CallError { code, status, message }) => {
            respond_json(request, status, &ErrorResponse { error: message.clone(), code, message });
        }
    }
}

enum CallResponse {
    Json(serde_json::Value),
    Watch(WatchRequest),
}

fn read_body(request: &mut Request) -> Result<Vec<u8>, CallError> {
    use std::io::Read as _;
    let mut body = Vec::new();
    // Reads more than the maximum, so that a larger request is detected.
    let limit = MAX_REQUEST_BYTES as u64 * 2;
    let read = request.as_reader().take(limit).read_to_end(&mut body);
    read.map_err(|error| CallError::invalid(error.to_string()))?;
    if body.len() > MAX_REQUEST_BYTES {
        return Err(CallError::invalid("etcdserver: request is too large"));
    }
    Ok(body)
}

fn parse<Parsed>(body: &[u8]) -> Result<Parsed, CallError>
where
    Parsed: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| CallError::invalid(error.to_string()))
}

fn call(shared: &Shared, path: &str, body: &[u8]) -> Result<serde_json::Value, CallError> {
    match path {
        "/v3/kv/range" => range(shared, &parse(body)?),
        "/v3/kv/put" => put(shared, parse(body)?),
        "/v3/kv/deleterange" => delete_range(shared, parse(body)?),
        "/v3/kv/txn" => transact(shared, parse(body)?),
        "/v3/lease/grant" => grant(shared, &parse(body)?),
        "/v3/lease/keepalive" => keep_alive(shared, &parse(body)?),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => revoke(shared, &parse(body)?),
        _ => Err(CallError::new(5, 404, "Not Found")),
    }
}

fn json<Body>(body: &Body) -> Result<serde_json::Value, CallError>
where
    Body: Serialize,
{
    serde_json::to_value(body).map_err(|error| CallError::new(13, 500, error.to_string()))
}

fn range(shared: &Shared, request: &RangeRequest) -> Result<serde_json::Value, CallError> {
    let keyspace = shared.lock();
    // Other revisions than the current one are not kept.
    if request.revision.0 != 0 && request.revision.0 != keyspace.revision() {
        let message = "etcdserver: mvcc: required revision has been compacted";
        return Err(CallError::new(11, 400, message));
    }
    let header = ResponseHeader::new(&keyspace);
    json(&request.reply(header, keyspace.range(&request.range())))
}

fn put(shared: &Shared, request: PutRequest) -> Result<serde_json::Value, CallError> {
    let mut keyspace = shared.lock();
    if request.lease.0 != 0 && !keyspace.has_lease(request.lease.0) {
        return Err(CallError::no_lease());
    }
    keyspace.apply(vec![request.into()]);
    shared.changed.notify_all();
    json(&HeaderResponse { header: ResponseHeader::new(&keyspace) })
}

fn delete_range(
    shared: &Shared,
    request: DeleteRangeRequest,
) -> Result<serde_json::Value, CallError> {
    let mut keyspace = shared.lock();
    let outcomes = keyspace.apply(vec![request.into()]);
    shared.changed.notify_all();
    let deleted = outcomes.iter().map(|outcome| match outcome {
        Outcome::Deleted(count) => *count,
        Outcome::Put | Outcome::Found(_) => 0,
    });
    let deleted = Int64(deleted.sum());
    json(&DeleteRangeResponse { header: ResponseHeader::new(&keyspace), deleted })
}

fn transact(shared: &Shared, request: TxnRequest) -> Result<serde_json::Value, CallError> {
    let mut keyspace = shared.lock();
    let succeeded = request.compare.iter().all(|compare| compare.holds(&keyspace));
    let branch = if succeeded { request.success } else { request.failure };
    let operations: Vec<Operation> = branch.into_iter().map(Operation::from).collect();
    let lacks_lease = operations.iter().any(|operation| match operation {
        Operation::Put { lease, .. } => *lease != 0 && !keyspace.has_lease(*lease),
        Operation::Delete(_) | Operation::Range(_) => false,
    });
    if lacks_lease {
        return Err(CallError::no_lease());
    }
    let outcomes = keyspace.apply(operations);
    shared.changed.notify_all();
    let header = ResponseHeader::new(&keyspace);
    let responses = outcomes.into_iter().map(|outcome| ResponseOp::new(outcome, &header)).collect();
    json(&TxnResponse { header, succeeded, responses })
}

fn grant(shared: &Shared, request: &LeaseRequest) -> Result<serde_json::Value, CallError> {
    let ttl_s = u64::try_from(request.ttl_s.0).unwrap_or(0).max(1);
    let mut keyspace = shared.lock();
    let granted = keyspace.grant(request.id.0, Duration::from_secs(ttl_s), Instant::now());
    let id = granted.ok_or_else(|| CallError::new(9, 400, "etcdserver: lease already exists"))?;
    let header = ResponseHeader::new(&keyspace);
    json(&LeaseResponse { header, id: Int64(id), ttl_s: Int64(ttl_s as i64) })
}

fn keep_alive(shared: &Shared, request: &LeaseRequest) -> Result<serde_json::Value, CallError> {
    let mut keyspace = shared.lock();
    let ttl = keyspace.keep_alive(request.id.0, Instant::now()).unwrap_or_default();
    let header = ResponseHeader::new(&keyspace);
    let result = LeaseResponse { header, id: request.id, ttl_s: Int64(ttl.as_secs() as i64) };
    json(&Streamed { result })
}

fn revoke(shared: &Shared, request: &LeaseRequest) -> Result<serde_json::Value, CallError> {
    let mut keyspace = shared.lock();
    if !keyspace.revoke(request.id.0) {
        return Err(CallError::no_lease());
    }
    shared.changed.notify_all();
    json(&HeaderResponse { header: ResponseHeader::new(&keyspace) })
}
