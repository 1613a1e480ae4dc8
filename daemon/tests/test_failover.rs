//! Failover and read-your-writes against separate processes.

use std::time::{Duration, Instant};

use masticreel_testutils::pg_client::PgClient;
use masticreel_testutils::processes::Signal;
use masticreel_testutils::processes::deployment::{Deployment, DeploymentSettings};

const FAILOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts three servers behind relays that can cut the connections to a server
/// and restore (`heal`) them, and three instances.
fn start(name: &str, server_arguments: &[&str]) -> Deployment {
    let settings = DeploymentSettings {
        instances: 3,
        server_arguments: server_arguments.iter().map(|word| word.to_string()).collect(),
        instance_settings: "\n[limits]\nrequest_timeout_ms = 5000\n".to_owned(),
        has_server_relays: true,
        ..DeploymentSettings::default()
    };
    let deployment = Deployment::start(name, settings).expect("the deployment starts");
    deployment.wait_until_ready().expect("writes are acknowledged");
    deployment
}

fn insert(client: &mut PgClient, id: &str) {
    let sql = format!("INSERT INTO notes VALUES ('{id}', 1)");
    let answer = client.query(&sql).expect("the instance answers");
    assert_eq!(answer.error, None, "the write of {id} failed");
}

fn count(client: &mut PgClient, id: &str) -> String {
    let sql = format!("SELECT count(*) FROM notes WHERE id = '{id}'");
    let answer = client.query(&sql).expect("the instance answers");
    assert_eq!(answer.error, None, "the read of {id} failed");
    answer.value().unwrap_or_default().to_owned()
}

/// Retries with new ids until a write is acknowledged, and returns its id.
fn insert_eventually(client: &mut PgClient, prefix: &str) -> String {
    let deadline = Instant::now() + FAILOVER_TIMEOUT;
    for attempt in 0.. {
        let id = format!("{prefix}-{attempt}");
        let sql = format!("INSERT INTO notes VALUES ('{id}', 1)");
        let answer = client.query(&sql).expect("the instance answers");
        if answer.error.is_none() {
            return id;
        }
        assert!(Instant::now() < deadline, "no write was acknowledged: {:?}", answer.error);
    }
    unreachable!("the loop ends by the deadline")
}

#[test]
fn test_acknowledged_writes_survive_a_killed_primary() {
    let mut deployment = start("kill", &["--receive-lag-ms", "20"]);
    let mut client = deployment.connect_with(1, &[]).expect("the instance accepts");
    for number in 0..20 {
        insert(&mut client, &format!("before-{number}"));
    }
    deployment.kill_server(0).expect("the server runs");
    let after = insert_eventually(&mut client, "after");
    for number in 0..20 {
        assert_eq!(count(&mut client, &format!("before-{number}")), "1");
    }
    assert_eq!(count(&mut client, &after), "1");
    deployment.restart_server(0).expect("the server starts");
    deployment.wait_for_role(0, "replica", FAILOVER_TIMEOUT).expect("the old primary follows");
}

#[test]
fn test_thawed_primary_acknowledges_nothing() {
    let mut deployment = start("freeze", &[]);
    let mut client = deployment.connect_with(0, &[]).expect("the instance accepts");
    insert(&mut client, "before");
    deployment.servers[0].signal(Signal::Stop).expect("the signal is sent");
    let mut other = deployment.connect_with(1, &[]).expect("the instance accepts");
    let after = insert_eventually(&mut other, "after");
    deployment.servers[0].signal(Signal::Continue).expect("the signal is sent");
    deployment.wait_for_role(0, "replica", FAILOVER_TIMEOUT).expect("the old primary follows");
    insert(&mut client, "later");
    for id in ["before", &after, "later"] {
        assert_eq!(count(&mut other, id), "1", "the write of {id}");
    }
}

#[test]
fn test_cut_off_primary_is_replaced_and_follows_when_healed() {
    let deployment = start("cut", &[]);
    let mut client = deployment.connect_with(2, &[]).expect("the instance accepts");
    insert(&mut client, "before");
    deployment.send_relay_command(0, "cut").expect("the relay accepts the command");
    let after = insert_eventually(&mut client, "after");
    deployment.send_relay_command(0, "heal").expect("the relay accepts the command");
    deployment.wait_for_role(0, "replica", FAILOVER_TIMEOUT).expect("the old primary follows");
    assert_eq!(count(&mut client, "before"), "1");
    assert_eq!(count(&mut client, &after), "1");
}

#[test]
fn test_replica_that_was_away_is_not_promoted_over_acknowledged_writes() {
    let mut deployment = start("far-behind", &[]);
    let mut client = deployment.connect_with(1, &[]).expect("the instance accepts");
    insert(&mut client, "early");
    deployment.kill_server(1).expect("the server runs");
    for number in 0..10 {
        insert(&mut client, &format!("late-{number}"));
    }
    deployment.kill_server(0).expect("the server runs");
    deployment.restart_server(1).expect("the server starts");
    let after = insert_eventually(&mut client, "after");
    deployment
        .wait_for_role(2, "primary", FAILOVER_TIMEOUT)
        .expect("the server with the longest log is promoted");
    for number in 0..10 {
        assert_eq!(count(&mut client, &format!("late-{number}")), "1");
    }
    assert_eq!(count(&mut client, &after), "1");
}

#[test]
fn test_primary_without_a_majority_acknowledges_nothing() {
    let mut deployment = start("no-majority", &[]);
    let mut client = deployment.connect_with(0, &[]).expect("the instance accepts");
    insert(&mut client, "before");
    deployment.send_relay_command(1, "cut").expect("the relay accepts the command");
    deployment.kill_server(2).expect("the server runs");
    let answer = client.query("INSERT INTO notes VALUES ('alone', 1)").expect("an answer");
    let detail = answer.error.and_then(|error| error.detail).unwrap_or_default();
    assert!(detail.starts_with("verdict="), "acknowledged without a majority: {detail}");
    deployment.send_relay_command(1, "heal").expect("the relay accepts the command");
    let after = insert_eventually(&mut client, "after");
    assert_eq!(count(&mut client, "before"), "1");
    assert_eq!(count(&mut client, &after), "1");
}
