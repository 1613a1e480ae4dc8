//! Tests of the client of etcd's JSON gateway, against a server with fixed
//! responses.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use masticreel_store::etcd::EtcdStore;
use masticreel_store::store::{CommitOutcome, Compare, PlatformStore as _, Put, StoreError};

/// The first line of every watch.
const CREATED: &str = r#"{"result":{"header":{"revision":"7"},"created":true}}"#;

/// What the server does after its response.
#[derive(Clone, Copy, PartialEq)]
enum Ending {
    Close,
    StayOpen,
}

/// Serves one request and returns a client of the server.
fn serve(body: &str, ending: Ending) -> EtcdStore {
    serve_at(body, ending).1
}

/// Serves one request and returns the server's address and a client of it.
fn serve_at(body: &str, ending: Ending) -> (SocketAddr, EtcdStore) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = body.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Connection: close\r\n\r\n";
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
        if ending == Ending::StayOpen {
            // Blocks until the client closes the connection.
            stream.read_exact(&mut [0; 1]).ok();
        }
    });
    (address, EtcdStore::new(&format!("http://{address}/"), Duration::from_secs(10)))
}

/// Reads to the end of the JSON body.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"}") {
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).unwrap();
        request.extend(&buffer[..length]);
    }
}

fn watch(body: &str, ending: Ending) -> Result<bool, StoreError> {
    let timeout = Duration::from_millis(300);
    serve(body, ending).wait_for_change("masticreel/document/head", 7, timeout)
}

#[test]
fn test_a_range_is_decoded() {
    let key = STANDARD.encode("a/b");
    let value = STANDARD.encode("text");
    let body = format!(
        r#"{{"header":{{"revision":"9"}},"kvs":[{{"key":"{key}","value":"{value}","mod_revision":"8"}}]}}"#
    );
    let snapshot = serve(&body, Ending::Close).read_prefix("a/").unwrap();
    assert_eq!(snapshot.revision, 9);
    assert_eq!(snapshot.entries[0].key, "a/b");
    assert_eq!(snapshot.entries[0].value, b"text");
    assert_eq!(snapshot.entries[0].mod_revision, 8);
}

#[test]
fn test_an_endpoint_may_be_a_name() {
    let body = r#"{"header":{"revision":"9"}}"#;
    let (address, _) = serve_at(body, Ending::Close);
    let endpoint = format!("http://localhost:{}", address.port());
    let store = EtcdStore::new(&endpoint, Duration::from_secs(10));
    assert_eq!(store.read_prefix("a/").unwrap().revision, 9);
}

#[test]
fn test_a_transaction_is_committed_or_in_conflict() {
    let compare = [Compare { key: "k".to_owned(), mod_revision: 3, value: None }];
    let put = [Put { key: "k".to_owned(), value: b"v".to_vec() }];
    let committed = r#"{"header":{"revision":"9"},"succeeded":true}"#;
    let store = serve(committed, Ending::Close);
    assert_eq!(store.commit(&compare, &put), Ok(CommitOutcome::Committed(9)));
    let conflict = r#"{"header":{"revision":"9"}}"#;
    let store = serve(conflict, Ending::Close);
    assert_eq!(store.commit(&compare, &put), Ok(CommitOutcome::Conflict));
}

#[test]
fn test_answers_that_are_not_understood_are_said_so() {
    for body in ["", "[]", "{\"header\":{\"revision\":\"x\"}}", "{\"header\":"] {
        let answer = serve(body, Ending::Close).read_prefix("a/");
        assert!(matches!(answer, Err(StoreError::Protocol(_))), "{body}: {answer:?}");
    }
}

#[test]
fn test_an_unreachable_store_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let store = EtcdStore::new(&format!("http://{address}"), Duration::from_secs(1));
    assert!(matches!(store.read_prefix("a/"), Err(StoreError::Unavailable(_))));
}

#[test]
fn test_a_watch_ends_at_the_first_event() {
    let event = r#"{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"YQ=="}}]}}"#;
    assert_eq!(watch(&format!("{CREATED}\n{event}\n"), Ending::StayOpen), Ok(true));
}

#[test]
fn test_a_watch_without_an_event_ends_at_its_timeout() {
    assert_eq!(watch(&format!("{CREATED}\n"), Ending::StayOpen), Ok(false));
}

#[test]
fn test_a_watch_on_compacted_revisions_tells_of_a_change() {
    let compacted = r#"{"result":{"header":{"revision":"8"},"canceled":true}}"#;
    assert_eq!(watch(&format!("{CREATED}\n{compacted}\n"), Ending::StayOpen), Ok(true));
}

#[test]
fn test_a_watch_that_is_cut_is_a_failure() {
    let answer = watch(&format!("{CREATED}\n"), Ending::Close);
    assert!(matches!(answer, Err(StoreError::Unavailable(_))), "{answer:?}");
}
