//! Tests of the store, with masticreel's etcd adapter and with plain requests, and
//! of injected faults.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use masticreel_standins::store::{Outage, Store, StoreSettings};
use masticreel_store::etcd::EtcdStore;
use masticreel_store::store::{CommitOutcome, Compare, PlatformStore, Put, StoreError};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(5);

fn start() -> (Store, EtcdStore) {
    let store = Store::start(&StoreSettings::default()).unwrap();
    let adapter = EtcdStore::new(&format!("http://{}", store.address()), TIMEOUT);
    (store, adapter)
}

fn put(key: &str, value: &str) -> Put {
    Put { key: key.to_owned(), value: value.as_bytes().to_vec() }
}

fn unchanged_since(key: &str, mod_revision: u64) -> Compare {
    Compare { key: key.to_owned(), mod_revision, value: None }
}

fn post(url: String, body: &Value) -> (u16, Value) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let mut response = agent.post(&url).send_json(body).unwrap();
    (response.status().as_u16(), response.body_mut().read_json().unwrap())
}

#[test]
fn test_adapter_commits_and_reads() {
    let (_store, adapter) = start();
    let committed = adapter.commit(&[unchanged_since("a/1", 0)], &[put("a/1", "x")]).unwrap();
    assert_eq!(committed, CommitOutcome::Committed(2));
    let conflicting = adapter.commit(&[unchanged_since("a/1", 0)], &[put("a/1", "y")]).unwrap();
    assert_eq!(conflicting, CommitOutcome::Conflict);
    let puts = [put("a/2", "z"), put("b/1", "other")];
    let committed = adapter.commit(&[unchanged_since("a/1", 2)], &puts).unwrap();
    assert_eq!(committed, CommitOutcome::Committed(3));
    let snapshot = adapter.read_prefix("a/").unwrap();
    assert_eq!(snapshot.revision, 3);
    let entries: Vec<_> = snapshot
        .entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_slice(), entry.mod_revision))
        .collect();
    assert_eq!(entries, [("a/1", b"x".as_slice(), 2), ("a/2", b"z".as_slice(), 3)]);
}

#[test]
fn test_adapter_compares_values_of_equal_revision() {
    let (_store, adapter) = start();
    let CommitOutcome::Committed(revision) = adapter.commit(&[], &[put("a", "x")]).unwrap() else {
        panic!("a write without conditions was refused");
    };
    let holding = |value: &str| Compare {
        value: Some(value.as_bytes().to_vec()),
        ..unchanged_since("a", revision)
    };
    assert_eq!(adapter.commit(&[holding("y")], &[put("a", "z")]), Ok(CommitOutcome::Conflict));
    let committed = adapter.commit(&[holding("x")], &[put("a", "z")]);
    assert_eq!(committed, Ok(CommitOutcome::Committed(revision + 1)));
}

#[test]
fn test_values_of_a_megabyte_fit() {
    let (_store, adapter) = start();
    let value = vec![7; 1_000_000];
    adapter.commit(&[], &[Put { key: "k".to_owned(), value: value.clone() }]).unwrap();
    assert_eq!(adapter.read_prefix("k").unwrap().entries[0].value, value);
}

#[test]
fn test_lost_answer_leaves_the_effect() {
    let (store, _) = start();
    let url = format!("http://{}", store.address());
    let short_timeout_adapter = EtcdStore::new(&url, Duration::from_millis(300));
    store.faults().lose_next_responses(1);
    let lost = short_timeout_adapter.commit(&[], &[put("a", "x")]);
    assert!(matches!(lost, Err(StoreError::Unavailable(_))), "{lost:?}");
    assert_eq!(short_timeout_adapter.read_prefix("a").unwrap().entries.len(), 1);
    assert_eq!(store.faults().counts().lost_answers, 1);
}

#[test]
fn test_outages_and_slowness() {
    let (store, adapter) = start();
    store.faults().set_outage(Outage::Refusing);
    assert!(matches!(adapter.read_prefix("a"), Err(StoreError::Unavailable(_))));
    store.faults().set_outage(Outage::Silent);
    let short_timeout_adapter =
        EtcdStore::new(&format!("http://{}", store.address()), Duration::from_millis(200));
    assert!(matches!(short_timeout_adapter.read_prefix("a"), Err(StoreError::Unavailable(_))));
    store.faults().clear();
    store.faults().set_slowness(Duration::from_millis(400));
    assert!(matches!(short_timeout_adapter.read_prefix("a"), Err(StoreError::Unavailable(_))));
    assert!(adapter.read_prefix("a").is_ok());
}

#[test]
fn test_rates_are_limited_and_calls_counted() {
    let (store, adapter) = start();
    store.faults().set_rates(2000.0, 1.0);
    adapter.commit(&[], &[put("a", "x")]).unwrap();
    let limited = adapter.commit(&[], &[put("a", "x")]);
    assert!(matches!(&limited, Err(StoreError::Unavailable(text)) if text.contains("429")));
    let (status, counts) = post(format!("http://{}/counts", store.control_address()), &json!({}));
    assert_eq!(status, 200);
    assert_eq!((&counts["writes"], &counts["limited"]), (&json!(2), &json!(1)));
}

