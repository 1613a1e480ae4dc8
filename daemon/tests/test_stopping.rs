//! What callers get from an instance that is told to stop while their requests take longer than
//! its shutdown, against separate processes.

use std::thread;
use std::time::{Duration, Instant};

use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::Signal;
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};

/// SQLSTATEs of requests whose outcome is unknown, and that were refused as the instance stops.
const SQLSTATE_UNKNOWN: &str = "08007";
const SQLSTATE_SHUTTING_DOWN: &str = "57P01";

const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the shutdown may take.
const LONG_STATEMENT: &str = "select pg_sleep(8)";

fn start(name: &str) -> Deployment {
    let settings = DeploymentSettings {
        instance_settings: format!(
            "\n[limits]\nhandover_timeout_ms = 0\nshutdown_timeout_ms = {}\n",
            SHUTDOWN_TIMEOUT.as_millis()
        ),
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start(name, settings).unwrap();
    let mut caller = deployment.connect(0).unwrap();
    let created = caller.query("create table note (id integer primary key)").unwrap();
    assert_eq!(created.error_code(), None);
    deployment
}

/// Begins a transaction with a statement. The stand-in lets one transaction write at a time.
fn begin(deployment: &Deployment, sql: &str) -> PgClient {
    let mut caller = deployment.connect(0).unwrap();
    for sql in ["begin", sql] {
        assert_eq!(caller.query(sql).unwrap().error_code(), None);
    }
    caller
}

/// Runs statements until the connection ends, and returns the last error code; none if the
/// connection ended without one.
fn last_error(mut caller: PgClient, sql: &'static str) -> thread::JoinHandle<Option<String>> {
    thread::spawn(move || {
        let mut last = None;
        loop {
            match caller.query(sql) {
                Ok(answer) => match answer.error_code() {
                    Some(code) => last = Some(code.to_owned()),
                    None => last = None,
                },
                Err(_) => return last,
            }
        }
    })
}

/// Guards against requests that are cut off without an answer when the shutdown timeout is over,
/// and against transactions that end without a word.
#[test]
fn test_requests_that_outlast_the_shutdown_are_answered_before_the_process_ends() {
    let mut deployment = start("stopping");
    let long = last_error(deployment.connect(0).unwrap(), LONG_STATEMENT);
    let long_in_transaction =
        last_error(begin(&deployment, "insert into note values (1)"), LONG_STATEMENT);
    let busy_in_transaction = last_error(begin(&deployment, "select 1"), "select 1");
    let mut idle_in_transaction = begin(&deployment, "select 1");
    thread::sleep(Duration::from_millis(300));
    let stopped_at = Instant::now();
    deployment.instances[0].signal(Signal::Terminate).unwrap();
    let idle = idle_in_transaction.read_answer().expect("the end is announced");
    assert_eq!(idle.error_code(), Some(SQLSTATE_SHUTTING_DOWN));
    assert_eq!(long.join().unwrap().as_deref(), Some(SQLSTATE_SHUTTING_DOWN));
    let shutting_down = Some(SQLSTATE_SHUTTING_DOWN);
    assert_eq!(long_in_transaction.join().unwrap().as_deref(), shutting_down);
    assert_eq!(busy_in_transaction.join().unwrap().as_deref(), shutting_down);
    assert!(deployment.instances[0].wait().unwrap());
    assert!(stopped_at.elapsed() < SHUTDOWN_TIMEOUT + Duration::from_secs(2));
    let rows = deployment.connect(1).unwrap().query("select count(*) from note").unwrap();
    assert_eq!(rows.value(), Some("0"), "no transaction was committed");
}

/// As above: the failure of a statement that a server is running doesn't say "not run".
#[test]
fn test_write_that_outlasts_the_shutdown_may_have_run() {
    let mut deployment = start("stopping-write");
    let mut caller = deployment.connect(0).unwrap();
    let write =
        thread::spawn(move || caller.query("insert into note select 7 where pg_sleep(8) is null"));
    thread::sleep(Duration::from_millis(300));
    deployment.instances[0].signal(Signal::Terminate).unwrap();
    let answer = write.join().unwrap().expect("the request is answered");
    assert_eq!(answer.error_code(), Some(SQLSTATE_UNKNOWN), "{:?}", answer.error);
    assert!(deployment.instances[0].wait().unwrap());
}
