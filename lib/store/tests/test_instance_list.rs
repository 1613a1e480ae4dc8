//! Tests of the client of the platform's list of instances.

use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use masticreel_store::instance_list::{HttpInstanceList, InstanceList as _, ListedState};

/// Serves one request and returns a client of the server.
fn serve(body: &'static str) -> HttpInstanceList {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/instances", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut buffer = [0; 4096];
            let length = stream.read(&mut buffer).unwrap();
            request.extend(&buffer[..length]);
        }
        write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}").unwrap();
    });
    HttpInstanceList::new(&url, Duration::from_secs(10))
}

#[test]
fn test_entries_that_are_not_understood_are_left_out() {
    let list = serve(
        r#"[{"name":"a","address":"127.0.0.1:7000","failure_domain":"f","state":"live"},
            {"name":"b","address":"nowhere","failure_domain":"f","state":"live"},
            {"name":"c","address":"127.0.0.1:7001","failure_domain":"f","state":"leaving","size":4},
            7]"#,
    );
    let instances = list.read().unwrap();
    assert_eq!(instances.len(), 2);
    assert_eq!((instances[0].name.as_str(), instances[0].state), ("a", ListedState::Live));
    assert_eq!((instances[1].name.as_str(), instances[1].state), ("c", ListedState::Leaving));
}

#[test]
fn test_a_list_that_is_no_list_is_a_failure() {
    assert!(serve("{}").read().is_err());
    assert!(serve("").read().is_err());
}
