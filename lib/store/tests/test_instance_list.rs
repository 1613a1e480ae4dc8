//! Tests of the client of the platform's list of instances.

use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use masticreel_store::instance_list::{HttpInstanceList, InstanceList as _, ListedState};

/// Serves one request and returns a client of the server.
fn serve<Body>(body: Body) -> HttpInstanceList
where
    Body: AsRef<[u8]> + Send + 'static,
{
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
        stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").unwrap();
        stream.write_all(body.as_ref()).unwrap();
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

/// Guards against a list that was lost as a whole for one entry.
#[test]
fn test_entry_that_cannot_be_parsed_leaves_the_others_in_place() {
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let entry = |name: &str, field: &str| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:7000","failure_domain":"f","state":"live"{field}}}"#
        )
    };
    let odd: Vec<Vec<u8>> = vec![
        nested(200).into_bytes(),
        nested(100_000).into_bytes(),
        entry("odd", ",\"state\":[]").into_bytes(),
        b"1e400".to_vec(),
        b"{\"name\":1e400}".to_vec(),
        b"99999999999999999999999999".to_vec(),
        entry("odd", "").replace("7000", "65536").into_bytes(),
        entry("odd", "").replace("odd", "\\ud800").into_bytes(),
        b"{\"name\":\"\xff\xfe\"}".to_vec(),
        b"null".to_vec(),
    ];
    for odd in odd {
        let parts = [entry("a", "").into_bytes(), odd, entry("b", ",\"size\":4").into_bytes()];
        let shown = String::from_utf8_lossy(&parts[1][..parts[1].len().min(90)]).into_owned();
        let list = [b"[".to_vec(), parts.join(&b","[..]), b"]".to_vec()].concat();
        let instances = serve(list).read().unwrap_or_else(|error| panic!("{shown}: {error}"));
        let names: Vec<&str> = instances.iter().map(|instance| instance.name.as_str()).collect();
        assert_eq!(names, ["a", "b"], "{shown}");
    }
}