#[test]
fn test_control_endpoint_takes_the_store_down() {
    let (store, adapter) = start();
    let control = format!("http://{}", store.control_address());
    assert_eq!(post(format!("{control}/down"), &json!({})).0, 200);
    assert!(adapter.read_prefix("a").is_err());
    assert_eq!(post(format!("{control}/up"), &json!({})).0, 200);
    assert!(adapter.read_prefix("a").is_ok());
    assert_eq!(post(format!("{control}/nonsense"), &json!({})).0, 404);
}

#[test]
fn test_restored_store_loses_later_writes_and_gives_their_revisions_out_again() {
    let (store, adapter) = start();
    let control = format!("http://{}", store.control_address());
    adapter.commit(&[], &[put("a", "kept")]).unwrap();
    assert_eq!(post(format!("{control}/copy"), &json!({})).0, 200);
    let lost = adapter.commit(&[], &[put("a", "lost")]).unwrap();
    assert_eq!(post(format!("{control}/restore"), &json!({})).0, 200);
    assert_eq!(adapter.read_prefix("a").unwrap().entries[0].value, b"kept");
    assert_eq!(adapter.commit(&[], &[put("b", "x")]).unwrap(), lost);
}

#[test]
fn test_watch_streams_events_from_a_revision() {
    let (store, adapter) = start();
    adapter.commit(&[], &[put("a/1", "x")]).unwrap();
    let url = format!("http://{}/v3/watch", store.address());
    // Base64 of "a/" and "a0".
    let body = json!({"create_request": {"key": "YS8=", "range_end": "YTA=", "start_revision": 2}});
    let response = ureq::post(&url).send_json(&body).unwrap();
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    let mut next = || serde_json::from_str::<Value>(&lines.next().unwrap().unwrap()).unwrap();
    assert_eq!(next()["result"]["created"], json!(true));
    assert_eq!(next()["result"]["events"][0]["kv"]["mod_revision"], json!("2"));
    adapter.commit(&[], &[put("b/1", "unseen")]).unwrap();
    adapter.commit(&[], &[put("a/2", "y")]).unwrap();
    let event = next();
    assert_eq!(event["result"]["header"]["revision"], json!("4"));
    assert_eq!(event["result"]["events"][0]["kv"]["value"], json!("eQ=="));
    // The outage ends the watch, which is not checked here.
    store.faults().set_outage(Outage::Refusing);
    assert_eq!(store.faults().counts().watches, 1);
}

#[test]
fn test_lease_ends_with_its_keys() {
    let (store, adapter) = start();
    let url = format!("http://{}", store.address());
    let (_, granted) = post(format!("{url}/v3/lease/grant"), &json!({"TTL": "60"}));
    let lease = granted["ID"].clone();
    let request = json!({"key": "YQ==", "value": "eA==", "lease": lease});
    assert_eq!(post(format!("{url}/v3/kv/put"), &request).0, 200);
    let (_, alive) = post(format!("{url}/v3/lease/keepalive"), &json!({"ID": lease}));
    assert_eq!(alive["result"]["TTL"], json!("60"));
    assert_eq!(adapter.read_prefix("a").unwrap().entries.len(), 1);
    assert_eq!(post(format!("{url}/v3/lease/revoke"), &json!({"ID": lease})).0, 200);
    assert_eq!(adapter.read_prefix("a").unwrap().entries.len(), 0);
    let (status, error) = post(format!("{url}/v3/kv/put"), &request);
    assert_eq!((status, &error["code"]), (404, &json!(5)));
}

#[test]
fn test_transaction_compares_and_branches() {
    let (store, _) = start();
    let url = format!("http://{}/v3/kv/txn", store.address());
    let put = |value: &str| json!([{"request_put": {"key": "YQ==", "value": value}}]);
    let read = json!([{"request_range": {"key": "YQ=="}}]);
    let compare = |target: &str, field: &str, result: &str, operand: Value| json!([{"key": "YQ==", "target": target, "result": result, field: operand}]);
    let cases = [
        (compare("CREATE", "create_revision", "EQUAL", json!("0")), true),
        (compare("VERSION", "version", "GREATER", json!("1")), false),
        (compare("VALUE", "value", "EQUAL", json!("eA==")), true),
        (compare("MOD", "mod_revision", "LESS", json!("2")), false),
    ];
    for (compare, expected) in cases {
        let body = json!({"compare": compare, "success": put("eA=="), "failure": read});
        let (_, response) = post(url.clone(), &body);
        assert_eq!(response["succeeded"].as_bool().unwrap_or(false), expected, "{response}");
        let kind = if expected { "response_put" } else { "response_range" };
        assert!(response["responses"][0][kind].is_object(), "{response}");
    }
}
