//! The cases. Each returns how the rule was broken, or none if it couldn't run.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::instances::{Client, Deployment};
use crate::record::Record;
use crate::servers::Setup;

const SETUP: Setup =
    Setup { sync_replicas: 0, slots: 2, max_connections: 28, read_ms: 5, write_ms: 5 };

pub fn play(name: &str, has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    match name {
        "sync" => lost_acknowledged_commit(has_trouble, record),
        "grey" => foreign_session_values(has_trouble, record),
        "flood" => process_ends(has_trouble, record),
        "lines" => smuggled_request(has_trouble, record),
        "set" => value_set_in_transaction(has_trouble, record),
        _ => None,
    }
}

/// LOST: with `sync_replicas` 1, an acknowledged commit isn't in the log of the server that is
/// promoted. One replica is being replaced: it is draining, goes on receiving and counts toward
/// `sync_replicas`. The other one receives nothing for a while, and the primary crashes meanwhile.
fn lost_acknowledged_commit(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let setup = Setup { sync_replicas: 1, ..SETUP };
    let deployment = Deployment::start(6, setup, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, instance) in deployment.instances.iter().enumerate() {
        let (frontend, stop) = (instance.frontend, Arc::clone(&stop));
        let (acknowledged, record) = (Arc::clone(&acknowledged), record.clone());
        clients.push(thread::spawn(move || {
            let mut writes = 0;
            while !stop.load(Ordering::Relaxed) {
                let Some(mut client) = Client::open(frontend, "latest") else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                while !stop.load(Ordering::Relaxed) {
                    writes += 1;
                    let id = format!("w{index}x{writes}");
                    let Some(answer) = client.ask(&id, &format!("WRITE item{index} {writes}"))
                    else {
                        record.line(&format!("ANSWER {id} none"));
                        break;
                    };
                    record.line(&format!("ANSWER {id} {:?}", answer.outcome));
                    if answer.outcome.is_ok() {
                        acknowledged.lock().unwrap().push((id, Instant::now()));
                    }
                    thread::sleep(Duration::from_millis(30));
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        deployment.group.drain("s2");
        deployment.group.set_deaf("s3", true);
        thread::sleep(Duration::from_secs(2));
        deployment.group.crash("s1");
        thread::sleep(Duration::from_secs(4));
        deployment.group.set_deaf("s3", false);
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let acknowledged = acknowledged.lock().unwrap().clone();
    let promoted = deployment.group.promoted();
    record.line(&format!("{} writes were acknowledged", acknowledged.len()));
    if acknowledged.len() < 50 || (has_trouble && promoted.is_empty()) {
        return None;
    }
    let mut faults = Vec::new();
    for (server, at, log) in promoted {
        for (id, acknowledged_at) in &acknowledged {
            if *acknowledged_at < at && !log.iter().any(|commit| commit.id == *id) {
                faults.push(format!(
                    "LOST: {id} was acknowledged, and {server} was promoted without it"
                ));
            }
        }
    }
    Some(faults)
}

/// PINNED: a statement runs where the session values differ from those that were acknowledged
/// to its client. A server fails part of its requests.
fn foreign_session_values(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let deployment = Deployment::start(2, SETUP, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for index in 0..8 {
        let frontend = deployment.instances[index % 2].frontend;
        let (stop, record) = (Arc::clone(&stop), record.clone());
        clients.push(thread::spawn(move || {
            let mut served = 0;
            let mut session = 0;
            while !stop.load(Ordering::Relaxed) {
                let Some(mut client) = Client::open(frontend, "latest") else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                session += 1;
                let set =
                    client.ask(&format!("c{index}s{session}set"), &format!("SET owner c{index}"));
                if !set.is_some_and(|answer| answer.outcome.is_ok()) {
                    continue;
                }
                let mut reads = 0;
                while !stop.load(Ordering::Relaxed) {
                    reads += 1;
                    // The part before the first 's' names the client.
                    let id = format!("c{index}s{session}r{reads}");
                    let Some(answer) = client.ask(&id, "READ item") else {
                        break;
                    };
                    record.line(&format!("ANSWER {id} {:?} {:?}", answer.rows, answer.outcome));
                    served += usize::from(answer.outcome.is_ok());
                    thread::sleep(Duration::from_millis(20));
                }
            }
            served
        }));
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        deployment.group.set_grey("s1", 10);
    }
    thread::sleep(Duration::from_secs(6));
    deployment.group.set_grey("s1", 0);
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    if served < 100 {
        return None;
    }
    let mut faults = Vec::new();
    for run in deployment.group.runs().iter().filter(|run| run.id.starts_with('c')) {
        let owner = run.id.split('s').next().unwrap_or("");
        let wanted = BTreeMap::from([("owner".to_owned(), owner.to_owned())]);
        if run.values != wanted {
            faults.push(format!(
                "PINNED: {} ran at {} with the session values {:?} instead of {wanted:?}",
                run.id, run.server, run.values
            ));
        }
    }
    Some(faults)
}

/// Fault: on two machines of six, processes end by themselves three times. A client sends many
/// requests without waiting for the answers.
fn process_ends(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    const REQUESTS: usize = 30_000;
    let mut deployment = Deployment::start(6, SETUP, record)?;
    let deadline = Instant::now() + Duration::from_secs(80);
    for round in 0..3 {
        for index in 0..2 {
            let instance = &mut deployment.instances[index];
            if !instance.wait_until_serving() || Instant::now() > deadline {
                record.line("an instance does not serve");
                break;
            }
            let mut client = Client::open(instance.frontend, "latest")?;
            record.line(&format!("FLOOD {round}: {REQUESTS} requests to instance {}", index + 1));
            if has_trouble {
                let mut bytes = format!("QUERY f{round}x{index} READ item\r\n");
                for number in 0..REQUESTS {
                    bytes.push_str(&format!("QUERY f{round}x{index}x{number} SET a {number}\r\n"));
                }
                client.send(&bytes);
            }
            let mut answered = 0;
            for number in 0..REQUESTS {
                let answer = if has_trouble {
                    client.answer()
                } else {
                    let text = if number == 0 {
                        "READ item".to_owned()
                    } else {
                        format!("SET a {number}")
                    };
                    client.ask(&format!("f{round}x{index}x{number}"), &text)
                };
                if answer.is_none() {
                    break;
                }
                answered += 1;
            }
            record.line(&format!("{answered} answers"));
            thread::sleep(Duration::from_millis(300));
            instance.has_ended();
        }
    }
    thread::sleep(Duration::from_millis(300));
    let mut faults = Vec::new();
    for (index, instance) in deployment.instances.iter_mut().enumerate() {
        instance.has_ended();
        if instance.exits >= 3 {
            faults.push(format!(
                "FAULT: instance {} ended by itself {} times",
                index + 1,
                instance.exits
            ));
        }
    }
    if faults.len() < 2 {
        faults.clear();
    }
    Some(faults)
}

/// UNASKED: a server runs a request that was smuggled inside another one, or with changed text.
/// The data of a write contains a line feed or a carriage return; a line ends with both.
fn smuggled_request(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let deployment = Deployment::start(2, SETUP, record)?;
    let mut sent: BTreeMap<String, String> = BTreeMap::new();
    let break_as = |mark: &str| if has_trouble { mark.to_owned() } else { " ".to_owned() };
    let texts = [
        format!("WRITE note first line{}second line", break_as("\n")),
        format!("WRITE note harmless{}QUERY smuggled WRITE coin stolen", break_as("\n")),
        format!("WRITE note left{}right", break_as("\r")),
    ];
    for (number, text) in texts.iter().enumerate() {
        let mut client = Client::open(deployment.instances[number % 2].frontend, "latest")?;
        let id = format!("n{number}");
        sent.insert(id.clone(), text.clone());
        record.line(&format!("SENT {id} {text:?}"));
        client.send(&format!("QUERY {id} {text}\r\n"));
        let answer = client.answer();
        record.line(&format!("ANSWER {id} {answer:?}"));
        thread::sleep(Duration::from_millis(500));
    }
    let mut faults = Vec::new();
    for run in deployment.group.runs().iter().filter(|run| run.id != "probe") {
        match sent.get(&run.id) {
            None => faults
                .push(format!("UNASKED: {} ran {:?}, which no client sent", run.server, run.text)),
            Some(text) if *text != run.text => faults.push(format!(
                "UNASKED: {} ran {:?} with changed text: {:?}",
                run.server, run.id, run.text
            )),
            Some(_) => {}
        }
    }
    Some(faults)
}

/// PINNED: a statement runs where the session values differ from those that were acknowledged
/// to its client. The client sets a value inside a transaction.
fn value_set_in_transaction(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let deployment = Deployment::start(2, SETUP, record)?;
    let mut wanted: BTreeMap<String, String> = BTreeMap::new();
    for round in 0..10 {
        let mut client = Client::open(deployment.instances[round % 2].frontend, "latest")?;
        let mut ask = |id: String, text: String| {
            let answer = client.ask(&id, &text);
            record.line(&format!("SENT {id} {text:?} ANSWER {answer:?}"));
            answer.filter(|answer| answer.outcome.is_ok())
        };
        ask(format!("t{round}a"), format!("SET owner old{round}"))?;
        let set = format!("SET owner new{round}");
        if !has_trouble {
            ask(format!("t{round}b"), set.clone())?;
        }
        ask(format!("t{round}c"), "BEGIN".to_owned())?;
        ask(format!("t{round}d"), "READ item".to_owned())?;
        if has_trouble {
            ask(format!("t{round}b"), set)?;
        }
        wanted.insert(format!("t{round}e"), format!("new{round}"));
        ask(format!("t{round}e"), format!("WRITE item {round}"))?;
        ask(format!("t{round}f"), "COMMIT".to_owned())?;
    }
    let mut faults = Vec::new();
    for run in deployment.group.runs() {
        let Some(wanted) = wanted.get(&run.id) else {
            continue;
        };
        if run.values.get("owner") != Some(wanted) {
            faults.push(format!(
                "PINNED: {} ran at {} with the session values {:?}, though owner={wanted} was acknowledged",
                run.id, run.server, run.values
            ));
        }
    }
    Some(faults)
}
