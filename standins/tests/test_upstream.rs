//! Tests of the database server: its protocol, transactions and role in a group.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use masticreel_standins::upstream::{InitialRole, Upstream, UpstreamSettings};
use masticreel_testutils::pg_client::{PgClient, send_cancel};
use pgwire::messages::extendedquery::{Bind, Execute, Parse, Sync};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

const TIMEOUT: Duration = Duration::from_secs(10);

fn start(change: impl FnOnce(&mut UpstreamSettings)) -> Upstream {
    let mut settings =
        UpstreamSettings { connect_delay: Duration::ZERO, ..UpstreamSettings::default() };
    change(&mut settings);
    Upstream::start(settings).unwrap()
}

fn start_replica(primary: &Upstream) -> Upstream {
    let role = InitialRole::Replica { primary: Some(primary.address()) };
    start(|settings| settings.initial_role = role)
}

fn connect(address: SocketAddr) -> PgClient {
    PgClient::connect(address, &[("user", "caller")], TIMEOUT).unwrap()
}

fn connect_control_user(address: SocketAddr) -> PgClient {
    PgClient::connect(address, &[("user", "masticreel_control")], TIMEOUT).unwrap()
}

fn status(server: &Upstream) -> Vec<String> {
    let response =
        connect_control_user(server.address()).query("SELECT * FROM group_status()").unwrap();
    response.rows()[0].iter().map(|field| field.clone().unwrap_or_default()).collect()
}

/// Waits until the server's role and applied position are as given.
fn wait_for(server: &Upstream, role: &str, applied: &str) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let status = status(server);
        if status[1] == role && status[4] == applied {
            return;
        }
        assert!(Instant::now() < deadline, "the server is still {status:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn run(client: &mut PgClient, sql: &str) -> String {
    let response = client.query(sql).unwrap();
    match (&response.error, response.value()) {
        (Some(error), _) => error.code.clone(),
        (None, Some(value)) => value.to_owned(),
        (None, None) => response.tag().unwrap_or_default().to_owned(),
    }
}

#[test]
fn test_simple_queries_and_transactions() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    assert_eq!(run(&mut client, "SELECT 1"), "1");
    assert_eq!(run(&mut client, "CREATE TABLE t (id INT PRIMARY KEY, v TEXT)"), "CREATE TABLE");
    assert_eq!(run(&mut client, "INSERT INTO t VALUES (1, 'a'), (2, NULL)"), "INSERT 0 2");
    let response = client.query("SELECT id, v FROM t ORDER BY id; SELECT count(*) FROM t").unwrap();
    assert_eq!(response.rows()[1], [Some("2".to_owned()), None]);
    assert_eq!(response.results[1].columns, ["count"]);
    assert_eq!(client.query("BEGIN").unwrap().status, Some('T'));
    assert_eq!(run(&mut client, "INSERT INTO t VALUES (1, 'b')"), "23505");
    let response = client.query("SELECT 1").unwrap();
    assert_eq!((response.error_code(), response.status), (Some("25P02"), Some('E')));
    assert_eq!(run(&mut client, "COMMIT"), "ROLLBACK");
    assert_eq!(run(&mut client, "SELECT * FROM missing"), "42P01");
    assert_eq!(run(&mut client, "SELEC"), "42601");
}

#[test]
fn test_statements_of_one_query_message_are_one_transaction() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    run(&mut client, "CREATE TABLE t (id INT PRIMARY KEY)");
    assert_eq!(client.query("INSERT INTO t VALUES (1); SELECT nope").unwrap().status, Some('I'));
    assert_eq!(run(&mut client, "SELECT count(*) FROM t"), "0");
    run(&mut client, "BEGIN; INSERT INTO t VALUES (1); SAVEPOINT s; INSERT INTO t VALUES (2)");
    assert_eq!(run(&mut client, "ROLLBACK TO s"), "ROLLBACK");
    assert_eq!(run(&mut client, "COMMIT"), "COMMIT");
    assert_eq!(run(&mut client, "SELECT count(*) FROM t"), "1");
}

