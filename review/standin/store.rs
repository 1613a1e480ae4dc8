//! A stand-in for the platform's store and for the call that promotes a server, as
//! `PROTOCOL.md` describes them. Values stay in base64, as they are sent.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{Json, base64};
use crate::servers::Group;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    items: BTreeMap<String, Item>,
    /// Each change: its revision, its key and the event as the watch shows it.
    history: Vec<(u64, String, String)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
}

/// The store and the promoter; clones share one state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    groups: Vec<Group>,
}

impl Store {
    pub fn start(groups: &[Group]) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = State {
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 10,
            leases: HashMap::new(),
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { address, state, groups: groups.to_vec() };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        store
    }

    /// Writes an item, as the operator or a server would.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        remove(&mut state, key);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            end_lease(&mut state, lease);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Some((method, target, headers, body)) = read_request(&mut stream, &mut input) {
            let (status, answer) = self.answer(&method, &target, &headers, &Json::parse(&body));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if stream.write_all(format!("{head}{answer}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        method: &str,
        target: &str,
        headers: &HashMap<String, String>,
        body: &Json,
    ) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or("").to_owned();
        let (lock, changed) = &*self.state;
        match (method, path) {
            ("GET", "/kv-range") => {
                let state = lock.lock().unwrap();
                let (prefix, after) = (text("prefix"), text("after"));
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| as_json(key, item))
                    .collect();
                let items = items.join(",");
                let revision = state.revision;
                (
                    200,
                    format!(
                        r#"{{"items":[{items}],"truncated":false,"store_revision":{revision}}}"#
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let prefix = text("prefix");
                let end = Instant::now() + wait;
                let mut state = lock.lock().unwrap();
                loop {
                    let events: Vec<&str> = state
                        .history
                        .iter()
                        .rev()
                        .take_while(|(revision, _, _)| *revision > after)
                        .filter(|(_, key, _)| key.starts_with(&prefix))
                        .map(|(_, _, event)| event.as_str())
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events: Vec<&str> = events.into_iter().rev().collect();
                        let (events, revision) = (events.join(","), state.revision);
                        return (
                            200,
                            format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#),
                        );
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let mut state = lock.lock().unwrap();
                let holds = body.get("precondition").list().iter().all(|row| {
                    let found =
                        state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
                    found == row.get("revision").number()
                });
                if !holds {
                    return (412, r#"{"items":[]}"#.to_owned());
                }
                let sets = body.get("set_keys").list();
                let lease_of = |row: &Json| row.get("lease").number();
                if sets
                    .iter()
                    .any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row)))
                {
                    return (404, "{}".to_owned());
                }
                for row in sets {
                    let value = row.get("value").text().to_owned();
                    write(&mut state, row.get("key").text(), value, lease_of(row));
                }
                for key in body.get("delete_keys").list() {
                    remove(&mut state, key.text());
                }
                changed.notify_all();
                (200, format!(r#"{{"revision":{}}}"#, state.revision))
            }
            ("POST", "/kv-lease") => {
                let mut state = lock.lock().unwrap();
                state.revision += 1;
                let lease = state.revision;
                let ttl_ms = body.get("ttl_ms").number().max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            ("POST", "/promote") => {
                let holder = headers.get("lease-holder").cloned().unwrap_or_default();
                let token = headers.get("fencing-token").cloned().unwrap_or_default();
                let id = body.get("id").text();
                let group = self.groups.iter().find(|group| group.has(id));
                let is_running = group.is_some_and(|group| group.promote(id, &holder, &token));
                (if is_running { 200 } else { 409 }, "{}".to_owned())
            }
            (method, path) => {
                let mut state = lock.lock().unwrap();
                let lease =
                    |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
                if let ("POST", Some(id)) = (method, lease("/kv-keep/")) {
                    return match state.leases.get_mut(&id) {
                        Some((until, ttl)) => {
                            *until = Instant::now() + *ttl;
                            (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    };
                }
                if let ("DELETE", Some(id)) = (method, lease("/kv-lease-end/")) {
                    end_lease(&mut state, id);
                    changed.notify_all();
                    return (200, "{}".to_owned());
                }
                (400, "{}".to_owned())
            }
        }
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    state.history.push((revision, key.to_owned(), as_json(key, &item)));
    state.items.insert(key.to_owned(), item);
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        let event = format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#);
        state.history.push((revision, key.to_owned(), event));
    }
}

fn end_lease(state: &mut State, lease: u64) {
    if state.leases.remove(&lease).is_some() {
        let bound = state.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            remove(state, &key);
        }
    }
}

fn as_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

type Request = (String, String, HashMap<String, String>, Vec<u8>);

fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut words = lines.next()?.split(' ');
            let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length =
                headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some((method, target, headers, body));
            }
        }
        let mut buffer = [0_u8; 4096];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    }
}
