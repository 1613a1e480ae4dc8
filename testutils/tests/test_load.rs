//! Runs a short load against a stand-in server; some of its statements fail.

use std::time::Duration;

use masticreel_standins::upstream::{Upstream, UpstreamSettings};
use masticreel_testutils::load;

#[test]
fn test_load_counts_answers_and_errors() {
    let settings =
        UpstreamSettings { connect_delay: Duration::ZERO, ..UpstreamSettings::default() };
    let server = Upstream::start(settings).unwrap();
    let settings = format!(
        r#"
        targets = ["{}"]
        callers = 4
        seconds = 0.5
        seed = 7
        setup = ["CREATE TABLE t (id INT PRIMARY KEY, v TEXT)", "INSERT INTO t VALUES (0, 'a')"]
        [[statements]]
        name = "read"
        sql = "SELECT v FROM t WHERE id = {{id}}"
        share = 0.9
        [[statements]]
        name = "duplicate"
        sql = "INSERT INTO t VALUES (0, 'b')"
        share = 0.1
        protocol = "extended"
        "#,
        server.address()
    );
    let report = load::run(toml::from_str(&settings).unwrap()).unwrap();
    let statements: Vec<_> = report.statements().collect();
    assert!(statements[0].1.latency_us.len() > 100);
    assert!(statements[0].1.errors.is_empty());
    assert!(statements[1].1.latency_us.is_empty());
    assert!(statements[1].1.errors["23505"] > 0);
    let mut csv = Vec::new();
    report.write_csv(&mut csv).unwrap();
    assert_eq!(String::from_utf8(csv).unwrap().lines().count(), 3);
}