#[test]
fn test_uncommitted_writes_stay_on_their_connection() {
    let server = start(|_| {});
    let mut writer = connect(server.address());
    let mut reader = connect(server.address());
    run(&mut writer, "CREATE TABLE t (id INT)");
    run(&mut writer, "BEGIN; INSERT INTO t VALUES (1)");
    assert_eq!(run(&mut writer, "SELECT count(*) FROM t"), "1");
    assert_eq!(run(&mut reader, "SELECT count(*) FROM t"), "0");
    run(&mut writer, "COMMIT");
    assert_eq!(run(&mut reader, "SELECT count(*) FROM t"), "1");
}

#[test]
fn test_discard_ends_temporary_tables() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    run(&mut client, "BEGIN; CREATE TEMP TABLE scratch (id INT); COMMIT");
    assert_eq!(client.query("SELECT * FROM scratch").unwrap().error_code(), None);
    run(&mut client, "DISCARD ALL");
    assert_eq!(client.query("SELECT * FROM scratch").unwrap().error_code(), Some("42P01"));
}

#[test]
fn test_extended_queries_pipelines_and_large_rows() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    run(&mut client, "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT, ok BOOL)");
    let insert = "INSERT INTO t VALUES ($1::int8, $2, $3::bool)";
    let large = "x".repeat(1 << 20);
    let response = client.execute(insert, &[Some("1"), Some(&large), Some("t")]).unwrap();
    assert_eq!(response.tag(), Some("INSERT 0 1"));
    let response = client.execute("SELECT v, ok FROM t WHERE id = $1", &[Some("1")]).unwrap();
    assert_eq!(response.rows(), [[Some(large), Some("t".to_owned())]]);
    let response = client
        .pipeline(&[
            (insert, &[Some("2"), None, None]),
            (insert, &[Some("1"), None, None]),
            (insert, &[Some("3"), None, None]),
        ])
        .unwrap();
    assert_eq!((response.results.len(), response.error_code()), (1, Some("23505")));
    assert_eq!(response.status, Some('I'));
    assert_eq!(run(&mut client, "SELECT count(*) FROM t"), "1");
}

#[test]
fn test_cancel_ends_a_statement() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    let request = client.cancel_request().unwrap();
    let address = server.address();
    let canceller = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(100));
        send_cancel(address, &request).unwrap();
    });
    assert_eq!(run(&mut client, "SELECT pg_sleep(9)"), "57014");
    canceller.join().unwrap();
    assert_eq!(run(&mut client, "SELECT 1"), "1");
}

#[test]
fn test_connections_are_limited_with_a_reserve_for_control() {
    let server = start(|settings| settings.max_connections = 5);
    let _first = connect(server.address());
    let _second = connect(server.address());
    let third = PgClient::connect(server.address(), &[("user", "caller")], TIMEOUT);
    assert!(third.unwrap_err().to_string().contains("53300"));
    assert_eq!(status(&server)[1], "primary");
}

#[test]
fn test_control_takes_any_free_connection_beyond_its_reserve() {
    let server = start(|settings| settings.max_connections = 5);
    let connect_control =
        || PgClient::connect(server.address(), &[("user", "masticreel_control")], TIMEOUT);
    let held: Vec<PgClient> = (0..4).map(|_| connect_control().unwrap()).collect();
    let _ordinary = connect(server.address());
    assert!(connect_control().unwrap_err().to_string().contains("53300"));
    drop(held);
}

