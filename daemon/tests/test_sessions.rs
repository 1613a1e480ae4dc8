//! Consistency of sessions that move between instances, against separate processes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use masticreel_testutils::pg_client::{Answer, PgClient};
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};

const TOKEN: &str = "masticreel.token";
/// The longest staleness that a read allows in its tag; the longest of the test's
/// `ages`.
const MAX_STALENESS: Duration = Duration::from_secs(1);
const SESSION: &str = "masticreel.session";

/// Starts three servers whose replicas apply with a lag, and three instances.
fn start(name: &str, apply_lag_ms: u32) -> Deployment {
    let settings = DeploymentSettings {
        instances: 3,
        server_arguments: vec!["--apply-lag-ms".to_owned(), apply_lag_ms.to_string()],
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start(name, settings).expect("the deployment starts");
    deployment.wait_until_ready().expect("writes are acknowledged");
    deployment
}

fn run(client: &mut PgClient, sql: &str) -> String {
    let answer = client.query(sql).expect("the instance answers");
    assert_eq!(answer.error, None, "{sql} failed");
    answer.value().unwrap_or_default().to_owned()
}

fn connect(deployment: &Deployment, instance: usize, parameters: &[(&str, &str)]) -> PgClient {
    deployment.connect_with(instance, parameters).expect("the instance accepts")
}

#[test]
fn test_token_carries_a_session_to_another_instance() {
    let deployment = start("token", 50);
    for number in 0..10 {
        let mut writer = connect(&deployment, number % 3, &[]);
        run(&mut writer, &format!("INSERT INTO notes VALUES ('n{number}', {number})"));
        let token = writer.parameter(TOKEN).expect("a write changes the token").to_owned();
        let mut reader = connect(&deployment, (number + 1) % 3, &[(TOKEN, &token)]);
        let select = format!("SELECT n FROM notes WHERE id = 'n{number}'");
        assert_eq!(run(&mut reader, &select), number.to_string());
        let mut tagged = connect(&deployment, (number + 2) % 3, &[]);
        let select = format!("{select} /*token='{token}',max_staleness_ms='60000'*/");
        assert_eq!(run(&mut tagged, &select), number.to_string());
    }
}

#[test]
fn test_malformed_token_is_refused() {
    let deployment = start("bad-token", 50);
    assert!(deployment.connect_with(0, &[(TOKEN, "m1:app=1/2")]).is_err());
    let mut client = connect(&deployment, 0, &[]);
    let answer = client.query("SELECT 1 /*token='x'*/").expect("the instance answers");
    let error = answer.error.expect("the tag is refused");
    assert!(error.detail.is_some_and(|detail| detail.starts_with("verdict=not_run kind=")));
}

#[test]
fn test_two_connections_of_a_named_session_see_each_other() {
    let deployment = start("named", 50);
    let mut writer = connect(&deployment, 0, &[(SESSION, "tech-7")]);
    let mut reader = connect(&deployment, 1, &[]);
    run(&mut writer, "INSERT INTO notes VALUES ('run', 0)");
    for step in 1..15 {
        run(&mut writer, &format!("UPDATE notes SET n = {step} WHERE id = 'run'"));
        let select = "SELECT n FROM notes WHERE id = 'run' /*session='tech-7'*/";
        assert_eq!(run(&mut reader, select), step.to_string());
    }
}

#[test]
fn test_new_connection_sees_what_was_acknowledged_before() {
    let deployment = start("new-connection", 50);
    for step in 0..10 {
        let mut writer = connect(&deployment, step % 3, &[]);
        run(&mut writer, &format!("INSERT INTO notes VALUES ('c{step}', 1)"));
        let mut reader = connect(&deployment, (step + 1) % 3, &[]);
        let select = format!("SELECT count(*) FROM notes WHERE id = 'c{step}'");
        assert_eq!(run(&mut reader, &select), "1");
    }
}

#[test]
fn test_stated_age_is_not_exceeded() {
    let deployment = start("age", 150);
    let mut writer = connect(&deployment, 0, &[]);
    run(&mut writer, "INSERT INTO notes VALUES ('age', 0)");
    let started = Instant::now();
    let elapsed_ms = |started: Instant| started.elapsed().as_millis() as u64;
    let is_done = AtomicBool::new(false);
    let reads = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_done.load(Ordering::Relaxed) {
                let now = elapsed_ms(started);
                run(&mut writer, &format!("UPDATE notes SET n = {now} WHERE id = 'age'"));
            }
        });
        // After this time the oldest data that a read allows contains the row.
        std::thread::sleep(MAX_STALENESS);
        let mut reader = connect(&deployment, 1, &[]);
        let ages = [100, 300, 1000].repeat(10);
        let reads: Vec<(u64, u64, Answer)> = ages
            .into_iter()
            .map(|age_ms| {
                let tag = format!("/*max_staleness_ms='{age_ms}'*/");
                let select = format!("SELECT n FROM notes WHERE id = 'age' {tag}");
                let requested_at = elapsed_ms(started);
                (age_ms, requested_at, reader.query(&select).expect("the instance answers"))
            })
            .collect();
        is_done.store(true, Ordering::Relaxed);
        reads
    });
    for (age_ms, requested_at, answer) in reads {
        let seen: u64 = answer.value().and_then(|value| value.parse().ok()).expect("a number");
        // `seen` is the time at which its write began; the write itself takes at most
        // `write_ms`.
        let write_ms = 100;
        assert!(
            seen + age_ms + write_ms >= requested_at,
            "read {seen} at {requested_at}, older than {age_ms} ms"
        );
    }
}

#[test]
fn test_request_key_runs_work_once_also_after_a_failover() {
    let mut deployment = start("request-key", 50);
    let mut client = connect(&deployment, 0, &[]);
    run(&mut client, "INSERT INTO notes VALUES ('coins', 100)");
    let charge = |key: &str| {
        format!("UPDATE notes SET n = n - 10 WHERE id = 'coins' /*request_key='{key}'*/")
    };
    let tag = |client: &mut PgClient, sql: &str| {
        let answer = client.query(sql).expect("the instance answers");
        assert_eq!(answer.error, None);
        answer.tag().unwrap_or_default().to_owned()
    };
    assert_eq!(tag(&mut client, &charge("a")), "UPDATE 1");
    let mut other = connect(&deployment, 1, &[]);
    assert_eq!(tag(&mut other, &charge("a")), "UPDATE 1");
    assert_eq!(run(&mut other, "SELECT n FROM notes WHERE id = 'coins'"), "90");
    deployment.kill_server(0).expect("the server runs");
    let mut third = connect(&deployment, 2, &[]);
    assert_eq!(tag(&mut third, &charge("a")), "UPDATE 1");
    assert_eq!(tag(&mut third, &charge("b")), "UPDATE 1");
    assert_eq!(run(&mut third, "SELECT n FROM notes WHERE id = 'coins'"), "80");
    let reused = "DELETE FROM notes /*request_key='a'*/";
    let answer = third.query(reused).expect("the instance answers");
    let detail = answer.error.and_then(|error| error.detail).unwrap_or_default();
    assert!(detail.starts_with("verdict=not_run"), "{detail}");
}
