//! Admission to busy and leaving servers, against separate processes.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::Signal;
use masticreel_testutils::processes::deployment::{DATABASE, Deployment, DeploymentSettings};

/// SQLSTATEs of requests that were refused and did not run.
const SQLSTATE_OVERLOADED: &str = "53400";
const SQLSTATE_UNAVAILABLE: &str = "57P03";
/// SQLSTATE of connections that a shutdown closed before a request was accepted.
const SQLSTATE_SHUTTING_DOWN: &str = "57P01";

const TIMEOUT: Duration = Duration::from_secs(10);

/// How long each statement of the class `long` runs.
const LONG_STATEMENT_TIME: Duration = Duration::from_millis(400);

fn settings(limits: &str) -> DeploymentSettings {
    DeploymentSettings {
        instance_settings: format!("\n[limits]\nhandover_timeout_ms = 0\n{limits}\n"),
        ..DeploymentSettings::default()
    }
}

fn start(name: &str, limits: &str) -> Deployment {
    let deployment = Deployment::start(name, settings(limits)).unwrap();
    let sql = "create table note (id integer primary key)";
    let mut caller = deployment.connect(0).unwrap();
    assert_eq!(caller.query(sql).unwrap().error_code(), None);
    deployment
}

/// Runs a statement repeatedly on a thread until `end`, and returns how many runs
/// succeeded.
fn repeat(mut caller: PgClient, sql: String, end: Instant) -> thread::JoinHandle<u64> {
    thread::spawn(move || {
        let mut completed = 0;
        while Instant::now() < end {
            completed += u64::from(caller.query(&sql).unwrap().error.is_none());
        }
        completed
    })
}

#[test]
fn test_urgent_and_short_statements_pass_long_work_without_end() {
    let deployment = start("long-work", "");
    let end = Instant::now() + Duration::from_secs(3);
    let sql = format!("select pg_sleep({}) /*class='long'*/", LONG_STATEMENT_TIME.as_secs_f64());
    let long: Vec<_> = (0..6)
        .map(|number| repeat(deployment.connect(number % 2).unwrap(), sql.clone(), end))
        .collect();
    let mut caller = deployment.connect(1).unwrap();
    thread::sleep(Duration::from_millis(200));
    let mut waits = Vec::new();
    while Instant::now() < end - LONG_STATEMENT_TIME {
        for sql in ["select 1 /*class='urgent'*/", "select 2"] {
            let begin = Instant::now();
            assert_eq!(caller.query(sql).unwrap().error_code(), None);
            waits.push(begin.elapsed());
        }
        thread::sleep(Duration::from_millis(20));
    }
    let completed: u64 = long.into_iter().map(|caller| caller.join().unwrap()).sum();
    // Long statements never take all slots, however many are queued.
    assert!(waits.iter().all(|wait| *wait < LONG_STATEMENT_TIME / 2), "{:?}", waits.iter().max());
    assert!(completed >= 5, "only {completed} long statements completed");
}

#[test]
fn test_refused_writes_did_not_run() {
    let deployment = start("refusals", "max_concurrent_requests = 8\nrequest_timeout_ms = 400");
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let mut caller = deployment.connect(number % 2).unwrap();
            thread::spawn(move || {
                let mut answered = 0;
                let mut refused = 0;
                for row in 0..10 {
                    let id = number * 100 + row;
                    let sql = format!("insert into note select {id} from (select pg_sleep(0.03))");
                    match caller.query(&sql).unwrap().error_code() {
                        None => answered += 1,
                        Some(SQLSTATE_OVERLOADED) => refused += 1,
                        Some(code) => panic!("unexpected {code}"),
                    }
                }
                (answered, refused)
            })
        })
        .collect();
    let counts: Vec<(i64, i64)> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let answered: i64 = counts.iter().map(|(answered, _)| answered).sum();
    let refused: i64 = counts.iter().map(|(_, refused)| refused).sum();
    assert_eq!(answered + refused, 240);
    assert!(refused > 0, "no request was refused");
    let mut caller = deployment.connect(0).unwrap();
    let rows = caller.query("select count(*) from note").unwrap();
    assert_eq!(rows.value(), Some(answered.to_string().as_str()));
}

#[test]
fn test_leaving_server_gets_no_new_work_but_finishes_transactions() {
    let mut deployment = start("leaving", "request_timeout_ms = 500");
    let mut caller = deployment.connect(0).unwrap();
    caller.query("begin").unwrap();
    caller.query("insert into note values (1)").unwrap();
    let text = deployment.document_text().unwrap();
    let primary = "failure_domain = \"domain-a\"\n";
    let leaving = text.replacen(primary, &format!("{primary}leaving = true\n"), 1);
    deployment.edit_document(&leaving).unwrap();
    // Until the edit is applied and the server's grace for new requests has ended.
    thread::sleep(Duration::from_secs(3));

    let mut other = deployment.connect(1).unwrap();
    let refused = other.query("insert into note values (2)").unwrap();
    assert_eq!(refused.error_code(), Some(SQLSTATE_UNAVAILABLE));
    assert_eq!(caller.query("insert into note values (3)").unwrap().error_code(), None);
    assert_eq!(caller.query("commit").unwrap().error_code(), None);

    deployment.edit_document(&text).unwrap();
    // Until the edit is applied.
    thread::sleep(Duration::from_secs(1));
    let rows = other.query("select count(*) from note").unwrap();
    assert_eq!(rows.value(), Some("2"));
}

#[test]
fn test_restart_of_every_instance_fails_no_accepted_request() {
    let mut settings = settings("");
    settings.instances = 3;
    let mut deployment = Deployment::start("restarts", settings).unwrap();
    let mut caller = deployment.connect(0).unwrap();
    caller.query("create table note (id integer primary key)").unwrap();
    let end = Instant::now() + Duration::from_secs(9);
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let address = deployment.addresses[number % 3].callers;
            thread::spawn(move || insert_until(end, address, number as u64 * 1_000_000))
        })
        .collect();
    for number in 0..3 {
        thread::sleep(Duration::from_millis(500));
        deployment.instances[number].signal(Signal::Terminate).unwrap();
        assert!(deployment.instances[number].wait().unwrap());
        deployment.instances[number] = deployment.start_instance(number).unwrap();
    }
    let acknowledged: u64 = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    let rows = deployment.connect(0).unwrap().query("select count(*) from note").unwrap();
    assert_eq!(rows.value(), Some(acknowledged.to_string().as_str()));
    assert!(acknowledged > 100, "only {acknowledged} writes were acknowledged");
}

/// Inserts rows and returns how many were acknowledged.
///
/// A caller whose connection was closed before its request was accepted connects
/// again; a request that was accepted must be answered.
fn insert_until(end: Instant, address: SocketAddr, first_id: u64) -> u64 {
    let connect =
        || PgClient::connect(address, &[("user", "ana"), ("database", DATABASE)], TIMEOUT);
    let mut acknowledged = 0;
    let mut connected = connect();
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
        let Ok(caller) = &mut connected else {
            connected = connect();
            continue;
        };
        let sql = format!("insert into note values ({})", first_id + acknowledged);
        let answer = caller.query(&sql).expect("a request that was sent is answered");
        match answer.error_code() {
            None => acknowledged += 1,
            Some(SQLSTATE_SHUTTING_DOWN) => connected = connect(),
            Some(_) => panic!("refused: {:?}", answer.error),
        }
    }
    acknowledged
}