#[test]
fn test_replica_copies_and_refuses_writes() {
    let primary = start(|_| {});
    let replica = start_replica(&primary);
    let mut client = connect(primary.address());
    run(&mut client, "CREATE TABLE t (id INT)");
    run(&mut client, "INSERT INTO t VALUES (7)");
    assert_eq!(client.parameter("group_position"), Some("1/2"));
    wait_for(&replica, "replica", "2");
    let mut reader = connect(replica.address());
    assert_eq!(run(&mut reader, "SELECT id FROM t"), "7");
    assert_eq!(reader.parameter("group_position"), Some("1/2"));
    assert_eq!(run(&mut reader, "INSERT INTO t VALUES (8)"), "25006");
}

#[test]
fn test_receive_lag_and_apply_lag_are_separate() {
    let primary = start(|_| {});
    let role = InitialRole::Replica { primary: Some(primary.address()) };
    let replica = start(|settings| {
        settings.initial_role = role;
        // Without a receive lag, entries become durable at once and wait there.
        settings.apply_lag = Duration::from_secs(60);
    });
    run(&mut connect(primary.address()), "CREATE TABLE t (id INT)");
    let deadline = Instant::now() + TIMEOUT;
    while status(&replica)[3] != "1" {
        assert!(Instant::now() < deadline);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(status(&replica)[4], "0");
}

#[test]
fn test_fence_stops_writes_and_promotion_needs_the_claim() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    let mut control_client = connect_control_user(server.address());
    run(&mut client, "CREATE TABLE t (id INT)");
    run(&mut client, "BEGIN; INSERT INTO t VALUES (1)");
    assert_eq!(run(&mut control_client, "SELECT * FROM group_fence(1, 'x')"), "55000");
    assert_eq!(run(&mut control_client, "SELECT * FROM group_fence(2, 'a')"), "2");
    assert_eq!(run(&mut control_client, "SELECT * FROM group_fence(2, 'b')"), "55000");
    let response = client.query("COMMIT").unwrap();
    assert_eq!((response.error_code(), response.status), (Some("25006"), Some('I')));
    assert_eq!(run(&mut client, "INSERT INTO t VALUES (2)"), "25006");
    assert_eq!(run(&mut control_client, "SELECT * FROM group_promote(2, 'b')"), "55000");
    assert_eq!(run(&mut control_client, "SELECT * FROM group_promote(2, 'a')"), "2");
    assert_eq!(run(&mut client, "INSERT INTO t VALUES (3)"), "INSERT 0 1");
    assert_eq!(run(&mut client, "SELECT id FROM t"), "3");
    assert_eq!(client.parameter("group_position"), Some("2/2"));
}

#[test]
fn test_fence_ends_a_write_in_mid_statement() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    run(&mut client, "CREATE TABLE t (id INT)");
    let address = server.address();
    let fence = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(100));
        run(&mut connect_control_user(address), "SELECT * FROM group_fence(2, 'a')")
    });
    assert_eq!(run(&mut client, "INSERT INTO t SELECT 1 WHERE pg_sleep(9) = ''"), "25006");
    assert_eq!(fence.join().unwrap(), "2");
    assert_eq!(run(&mut client, "SELECT count(*) FROM t"), "0");
}

#[test]
fn test_old_primary_discards_what_diverged() {
    let old = start(|_| {});
    let new = start_replica(&old);
    let mut caller = connect(old.address());
    run(&mut caller, "CREATE TABLE t (id INT)");
    wait_for(&new, "replica", "1");
    // The old primary continues alone after the new one was fenced.
    run(&mut connect_control_user(new.address()), "SELECT * FROM group_fence(2, 'a')");
    run(&mut caller, "INSERT INTO t VALUES (1)");
    run(&mut caller, "INSERT INTO t VALUES (2)");
    run(&mut connect_control_user(new.address()), "SELECT * FROM group_promote(2, 'a')");
    run(&mut connect(new.address()), "INSERT INTO t VALUES (10)");
    let follow = format!("SELECT * FROM group_follow(2, '{}')", new.address());
    run(&mut connect_control_user(old.address()), &follow);
    wait_for(&old, "replica", "2");
    assert_eq!(run(&mut caller, "SELECT id FROM t"), "10");
    assert_eq!(status(&old)[..5], ["2", "replica", "2", "2", "2"]);
}

#[test]
fn test_log_outlives_the_server_when_it_has_a_directory() {
    let directory = std::env::temp_dir().join(format!("test-upstream-{}", std::process::id()));
    let data_dir = Some(directory.clone());
    let server = start(|settings| settings.data_dir = data_dir.clone());
    run(&mut connect(server.address()), "CREATE TABLE t (id INT); INSERT INTO t VALUES (5)");
    drop(server);
    let server = start(|settings| settings.data_dir = data_dir);
    wait_for(&server, "fenced", "1");
    let mut control_client = connect_control_user(server.address());
    run(&mut control_client, "SELECT * FROM group_fence(2, 'a')");
    run(&mut control_client, "SELECT * FROM group_promote(2, 'a')");
    assert_eq!(run(&mut connect(server.address()), "SELECT id FROM t"), "5");
    drop(server);
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn test_binary_parameters_and_results() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    run(&mut client, "CREATE TABLE t (i BIGINT, f FLOAT8, b BOOL, d BYTEA, s TEXT)");
    let values: [Vec<u8>; 5] = [
        (-7_i64).to_be_bytes().to_vec(),
        0.5_f64.to_be_bytes().to_vec(),
        vec![1],
        vec![0, 255],
        b"text".to_vec(),
    ];
    let parameters = values.iter().cloned().map(|value| Some(Bytes::from(value))).collect();
    let insert = "INSERT INTO t VALUES ($1, $2, $3, $4, $5)".to_owned();
    let select = "SELECT i, f, b, d, s FROM t".to_owned();
    client
        .send(&[
            PgWireFrontendMessage::Parse(Parse::new(None, insert, vec![20, 701, 16, 17, 25])),
            PgWireFrontendMessage::Bind(Bind::new(None, None, vec![1], parameters, Vec::new())),
            PgWireFrontendMessage::Execute(Execute::new(None, 0)),
            PgWireFrontendMessage::Parse(Parse::new(None, select, Vec::new())),
            PgWireFrontendMessage::Bind(Bind::new(None, None, Vec::new(), Vec::new(), vec![1])),
            PgWireFrontendMessage::Execute(Execute::new(None, 0)),
            PgWireFrontendMessage::Sync(Sync::new()),
        ])
        .unwrap();
    let row = loop {
        match client.read_message().unwrap() {
            PgWireBackendMessage::DataRow(row) => break row,
            PgWireBackendMessage::ErrorResponse(error) => panic!("{error:?}"),
            _ => {}
        }
    };
    let mut expected = Vec::new();
    for value in &values {
        expected.extend((value.len() as u32).to_be_bytes());
        expected.extend(value);
    }
    assert_eq!(row.data.as_ref(), expected);
}

#[test]
fn test_portals_return_rows_up_to_a_limit() {
    let server = start(|_| {});
    let mut client = connect(server.address());
    run(&mut client, "CREATE TABLE t (id INT)");
    run(&mut client, "INSERT INTO t VALUES (1), (2), (3)");
    let select = "SELECT id FROM t ORDER BY id".to_owned();
    client
        .send(&[
            PgWireFrontendMessage::Parse(Parse::new(None, select, Vec::new())),
            PgWireFrontendMessage::Bind(Bind::new(None, None, Vec::new(), Vec::new(), Vec::new())),
            PgWireFrontendMessage::Execute(Execute::new(None, 2)),
            PgWireFrontendMessage::Execute(Execute::new(None, 2)),
            PgWireFrontendMessage::Sync(Sync::new()),
        ])
        .unwrap();
    let response = client.read_answer().unwrap();
    let counts: Vec<_> = response.results.iter().map(|result| result.rows.len()).collect();
    assert_eq!(counts, [2, 1]);
    assert_eq!(response.results[0].tag, None);
    assert_eq!(response.results[1].tag.as_deref(), Some("SELECT 1"));
}
